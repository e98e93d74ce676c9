package dispatch

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// advisorClient is an instance that calls the advisor. The advisor serves the
// calls of one instance sequentially.
type advisorClient struct {
	id          structs.InstanceID
	pendingTime time.Duration // expected total time of the calls in flight
}

const (
	// maxShortCall is the expected time up to which a call counts as short.
	// Urgent jobs and small tasks make short calls.
	maxShortCall = 150 * time.Millisecond
	// maxShortBacklog limits the expected time of the short calls in flight at
	// one instance.
	maxShortBacklog = 120 * time.Millisecond
	// shortOnlyDivisor is the divisor for the number of instances that take no
	// long calls, so that urgent jobs never wait behind one.
	shortOnlyDivisor = 4 // one instance in four
)

// setAdvisorClients replaces the instances that can call the advisor.
func (c *Dispatcher) setAdvisorClients(ids []structs.InstanceID) {
	old := c.advisorClients
	c.advisorClients = make([]*advisorClient, 0, len(ids))
	slices.Sort(ids)
	for _, id := range ids {
		n := slices.IndexFunc(old, func(s *advisorClient) bool { return s.id == id })
		if n >= 0 {
			c.advisorClients = append(c.advisorClients, old[n])
		} else {
			c.advisorClients = append(c.advisorClients, &advisorClient{id: id})
		}
	}
}

// freeAdvisorClient returns an instance for a call of the given expected time,
// or nil if none is free. With a long queue of steps whose tickets expire, calls
// beyond the advisor's throughput would only wait in its queue. They are not
// sent, and the placement order decides which step calls next.
func (c *Dispatcher) freeAdvisorClient(expected time.Duration) *advisorClient {
	var best *advisorClient
	long := expected > maxShortCall
	for n, client := range c.advisorClients {
		if long && n < len(c.advisorClients)/shortOnlyDivisor {
			continue
		}
		if client.pendingTime > 0 && (long || client.pendingTime+expected > maxShortBacklog) {
			continue
		}
		if best == nil || client.pendingTime < best.pendingTime {
			best = client
		}
	}
	return best
}

// adviceCallEnded removes a call from the backlog of its instance.
func (c *Dispatcher) adviceCallEnded(e AdviceAnswered) {
	for _, client := range c.advisorClients {
		if client.id == e.Via {
			client.pendingTime = max(0, client.pendingTime-e.Expected)
		}
	}
	c.placementNeeded = true
}

// minIdleShare is the share of all instances that must be idle, not counting
// those for short calls, before a step that can wait for capacity on approved
// workers asks about further ones.
const minIdleShare = 0.4

// hasIdleAdvisorClients reports whether enough instances are idle for calls
// that are rarely useful.
func (c *Dispatcher) hasIdleAdvisorClients() bool {
	free := 0
	for n, client := range c.advisorClients {
		if n >= len(c.advisorClients)/shortOnlyDivisor && client.pendingTime == 0 {
			free++
		}
	}
	return float64(free) >= minIdleShare*float64(len(c.advisorClients))
}
