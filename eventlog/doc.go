// Package eventlog stores the records of a shard durably.
//
// State is the group commit as a reducer: it collects payloads and writes one
// row "journal/<shard>/<sequence>" per flush, on condition that the row is
// absent and that the shard's epoch is unchanged. Execute carries out its
// effects on a table. Load and SaveSnapshot recover and shorten the journal.
//
// Invariants:
//   - One row is in flight at a time, so rows become durable in order.
//   - After an unknown outcome the same bytes are written again under the same
//     key until a read tells what happened; nothing is guessed.
//   - An owner that lost its epoch commits nothing and is told so by Fenced.
//   - Rows are deleted only if the older of the two kept snapshots covers them.
package eventlog
