package eventlog

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Store is where the journal of a shard is kept.
type Store struct {
	Table   provider.Table
	Objects provider.Objects
}

// SaveSnapshot stores a snapshot and makes it the newest, on condition that
// guard holds. Every append up to snapshot.Sequence must be durable before. A
// call that failed can be repeated with the same snapshot. An errs.Conflict
// means that the epoch has ended.
func SaveSnapshot(ctx context.Context, store Store, guard provider.Condition, snapshot Snapshot) error {
	if err := validShard(snapshot.Shard); err != nil {
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
	dropped, err := point(ctx, store.Table, guard, snapshot, name)
	if err != nil {
		return err
	}
	for _, ref := range dropped {
		// A failure leaves an unused object behind, which costs space only.
		_ = store.Objects.Delete(ctx, ref.Object)
	}
	return nil
}

// putObject writes the object. The name contains the covered point, so writing
// it twice is harmless and an unknown outcome is settled by reading.
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

// point puts the snapshot first in the pointer row and returns the snapshots
// that are not kept any more.
func point(ctx context.Context, table provider.Table, guard provider.Condition, snapshot Snapshot, name string) ([]snapshotRef, error) {
	old, version, err := readPointer(ctx, table, snapshot.Shard)
	if err != nil {
		return nil, err
	}
	if len(old.Kept) > 0 && old.Kept[0].Object == name {
		return nil, nil // an earlier call whose reply was lost
	}
	next, dropped := push(old, snapshotRef{Object: name, Row: snapshot.Row})
	value, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	key := PointerKey(snapshot.Shard)
	_, err = table.Commit(ctx, provider.Txn{
		Conditions: []provider.Condition{guard, {Key: key, Version: version}},
		Writes:     []provider.Write{{Key: key, Value: value}},
	})
	if err == nil {
		return dropped, nil
	}
	if errs.Is(err, errs.OutcomeUnknown) && pointsTo(ctx, table, snapshot.Shard, name) {
		return dropped, nil
	}
	return nil, err
}

func push(old pointer, ref snapshotRef) (next pointer, dropped []snapshotRef) {
	next.Kept = append([]snapshotRef{ref}, old.Kept...)
	if len(next.Kept) <= keptSnapshots {
		return next, nil
	}
	dropped = next.Kept[keptSnapshots:]
	next.Kept = next.Kept[:keptSnapshots]
	return next, dropped
}

func pointsTo(ctx context.Context, table provider.Table, shard structs.ShardID, name string) bool {
	p, _, err := readPointer(ctx, table, shard)
	return err == nil && len(p.Kept) > 0 && p.Kept[0].Object == name
}

// readPointer returns the pointer row, or an empty one with version 0.
func readPointer(ctx context.Context, table provider.Table, shard structs.ShardID) (pointer, uint64, error) {
	row, err := table.Get(ctx, PointerKey(shard))
	if errs.Is(err, errs.NotFound) {
		return pointer{}, 0, nil
	}
	if err != nil {
		return pointer{}, 0, err
	}
	p, err := decodePointer(row.Value)
	return p, row.Version, err
}

// Truncate deletes at most limit journal rows that the older of the two kept
// snapshots covers, in one transaction, and returns how many it deleted. With
// fewer than two snapshots it deletes nothing.
func Truncate(ctx context.Context, table provider.Table, guard provider.Condition, shard structs.ShardID, limit int) (int, error) {
	if err := validShard(shard); err != nil {
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
	// The row that holds the covered sequence may hold later appends: it stays.
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
		Conditions: []provider.Condition{guard, {Key: PointerKey(shard), Version: version}},
		Deletes:    keys,
	})
	if err != nil {
		return 0, err // a repeat deletes what is left
	}
	return len(keys), nil
}
