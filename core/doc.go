// Package core is the one reducer of an instance. It composes the reducers of
// membership, shard ownership, journal, scheduler and credits, and routes
// events and effects between them.
//
// Invariants:
//   - A shard's scheduler exists only between Acquired and Lost of one epoch.
//   - Scheduler records go to the journal in order; the scheduler learns of a
//     commit only after the journal saw it.
//   - Results of effects carry the epoch that asked for them; a result of an
//     earlier epoch is ignored.
package core
