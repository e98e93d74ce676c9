// Package placement finds workers for tasks and gangs.
//
// Index records the capacity and the reservations of all workers. It keeps
// workers in grids sorted by free resources, so that Find does not examine
// every worker. The index has no clock, does no I/O and is not safe for
// concurrent use; the same sequence of calls gives the same results.
//
// Invariant: Reserve never raises the reservations of a worker above its
// capacity. Only Adopt, which records tasks that already run, and a reduced
// capacity can overcommit a worker. An overcommitted worker accepts no new
// task until enough resources are released.
package placement
