// Package scheduler is the reducer of one shard: it accepts jobs, places
// their tasks on workers and keeps the tasks under leases.
//
// Reduce takes the time and one event and returns effects. The package has no
// clock, does no I/O and starts no goroutine; the same sequence of calls gives
// the same state and effects.
//
// Every decision is a Record. A record is applied to the state at once and
// emitted in an Append effect; effects that depend on it (sending a start,
// answering a caller, acknowledging a completion) are held until Committed
// names its sequence. Restore rebuilds the durable part of the state from a
// snapshot and the records after it.
//
// Invariants:
//   - A start is sent only after its TaskStarted record is committed.
//   - A task is started again only when its worker confirmed that the previous
//     attempt does not run, or when the not-after time of its start and every
//     lease end that may have been granted have passed by the clock bound.
//   - No lease end is granted past the durable horizon.
//   - What may run on a worker is reserved there.
package scheduler
