package core

import (
	"math"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

const partsPerMillion = 1_000_000

// policyOf returns the scheduling policy of a shard under the settings in force.
func (s *State) policyOf(sh *shard) scheduler.Policy {
	if s.tree == nil {
		return scheduler.Policy{}
	}
	cellCapacity, shardCapacity := s.capacity(sh.region)
	return SchedulerPolicy(s.tree, cellCapacity, shardCapacity)
}

// capacity returns the total capacity of the cell and of one region, according
// to the directory.
func (s *State) capacity(region structs.Region) (cellCapacity, regionCapacity structs.Resources) {
	for _, worker := range s.directory.Workers {
		if worker.State == structs.Gone {
			continue
		}
		cellCapacity = cellCapacity.Add(worker.Capacity)
		if worker.Location.Region == region {
			regionCapacity = regionCapacity.Add(worker.Capacity)
		}
	}
	return cellCapacity, regionCapacity
}

// SchedulerPolicy returns the scheduling policy of a shard with shardCapacity of
// the cell's capacity. Quotas are divided in proportion to capacity and rounded
// down, so that the quotas of a team in all shards never sum to more than the
// team's quota in the cell.
func SchedulerPolicy(tree *settings.Tree, cellCapacity, shardCapacity structs.Resources) scheduler.Policy {
	policy := scheduler.Policy{
		Ageing: tree.CellSettings().AgeingPeriod,
		Teams:  make(map[structs.TeamID]scheduler.TeamPolicy, len(tree.Branches)),
	}
	for _, class := range tree.Classes {
		policy.Classes = append(policy.Classes, scheduler.ClassPolicy{
			Name: class.Name, Urgency: class.Urgency, Weight: int64(class.Weight), FloorPPM: floorPPM(class),
		})
	}
	for _, path := range tree.Teams() {
		effective, err := tree.Resolve(path)
		if err != nil {
			continue // Teams lists existing branches only
		}
		policy.Teams[path] = scheduler.TeamPolicy{
			Guaranteed:  proportionalShare(effective.Guaranteed, cellCapacity, shardCapacity),
			BorrowLimit: proportionalShare(effective.BorrowLimit, cellCapacity, shardCapacity),
			Weight:      int64(effective.Weight),
		}
		if path == "/" {
			policy.Lease = effective.TaskLease
			policy.AffinityCost = int64(effective.AffinityCost * 100)
		}
	}
	return policy
}

func floorPPM(class settings.Class) int64 {
	if class.Floor == nil {
		return 0
	}
	return int64(math.Round(float64(*class.Floor) * partsPerMillion))
}

// proportionalShare returns amount * part / whole for each resource, rounded
// down.
func proportionalShare(amount, whole, part structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     proportionalAmount(amount.MilliCPU, whole.MilliCPU, part.MilliCPU),
		MemoryBytes:  proportionalAmount(amount.MemoryBytes, whole.MemoryBytes, part.MemoryBytes),
		Accelerators: proportionalAmount(amount.Accelerators, whole.Accelerators, part.Accelerators),
	}
}

func proportionalAmount(amount, whole, part int64) int64 {
	if whole <= 0 {
		return 0
	}
	return int64(float64(amount) * (float64(part) / float64(whole)))
}

// RouterPolicy returns the request routing policy that the settings define.
func RouterPolicy(tree *settings.Tree) router.Policy {
	policy := router.Policy{TeamWeights: map[structs.TeamID]int{}}
	root, err := tree.Resolve("/")
	if err != nil {
		return router.DefaultPolicy()
	}
	policy.CrossRegionCost = root.CrossRegionCost
	policy.MaxAttempts = root.RetryAttempts
	policy.RetryBackoff = root.RetryBackoff
	for _, class := range tree.Classes {
		policy.Classes = append(policy.Classes, requestClassPolicy(class, root))
	}
	slices.SortStableFunc(policy.Classes, func(a, b router.ClassPolicy) int {
		return urgencyRank(a.Urgency) - urgencyRank(b.Urgency)
	})
	for _, path := range tree.Teams() {
		if effective, err := tree.Resolve(path); err == nil {
			policy.TeamWeights[path] = effective.Weight
		}
	}
	return policy
}

func requestClassPolicy(class settings.Class, root settings.Effective) router.ClassPolicy {
	out := router.ClassPolicy{
		Name: class.Name, Urgency: class.Urgency, Weight: class.Weight,
		FloorPercent:   int(floorPPM(class) * 100 / partsPerMillion),
		RetryPercent:   int(math.Round(root.RetryBudget * 100)),
		TeamQueueLimit: root.Requests.QueueLimit,
	}
	if class.QueueLimit != nil {
		out.QueueLimit = *class.QueueLimit
	}
	if class.DefaultDeadline != nil {
		out.DefaultDeadline = time.Duration(*class.DefaultDeadline)
	}
	return out
}

func urgencyRank(u structs.Urgency) int {
	switch u {
	case structs.Urgent:
		return 0
	case structs.Normal:
		return 1
	}
	return 2
}
