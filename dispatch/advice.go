package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// requestAdviceForNewJob requests advice on the first steps of a job while the
// commit that accepts the job is in progress, so that the two overlap.
func (c *Dispatcher) requestAdviceForNewJob(j *job) {
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if len(s.spec.DependsOn) == 0 {
				c.requestFirstAdvice(s)
			}
		}
	}
}

// requestAdviceForDependents requests advice on the steps that depend on s while
// s is running.
func (c *Dispatcher) requestAdviceForDependents(s *step) {
	for _, next := range s.occ.steps[s.index+1:] {
		if slices.Contains(next.spec.DependsOn, s.index) {
			c.requestFirstAdvice(next)
		}
	}
}

// requestFirstAdvice requests advice on a step that has none and no call in
// flight.
func (c *Dispatcher) requestFirstAdvice(s *step) {
	if s.job.queue.Advisor == nil || s.pendingAdviceCalls > 0 || len(s.advice) > 0 || !s.job.active() {
		return
	}
	ranked := c.ranked(s)
	c.requestAdvice(&ranked)
}

const (
	// defaultApprovalRate is the assumed share of approved workers until one
	// has been observed for a queue.
	defaultApprovalRate = 0.4
	// approvalRateWeight is the weight of a new observation in the moving
	// average of the approval rate.
	approvalRateWeight = 0.2
	// minApprovalRate keeps a queue whose advisor rejects nearly all workers
	// from naming all of them in each call.
	minApprovalRate = 0.05
	// advisedCapacityFactor is how many times the needed capacity the named
	// workers are expected to have: other steps use some of it during the call.
	advisedCapacityFactor = 1.5
	// advisedCapacityFactorGang is the same factor for gangs. It is larger
	// because all members need capacity at the same time.
	advisedCapacityFactorGang = 3.0
	// capacityTurnover is the share of a worker's capacity that is expected to
	// become free during a call, even if the worker is full now.
	capacityTurnover = 0.25
	// minNamingTimeShare is the share of the fixed time of a call that may be
	// spent on naming workers that are not needed now.
	minNamingTimeShare = 0.4
	// maxWorkersPerAdviceCall is how many workers one call may name.
	maxWorkersPerAdviceCall = 100
	// gangCapacityFactor is how many tasks per member the approved workers must
	// be able to hold for a gang to wait for them. Beyond that, only idle
	// instances request advice on further workers.
	gangCapacityFactor = 3.0
)

// requestAdvice asks the advisor about workers for which the step has no
// advice. Most of the time of a call does not depend on the number of workers,
// so a call names enough of them to make a second call unlikely. It reports
// whether a call was sent.
func (c *Dispatcher) requestAdvice(ranked *rankedStep) bool {
	s := ranked.step
	advisor := s.job.queue.Advisor
	if advisor == nil || s.pendingAdviceCalls > 0 || c.now.Before(s.nextAdviceAt) || c.freeAdvisorClient(advisor.CallTime(1)) == nil {
		return false
	}
	names := c.workersForAdviceCall(ranked)
	return len(names) > 0 && c.sendAdviceCall(s, names)
}

// workersForAdviceCall returns the workers without advice that have the most free
// capacity, as many as the unplaced tasks of the step are expected to need.
// Advice on a full worker is of no use to a single task, but it is to a gang,
// because capacity is reserved for gangs.
func (c *Dispatcher) workersForAdviceCall(ranked *rankedStep) []structs.WorkerID {
	s := ranked.step
	type candidate struct {
		worker *worker
		slots  float64
	}
	size := s.spec.RequiredCapacity()
	var unadvised []candidate
	for _, w := range c.sortedWorkers {
		if _, asked := s.advice[w.ID]; asked || !c.eligible(s, w) {
			continue
		}
		limit := s.remainingPerWorker(w)
		slots := float64(min(tasksThatFit(size, c.freeFor(w, ranked)), limit))
		if slots == 0 && len(s.advice) > 0 && !s.spec.Gang {
			continue
		}
		unadvised = append(unadvised, candidate{w, max(slots, capacityTurnover*float64(min(tasksThatFit(size, w.Capacity), limit)))})
	}
	slices.SortStableFunc(unadvised, func(a, b candidate) int { return cmp.Compare(b.slots, a.slots) })
	factor := advisedCapacityFactor
	if s.spec.Gang {
		factor = advisedCapacityFactorGang
	}
	needed := float64(s.unplacedTasks) * factor / c.approvalRate(s)
	minCount := s.job.queue.Advisor.MaxWorkersPerCall(minNamingTimeShare)
	var names []structs.WorkerID
	for n, next := range unadvised {
		if n >= maxWorkersPerAdviceCall || needed <= 0 && n >= minCount {
			break
		}
		needed -= next.slots
		names = append(names, next.worker.ID)
	}
	return names
}

