// Package core holds the top-level reducer of an instance. It composes the
// reducers of membership, shard ownership, settings, the journal, the scheduler
// and credits, and routes events and effects between them.
//
// Invariants:
//   - A shard's scheduler exists only between Acquired and Lost of one epoch.
//   - Scheduler records go to the journal in order; the scheduler learns of a
//     commit only after the journal has confirmed it.
//   - The result of an effect carries the epoch that requested the effect;
//     results of earlier epochs are ignored.
package core
