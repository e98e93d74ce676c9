package dispatch

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// placeSteps places the tasks of the queued steps, in placement order.
func (c *Dispatcher) placeSteps() {
	ranked := c.rankedSteps()
	c.reserveForGangs(ranked)
	for n := range ranked {
		if ranked[n].step.spec.Gang {
			c.placeGang(&ranked[n])
		} else {
			c.placeTasks(&ranked[n])
		}
	}
}

// eligible reports whether a worker may get new tasks of a step, apart from the
// approval of the advisor. A worker has to be stored first: a new leader that does
// not know it would complete its recovery, and start the worker's tasks again, if the
// directory lists the worker late.
func (c *Dispatcher) eligible(s *step, w *worker) bool {
	return w.known && w.listed && w.isDescribed() && w.stored && !w.grantsClosed && !w.unreported && w.lapseBy == 0 && !w.Draining && w.canStartTasks(c.now) && w.missedRenewals < missedRenewalsBeforeSilent && (w.missedRenewals == 0 || !s.spec.Gang) &&
		!c.now.Before(w.pausedUntil) && w.Service == s.job.queue.Service &&
		(s.spec.RequiredLabel == "" || w.HasLabel(s.spec.RequiredLabel)) &&
		s.spec.RequiredCapacity().Fits(w.Capacity)
}

// candidateWorkers returns the eligible workers that the advisor has approved for
// a step, or all eligible workers if the queue has no advisor.
func (c *Dispatcher) candidateWorkers(s *step) []*worker {
	known := c.sortedWorkers
	if s.job.queue.Advisor != nil {
		known = s.approvedWorkers
	}
	list := make([]*worker, 0, len(known))
	for _, w := range known {
		if c.eligible(s, w) {
			list = append(list, w)
		}
	}
	return list
}

// remainingPerWorker returns how many more tasks of the step a worker may get
// under MaxPerWorker.
func (s *step) remainingPerWorker(w *worker) int {
	if s.spec.MaxPerWorker == 0 {
		return len(s.tasks)
	}
	return max(0, s.spec.MaxPerWorker-s.perWorker[w.ID])
}

// placeTasks places the waiting tasks of a step one by one and starts those with
// valid tickets.
func (c *Dispatcher) placeTasks(ranked *rankedStep) {
	s := ranked.step
	candidates := c.candidateWorkers(s)
	for _, t := range s.tasks {
		if t.state != taskWaiting || t.hasAllocation() || c.now.Before(t.restartAt) || !c.isEndProven(t) {
			continue
		}
		w := c.chooseWorker(t, candidates, ranked)
		if w == nil {
			c.requestAdvice(ranked)
			break
		}
		c.allocate(t, w)
	}
	c.startPlaced(s)
}

// hasAllocation reports whether a run of the task still has an allocation.
func (t *task) hasAllocation() bool { return t.worker != nil }

