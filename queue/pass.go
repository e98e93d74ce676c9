package queue

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// BeginPass starts a scheduling pass at now. Items that became due join their
// subqueues, and skipped subqueues can be served again. If the previous pass
// reached maxSkippedSubqueues in a class that is not urgent, its subqueues stay
// skipped, so that successive passes reach every subqueue.
func (q *Queue) BeginPass(now structs.Timestamp) {
	q.enqueueDue(now)
	q.releaseHeld(now)
	for _, c := range q.classes {
		c.updateAverage(now.Sub(q.passStart))
	}
	q.passStart = now
	for _, t := range q.skippedTeams {
		t.skipped = false
		t.class.updateTeam(t)
	}
	q.skippedTeams = q.skippedTeams[:0]
	kept := q.skippedSubqueues[:0]
	for _, s := range q.skippedSubqueues {
		c := s.team.class
		if c.skippedCount >= maxSkippedSubqueues && c.cfg.Urgency != structs.Urgent {
			kept = append(kept, s)
			continue
		}
		s.skipped = false
		q.updateSubqueue(s)
	}
	clear(q.skippedSubqueues[len(kept):])
	q.skippedSubqueues = kept
	for _, c := range q.classes {
		c.skippedCount = 0
		c.skipped = false
	}
}

func (q *Queue) enqueueDue(now structs.Timestamp) {
	for len(q.notDue.list) > 0 {
		e := q.notDue.list[0]
		if !e.removed && e.item.NotBefore.After(now) {
			return
		}
		heap.Pop(&q.notDue)
		if e.removed {
			q.removedNotDue--
			continue
		}
		q.addDue(e)
	}
}

func (q *Queue) releaseHeld(now structs.Timestamp) {
	kept := q.heldSubqueues[:0]
	for _, s := range q.heldSubqueues {
		if s.heldUntil.After(now) && s.pending > 0 {
			kept = append(kept, s)
			continue
		}
		s.isHeld = false
		q.updateSubqueue(s)
	}
	clear(q.heldSubqueues[len(kept):])
	q.heldSubqueues = kept
}

// Hold excludes the item's subqueue from all passes that begin before until.
func (q *Queue) Hold(it Item, until structs.Timestamp) {
	e := q.items[it.ID]
	if e == nil {
		return
	}
	e.subqueue.heldUntil = until
	if !e.subqueue.isHeld {
		e.subqueue.isHeld = true
		q.heldSubqueues = append(q.heldSubqueues, e.subqueue)
	}
	q.updateSubqueue(e.subqueue)
}

// Next returns the item to try next, without removing it. The caller must then
// call Take, Remove, Hold, Skip, SkipTeam or SkipClass. Next returns false if
// every subqueue is empty, skipped or held, or its class is skipped or has
// reached maxSkippedSubqueues in this pass.
func (q *Queue) Next(now structs.Timestamp) (Item, bool) {
	c := q.pickClass(now)
	if c == nil {
		return Item{}, false
	}
	t := c.heaps[byShare].list[0]
	if aged := c.heaps[byAge].list[0]; q.isOverdue(aged, now) && q.seq%2 == 0 {
		t = aged
	}
	return t.oldest().item, true
}

// isOverdue reports whether the oldest item of t has waited longer than the
// ageing period. Next then alternates between age and share in that class.
func (q *Queue) isOverdue(t *team, now structs.Timestamp) bool {
	return now.Sub(t.oldest().item.Enqueued) > q.cfg.Ageing
}

// pickClass returns the class to serve next, from the lowest tier. Among classes
// below their floors it is the most urgent one, among classes above their
// floors the one with the least occupied capacity per weight, and among
// overloaded classes above their floors the one with the smallest relative
// backlog.
func (q *Queue) pickClass(now structs.Timestamp) *class {
	var best *class
	bestTier, bestRank := 0, 0.0
	for _, c := range q.classes {
		if len(c.heaps[byShare].list) == 0 || c.skippedCount >= maxSkippedSubqueues || c.skipped {
			continue
		}
		tier := c.tier(q.capacity)
		rank := 0.0
		switch tier {
		case tierBelowFloor:
			return c
		case tierAboveFloor:
			rank = c.weightedUsage(now, q.cfg.Ageing)
		case tierAboveFloorOverloaded:
			rank = c.relativeBacklog()
		}
		if best == nil || tier < bestTier || tier == bestTier && rank < bestRank {
			best, bestTier, bestRank = c, tier, rank
		}
	}
	return best
}

