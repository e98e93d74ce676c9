package queue

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// team holds the pending work of one team in one class.
type team struct {
	id          structs.TeamID
	class       *class
	weight      int64
	usage       int64 // cost of its running items
	lastCharged uint64
	depth       int
	skipped     bool // for the current pass
	subqueues   map[subqueueKey]*subqueue
	ready       subqueueHeap
	index       [2]int // position in each heap of the class, or -1
}

// oldest returns the head of the team's oldest ready subqueue.
func (t *team) oldest() *entry { return t.ready[0].entries.list[0] }

// Orders of the two team heaps of a class.
const (
	byShare = iota
	byAge
)

// teamHeap orders the teams of a class that have ready subqueues: by occupied
// capacity per weight, or by the age of their oldest item.
type teamHeap struct {
	list  []*team
	order int
}

func (h teamHeap) Len() int { return len(h.list) }

func (h teamHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if h.order == byAge {
		x, y := a.oldest(), b.oldest()
		if x.item.Enqueued != y.item.Enqueued {
			return x.item.Enqueued < y.item.Enqueued
		}
		return x.seq < y.seq
	}
	x, y := float64(a.usage)*float64(b.weight), float64(b.usage)*float64(a.weight)
	if x != y {
		return x < y
	}
	if a.lastCharged != b.lastCharged {
		return a.lastCharged < b.lastCharged
	}
	return a.id < b.id
}

func (h teamHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index[h.order] = i
	h.list[j].index[h.order] = j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index[h.order] = len(h.list)
	h.list = append(h.list, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.list) - 1
	t := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	t.index[h.order] = -1
	return t
}

// class holds the pending work of one class.
type class struct {
	cfg          ClassConfig
	usage        int64
	averageUsage float64 // moving average of usage over about burstWindow
	dueCost      int64   // total cost of the items that are due
	depth        int
	skippedCount int  // subqueues skipped in this pass
	skipped      bool // excluded from the rest of this pass
	teams        map[structs.TeamID]*team
	heaps        [2]teamHeap
}

func newClass(cfg ClassConfig) *class {
	c := &class{cfg: cfg.withDefaults(), teams: map[structs.TeamID]*team{}}
	c.heaps[byAge].order = byAge
	return c
}

func (c *class) team(id structs.TeamID, weight int64) *team {
	t := c.teams[id]
	if t == nil {
		t = &team{id: id, class: c, weight: weight, subqueues: map[subqueueKey]*subqueue{}, index: [2]int{-1, -1}}
		c.teams[id] = t
	}
	return t
}

// updateTeam restores the position of t in both heaps after its subqueues or
// its usage changed.
func (c *class) updateTeam(t *team) {
	for order := range c.heaps {
		h := &c.heaps[order]
		ready := len(t.ready) > 0 && !t.skipped
		switch {
		case !ready && t.index[order] >= 0:
			heap.Remove(h, t.index[order])
		case ready && t.index[order] < 0:
			heap.Push(h, t)
		case ready:
			heap.Fix(h, t.index[order])
		}
	}
}

// Tiers of classes; a lower tier is served first.
const (
	tierBelowFloor           = iota // below the floor, or in a short burst above it
	tierBelowFloorOverloaded        // below the floor with a backlog larger than the floor
	tierAboveFloor                  // above the floor
	tierAboveFloorOverloaded        // above the floor with a backlog larger than the floor
)

// tier returns the tier of the class. Usage above the floor in a short burst
// counts as below it while the average of the last minute is below, so that
// waiting times of the class do not rise when another class uses all of its own
// floor. An overloaded class gets no more than its floor while other classes
// have work, whatever its urgency.
func (c *class) tier(capacity int64) int {
	floor := float64(c.cfg.FloorPPM) / million * float64(capacity)
	usage := float64(c.usage)
	overloaded := float64(c.dueCost) > floor
	switch {
	case usage < floor && overloaded:
		return tierBelowFloorOverloaded
	case usage < floor:
		return tierBelowFloor
	case overloaded:
		return tierAboveFloorOverloaded
	case c.averageUsage < floor && usage < floor*maxBurstFactor:
		return tierBelowFloor
	}
	return tierAboveFloor
}

// updateAverage moves the average towards the current usage.
func (c *class) updateAverage(elapsed time.Duration) {
	fraction := min(float64(elapsed)/float64(burstWindow), 1)
	c.averageUsage += (float64(c.usage) - c.averageUsage) * fraction
}

// relativeBacklog returns the cost of the due items divided by the floor.
func (c *class) relativeBacklog() float64 { return float64(c.dueCost) / float64(c.cfg.FloorPPM) }

// weightedUsage returns the occupied capacity per weight. The weight grows with
// the age of the oldest item.
func (c *class) weightedUsage(now structs.Timestamp, ageing time.Duration) float64 {
	age := now.Sub(c.heaps[byAge].list[0].oldest().item.Enqueued)
	factor := 1 + min(max(float64(age)/float64(ageing), 0), maxAgeFactor)
	return float64(c.usage) / (float64(c.cfg.Weight) * factor)
}