// chooseWorker returns the worker with the lowest cost for a task. It prefers
// other workers than the one where the task failed, workers in the rack of the
// data, and the smallest capacity left over (best fit), so that large tasks
// still find empty workers.
func (c *Dispatcher) chooseWorker(t *task, candidates []*worker, ranked *rankedStep) *worker {
	var best *worker
	var bestCost float64
	s := t.step
	for _, w := range candidates {
		if s.remainingPerWorker(w) == 0 || !s.spec.RequiredCapacity().Fits(c.freeFor(w, ranked)) || w.allocations[t.name] != nil {
			continue
		}
		left := w.Capacity.Sub(w.used).Sub(s.spec.RequiredCapacity())
		cost := float64(left.DominantShare(w.Capacity))
		if !c.isTicketValid(s, w) {
			cost += ticketCost
		}
		if w.missedRenewals > 0 {
			cost += unresponsiveCost
		}
		if w.ID == t.avoidWorker {
			cost += avoidCost
		}
		if s.spec.DataRack != "" && w.Location.Rack != s.spec.DataRack {
			cost += remoteCost
		}
		if ranked.rank == rankUrgent && len(w.reservations) > 0 {
			cost += reservedCost * c.intrusion(w, ranked)
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// Costs in parts per million of a worker's capacity. Each outweighs the sum of
// the smaller ones.
const (
	ticketCost       = 1e6 // the capacity is idle until the ticket is renewed
	reservedCost     = 2e6 // multiplied by the intrusion
	remoteCost       = 8e6
	unresponsiveCost = 16e6
	avoidCost        = 32e6
)

// memberAssignment is the number of gang members assigned to a worker.
type memberAssignment struct {
	worker *worker
	tasks  int
}

// placeGang places and starts all members of a gang, or none. It uses only
// workers with valid tickets: capacity that waits for a ticket is idle, and a
// call for advice takes a quarter of a gang's run time.
func (c *Dispatcher) placeGang(ranked *rankedStep) {
	s := ranked.step
	if !s.isWaitingGang() || s.isRestartPaused(c.now) || !c.areEndsProven(s) {
		return // an earlier run has not ended yet, or has ended just after its start
	}
	assignments := c.assignMembers(s, func(w *worker) structs.Resources { return c.freeFor(w, ranked) })
	if assignments == nil {
		c.requestAdviceForGang(ranked)
		return
	}
	next := 0
	for _, assignment := range assignments {
		for range assignment.tasks {
			c.allocate(s.tasks[next], assignment.worker)
			next++
		}
	}
	c.startPlaced(s)
}

// hasAllocations reports whether any task of the step has an allocation.
func (s *step) hasAllocations() bool {
	for _, t := range s.tasks {
		if t.hasAllocation() {
			return true
		}
	}
	return false
}

// assignMembers distributes the members of a gang over the workers with valid
// tickets, given the available capacity of each worker. It returns nil if the
// gang does not fit. A gang that is slow across racks is placed in one rack if
// it fits there.
func (c *Dispatcher) assignMembers(s *step, available func(*worker) structs.Resources) []memberAssignment {
	candidates := c.withValidTickets(s, c.candidateWorkers(s))
	if s.spec.SameRack {
		byRack := map[structs.Rack][]*worker{}
		for _, w := range candidates {
			byRack[w.Location.Rack] = append(byRack[w.Location.Rack], w)
		}
		for _, w := range candidates {
			if assignments := c.assignMembersTo(s, byRack[w.Location.Rack], available); assignments != nil {
				return assignments
			}
		}
	}
	return c.assignMembersTo(s, candidates, available)
}

// withValidTickets returns the candidates for which the step has a valid ticket.
func (c *Dispatcher) withValidTickets(s *step, candidates []*worker) []*worker {
	list := make([]*worker, 0, len(candidates))
	for _, w := range candidates {
		if c.isTicketValid(s, w) {
			list = append(list, w)
		}
	}
	return list
}

// assignMembersTo is assignMembers for the given workers.
func (c *Dispatcher) assignMembersTo(s *step, candidates []*worker, available func(*worker) structs.Resources) []memberAssignment {
	assignments := make([]memberAssignment, 0, len(candidates))
	total := 0
	for _, w := range candidates {
		n := min(tasksThatFit(s.spec.RequiredCapacity(), available(w)), s.remainingPerWorker(w))
		if n > 0 {
			assignments = append(assignments, memberAssignment{w, n})
			total += n
		}
	}
	if total < len(s.tasks) {
		return nil
	}
	// Using as few workers as possible leaves empty workers for the next gang.
	slices.SortStableFunc(assignments, func(a, b memberAssignment) int { return cmp.Compare(b.tasks, a.tasks) })
	remaining := len(s.tasks)
	for n := range assignments {
		assignments[n].tasks = min(assignments[n].tasks, remaining)
		remaining -= assignments[n].tasks
		if remaining == 0 {
			return assignments[:n+1]
		}
	}
	return nil
}

// tasksThatFit returns how many tasks of the given size fit into the available
// capacity.
func tasksThatFit(size, available structs.Resources) int {
	if available.IsNegative() {
		return 0
	}
	const unlimited = 1 << 20 // result for a task that needs no resources
	n := int64(unlimited)
	if size.MilliCPU > 0 {
		n = min(n, available.MilliCPU/size.MilliCPU)
	}
	if size.MemoryBytes > 0 {
		n = min(n, available.MemoryBytes/size.MemoryBytes)
	}
	if size.Accelerators > 0 {
		n = min(n, available.Accelerators/size.Accelerators)
	}
	return int(n)
}
