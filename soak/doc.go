// Package soak is a soak test of mangodrumd: it runs instances as separate
// processes against a simulated platform and injects faults from outside. It
// sends signals to the processes, delays, resets or drops the data of connections
// in a loopback proxy, in one or both directions, and makes workers and the store
// fail. It consists of test code; run it with
// go test ./soak -run TestSoak -seeds=50 -timeout 30m.
package soak
