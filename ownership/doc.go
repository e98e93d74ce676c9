// Package ownership decides which shards this instance owns.
//
// The row "shards/<id>" holds the owner, its epoch, the expiry of its lease and
// the lease horizon: the latest end that the owner may grant to a task lease.
// The row "epochs/<id>" is only written by the transaction that raises the
// epoch, so its version equals the epoch. A journal row can be conditional on it
// while renewals change the shard row.
//
// Invariants:
//   - Every takeover increments the epoch. The epoch never decreases.
//   - Each epoch has at most one owner: one process of an instance.
//   - A takeover waits for the expiry plus the clock bound, so the leases of
//     two owners never overlap.
//   - The lease horizon in the row never decreases.
//   - An owner whose lease has expired keeps its running work up to the horizon.
//     It starts new work only after a renewal conditional on its own row has
//     succeeded.
//
// State is a reducer: it has no clock, does no I/O and starts no goroutine.
// Execute performs its effects.
package ownership
