package credits

import (
	"math"

	"github.com/mangodrum/mangodrum/structs"
)

// rebalance grants free slots to holders below their share. If that does not
// meet their demands, it reclaims slots from holders above theirs.
func (l *Ledger) rebalance() {
	l.withdrawFromUnavailable()
	if !l.isOwner() {
		return
	}
	for _, service := range l.services() {
		l.rebalanceService(service)
	}
}

// withdrawFromUnavailable sets the targets to 0 at executors that take no new
// work.
func (l *Ledger) withdrawFromUnavailable() {
	for _, h := range l.holders {
		for id, e := range h.credits {
			x := l.byID[id]
			unavailable := x == nil || x.info.State != structs.Live
			if unavailable && e.targetSlots > 0 {
				e.targetSlots = 0
				h.needsGrant = true
			}
		}
	}
}

// services returns the names of the services in list order.
func (l *Ledger) services() []string {
	var names []string
	seen := map[string]bool{}
	for _, x := range l.executors {
		if !seen[x.info.Service] {
			seen[x.info.Service] = true
			names = append(names, x.info.Service)
		}
	}
	return names
}

// candidate is a holder that may receive slots of one service.
type candidate struct {
	holder  *holder
	demand  int
	share   int
	granted int // sum of the target slots
}

// confirmedCandidates returns the holders that may receive slots: those that
// sent a request within the last lease and acknowledged this epoch.
func (l *Ledger) confirmedCandidates(service string) []candidate {
	var all []candidate
	for _, h := range l.holders {
		if l.unconfirmed[h.id] || l.now.Sub(h.lastRequest) > Lease {
			continue
		}
		c := candidate{holder: h, demand: h.demands[service]}
		for _, x := range l.executors {
			if e := h.credits[x.info.ID]; e != nil && x.info.Service == service {
				c.granted += e.targetSlots
			}
		}
		all = append(all, c)
	}
	return all
}

func (l *Ledger) rebalanceService(service string) {
	free := make([]int, len(l.executors))
	total, totalFree := 0, 0
	for i, x := range l.executors {
		if x.info.Service != service {
			continue
		}
		usable := l.usable(x)
		total += usable
		free[i] = max(0, usable-l.HeldSlots(x.info.ID))
		totalFree += free[i]
	}
	candidates := l.confirmedCandidates(service)
	l.computeShares(candidates, total)
	unmet := 0
	for i := range candidates {
		c := &candidates[i]
		unmet += c.slotsToReclaim()
	}
	if unmet > totalFree {
		l.reclaim(service, candidates, unmet-totalFree)
	}
	l.distribute(service, candidates, free)
}

// computeShares divides total slots among the candidates. If the demands reach
// or exceed total, every candidate gets a share in proportion to its demand, so
// that requests wait equally long at all instances. Otherwise every candidate
// gets its demand, and the rest goes to the candidates of the region in
// proportion to the square root of their demand, because the demand of
// independent arrivals varies by about that much.
func (l *Ledger) computeShares(candidates []candidate, total int) {
	demands := 0
	for i := range candidates {
		demands += candidates[i].demand
	}
	if demands >= total {
		divide(candidates, total, func(c *candidate) float64 { return float64(c.demand) })
		return
	}
	for i := range candidates {
		candidates[i].share = candidates[i].demand
	}
	divide(candidates, total-demands, func(c *candidate) float64 {
		if c.holder.location.Region != l.cfg.Region {
			return 0
		}
		return math.Sqrt(float64(c.demand + 1))
	})
}

// divide adds total to the shares in proportion to weight. Portions are rounded
// down; the remainder is distributed one slot at a time.
func divide(candidates []candidate, total int, weight func(*candidate) float64) {
	sum := 0.0
	for i := range candidates {
		sum += weight(&candidates[i])
	}
	if sum == 0 {
		return
	}
	left := total
	for i := range candidates {
		portion := int(float64(total) * weight(&candidates[i]) / sum)
		candidates[i].share += portion
		left -= portion
	}
	for i := range candidates {
		if left > 0 && weight(&candidates[i]) > 0 {
			candidates[i].share++
			left--
		}
	}
}

