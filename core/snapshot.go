package core

import (
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/structs"
)

// publishSnapshot takes a snapshot when enough rows were written since the
// last one, and asks to store it once all records in it are durable.
func (x *shard) publishSnapshot(committed eventlog.Committed) []structs.Effect {
	if x.snapshot == nil && !x.saving && committed.Row >= x.lastSnapshotRow+x.snapshotRows {
		x.takeSnapshot()
	}
	if x.snapshot == nil || x.saving || committed.Sequence < x.snapshot.Sequence {
		return nil
	}
	x.saving = true
	x.snapshot.Row = committed.Row
	return []structs.Effect{SaveSnapshot{
		Guard: ownership.EpochCondition(x.id, x.epoch), Snapshot: *x.snapshot,
	}}
}

func (x *shard) takeSnapshot() {
	state, err := x.scheduler.Snapshot()
	if err != nil {
		return // tried again with the next row
	}
	x.snapshot = &eventlog.Snapshot{
		Shard: x.id, Epoch: x.epoch, Sequence: x.scheduler.Sequence(), State: state,
	}
}

// snapshotSaved ends an attempt to store a snapshot. A failed one is repeated
// with a newer snapshot; until then the journal only grows.
func (x *shard) snapshotSaved(e SnapshotSaved) []structs.Effect {
	x.saving = false
	if e.Err == nil {
		x.lastSnapshotRow = x.snapshot.Row
	}
	x.snapshot = nil
	if errs.Is(e.Err, errs.Conflict) {
		x.phase = PhaseFenced
	}
	return nil
}
