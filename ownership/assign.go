package ownership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Rank orders the candidates of a shard: instances of its region first, each
// group by rendezvous hashing, so a change of the live set moves only shards
// that touch the changed instance.
func Rank(shard Shard, live []structs.InstanceInfo) []structs.InstanceID {
	type candidate struct {
		id    structs.InstanceID
		local bool
		score uint64
	}
	list := make([]candidate, 0, len(live))
	for _, info := range live {
		list = append(list, candidate{info.ID, info.Location.Region == shard.Region, score(shard.ID, info.ID)})
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

// Assign names the preferred owner of each shard: the first ranked candidate
// whose share is not used up. The share is the shards of one region divided by
// its live instances, rounded up. Shards of regions without a live instance
// come last, so they displace no shard from its own region.
func Assign(shards []Shard, live []structs.InstanceInfo) map[structs.ShardID]structs.InstanceID {
	out := make(map[structs.ShardID]structs.InstanceID, len(shards))
	if len(live) == 0 {
		return out
	}
	sorted := slices.Clone(shards)
	hosts := map[structs.Region]int{}
	for _, info := range live {
		hosts[info.Location.Region]++
	}
	slices.SortFunc(sorted, func(a, b Shard) int {
		if foreign := hosts[a.Region] == 0; foreign != (hosts[b.Region] == 0) {
			if foreign {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	share := shares(sorted, hosts, len(live))
	load := map[structs.InstanceID]int{}
	for _, shard := range sorted {
		id := pick(Rank(shard, live), load, share[shard.Region])
		load[id]++
		out[shard.ID] = id
	}
	return out
}

// pick returns the first candidate with room, or the least loaded one.
func pick(ranked []structs.InstanceID, load map[structs.InstanceID]int, share int) structs.InstanceID {
	for _, id := range ranked {
		if load[id] < share {
			return id
		}
	}
	return slices.MinFunc(ranked, func(a, b structs.InstanceID) int { return cmp.Compare(load[a], load[b]) })
}

// shares returns the number of shards that one instance takes of each region.
func shares(shards []Shard, hosts map[structs.Region]int, live int) map[structs.Region]int {
	count := map[structs.Region]int{}
	for _, shard := range shards {
		count[shard.Region]++
	}
	out := map[structs.Region]int{}
	for region, n := range count {
		among := hosts[region]
		if among == 0 {
			among = live
		}
		out[region] = (n + among - 1) / among
	}
	return out
}

func score(shard structs.ShardID, instance structs.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(shard))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	return mix(h.Sum64())
}

// mix is the finaliser of splitmix64. FNV alone leaves the scores of names
// that differ in the last byte correlated.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
