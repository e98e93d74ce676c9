package eventlog

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Store holds the platform's storage for journals: rows in a table and snapshots
// in an object store.
type Store struct {
	Table   provider.Table
	Objects provider.Objects
}

// SaveSnapshot stores a snapshot and makes it the newest one, on condition that
// guard holds. All appends up to snapshot.Sequence must already be durable. A
// failed call can be repeated with the same snapshot. errs.Conflict means that
// the epoch has ended.
func SaveSnapshot(ctx context.Context, store Store, guard provider.Condition, snapshot Snapshot) error {
	if err := checkShardID(snapshot.Shard); err != nil {
		return err
	}
	data, err := EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	name := snapshotName(snapshot)
	if err := putObject(ctx, store.Objects, name, data); err != nil {
		return err
	}
	dropped, err := updatePointer(ctx, store.Table, guard, snapshot, name)
	if err != nil {
		return err
	}
	for _, ref := range dropped {
		// A failure only leaves an unused object behind.
		_ = store.Objects.Delete(ctx, ref.Object)
	}
	return nil
}

// putObject writes an object. Its name contains the journal position that the
// snapshot covers, so writing it twice is harmless. After an unknown outcome a
// read determines whether the write took effect.
func putObject(ctx context.Context, objects provider.Objects, name string, data []byte) error {
	err := objects.Put(ctx, name, data)
	if err == nil || errs.Is(err, errs.NotRun) {
		return err
	}
	stored, readErr := objects.Get(ctx, name)
	if readErr == nil && bytes.Equal(stored, data) {
		return nil
	}
	return err
}

// updatePointer makes the snapshot the first one in the pointer row and returns
// the snapshots that are no longer kept.
func updatePointer(ctx context.Context, table provider.Table, guard provider.Condition, snapshot Snapshot, name string) ([]snapshotRef, error) {
	old, version, err := readPointer(ctx, table, snapshot.Shard)
	if err != nil {
		return nil, err
	}
	if len(old.Kept) > 0 && old.Kept[0].Object == name {
		return nil, nil // written by an earlier call whose reply was lost
	}
	next, dropped := addSnapshot(old, snapshotRef{Object: name, Row: snapshot.Row})
	value, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	key := SnapshotPointerKey(snapshot.Shard)
	_, err = table.Commit(ctx, provider.Txn{
		Conditions: []provider.Condition{guard, {Key: key, Version: version}},
		Writes:     []provider.Write{{Key: key, Value: value}},
	})
	if err == nil {
		return dropped, nil
	}
	if errs.Is(err, errs.OutcomeUnknown) && pointerNames(ctx, table, snapshot.Shard, name) {
		return dropped, nil
	}
	return nil, err
}

// addSnapshot returns the pointer with ref as the newest snapshot, and the
// snapshots that this drops.
func addSnapshot(old snapshotPointer, ref snapshotRef) (next snapshotPointer, dropped []snapshotRef) {
	next.Kept = append([]snapshotRef{ref}, old.Kept...)
	if len(next.Kept) <= keptSnapshots {
		return next, nil
	}
	dropped = next.Kept[keptSnapshots:]
	next.Kept = next.Kept[:keptSnapshots]
	return next, dropped
}

// pointerNames reports whether the pointer row names the object as the newest
// snapshot.
func pointerNames(ctx context.Context, table provider.Table, shard structs.ShardID, name string) bool {
	p, _, err := readPointer(ctx, table, shard)
	return err == nil && len(p.Kept) > 0 && p.Kept[0].Object == name
}

// readPointer returns the pointer row, or an empty one with version 0.
func readPointer(ctx context.Context, table provider.Table, shard structs.ShardID) (snapshotPointer, uint64, error) {
	row, err := table.Get(ctx, SnapshotPointerKey(shard))
	if errs.Is(err, errs.NotFound) {
		return snapshotPointer{}, 0, nil
	}
	if err != nil {
		return snapshotPointer{}, 0, err
	}
	p, err := decodePointer(row.Value)
	return p, row.Version, err
}

// Truncate deletes, in one transaction, up to limit journal rows that the older
// of the two kept snapshots covers, and returns the number of deleted rows. With
// fewer than two snapshots it deletes nothing.
func Truncate(ctx context.Context, table provider.Table, guard provider.Condition, shard structs.ShardID, limit int) (int, error) {
	if err := checkShardID(shard); err != nil {
		return 0, err
	}
	p, version, err := readPointer(ctx, table, shard)
	if err != nil || len(p.Kept) < keptSnapshots {
		return 0, err
	}
	rows, err := table.Scan(ctx, rowPrefix(shard), "", limit)
	if err != nil {
		return 0, err
	}
	// The row with the last covered append may contain later appends, so it is
	// not deleted.
	first := RowKey(shard, p.Kept[keptSnapshots-1].Row)
	var keys []string
	for _, row := range rows {
		if row.Key < first {
			keys = append(keys, row.Key)
		}
	}
	if len(keys) == 0 {
		return 0, nil
	}
	_, err = table.Commit(ctx, provider.Txn{
		Conditions: []provider.Condition{guard, {Key: SnapshotPointerKey(shard), Version: version}},
		Deletes:    keys,
	})
	if err != nil {
		return 0, err // the next call deletes the remaining rows
	}
	return len(keys), nil
}
