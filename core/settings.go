package core

import (
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// reduceSettings passes an event to the settings follower. When a version comes
// into force, the policies of all owned shards change in the same step.
func (s *State) reduceSettings(now structs.Timestamp, ev structs.Event) []structs.Effect {
	effects := s.follower.Reduce(now, ev)
	for _, effect := range effects {
		if e, ok := effect.(settings.InForce); ok {
			s.tree = e.Tree
			effects = append(effects, s.policyChanged(now)...)
		}
	}
	return effects
}

func (s *State) policyChanged(now structs.Timestamp) []structs.Effect {
	var effects []structs.Effect
	for _, id := range s.ownedShardIDs() {
		sh := s.owned[id]
		effects = append(effects, s.reduceScheduler(now, sh, scheduler.PolicyChanged{Policy: s.policyOf(sh)})...)
	}
	return effects
}

// Settings returns the settings follower.
func (s *State) Settings() *settings.Follower { return s.follower }

// reachablePeers returns the peers that have sent heartbeats recently.
func (s *State) reachablePeers() []structs.InstanceID {
	var ids []structs.InstanceID
	for _, p := range s.members.Peers() {
		switch s.members.Status(p.ID) {
		case membership.Live, membership.Leaving, membership.Drained:
			ids = append(ids, p.ID)
		}
	}
	return ids
}
