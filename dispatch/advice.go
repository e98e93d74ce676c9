package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// askEarly asks for advice on the first steps of a job beside the commit that
// accepts it, since both take a while.
func (c *Cell) askEarly(j *job) {
	for _, occ := range j.runs {
		for _, s := range occ.steps {
			if len(s.spec.After) == 0 {
				c.askFirst(s)
			}
		}
	}
}

// adviseDependents asks for advice on the steps that follow, while the step
// that they wait for runs.
func (c *Cell) adviseDependents(s *step) {
	for _, next := range s.occ.steps[s.index+1:] {
		if slices.Contains(next.spec.After, s.index) {
			c.askFirst(next)
		}
	}
}

func (c *Cell) askFirst(s *step) {
	if s.job.queue.Advisor == nil || s.asking > 0 || len(s.advice) > 0 || !s.job.active() {
		return
	}
	c.askMore(s)
}

const (
	// defaultGoodShare stands for the share of good workers until a queue's
	// own has been seen.
	defaultGoodShare = 0.4
	// goodShareWeight of a new observation in the moving average.
	goodShareWeight = 0.2
	// adviceSurplus is how many times the needed workers are asked about, as
	// some are busy; gangs need a choice to find room together.
	adviceSurplus     = 2.0
	adviceSurplusGang = 3.0
	adviceExtra       = 2 // workers beyond that
	// maxAdvised is the most workers that one call may name.
	maxAdvised = 100
)

// askMore asks the advisor about workers that a step knows nothing of.
func (c *Cell) askMore(s *step) {
	advisor := s.job.queue.Advisor
	if advisor == nil || s.asking > 0 || c.now.Before(s.askAfter) || c.freeAdvisor(advisor.CallTime(1)) == nil {
		return
	}
	var unknown []*worker
	for _, w := range c.order {
		if _, asked := s.advice[w.ID]; !asked && c.eligible(s, w) {
			unknown = append(unknown, w)
		}
	}
	if len(unknown) == 0 {
		return
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int {
		return cmp.Compare(b.Capacity.MilliCPU-b.used.MilliCPU, a.Capacity.MilliCPU-a.used.MilliCPU)
	})
	count := min(len(unknown), c.adviceNeed(s), maxAdvised)
	names := make([]structs.WorkerID, count)
	for n := range names {
		names[n] = unknown[n].ID
	}
	c.ask(s, names)
}

func (c *Cell) adviceNeed(s *step) int {
	share, seen := c.goodShare[s.job.queue.Name]
	if !seen {
		share = defaultGoodShare
	}
	each := 1
	for _, w := range c.order {
		each = max(each, min(timesIn(s.spec.Size(), w.Capacity), s.roomForMore(w)))
	}
	surplus := adviceSurplus
	if s.spec.Gang {
		surplus = adviceSurplusGang
	}
	need := math.Ceil(float64(len(s.tasks)) / float64(each))
	return int(math.Ceil(need*surplus/max(share, 0.05))) + adviceExtra
}

// ask sends a call for advice if an instance is free for it.
func (c *Cell) ask(s *step, names []structs.WorkerID) bool {
	expected := s.job.queue.Advisor.CallTime(len(names))
	slot := c.freeAdvisor(expected)
	if slot == nil {
		return false
	}
	slot.busy += expected
	s.asking++
	c.emit(AskAdvice{Step: s.name, Via: slot.id, Workers: names, Expected: expected})
	return true
}

func (c *Cell) adviceAnswered(e AdviceAnswered) {
	c.adviceEnded(e)
	s := c.findStep(e.Step)
	if s == nil {
		return
	}
	s.asking = max(0, s.asking-1)
	if e.Failed {
		s.askAfter = c.now.Add(adviceRetry)
		c.unplaceAll(s)
		return
	}
	for _, id := range e.Workers {
		s.advice[id] = admission{}
	}
	for _, ticket := range e.Advice.Good {
		w := c.workers[ticket.Worker]
		if w == nil {
			continue
		}
		s.advice[ticket.Worker] = admission{
			good: true, token: ticket.Token, until: c.now.Add(e.Advice.Validity - ticketMargin), life: w.Incarnation,
		}
	}
	s.good = s.good[:0]
	for _, w := range c.order {
		if s.advice[w.ID].good {
			s.good = append(s.good, w)
		}
	}
	c.learnGoodShare(s, len(e.Workers), len(e.Advice.Good))
	c.decide(Decision{Event: "advice", Job: s.job.spec.ID, Task: s.name, Value: int64(len(e.Advice.Good)), Reason: s.job.queue.Name})
	c.startPlaced(s)
	c.placeAgain = true
}

