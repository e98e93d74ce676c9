package core

import (
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// startLedger begins to grant the slots of the shard's executors. Credits of
// earlier owners count until their holders confirmed what they hold.
func (s *State) startLedger(now structs.Timestamp, x *shard) []structs.Effect {
	expiry, horizon := s.owners.Lease(x.id)
	config := credits.Config{
		Region: x.region, Epoch: x.epoch, PreviousHorizon: x.previousHorizon, Expiry: expiry, Horizon: horizon,
	}
	for _, instance := range s.directory.Instances {
		if instance.State != structs.Gone {
			config.Unconfirmed = append(config.Unconfirmed, instance.ID)
		}
	}
	x.ledger = credits.New(config)
	return s.listExecutors(now, x)
}

func (s *State) listExecutors(now structs.Timestamp, x *shard) []structs.Effect {
	return x.grant(now, &credits.ExecutorsListed{Executors: s.directory.Executors})
}

// grant passes an event to the shard's ledger.
func (x *shard) grant(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if x.ledger == nil {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range x.ledger.Reduce(now, ev) {
		if e, ok := effect.(credits.SendGrant); ok {
			grant := e.Grant
			effects = append(effects, SendCredits{
				To: grant.To, Message: credits.Message{Region: x.region, Grant: &grant},
			})
		}
	}
	return effects
}

// creditsReceived hands a request to the ledger of its region, or sends it on
// to the region's owner.
func (s *State) creditsReceived(now structs.Timestamp, e CreditsReceived) []structs.Effect {
	if e.Message.Request == nil {
		return []structs.Effect{SendCredits{To: s.cfg.Self.ID, Message: e.Message}}
	}
	id, err := s.shardOf(e.Message.Region)
	if err != nil {
		return nil
	}
	if x := s.shards[id]; x != nil {
		return x.grant(now, &credits.RequestReceived{Request: *e.Message.Request})
	}
	owner := s.Owner(id)
	if owner == "" || owner == s.cfg.Self.ID || e.Message.Request.From != s.cfg.Self.ID {
		return nil // no owner yet, or a message that went astray; the holder asks again
	}
	return []structs.Effect{SendCredits{To: owner, Message: e.Message}}
}

// tickLedger passes the newest bounds of the shard's lease to its ledger.
func (s *State) tickLedger(now structs.Timestamp, x *shard) []structs.Effect {
	expiry, horizon := s.owners.Lease(x.id)
	return x.grant(now, &credits.OwnershipRenewed{Expiry: expiry, Horizon: horizon})
}

// instancesGone tells the ledgers which instances the platform has ended.
func (s *State) instancesGone(now structs.Timestamp, effects []structs.Effect) []structs.Effect {
	var out []structs.Effect
	for _, effect := range effects {
		changed, ok := effect.(membership.InstanceChanged)
		if !ok || changed.Status != membership.Gone {
			continue
		}
		for _, id := range s.ownedShards() {
			out = append(out, s.shards[id].grant(now, &credits.InstanceGone{Instance: changed.ID})...)
		}
	}
	return out
}
