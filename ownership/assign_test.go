package ownership

import (
	"fmt"
	"testing"

	"github.com/mangodrum/mangodrum/structs"
)

func newInstances(instances, regions int) []structs.InstanceInfo {
	var out []structs.InstanceInfo
	for i := range instances {
		out = append(out, structs.InstanceInfo{
			ID:       structs.InstanceID(fmt.Sprintf("instance-%02d", i)),
			Location: structs.Location{Region: structs.Region(fmt.Sprintf("r%d", i%regions))},
		})
	}
	return out
}

func newShards(count, regions int) []Shard {
	var out []Shard
	for i := range count {
		out = append(out, Shard{ID: structs.ShardID(fmt.Sprintf("s%02d", i)), Region: structs.Region(fmt.Sprintf("r%d", i%regions))})
	}
	return out
}

// Guards against a change of the live set that moves shards between instances
// that remain. When an instance is lost, at most one shard besides its own may
// move.
func TestFewShardsMove(t *testing.T) {
	for _, c := range []struct{ instances, shards, regions int }{{7, 3, 3}, {8, 6, 6}, {8, 18, 6}, {8, 18, 3}} {
		live, shards := newInstances(c.instances, c.regions), newShards(c.shards, c.regions)
		before := Assign(shards, live)
		extra := 0
		for lost := range live {
			rest := append(append([]structs.InstanceInfo{}, live[:lost]...), live[lost+1:]...)
			after := Assign(shards, rest)
			moved := 0
			for id, owner := range before {
				if owner != live[lost].ID && after[id] != owner {
					moved++
				}
			}
			extra = max(extra, moved)
		}
		t.Logf("%d instances, %d shards, %d regions: at most %d shards move between survivors", c.instances, c.shards, c.regions, extra)
		if extra > 1 {
			t.Errorf("%+v: %d shards move between survivors, want at most 1", c, extra)
		}
	}
}

// Guards against one instance that owns most shards, and against an owner
// outside the region of its shard.
func TestAssignBalancesWithinRegion(t *testing.T) {
	live, shards := newInstances(8, 3), newShards(18, 3)
	load := map[structs.InstanceID]int{}
	regions := map[structs.InstanceID]structs.Region{}
	for _, info := range live {
		regions[info.ID] = info.Location.Region
	}
	owners := Assign(shards, live)
	for _, shard := range shards {
		load[owners[shard.ID]]++
		if regions[owners[shard.ID]] != shard.Region {
			t.Errorf("shard %s of %s is owned in %s", shard.ID, shard.Region, regions[owners[shard.ID]])
		}
	}
	for id, n := range load {
		if n > 3 {
			t.Errorf("%s owns %d shards, want at most 3", id, n)
		}
	}
}
