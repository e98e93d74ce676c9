// Package crowd tests what clients that do not behave can make of an instance. It starts
// mangodrumd as separate processes on loopback addresses with small limits, and sends a
// crowd of requests to one of its listeners. An instance must live, stay within its memory
// and its descriptors, and answer an ordinary request. It consists of test code; nothing
// else should run beside it: go test -p 1 ./crowd.
package crowd
