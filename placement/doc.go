// Package placement finds workers for tasks and gangs.
//
// Index holds the capacity and the reservations of all workers. Its grids,
// sorted by free resources, answer Find without looking at every worker.
// The index has no clock, does no I/O and is not safe for concurrent use; the
// same sequence of calls gives the same results.
//
// Invariant: Reserve never lets the reservations of a worker exceed its
// capacity. Only Adopt, which records what already runs, and a capacity that
// shrinks can do so, and such a worker takes nothing more until it has room.
package placement