// reclaim lowers the targets of holders above their share until the number of
// slots to be returned reaches wanted. The slots remain counted until their
// holders return them.
func (l *Ledger) reclaim(service string, candidates []candidate, wanted int) {
	for i := range candidates {
		c := &candidates[i]
		// Subtract slots that were reclaimed earlier and are not returned yet.
		for _, x := range l.executors {
			if e := c.holder.credits[x.info.ID]; e != nil && x.info.Service == service {
				wanted -= e.countedSlots - e.targetSlots
			}
		}
	}
	for i := range candidates {
		c := &candidates[i]
		for c.granted > c.share && wanted > 0 {
			e := l.leastUsefulCredit(service, c.holder)
			if e == nil {
				break
			}
			e.targetSlots--
			c.granted--
			wanted--
			c.holder.needsGrant = true
		}
	}
}

// leastUsefulCredit returns the credit of h to reduce first: one outside its
// failure domain if there is any, then the one with the most slots.
func (l *Ledger) leastUsefulCredit(service string, h *holder) *credit {
	var best *credit
	bestLocal := false
	for _, x := range l.executors {
		e := h.credits[x.info.ID]
		if e == nil || e.targetSlots == 0 || x.info.Service != service {
			continue
		}
		local := x.info.Location.FailureDomain == h.location.FailureDomain
		if best == nil || bestLocal && !local || bestLocal == local && e.targetSlots > best.targetSlots {
			best, bestLocal = e, local
		}
	}
	return best
}

// distribute grants free slots to the candidates below their share. The one
// with the largest shortfall comes first.
func (l *Ledger) distribute(service string, candidates []candidate, free []int) {
	for {
		var neediest *candidate
		for i := range candidates {
			c := &candidates[i]
			if c.granted < c.share && (neediest == nil || c.shortfall() > neediest.shortfall()) {
				neediest = c
			}
		}
		if neediest == nil {
			return
		}
		i := l.bestExecutorFor(service, neediest.holder, free)
		if i < 0 {
			return
		}
		free[i]--
		l.grantSlot(neediest, l.executors[i])
	}
}

// slotsToReclaim returns the number of slots to reclaim from other holders.
// This is the shortfall, or everything up to the share if less than half of the
// reserve is granted. The reserve is the part of the share above the demand;
// when it is used up, the next requests wait until slots have moved.
func (c *candidate) slotsToReclaim() int {
	reserve := max(0, c.share-c.demand)
	if c.granted < c.share-(reserve+1)/2 {
		return c.share - c.granted
	}
	return max(0, c.shortfall())
}

// shortfall returns how many slots are missing for the demand, as far as the
// share covers it. It is negative if more than that is granted.
func (c *candidate) shortfall() int { return min(c.demand, c.share) - c.granted }

func (l *Ledger) grantSlot(c *candidate, x *executor) {
	e := c.holder.credits[x.info.ID]
	if e == nil {
		e = &credit{}
		c.holder.credits[x.info.ID] = e
	}
	e.targetSlots++
	e.countedSlots = max(e.countedSlots, e.targetSlots)
	c.granted++
	c.holder.needsGrant = true
}

// bestExecutorFor returns the index of the executor with free slots that is
// best for h, or -1: one in its failure domain if there is any, then the one
// where h holds the fewest slots, so that each instance loses few slots when
// one executor fails.
func (l *Ledger) bestExecutorFor(service string, h *holder, free []int) int {
	best, bestLocal, bestHeld := -1, false, 0
	for i, x := range l.executors {
		if free[i] == 0 || x.info.Service != service {
			continue
		}
		local := x.info.Location.FailureDomain == h.location.FailureDomain
		held := 0
		if e := h.credits[x.info.ID]; e != nil {
			held = e.targetSlots
		}
		if best < 0 || local && !bestLocal || local == bestLocal && held < bestHeld {
			best, bestLocal, bestHeld = i, local, held
		}
	}
	return best
}
