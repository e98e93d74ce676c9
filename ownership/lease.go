package ownership

import "github.com/mangodrum/mangodrum/structs"

// Lease returns the lease expiry and the lease horizon in the last confirmed row
// of an owned shard, or zeros if the shard is not owned.
func (s *State) Lease(shard structs.ShardID) (expiry, horizon structs.Timestamp) {
	sh := s.shards[shard]
	if sh == nil || !sh.owned {
		return 0, 0
	}
	return sh.expiry, sh.horizon
}

// RenewedAt returns when the row of an owned shard was last renewed, or 0 if
// the shard is not owned.
func (s *State) RenewedAt(shard structs.ShardID) structs.Timestamp {
	sh := s.shards[shard]
	if sh == nil || !sh.owned {
		return 0
	}
	return sh.expiry.Add(-s.cfg.Lease)
}
