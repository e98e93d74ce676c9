package ownership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// RankInstances returns the instances in order of preference as owner of the
// shard: instances of the shard's region first, and each group in the order of
// rendezvous hashing. A change of the live set does not change the relative
// order of the other instances, so the first choice for a shard only changes to
// or from the changed one.
func RankInstances(shard Shard, live []structs.InstanceInfo) []structs.InstanceID {
	type candidate struct {
		id    structs.InstanceID
		local bool
		score uint64
	}
	list := make([]candidate, 0, len(live))
	for _, info := range live {
		list = append(list, candidate{info.ID, info.Location.Region == shard.Region, hashScore(shard.ID, info.ID)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]structs.InstanceID, len(list))
	for i, c := range list {
		ids[i] = c.id
	}
	return ids
}

// Assign returns the preferred owner of each shard: the first instance in the
// order of RankInstances that owns fewer shards than its share. The share is the
// number of shards of a region divided by the number of its live instances,
// rounded up. Shards of regions without a live instance are assigned last, so
// that they displace no shard from its own region.
func Assign(shards []Shard, live []structs.InstanceInfo) map[structs.ShardID]structs.InstanceID {
	out := make(map[structs.ShardID]structs.InstanceID, len(shards))
	if len(live) == 0 {
		return out
	}
	sorted := slices.Clone(shards)
	instances := map[structs.Region]int{}
	for _, info := range live {
		instances[info.Location.Region]++
	}
	slices.SortFunc(sorted, func(a, b Shard) int {
		if noInstance := instances[a.Region] == 0; noInstance != (instances[b.Region] == 0) {
			if noInstance {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	share := shardsPerInstance(sorted, instances, len(live))
	owned := map[structs.InstanceID]int{}
	for _, shard := range sorted {
		id := pickOwner(RankInstances(shard, live), owned, share[shard.Region])
		owned[id]++
		out[shard.ID] = id
	}
	return out
}

// pickOwner returns the first instance that owns fewer shards than share, or
// else the one that owns the fewest.
func pickOwner(ranked []structs.InstanceID, owned map[structs.InstanceID]int, share int) structs.InstanceID {
	for _, id := range ranked {
		if owned[id] < share {
			return id
		}
	}
	return slices.MinFunc(ranked, func(a, b structs.InstanceID) int { return cmp.Compare(owned[a], owned[b]) })
}

// shardsPerInstance returns, for each region, the maximum number of its shards
// per instance. A region without a live instance is shared by all instances.
func shardsPerInstance(shards []Shard, instances map[structs.Region]int, live int) map[structs.Region]int {
	count := map[structs.Region]int{}
	for _, shard := range shards {
		count[shard.Region]++
	}
	out := map[structs.Region]int{}
	for region, n := range count {
		candidates := instances[region]
		if candidates == 0 {
			candidates = live
		}
		out[region] = (n + candidates - 1) / candidates
	}
	return out
}

func hashScore(shard structs.ShardID, instance structs.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(shard))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	return mixHash(h.Sum64())
}

// mixHash is the finaliser of splitmix64. With FNV alone, the scores of names
// that differ only in the last byte are correlated.
func mixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