// approvedCapacitySuffices reports whether the approved workers can hold a gang
// once capacity is reserved on them.
func (c *Dispatcher) approvedCapacitySuffices(s *step) bool {
	slots := 0
	for _, w := range c.candidateWorkers(s) {
		slots += min(tasksThatFit(s.spec.RequiredCapacity(), w.Capacity), s.remainingPerWorker(w))
	}
	return float64(slots) >= gangCapacityFactor*float64(len(s.tasks))
}

// approvalRate returns the expected share of approved workers.
func (c *Dispatcher) approvalRate(s *step) float64 {
	rate, seen := c.approvalRates[s.job.queue.Name]
	if !seen {
		return defaultApprovalRate
	}
	return max(rate, minApprovalRate)
}

// sendAdviceCall sends a call to the advisor if an instance is free for it.
func (c *Dispatcher) sendAdviceCall(s *step, names []structs.WorkerID) bool {
	expected := s.job.queue.Advisor.CallTime(len(names))
	client := c.freeAdvisorClient(expected)
	if client == nil {
		return false
	}
	client.pendingTime += expected
	s.pendingAdviceCalls++
	s.adviceExpectedAt = c.now.Add(expected)
	c.emit(RequestAdvice{Step: s.name, Via: client.id, Workers: names, Expected: expected})
	return true
}

func (c *Dispatcher) adviceAnswered(e AdviceAnswered) {
	c.adviceCallEnded(e)
	s := c.findStep(e.Step)
	if s == nil {
		return
	}
	s.pendingAdviceCalls = max(0, s.pendingAdviceCalls-1)
	if e.Failed {
		s.nextAdviceAt = c.now.Add(adviceRetryDelay)
		c.unplaceAll(s)
		return
	}
	s.job.advisedWorkers -= len(s.advice)
	for _, id := range e.Workers {
		s.advice[id] = workerAdvice{}
	}
	askedAt := s.adviceExpectedAt.Add(-e.Expected)
	for _, ticket := range e.Advice.Tickets {
		w := c.workers[ticket.Worker]
		if w == nil {
			continue
		}
		expiresAt := c.now.Add(e.Advice.Validity - ticketMargin)
		if w.incarnationSince.After(askedAt) {
			expiresAt = 0 // the ticket may be for the incarnation before
		}
		s.advice[ticket.Worker] = workerAdvice{approved: true, token: ticket.Token, expiresAt: expiresAt, incarnation: w.Incarnation}
	}
	s.job.advisedWorkers += len(s.advice)
	c.count(s.job)
	s.approvedWorkers = s.approvedWorkers[:0]
	for _, w := range c.sortedWorkers {
		if s.advice[w.ID].approved {
			s.approvedWorkers = append(s.approvedWorkers, w)
		}
	}
	c.updateApprovalRate(s, len(e.Workers), len(e.Advice.Tickets))
	c.logDecision(Decision{Event: "advice", Job: s.job.spec.ID, Task: s.name, Value: int64(len(e.Advice.Tickets)), Reason: s.job.queue.Name})
	c.startPlaced(s)
	c.placementNeeded, c.nextReservationAt = true, 0
}

// replaceApprovedWorker puts a worker that has come back in the place of its earlier
// state among the approved workers of all steps. The approval of a worker for a step
// does not change, and the advisor is not asked about it again.
func (c *Dispatcher) replaceApprovedWorker(w *worker) {
	for _, j := range c.jobs {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				for n, approved := range s.approvedWorkers {
					if approved.ID == w.ID {
						s.approvedWorkers[n] = w
					}
				}
			}
		}
	}
}

// adviceRetryDelay is the delay after a failed call to the advisor.
const adviceRetryDelay = 200 * 1e6

func (c *Dispatcher) updateApprovalRate(s *step, asked, good int) {
	if asked < 4 {
		return // such small calls are mostly ticket renewals, which name only approved workers
	}
	rate := float64(good) / float64(asked)
	if old, seen := c.approvalRates[s.job.queue.Name]; seen {
		rate = old + approvalRateWeight*(rate-old)
	}
	c.approvalRates[s.job.queue.Name] = rate
}

// hasValidTicket reports whether a task may start on its worker now.
func (c *Dispatcher) hasValidTicket(t *task) bool {
	return c.isTicketValid(t.step, t.worker)
}

// isTicketValid reports whether tasks of a step may start on a worker now. It is
// true for queues without an advisor.
func (c *Dispatcher) isTicketValid(s *step, w *worker) bool {
	if s.job.queue.Advisor == nil {
		return true
	}
	known := s.advice[w.ID]
	return known.approved && known.incarnation == w.Incarnation && c.now.Before(known.expiresAt)
}

