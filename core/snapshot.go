package core

import (
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/structs"
)

// saveSnapshotIfDue takes a snapshot when enough rows have been written since
// the last one, and requests that it be stored once all its records are durable.
func (sh *shard) saveSnapshotIfDue(committed eventlog.Committed) []structs.Effect {
	if sh.pendingSnapshot == nil && !sh.savingSnapshot && committed.Row >= sh.lastSnapshotRow+sh.snapshotRows {
		sh.takeSnapshot()
	}
	if sh.pendingSnapshot == nil || sh.savingSnapshot || committed.Sequence < sh.pendingSnapshot.Sequence {
		return nil
	}
	sh.savingSnapshot = true
	sh.pendingSnapshot.Row = committed.Row
	return []structs.Effect{SaveSnapshot{
		EpochCondition: ownership.EpochCondition(sh.id, sh.epoch), Snapshot: *sh.pendingSnapshot,
	}}
}

// takeSnapshot encodes the scheduler's state, including records that are not
// durable yet.
func (sh *shard) takeSnapshot() {
	state, err := sh.scheduler.Snapshot()
	if err != nil {
		return // retried after the next committed row
	}
	sh.pendingSnapshot = &eventlog.Snapshot{
		Shard: sh.id, Epoch: sh.epoch, Sequence: sh.scheduler.Sequence(), State: state,
	}
}

// snapshotSaved handles the end of an attempt to store a snapshot. After a
// failure the next attempt stores a newer snapshot; until then the journal is
// not truncated. A conflict means that another epoch owns the shard.
func (sh *shard) snapshotSaved(e SnapshotSaved) []structs.Effect {
	sh.savingSnapshot = false
	if e.Err == nil {
		sh.lastSnapshotRow = sh.pendingSnapshot.Row
	}
	sh.pendingSnapshot = nil
	if errs.Is(e.Err, errs.Conflict) {
		sh.phase = PhaseFenced
	}
	return nil
}
