package dispatch

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// advisorSlot is an instance as a caller of the advisor, which serves the
// calls of each instance one after the other.
type advisorSlot struct {
	id   structs.InstanceID
	busy time.Duration // expected time of the calls on their way
}

const (
	// shortAdvice is the longest call that counts as short. Short calls belong
	// to urgent work and small tasks.
	shortAdvice = 150 * time.Millisecond
	// shortBacklog is how much work may wait at one instance for short calls.
	shortBacklog = 120 * time.Millisecond
	// shortOnlyShare of the instances takes no long calls, so that urgent work
	// never waits behind one.
	shortOnlyShare = 4 // one in four
)

// setAdvisors replaces the instances that can call the advisor.
func (c *Cell) setAdvisors(ids []structs.InstanceID) {
	old := c.advisors
	c.advisors = make([]*advisorSlot, 0, len(ids))
	slices.Sort(ids)
	for _, id := range ids {
		n := slices.IndexFunc(old, func(s *advisorSlot) bool { return s.id == id })
		if n >= 0 {
			c.advisors = append(c.advisors, old[n])
		} else {
			c.advisors = append(c.advisors, &advisorSlot{id: id})
		}
	}
}

// freeAdvisor returns an instance for a call of the given length, or nil. It
// answers the load of a long queue whose tickets lapse: calls beyond what the
// advisor serves only age in its queue, so they are not sent, and the order
// of placement decides which step asks next.
func (c *Cell) freeAdvisor(expected time.Duration) *advisorSlot {
	var best *advisorSlot
	long := expected > shortAdvice
	for n, slot := range c.advisors {
		if long && n < len(c.advisors)/shortOnlyShare {
			continue
		}
		if slot.busy > 0 && (long || slot.busy+expected > shortBacklog) {
			continue
		}
		if best == nil || slot.busy < best.busy {
			best = slot
		}
	}
	return best
}

func (c *Cell) adviceEnded(e AdviceAnswered) {
	for _, slot := range c.advisors {
		if slot.id == e.Via {
			slot.busy = max(0, slot.busy-e.Expected)
		}
	}
	c.placeAgain = true
}

// idleShare of the instances that take long calls must be free before a step
// that can wait for room on known workers asks about more of them.
const idleShare = 0.4

// advisorsIdle reports whether calls that are only of use now and then fit in.
func (c *Cell) advisorsIdle() bool {
	free := 0
	for n, slot := range c.advisors {
		if n >= len(c.advisors)/shortOnlyShare && slot.busy == 0 {
			free++
		}
	}
	return float64(free) >= idleShare*float64(len(c.advisors))
}
