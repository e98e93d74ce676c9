package core

import (
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// ShardView is an owned shard as metrics show it.
type ShardView struct {
	ID             structs.ShardID
	Epoch          structs.Epoch
	Phase          Phase
	Standing       ownership.Standing
	RenewedAt      structs.Timestamp
	Horizon        structs.Timestamp
	BacklogRecords int // payloads that are not durable
	BacklogBytes   int
	Credits        credits.Stats
	Scheduler      *scheduler.State // nil unless Phase is PhaseRunning
}

// ShardViews returns the owned shards in order.
func (s *State) ShardViews(now structs.Timestamp) []ShardView {
	var views []ShardView
	for _, id := range s.ownedShards() {
		x := s.shards[id]
		_, horizon := s.owners.Lease(id)
		view := ShardView{
			ID: id, Epoch: x.epoch, Phase: x.phase, Standing: s.owners.Standing(now, id),
			RenewedAt: s.owners.RenewedAt(id), Horizon: horizon,
		}
		if x.phase == PhaseRunning {
			view.Scheduler = x.scheduler
			view.BacklogRecords, view.BacklogBytes = x.journal.Backlog()
			view.Credits = x.ledger.Stats()
		}
		views = append(views, view)
	}
	return views
}

// JournalBacklog returns how many payloads of owned shards are not durable.
func (s *State) JournalBacklog() int {
	total := 0
	for _, x := range s.shards {
		if x.phase == PhaseRunning {
			pending, _ := x.journal.Backlog()
			total += pending
		}
	}
	return total
}
