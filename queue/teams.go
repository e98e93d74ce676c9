package queue

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// team is one team's pending work in one class.
type team struct {
	id     structs.TeamID
	class  *class
	weight int64
	usage  int64 // cost of its items that run
	served uint64
	depth  int
	aside  bool // for this pass
	lines  map[lineKey]*line
	ready  lineHeap
	pos    [2]int // index in the heaps of the class, or -1
}

// oldest returns the head of the team's oldest ready line.
func (t *team) oldest() *entry { return t.ready[0].entries.list[0] }

// Orders of the two heaps of teams in a class.
const (
	byShare = iota
	byAge
)

// teamHeap orders the teams of a class that have ready lines.
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
	if a.served != b.served {
		return a.served < b.served
	}
	return a.id < b.id
}

func (h teamHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].pos[h.order] = i
	h.list[j].pos[h.order] = j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.pos[h.order] = len(h.list)
	h.list = append(h.list, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.list) - 1
	t := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	t.pos[h.order] = -1
	return t
}

// class is the pending work of one class.
type class struct {
	cfg     ClassConfig
	usage   int64
	average float64 // usage over about burstWindow
	ready   int64   // cost of the items that are due
	depth   int
	skips   int  // lines set aside in this pass
	shut    bool // not served any more in this pass
	teams   map[structs.TeamID]*team
	heaps   [2]teamHeap
}

func newClass(cfg ClassConfig) *class {
	c := &class{cfg: cfg.normalised(), teams: map[structs.TeamID]*team{}}
	c.heaps[byAge].order = byAge
	return c
}

func (c *class) team(id structs.TeamID, weight int64) *team {
	t := c.teams[id]
	if t == nil {
		t = &team{id: id, class: c, weight: weight, lines: map[lineKey]*line{}, pos: [2]int{-1, -1}}
		c.teams[id] = t
	}
	return t
}

// update restores the position of t after its lines or usage changed.
func (c *class) update(t *team) {
	for order := range c.heaps {
		h := &c.heaps[order]
		ready := len(t.ready) > 0 && !t.aside
		switch {
		case !ready && t.pos[order] >= 0:
			heap.Remove(h, t.pos[order])
		case ready && t.pos[order] < 0:
			heap.Push(h, t)
		case ready:
			heap.Fix(h, t.pos[order])
		}
	}
}

// Tiers of classes; a lower tier is served first.
const (
	tierFloor  = iota // below the floor, now or on average
	tierFlood         // below the floor with a backlog larger than the floor
	tierShare         // above the floor
	tierExcess        // above the floor with a backlog larger than the floor
)

// tier returns the tier of the class. A short burst above the floor counts as
// below it while the average of the last minute is, so that a class keeps its
// waiting time when another one uses all of its own floor. A class in a flood
// is held to its floor while others have work, whatever its urgency.
func (c *class) tier(capacity int64) int {
	floor := float64(c.cfg.FloorPPM) / million * float64(capacity)
	usage := float64(c.usage)
	flooded := float64(c.ready) > floor
	switch {
	case usage < floor && flooded:
		return tierFlood
	case usage < floor:
		return tierFloor
	case flooded:
		return tierExcess
	case c.average < floor && usage < floor*burstFactor:
		return tierFloor
	}
	return tierShare
}

// age moves the average towards the present usage.
func (c *class) age(passed time.Duration) {
	part := min(float64(passed)/float64(burstWindow), 1)
	c.average += (float64(c.usage) - c.average) * part
}

// backlog returns the due work in relation to the floor.
func (c *class) backlog() float64 { return float64(c.ready) / float64(c.cfg.FloorPPM) }

// load returns the occupied share per weight. The weight grows with the age
// of the oldest item.
func (c *class) load(now structs.Timestamp, ageing time.Duration) float64 {
	age := now.Sub(c.heaps[byAge].list[0].oldest().item.Enqueued)
	factor := 1 + min(max(float64(age)/float64(ageing), 0), maxAgeFactor)
	return float64(c.usage) / (float64(c.cfg.Weight) * factor)
}
