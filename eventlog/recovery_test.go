package eventlog

import (
	"context"
	"fmt"
	"testing"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider/standin"
)

func (r *testJournal) saveSnapshot(t *testing.T, state string) {
	t.Helper()
	err := SaveSnapshot(context.Background(), Store{r.store, r.store.Objects()}, guard, Snapshot{
		Shard: shard, Epoch: 1, Sequence: r.committed.Sequence, Row: r.committed.Row, State: []byte(state),
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against replaying records near a snapshot twice or not at all, and
// against truncating rows that the older snapshot needs.
func TestSnapshotFallbackAndTruncation(t *testing.T) {
	r := newTestJournal(t, Config{})
	for i := range 9 {
		r.appendPayload(fmt.Sprint(i))
		if i == 3 {
			r.appendPayload("x") // in the same row as 3
		}
		r.flush(1)
		if i%3 == 2 {
			r.saveSnapshot(t, fmt.Sprintf("to %d", i))
		}
	}
	r.appendPayload("9")
	r.flush(1)
	for {
		n, err := Truncate(context.Background(), r.store, guard, shard, 2)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
		if n > 2 {
			t.Fatalf("truncated %d rows in one call, want at most 2", n)
		}
	}
	newest := r.load(t)
	if string(newest.Snapshot) != "to 8" || payloadText(newest.Entries) != "9" || newest.NextRow != 11 {
		t.Fatalf("loaded %q + %q, next row %d", newest.Snapshot, payloadText(newest.Entries), newest.NextRow)
	}
	names, _ := r.store.Objects().List(context.Background(), "")
	if len(names) != keptSnapshots {
		t.Fatalf("objects = %v, want %d", names, keptSnapshots)
	}
	corruptObject(t, r, names[1])
	previous := r.load(t)
	if string(previous.Snapshot) != "to 5" || payloadText(previous.Entries) != "6789" || len(previous.SnapshotErrors) != 1 {
		t.Fatalf("fell back to %q + %q, skipped %v", previous.Snapshot, payloadText(previous.Entries), previous.SnapshotErrors)
	}
	corruptObject(t, r, names[0])
	if _, err := Load(context.Background(), Store{r.store, r.store.Objects()}, shard); err == nil {
		t.Fatal("loaded a shard without a usable snapshot and a truncated journal")
	}
}

func corruptObject(t *testing.T, r *testJournal, name string) {
	t.Helper()
	data, err := r.store.Objects().Get(context.Background(), name)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-1] ^= 1
	if err := r.store.Objects().Put(context.Background(), name, data); err != nil {
		t.Fatal(err)
	}
}

// Guards against skipping records when a snapshot ends in the middle of a row:
// the appends of the row after the covered sequence must be replayed.
func TestSnapshotInsideARow(t *testing.T) {
	r := newTestJournal(t, Config{})
	r.appendPayload("a")
	r.appendPayload("b")
	r.flush(1)
	r.committed.Sequence = 1
	r.saveSnapshot(t, "a")
	if got := payloadText(r.load(t).Entries); got != "b" {
		t.Fatalf("replayed %q, want b", got)
	}
}

// Guards against an old owner that replaces the newest snapshot after it has
// lost the shard, and against treating a lost reply as a failure.
func TestSnapshotIsConditionalOnEpoch(t *testing.T) {
	r := newTestJournal(t, Config{})
	r.appendPayload("a")
	r.flush(1)
	r.faults = []standin.Fault{{LoseReply: true}}
	r.saveSnapshot(t, "one")
	advanceEpoch(t, r.store, 1)
	err := SaveSnapshot(context.Background(), Store{r.store, r.store.Objects()}, guard,
		Snapshot{Shard: shard, Epoch: 1, Sequence: 1, Row: 2, State: []byte("late")})
	if !errs.Is(err, errs.Conflict) {
		t.Fatalf("late snapshot: %v, want a conflict", err)
	}
	if got := string(r.load(t).Snapshot); got != "one" {
		t.Fatalf("snapshot = %q, want one", got)
	}
}

// Guards against skipping a missing or corrupt row: it must stop recovery.
func TestMissingOrCorruptRowStopsLoad(t *testing.T) {
	for _, gap := range []bool{true, false} {
		r := newTestJournal(t, Config{})
		for range 3 {
			r.appendPayload("a")
			r.flush(1)
		}
		txn := commitOf(RowKey(shard, 2), []byte("?"))
		if gap {
			txn.Writes, txn.Deletes = nil, []string{RowKey(shard, 2)}
		}
		if _, err := r.store.Commit(context.Background(), txn); err != nil {
			t.Fatal(err)
		}
		_, err := Load(context.Background(), Store{r.store, r.store.Objects()}, shard)
		if !errs.Is(err, errs.InvalidInput) {
			t.Errorf("gap = %v: Load = %v, want an error", gap, err)
		}
	}
}
