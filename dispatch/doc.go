// Package dispatch is the reducer that runs multi-step jobs on the workers of a
// cell. It decides which task starts on which worker and when, tracks every run
// that may occupy a worker, and determines what has to be stored. It reads no
// clock and does no I/O: Reduce takes an event with the current time and returns
// effects.
//
// Starts need no durable record. A worker checks fencing tokens and run numbers,
// every run has a lease, and the worker lists each ended run until that end is
// acknowledged, which happens only once the end is stored. A new leader therefore
// learns from the workers what is running. It waits only for workers that do not
// answer, and only until every lease that the previous leader can have granted
// has expired.
//
// A run is over when its worker lists its end, when a full report of the worker does
// not list it, or when its leases have expired (leases.go). A worker may restart at
// any time under its identifier, and requests do not tell its incarnations apart
// (incarnations.go).
package dispatch
