// Package instance runs one mangodrumd instance. It turns network messages,
// results of platform calls and clock ticks into events for the reducer of
// package core, and carries out the effects that the reducer returns.
//
// One goroutine, the event loop, owns the reducer's state. Other goroutines
// reach the state only through the inbox. Effects never block the event loop.
package instance
