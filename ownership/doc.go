// Package ownership decides which shards this instance owns.
//
// The row "shards/<id>" names the owner, its epoch, the expiry of its lease
// and the lease horizon: the latest end that it may grant to a task lease. The
// row "epochs/<id>" changes only in the transaction that raises the epoch, so
// its version equals the epoch and a journal row can be conditional on it
// while renewals change the shard row.
//
// Invariants:
//   - The epoch grows by one with every takeover and never goes back.
//   - Of one epoch there is at most one owner: a process of an instance.
//   - A takeover waits for the expiry plus the clock bound, so the leases of
//     two owners never overlap.
//   - The horizon in the row never goes back.
//   - An owner whose lease lapsed holds what it has up to the horizon and acts
//     again only after a renewal conditional on its own row succeeded.
//
// State is a reducer: it has no clock, does no I/O and starts no goroutine.
// Execute carries out its effects.
package ownership
