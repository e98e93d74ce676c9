// Package dispatch is the reducer that runs jobs of steps on the workers of a
// cell: it decides which task starts where and when, accounts for everything
// that may run on a worker, and says what has to be durable. It reads no clock
// and does no I/O; Reduce takes an event with the current time and returns
// effects.
//
// What makes a start safe without a durable record of it: a worker compares
// fencing tokens and run numbers, everything it runs has a lease, and it lists
// every end until that end is acknowledged. Ends are acknowledged only after
// they are durable. A new leader therefore learns from the workers what runs,
// and waits only for workers that do not answer, until every lease that its
// predecessor can have granted has expired.
package dispatch
