package core

import (
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// startLedger creates the ledger that grants the slots of the shard's
// executors. Credits granted by earlier owners count as used until their
// holders have confirmed what they hold.
func (s *State) startLedger(now structs.Timestamp, sh *shard) []structs.Effect {
	expiry, horizon := s.shardOwnership.Lease(sh.id)
	config := credits.Config{
		Region: sh.region, Epoch: sh.epoch, PreviousHorizon: sh.previousHorizon, Expiry: expiry, Horizon: horizon,
	}
	for _, instance := range s.directory.Instances {
		if instance.State != structs.Gone {
			config.Unconfirmed = append(config.Unconfirmed, instance.ID)
		}
	}
	sh.ledger = credits.New(config)
	return s.listExecutors(now, sh)
}

// listExecutors passes the executors of the directory to the shard's ledger.
func (s *State) listExecutors(now structs.Timestamp, sh *shard) []structs.Effect {
	return sh.reduceCredits(now, &credits.ExecutorsListed{Executors: s.directory.Executors})
}

// reduceCredits passes an event to the shard's ledger and addresses the
// resulting grants to their holders.
func (sh *shard) reduceCredits(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if sh.ledger == nil {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range sh.ledger.Reduce(now, ev) {
		if e, ok := effect.(credits.SendGrant); ok {
			grant := e.Grant
			effects = append(effects, SendCreditMessage{
				To: grant.To, Message: credits.Message{Region: sh.region, Grant: &grant},
			})
		}
	}
	return effects
}

// creditsReceived passes a credit request to the ledger of its region, or
// forwards it to the owner of the region's shard. Grants go to this instance.
func (s *State) creditsReceived(now structs.Timestamp, e CreditMessageReceived) []structs.Effect {
	if e.Message.Request == nil {
		return []structs.Effect{SendCreditMessage{To: s.cfg.Self.ID, Message: e.Message}}
	}
	id, err := s.shardForRegion(e.Message.Region)
	if err != nil {
		return nil
	}
	if sh := s.owned[id]; sh != nil {
		return sh.reduceCredits(now, &credits.RequestReceived{Request: *e.Message.Request})
	}
	owner := s.Owner(id)
	if owner == "" || owner == s.cfg.Self.ID || e.Message.Request.From != s.cfg.Self.ID {
		return nil // no owner yet, or a misrouted message; the holder repeats the request
	}
	return []structs.Effect{SendCreditMessage{To: owner, Message: e.Message}}
}

// tickLedger passes the current expiry and horizon of the shard's lease to its
// ledger.
func (s *State) tickLedger(now structs.Timestamp, sh *shard) []structs.Effect {
	expiry, horizon := s.shardOwnership.Lease(sh.id)
	return sh.reduceCredits(now, &credits.OwnershipRenewed{Expiry: expiry, Horizon: horizon})
}

// instancesGone notifies the ledgers of instances that the platform has ended.
func (s *State) instancesGone(now structs.Timestamp, effects []structs.Effect) []structs.Effect {
	var out []structs.Effect
	for _, effect := range effects {
		changed, ok := effect.(membership.InstanceChanged)
		if !ok || changed.Status != membership.Gone {
			continue
		}
		for _, id := range s.ownedShardIDs() {
			out = append(out, s.owned[id].reduceCredits(now, &credits.InstanceGone{Instance: changed.ID})...)
		}
	}
	return out
}
