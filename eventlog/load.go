package eventlog

import (
	"context"
	"fmt"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Entry is one appended payload.
type Entry struct {
	Epoch    structs.Epoch
	Sequence uint64
	Payload  []byte
}

// Loaded is the durable state of a shard.
type Loaded struct {
	Snapshot []byte  // nil if there is none
	Entries  []Entry // entries after the snapshot, in order
	NextRow  uint64  // value for Config.NextRow
	// SnapshotErrors holds the errors of snapshots that could not be used.
	SnapshotErrors []error
}

// scanPageSize is the number of rows that one scan reads. A row has at most
// 256 KiB, and usually a few KiB.
const scanPageSize = 64

// Load reads the newest usable snapshot and the journal after it. The caller
// must own the shard: its takeover is committed, so no earlier epoch can add
// rows. If it loses the shard during the call, the new owner may truncate rows
// that Load reads; an error then does not mean that the journal is corrupt.
func Load(ctx context.Context, store Store, shard structs.ShardID) (Loaded, error) {
	if err := checkShardID(shard); err != nil {
		return Loaded{}, err
	}
	p, _, err := readPointer(ctx, store.Table, shard)
	if err != nil {
		return Loaded{}, err
	}
	snapshot, skipped, err := loadNewestSnapshot(ctx, store, shard, p)
	if err != nil {
		return Loaded{}, err
	}
	out := Loaded{Snapshot: snapshot.State, SnapshotErrors: skipped}
	return out, replayRows(ctx, store, shard, snapshot, &out)
}

// loadNewestSnapshot returns the newest kept snapshot that can be read, and the
// errors of the newer ones. If no snapshot is kept, it returns an empty one,
// which covers no rows.
func loadNewestSnapshot(ctx context.Context, store Store, shard structs.ShardID, p snapshotPointer) (Snapshot, []error, error) {
	var skipped []error
	for _, ref := range p.Kept {
		snapshot, err := readSnapshot(ctx, store, shard, ref)
		if err == nil {
			return snapshot, skipped, nil
		}
		if kind := errs.KindOf(err); kind != errs.InvalidInput && kind != errs.NotFound {
			return Snapshot{}, nil, err // the store failed, not the snapshot
		}
		skipped = append(skipped, err)
	}
	if len(skipped) == 0 {
		return Snapshot{}, nil, nil
	}
	// With fewer than keptSnapshots, the journal has not been truncated yet.
	if len(p.Kept) < keptSnapshots {
		return Snapshot{}, skipped, nil
	}
	return Snapshot{}, nil, errs.Wrap(skipped[0], errs.Failed, "restore a snapshot object from a copy; see docs/recovery.md",
		"no kept snapshot of shard %q is usable", shard)
}

func readSnapshot(ctx context.Context, store Store, shard structs.ShardID, ref snapshotRef) (Snapshot, error) {
	data, err := store.Objects.Get(ctx, ref.Object)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot, err := DecodeSnapshot(data)
	if err != nil {
		return Snapshot{}, err
	}
	if snapshot.Shard != shard || snapshot.Row != ref.Row {
		return Snapshot{}, errs.New(errs.InvalidInput, "see docs/recovery.md",
			"object %q covers row %d of shard %q", ref.Object, snapshot.Row, snapshot.Shard)
	}
	return snapshot, nil
}

// replayRows reads the journal rows from the snapshot's row on and appends the
// entries after the snapshot to out.
func replayRows(ctx context.Context, store Store, shard structs.ShardID, snapshot Snapshot, out *Loaded) error {
	next := max(snapshot.Row, 1)
	after := RowKey(shard, next-1)
	out.NextRow = next
	var last Row
	for {
		rows, err := store.Table.Scan(ctx, rowPrefix(shard), after, scanPageSize)
		if err != nil {
			return err
		}
		for _, stored := range rows {
			row, err := DecodeRow(stored.Value)
			if err != nil {
				return errs.Wrap(err, errs.KindOf(err), errs.RemedyOf(err), "journal row %q", stored.Key)
			}
			if err := checkRow(shard, row, stored.Key, out.NextRow); err != nil {
				return err
			}
			if err := checkSequence(last, row); err != nil {
				return err
			}
			last = row
			out.Entries = appendEntries(out.Entries, row, snapshot)
			out.NextRow = row.Row + 1
			after = stored.Key
		}
		if len(rows) < scanPageSize {
			// The snapshot covers its row even if that row was truncated.
			out.NextRow = max(out.NextRow, snapshot.Row+1)
			return nil
		}
	}
}

// checkRow rejects a row whose content does not match its key or the expected
// row number.
func checkRow(shard structs.ShardID, row Row, key string, want uint64) error {
	if row.Shard == shard && row.Row == want && RowKey(shard, row.Row) == key {
		return nil
	}
	return corruptError(nil, "journal row %q contains row %d of shard %q instead of row %d of shard %q",
		key, row.Row, row.Shard, want, shard)
}

// checkSequence rejects a row of an epoch older than that of the row before it,
// and a gap in the append sequence. Either means that the condition on the epoch
// was not enforced.
func checkSequence(last, row Row) error {
	want := uint64(1)
	switch {
	case last.Row == 0:
		return nil // the first row after a snapshot may be in the middle of an epoch
	case row.Epoch < last.Epoch:
		return corruptError(nil, "journal row %d has epoch %d after epoch %d", row.Row, row.Epoch, last.Epoch)
	case row.Epoch == last.Epoch:
		want = last.FirstSequence + uint64(len(last.Payloads))
	}
	if row.FirstSequence == want {
		return nil
	}
	return corruptError(nil, "journal row %d starts at append %d of epoch %d, not at %d", row.Row, row.FirstSequence, row.Epoch, want)
}

// appendEntries appends the entries of row that the snapshot does not cover.
func appendEntries(entries []Entry, row Row, snapshot Snapshot) []Entry {
	for i, payload := range row.Payloads {
		sequence := row.FirstSequence + uint64(i)
		covered := row.Epoch < snapshot.Epoch || row.Epoch == snapshot.Epoch && sequence <= snapshot.Sequence
		if !covered {
			entries = append(entries, Entry{Epoch: row.Epoch, Sequence: sequence, Payload: payload})
		}
	}
	return entries
}

// String identifies the entry in messages.
func (e Entry) String() string { return fmt.Sprintf("append %d of epoch %d", e.Sequence, e.Epoch) }
