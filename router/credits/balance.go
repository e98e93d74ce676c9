package credits

import (
	"math"

	"github.com/mangodrum/mangodrum/structs"
)

// rebalance gives free slots to holders below their share and, if that does
// not meet their demands, takes slots from holders above theirs.
func (l *Ledger) rebalance() {
	l.withdrawClosed()
	if !l.isOwner() {
		return
	}
	for _, service := range l.services() {
		l.rebalanceService(service)
	}
}

// withdrawClosed lowers the targets at executors that take no new work.
func (l *Ledger) withdrawClosed() {
	for _, h := range l.holders {
		for id, e := range h.entries {
			x := l.byID[id]
			closed := x == nil || x.info.State != structs.Live
			if closed && e.target > 0 {
				e.target = 0
				h.changed = true
			}
		}
	}
}

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

// claimant is a holder's standing in one service.
type claimant struct {
	holder *holder
	demand int
	share  int
	have   int // sum of targets
}

// confirmedClaimants returns the holders that may receive slots: those heard
// within the lease that acknowledged this epoch.
func (l *Ledger) confirmedClaimants(service string) []claimant {
	var all []claimant
	for _, h := range l.holders {
		if l.unconfirmed[h.id] || l.now.Sub(h.seen) > Lease {
			continue
		}
		c := claimant{holder: h, demand: h.demands[service]}
		for _, x := range l.executors {
			if e := h.entries[x.info.ID]; e != nil && x.info.Service == service {
				c.have += e.target
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
		free[i] = max(0, usable-l.Held(x.info.ID))
		totalFree += free[i]
	}
	claimants := l.confirmedClaimants(service)
	l.computeShares(claimants, total)
	unmet := 0
	for i := range claimants {
		c := &claimants[i]
		unmet += c.wanted()
	}
	if unmet > totalFree {
		l.takeBack(service, claimants, unmet-totalFree)
	}
	l.hand(service, claimants, free)
}

// computeShares divides total. If the demands exceed it, every claimant gets
// a part in proportion to its demand, so that requests wait equally long
// wherever they arrived. What is left otherwise goes to the claimants of the
// region by the square root of their demand, which is how much the demand of
// independent arrivals varies.
func (l *Ledger) computeShares(claimants []claimant, total int) {
	demands := 0
	for i := range claimants {
		demands += claimants[i].demand
	}
	if demands >= total {
		divide(claimants, total, func(c *claimant) float64 { return float64(c.demand) })
		return
	}
	for i := range claimants {
		claimants[i].share = claimants[i].demand
	}
	divide(claimants, total-demands, func(c *claimant) float64 {
		if c.holder.location.Region != l.cfg.Region {
			return 0
		}
		return math.Sqrt(float64(c.demand + 1))
	})
}

// divide adds total to the shares in proportion to weight. Rounding down
// leaves a remainder, which goes out one by one.
func divide(claimants []claimant, total int, weight func(*claimant) float64) {
	sum := 0.0
	for i := range claimants {
		sum += weight(&claimants[i])
	}
	if sum == 0 {
		return
	}
	left := total
	for i := range claimants {
		part := int(float64(total) * weight(&claimants[i]) / sum)
		claimants[i].share += part
		left -= part
	}
	for i := range claimants {
		if left > 0 && weight(&claimants[i]) > 0 {
			claimants[i].share++
			left--
		}
	}
}

// takeBack lowers the targets of holders above their share until wanted slots
// are on their way back. The slots count until their holders return them.
func (l *Ledger) takeBack(service string, claimants []claimant, wanted int) {
	for i := range claimants {
		c := &claimants[i]
		// Slots that were asked back before and are still counted.
		for _, x := range l.executors {
			if e := c.holder.entries[x.info.ID]; e != nil && x.info.Service == service {
				wanted -= e.slots - e.target
			}
		}
	}
	for i := range claimants {
		c := &claimants[i]
		for c.have > c.share && wanted > 0 {
			e := l.leastUseful(service, c.holder)
			if e == nil {
				break
			}
			e.target--
			c.have--
			wanted--
			c.holder.changed = true
		}
	}
}

// leastUseful returns the entry that h can lose best: outside its failure
// domain first, then the largest.
func (l *Ledger) leastUseful(service string, h *holder) *entry {
	var best *entry
	bestLocal := false
	for _, x := range l.executors {
		e := h.entries[x.info.ID]
		if e == nil || e.target == 0 || x.info.Service != service {
			continue
		}
		local := x.info.Location.FailureDomain == h.location.FailureDomain
		if best == nil || bestLocal && !local || bestLocal == local && e.target > best.target {
			best, bestLocal = e, local
		}
	}
	return best
}

// hand gives free slots to the claimants below their share, the one that
// lacks most of its demand first.
func (l *Ledger) hand(service string, claimants []claimant, free []int) {
	for {
		var neediest *claimant
		for i := range claimants {
			c := &claimants[i]
			if c.have < c.share && (neediest == nil || c.lack() > neediest.lack()) {
				neediest = c
			}
		}
		if neediest == nil {
			return
		}
		i := l.mostUseful(service, neediest.holder, free)
		if i < 0 {
			return
		}
		free[i]--
		l.give(neediest, l.executors[i])
	}
}

// wanted returns the slots that are worth taking from others: those that the
// claimant lacks for its demand, and all up to its share if it has less than
// half of its reserve beyond the demand. A reserve that is used up makes the
// next requests wait until slots have moved.
func (c *claimant) wanted() int {
	reserve := max(0, c.share-c.demand)
	if c.have < c.share-(reserve+1)/2 {
		return c.share - c.have
	}
	return max(0, c.lack())
}

func (c *claimant) lack() int { return min(c.demand, c.share) - c.have }

func (l *Ledger) give(c *claimant, x *executor) {
	e := c.holder.entries[x.info.ID]
	if e == nil {
		e = &entry{}
		c.holder.entries[x.info.ID] = e
	}
	e.target++
	e.slots = max(e.slots, e.target)
	c.have++
	c.holder.changed = true
}

// mostUseful returns the executor with free slots that suits h best: in its
// failure domain first, then where it holds least, so that the failure of
// one executor costs each instance little.
func (l *Ledger) mostUseful(service string, h *holder, free []int) int {
	best, bestLocal, bestHeld := -1, false, 0
	for i, x := range l.executors {
		if free[i] == 0 || x.info.Service != service {
			continue
		}
		local := x.info.Location.FailureDomain == h.location.FailureDomain
		held := 0
		if e := h.entries[x.info.ID]; e != nil {
			held = e.target
		}
		if best < 0 || local && !bestLocal || local == bestLocal && held < bestHeld {
			best, bestLocal, bestHeld = i, local, held
		}
	}
	return best
}