// SkipClass excludes a class from the rest of the pass.
func (q *Queue) SkipClass(name structs.ClassName) {
	if c := q.byName[name]; c != nil {
		c.skipped = true
	}
}

// Take removes the item and charges its cost to its class and team.
func (q *Queue) Take(it Item) {
	if !q.Remove(it.ID) {
		return
	}
	q.Charge(it.Class, it.Team, it.Cost)
}

// Charge adds cost to the occupied capacity of a class and team.
func (q *Queue) Charge(name structs.ClassName, id structs.TeamID, cost int64) {
	c := q.byName[name]
	if c == nil {
		return
	}
	q.seq++
	t := c.team(id, q.cfg.teamWeight(id))
	t.usage += cost
	t.lastCharged = q.seq
	c.usage += cost
	c.updateTeam(t)
}

// Release subtracts the cost of an item that ended from its class and team.
func (q *Queue) Release(name structs.ClassName, id structs.TeamID, cost int64) {
	c := q.byName[name]
	if c == nil || c.teams[id] == nil {
		return
	}
	t := c.teams[id]
	t.usage -= cost
	c.usage -= cost
	c.updateTeam(t)
}

// Skip excludes the item's subqueue from the rest of the pass.
func (q *Queue) Skip(it Item) {
	e := q.items[it.ID]
	if e == nil || e.subqueue.skipped {
		return
	}
	e.subqueue.team.class.skippedCount++
	e.subqueue.skipped = true
	q.skippedSubqueues = append(q.skippedSubqueues, e.subqueue)
	q.updateSubqueue(e.subqueue)
}

// SkipTeam excludes all subqueues of the item's team in its class from the rest
// of the pass.
func (q *Queue) SkipTeam(it Item) {
	e := q.items[it.ID]
	if e == nil || e.subqueue.team.skipped {
		return
	}
	t := e.subqueue.team
	t.skipped = true
	q.skippedTeams = append(q.skippedTeams, t)
	t.class.updateTeam(t)
}

// HasFloorPriority reports whether the class is in a tier below its floor: its
// usage is below the floor, or above it in a short burst; see class.tier.
func (q *Queue) HasFloorPriority(name structs.ClassName) bool {
	c := q.byName[name]
	return c != nil && c.tier(q.capacity) <= tierBelowFloorOverloaded
}

// MayPreempt reports whether the class may preempt other classes: it is in a
// tier below its floor and its backlog is not larger than its floor, or it
// occupies less than half of its floor.
func (q *Queue) MayPreempt(name structs.ClassName) bool {
	c := q.byName[name]
	if c == nil {
		return false
	}
	halfFloor := float64(c.cfg.FloorPPM) / million * float64(q.capacity) / 2
	return c.tier(q.capacity) == tierBelowFloor || float64(c.usage) < halfFloor
}

// IsOverloaded reports whether the class is above its floor and its backlog is
// larger than its floor.
func (q *Queue) IsOverloaded(name structs.ClassName) bool {
	c := q.byName[name]
	return c != nil && c.tier(q.capacity) == tierAboveFloorOverloaded
}

// HasDue reports whether a pass that begins at now would admit items that became
// due or subqueues whose hold has expired.
func (q *Queue) HasDue(now structs.Timestamp) bool {
	if len(q.notDue.list) > 0 && !q.notDue.list[0].item.NotBefore.After(now) {
		return true
	}
	for _, s := range q.heldSubqueues {
		if !s.heldUntil.After(now) {
			return true
		}
	}
	return false
}

// Stat holds the statistics of one class, or of one team in a class.
type Stat struct {
	Class     structs.ClassName
	Team      structs.TeamID // empty for the class as a whole
	Depth     int
	OldestAge time.Duration
	SharePPM  int64 // occupied part of the capacity
	FloorPPM  int64 // floor of the class
}

// Stats returns the statistics of every class, each followed by those of its
// teams, sorted by name.
func (q *Queue) Stats(now structs.Timestamp) []Stat {
	oldest := q.oldestByTeam()
	var out []Stat
	for _, c := range q.classes {
		out = append(out, q.classStats(c, oldest, now)...)
	}
	return out
}