// renewBrokenGangTickets renews the tickets for the workers of a gang that lost
// a member, while the other members are being stopped.
func (c *Dispatcher) renewBrokenGangTickets(s *step) {
	if s.job.queue.Advisor == nil || s.pendingAdviceCalls > 0 {
		return
	}
	var names []structs.WorkerID
	for _, t := range s.tasks {
		if t.worker != nil && c.eligible(s, t.worker) && !slices.Contains(names, t.worker.ID) {
			names = append(names, t.worker.ID)
		}
	}
	if len(names) > 0 {
		c.sendAdviceCall(s, names)
	}
}

// requestAdviceForGang sends the most useful call for a gang that does not fit
// yet. Until the approved workers can hold the gang, it asks about further
// workers; after that it renews tickets shortly before the gang is expected to
// start, and asks about further workers only if enough instances are idle.
func (c *Dispatcher) requestAdviceForGang(ranked *rankedStep) {
	if !c.approvedCapacitySuffices(ranked.step) && c.requestAdvice(ranked) {
		return
	}
	if !c.renewGangTicketsEarly(ranked) && c.hasIdleAdvisorClients() {
		c.requestAdvice(ranked)
	}
}

// renewGangTicketsEarly renews the tickets of a waiting gang so that the answer
// arrives when its capacity is expected to be free. It names more approved workers
// than the gang needs, those with free capacity first, because the expectation may
// be wrong.
func (c *Dispatcher) renewGangTicketsEarly(ranked *rankedStep) bool {
	s := ranked.step
	advisor := s.job.queue.Advisor
	if advisor == nil || s.pendingAdviceCalls > 0 || c.now.Before(s.nextAdviceAt) || s.expectedStart == 0 {
		return false
	}
	needed := int(earlyRenewalFactor * float64(len(s.tasks)))
	lead := advisor.CallTime(needed) + time.Duration(earlyRenewalValidity*float64(advisor.Validity))
	if s.expectedStart.Sub(c.now) > lead {
		return false
	}
	slots := c.memberSlots(ranked)
	slices.SortStableFunc(slots, func(a, b memberSlot) int { return cmp.Compare(a.freeAt, b.freeAt) })
	var names []structs.WorkerID
	for _, slot := range slots[:min(needed, len(slots))] {
		if !slices.Contains(names, slot.worker.ID) {
			names = append(names, slot.worker.ID)
		}
	}
	return len(names) > 0 && c.sendAdviceCall(s, names[:min(len(names), maxWorkersPerAdviceCall)])
}

const (
	// earlyRenewalValidity is the share of the validity of a ticket by which a
	// renewal may arrive before the expected start.
	earlyRenewalValidity = 0.5
	// earlyRenewalFactor is how many tasks per member the workers named in a
	// renewal can hold.
	earlyRenewalFactor = 2.0
)

// startPlaced starts the placed tasks that have valid tickets and renews the
// tickets of the others. A gang starts only if all members have valid tickets.
func (c *Dispatcher) startPlaced(s *step) {
	c.unplaceNotApproved(s)
	var ready []*task
	missing := false
	for _, t := range s.tasks {
		if t.state != taskPlaced {
			continue
		}
		if c.hasValidTicket(t) {
			ready = append(ready, t)
		} else {
			missing = true
		}
	}
	if missing && s.pendingAdviceCalls == 0 && (c.now.Before(s.nextAdviceAt) || !c.sendAdviceCall(s, c.ticketsToRenew(s))) {
		c.unplaceWithoutTicket(s)
	}
	if s.spec.Gang && len(ready) == len(s.tasks) {
		s.gangRun = c.nextRun(s.tasks)
		for _, t := range ready {
			c.start(t, s.gangRun)
		}
	}
	if s.spec.Gang {
		return
	}
	for _, t := range ready {
		c.start(t, c.nextRun([]*task{t}))
	}
}

// unplaceNotApproved removes tasks from workers that the advisor no longer
// approves, for example after a restart of the worker.
func (c *Dispatcher) unplaceNotApproved(s *step) {
	if s.job.queue.Advisor == nil {
		return
	}
	for _, t := range s.tasks {
		if t.state == taskPlaced && !s.advice[t.worker.ID].approved {
			c.unplace(t)
		}
	}
}

// ticketsToRenew returns the workers of placed tasks without a valid ticket.
func (c *Dispatcher) ticketsToRenew(s *step) []structs.WorkerID {
	var names []structs.WorkerID
	for _, t := range s.tasks {
		if t.state == taskPlaced && !c.hasValidTicket(t) && !slices.Contains(names, t.worker.ID) {
			names = append(names, t.worker.ID)
		}
	}
	return names
}

// unplaceWithoutTicket removes placed tasks whose tickets cannot be renewed
// now, because their capacity would be idle until an instance is free.
func (c *Dispatcher) unplaceWithoutTicket(s *step) {
	for _, t := range s.tasks {
		if t.state == taskPlaced && !c.hasValidTicket(t) {
			c.unplace(t)
		}
	}
}

func (c *Dispatcher) unplaceAll(s *step) {
	for _, t := range s.tasks {
		c.unplace(t)
	}
	c.placementNeeded = true
}
