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
