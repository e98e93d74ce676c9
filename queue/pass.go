package queue

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// BeginPass starts a scheduling pass at now: items that became due join their
// lines, and lines set aside return. If the last pass reached the bound of a
// class that is not urgent, its lines stay aside, so that successive passes
// reach every line.
func (q *Queue) BeginPass(now structs.Timestamp) {
	q.admitDue(now)
	q.releaseHeld(now)
	for _, c := range q.classes {
		c.age(now.Sub(q.began))
	}
	q.began = now
	for _, t := range q.blocked {
		t.aside = false
		t.class.update(t)
	}
	q.blocked = q.blocked[:0]
	kept := q.aside[:0]
	for _, l := range q.aside {
		c := l.team.class
		if c.skips >= maxSkips && c.cfg.Urgency != structs.Urgent {
			kept = append(kept, l)
			continue
		}
		l.aside = false
		q.refresh(l)
	}
	clear(q.aside[len(kept):])
	q.aside = kept
	for _, c := range q.classes {
		c.skips = 0
		c.shut = false
	}
}

func (q *Queue) admitDue(now structs.Timestamp) {
	for len(q.waiting.list) > 0 {
		e := q.waiting.list[0]
		if !e.dead && e.item.NotBefore.After(now) {
			return
		}
		heap.Pop(&q.waiting)
		if e.dead {
			q.deadWait--
			continue
		}
		q.makeDue(e)
	}
}

func (q *Queue) releaseHeld(now structs.Timestamp) {
	kept := q.held[:0]
	for _, l := range q.held {
		if l.held.After(now) && l.live > 0 {
			kept = append(kept, l)
			continue
		}
		l.holding = false
		q.refresh(l)
	}
	clear(q.held[len(kept):])
	q.held = kept
}

// Hold keeps the line of a job out of all passes that begin before until.
func (q *Queue) Hold(it Item, until structs.Timestamp) {
	e := q.items[it.ID]
	if e == nil {
		return
	}
	e.line.held = until
	if !e.line.holding {
		e.line.holding = true
		q.held = append(q.held, e.line)
	}
	q.refresh(e.line)
}

// Next returns the item to try next, without taking it. The caller answers
// with Take, Skip, Hold or Remove. It returns false when every line is empty
// or set aside, or when their classes reached the bound of the pass.
func (q *Queue) Next(now structs.Timestamp) (Item, bool) {
	c := q.pick(now)
	if c == nil {
		return Item{}, false
	}
	t := c.heaps[byShare].list[0]
	if aged := c.heaps[byAge].list[0]; q.isOverdue(aged, now) && q.seq%2 == 0 {
		t = aged
	}
	return t.oldest().item, true
}

// isOverdue reports whether the oldest item of t has waited for the ageing
// period; every second pick of its class then goes by age instead of share.
func (q *Queue) isOverdue(t *team, now structs.Timestamp) bool {
	return now.Sub(t.oldest().item.Enqueued) > q.cfg.Ageing
}

// pick returns the class to serve: of the lowest tier, and in it the most
// urgent one below its floor, the one with the least occupied capacity per
// weight, or among classes in excess the one with the smallest backlog.
func (q *Queue) pick(now structs.Timestamp) *class {
	var best *class
	bestTier, bestLoad := 0, 0.0
	for _, c := range q.classes {
		if len(c.heaps[byShare].list) == 0 || c.skips >= maxSkips || c.shut {
			continue
		}
		tier := c.tier(q.capacity)
		load := 0.0
		switch tier {
		case tierFloor:
			return c
		case tierShare:
			load = c.load(now, q.cfg.Ageing)
		case tierExcess:
			load = c.backlog()
		}
		if best == nil || tier < bestTier || tier == bestTier && load < bestLoad {
			best, bestTier, bestLoad = c, tier, load
		}
	}
	return best
}

// Shut ends the pass for a class.
func (q *Queue) Shut(name structs.ClassName) {
	if c := q.byName[name]; c != nil {
		c.shut = true
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
	t.served = q.seq
	c.usage += cost
	c.update(t)
}

// Release returns the cost of an item that ended.
func (q *Queue) Release(name structs.ClassName, id structs.TeamID, cost int64) {
	c := q.byName[name]
	if c == nil || c.teams[id] == nil {
		return
	}
	t := c.teams[id]
	t.usage -= cost
	c.usage -= cost
	c.update(t)
}

// Skip sets the line of the item aside for this pass.
func (q *Queue) Skip(it Item) {
	e := q.items[it.ID]
	if e == nil || e.line.aside {
		return
	}
	e.line.team.class.skips++
	e.line.aside = true
	q.aside = append(q.aside, e.line)
	q.refresh(e.line)
}

// SkipTeam sets all lines of the item's team and class aside for this pass.
func (q *Queue) SkipTeam(it Item) {
	e := q.items[it.ID]
	if e == nil || e.line.team.aside {
		return
	}
	t := e.line.team
	t.aside = true
	q.blocked = append(q.blocked, t)
	t.class.update(t)
}

// GoesFirst reports whether the class is below its floor, now or on average.
func (q *Queue) GoesFirst(name structs.ClassName) bool {
	c := q.byName[name]
	return c != nil && c.tier(q.capacity) <= tierFlood
}

// IsShort reports whether the class may take room from others: it goes first
// with a backlog smaller than its floor, or occupies less than half its floor.
func (q *Queue) IsShort(name structs.ClassName) bool {
	c := q.byName[name]
	if c == nil {
		return false
	}
	half := float64(c.cfg.FloorPPM) / million * float64(q.capacity) / 2
	return c.tier(q.capacity) == tierFloor || float64(c.usage) < half
}

// IsFlooded reports whether the class is above its floor with a backlog that
// grows beyond it.
func (q *Queue) IsFlooded(name structs.ClassName) bool {
	c := q.byName[name]
	return c != nil && c.tier(q.capacity) == tierExcess
}

// HasDue reports whether the next pass would admit items or lines whose time
// has come.
func (q *Queue) HasDue(now structs.Timestamp) bool {
	if len(q.waiting.list) > 0 && !q.waiting.list[0].item.NotBefore.After(now) {
		return true
	}
	for _, l := range q.held {
		if !l.held.After(now) {
			return true
		}
	}
	return false
}

// Stat is the state of one class, or of one team in a class.
type Stat struct {
	Class     structs.ClassName
	Team      structs.TeamID // empty for the class as a whole
	Depth     int
	OldestAge time.Duration
	SharePPM  int64 // occupied capacity
	FloorPPM  int64 // of the class
}

// Stats returns the state of every class, each followed by its teams in the
// order of their names.
func (q *Queue) Stats(now structs.Timestamp) []Stat {
	oldest := q.oldestByTeam()
	var out []Stat
	for _, c := range q.classes {
		out = append(out, q.classStats(c, oldest, now)...)
	}
	return out
}
