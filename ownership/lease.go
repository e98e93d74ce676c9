package ownership

import "github.com/mangodrum/mangodrum/structs"

// Lease returns the expiry of the last confirmed write of an owned shard's row
// and the announced lease horizon, or zeros if the shard is not owned.
func (s *State) Lease(shard structs.ShardID) (expiry, horizon structs.Timestamp) {
	x := s.shards[shard]
	if x == nil || !x.owned {
		return 0, 0
	}
	return x.expiry, x.horizon
}

// RenewedAt returns when the row of an owned shard was last renewed, or 0 if
// the shard is not owned.
func (s *State) RenewedAt(shard structs.ShardID) structs.Timestamp {
	x := s.shards[shard]
	if x == nil || !x.owned {
		return 0
	}
	return x.expiry.Add(-s.cfg.Lease)
}
