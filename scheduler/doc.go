// Package scheduler implements the deterministic state machine that schedules
// one shard: it accepts jobs, places their tasks on workers and renews the
// leases of the tasks.
//
// Reduce takes the time and one event and returns effects. The package has no
// clock, does no I/O and starts no goroutine; the same sequence of calls gives
// the same state and effects.
//
// Every decision is a Record. A record is applied to the state at once and
// emitted in an Append effect. Effects that depend on it (sending a start,
// answering a call, acknowledging a completion) are deferred until a Committed
// event with its sequence or a later one. Restore rebuilds the durable part of
// the state from a snapshot and the records after it.
//
// Invariants:
//   - A start is sent only after its TaskStarted record is committed.
//   - A task is started again only when its worker confirmed that the previous
//     attempt does not run, or when the not-after time of its start and every
//     lease end that may have been granted lie further in the past than the
//     clock bound.
//   - No lease end is granted past the durable lease horizon.
//   - Capacity is reserved on a worker for every attempt that may run there.
package scheduler
