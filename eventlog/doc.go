// Package eventlog implements the journal: it stores the records of a shard
// durably.
//
// State is a reducer that implements group commit: it collects payloads and
// writes one row "journal/<shard>/<row number>" per flush, on condition that the
// row is absent and that the shard's epoch is unchanged. Execute executes its
// effects on a table. Load recovers a shard from its newest snapshot and the
// journal; SaveSnapshot and Truncate bound the length of the journal.
//
// Invariants:
//   - One row is in flight at a time, so rows become durable in order.
//   - After an unknown outcome the row is read back. Until a read shows what
//     happened, only the same bytes are written again under the same key.
//   - An owner that has lost its epoch commits nothing and receives Fenced.
//   - Rows are deleted only if the older of the two kept snapshots covers them.
package eventlog
