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

// policyOf returns the shard's policy under the settings in force.
func (s *State) policyOf(x *shard) scheduler.Policy {
	if s.tree == nil {
		return scheduler.Policy{}
	}
	cell, part := s.capacity(x.region)
	return SchedulerPolicy(s.tree, cell, part)
}

// capacity returns the capacity of the cell and of one region by the
// directory's list.
func (s *State) capacity(region structs.Region) (cell, part structs.Resources) {
	for _, worker := range s.directory.Workers {
		if worker.State == structs.Gone {
			continue
		}
		cell = cell.Add(worker.Capacity)
		if worker.Location.Region == region {
			part = part.Add(worker.Capacity)
		}
	}
	return cell, part
}

// SchedulerPolicy returns the policy of a shard that holds part of the cell's
// capacity. Quotas are divided in proportion to capacity, so that the parts
// of all shards never sum to more than the team's quota.
func SchedulerPolicy(tree *settings.Tree, cell, part structs.Resources) scheduler.Policy {
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
			Guaranteed:  portion(effective.Guaranteed, cell, part),
			BorrowLimit: portion(effective.Borrow, cell, part),
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

// portion returns amount times part over cell, rounded down.
func portion(amount, cell, part structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     portionOf(amount.MilliCPU, cell.MilliCPU, part.MilliCPU),
		MemoryBytes:  portionOf(amount.MemoryBytes, cell.MemoryBytes, part.MemoryBytes),
		Accelerators: portionOf(amount.Accelerators, cell.Accelerators, part.Accelerators),
	}
}

func portionOf(amount, cell, part int64) int64 {
	if cell <= 0 {
		return 0
	}
	return int64(float64(amount) * (float64(part) / float64(cell)))
}

// RouterPolicy returns the policy for requests under the settings.
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
		policy.Classes = append(policy.Classes, requestClass(class, root))
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

func requestClass(class settings.Class, root settings.Effective) router.ClassPolicy {
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