// adviceRetry is the pause after advice that failed.
const adviceRetry = 200 * 1e6

func (c *Cell) learnGoodShare(s *step, asked, good int) {
	if asked < 4 {
		return // renewals name good workers only
	}
	share := float64(good) / float64(asked)
	if old, seen := c.goodShare[s.job.queue.Name]; seen {
		share = old + goodShareWeight*(share-old)
	}
	c.goodShare[s.job.queue.Name] = share
}

// hasTicket reports whether a task may start on its worker now.
func (c *Cell) hasTicket(t *task) bool {
	return c.isTicketValid(t.step, t.at)
}

func (c *Cell) isTicketValid(s *step, w *worker) bool {
	if s.job.queue.Advisor == nil {
		return true
	}
	known := s.advice[w.ID]
	return known.good && known.life == w.Incarnation && c.now.Before(known.until)
}

// renewForRestart renews the tickets of the workers that a broken gang was on,
// while its members are being stopped.
func (c *Cell) renewForRestart(s *step) {
	if s.job.queue.Advisor == nil || s.asking > 0 {
		return
	}
	var names []structs.WorkerID
	for _, t := range s.tasks {
		if t.at != nil && c.eligible(s, t.at) && !slices.Contains(names, t.at.ID) {
			names = append(names, t.at.ID)
		}
	}
	if len(names) > 0 {
		c.ask(s, names)
	}
}

// startPlaced starts the placed tasks that have tickets and asks for the
// tickets that are missing. A gang starts when all members have one.
func (c *Cell) startPlaced(s *step) {
	c.unplaceNotAdmitted(s)
	var ready []*task
	missing := false
	for _, t := range s.tasks {
		if t.state != taskPlaced {
			continue
		}
		if c.hasTicket(t) {
			ready = append(ready, t)
		} else {
			missing = true
		}
	}
	if missing && s.asking == 0 && (c.now.Before(s.askAfter) || !c.ask(s, c.ticketsToRenew(s))) {
		c.unplaceWithoutTicket(s)
	}
	if len(ready) == 0 || (s.spec.Gang && len(ready) < len(s.tasks)) {
		return
	}
	if s.spec.Gang {
		s.gangRun = c.nextRun(s.tasks)
		for _, t := range ready {
			c.start(t, s.gangRun)
		}
		return
	}
	for _, t := range ready {
		c.start(t, c.nextRun([]*task{t}))
	}
}

// unplaceNotAdmitted gives up places on workers whose next life is not
// admitted.
func (c *Cell) unplaceNotAdmitted(s *step) {
	if s.job.queue.Advisor == nil {
		return
	}
	for _, t := range s.tasks {
		if t.state == taskPlaced && !s.advice[t.at.ID].good {
			c.unplace(t)
		}
	}
}

// ticketsToRenew returns the workers of placed tasks whose tickets are missing
// or, for a gang, lapse before the others are there: all members need a valid
// one at the same time, and a call may take half as long as a ticket is valid.
func (c *Cell) ticketsToRenew(s *step) []structs.WorkerID {
	var names []structs.WorkerID
	validUntil := c.now
	if s.spec.Gang {
		validUntil = c.now.Add(s.job.queue.Advisor.CallTime(len(s.tasks)) + ticketMargin)
	}
	for _, t := range s.tasks {
		if t.state != taskPlaced || slices.Contains(names, t.at.ID) {
			continue
		}
		known := s.advice[t.at.ID]
		if known.life != t.at.Incarnation || !validUntil.Before(known.until) {
			names = append(names, t.at.ID)
		}
	}
	return names
}

// unplaceWithoutTicket gives up places that would stand idle until an
// instance is free to renew their tickets.
func (c *Cell) unplaceWithoutTicket(s *step) {
	for _, t := range s.tasks {
		if t.state == taskPlaced && (s.spec.Gang || !c.hasTicket(t)) {
			c.unplace(t)
		}
	}
}

func (c *Cell) unplaceAll(s *step) {
	for _, t := range s.tasks {
		c.unplace(t)
	}
	c.placeAgain = true
}
