package core

import (
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// ShardView holds the state of an owned shard for metrics.
type ShardView struct {
	ID              structs.ShardID
	Epoch           structs.Epoch
	Phase           Phase
	OwnershipStatus ownership.Status
	RenewedAt       structs.Timestamp
	Horizon         structs.Timestamp
	BacklogRecords  int // payloads that are not durable yet
	BacklogBytes    int
	Credits         credits.Stats
	Scheduler       *scheduler.State // nil unless Phase is PhaseRunning
}

// ShardViews returns the owned shards, sorted by identifier.
func (s *State) ShardViews(now structs.Timestamp) []ShardView {
	var views []ShardView
	for _, id := range s.ownedShardIDs() {
		sh := s.owned[id]
		_, horizon := s.shardOwnership.Lease(id)
		view := ShardView{
			ID: id, Epoch: sh.epoch, Phase: sh.phase, OwnershipStatus: s.shardOwnership.Status(now, id),
			RenewedAt: s.shardOwnership.RenewedAt(id), Horizon: horizon,
		}
		if sh.phase == PhaseRunning {
			view.Scheduler = sh.scheduler
			view.BacklogRecords, view.BacklogBytes = sh.journal.Backlog()
			view.Credits = sh.ledger.Stats()
		}
		views = append(views, view)
	}
	return views
}

// JournalBacklog returns the number of payloads of all owned shards that are
// not durable yet.
func (s *State) JournalBacklog() int {
	total := 0
	for _, sh := range s.owned {
		if sh.phase == PhaseRunning {
			pending, _ := sh.journal.Backlog()
			total += pending
		}
	}
	return total
}
