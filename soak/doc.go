// Package soak runs mangodrumd as separate processes against a stand-in of
// the platform and injects faults from outside: signals to the processes,
// connections that are delayed, reset, cut one way or silenced by a loopback
// proxy, and a store that misbehaves. It consists of test
// code; run it with go test ./soak -run TestSoak -seeds=50 -timeout 30m.
package soak
