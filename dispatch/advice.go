package dispatch

import (
	"cmp"
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
	r := rankOnTime
	if s.job.queue.Priority == 0 {
		r = rankUrgent
	}
	c.askMore(s, r)
}

const (
	// defaultGoodShare stands for the share of good workers until a queue's
	// own has been seen.
	defaultGoodShare = 0.4
	// goodShareWeight of a new observation in the moving average.
	goodShareWeight = 0.2
	// minGoodShare keeps a queue whose advisor refuses nearly all workers from
	// naming all of them in each call.
	minGoodShare = 0.05
	// roomSurplus is how many times the needed room the named workers are
	// expected to have, as other steps take some of it during the call.
	roomSurplus = 1.5
	// roomSurplusGang is larger: all members need room at the same moment.
	roomSurplusGang = 3.0
	// turnover is the share of a worker's capacity that counts as room even
	// when it is full: about that much is freed within the time of a call.
	turnover = 0.25
	// minAdvisedShare of the fixed time of a call may go to naming workers
	// whether or not they are needed now.
	minAdvisedShare = 0.4
	maxAdvised      = 100 // workers that one call may name
	// minGangSlots on known workers for each member of a gang are enough to
	// wait for room there; beyond that only idle instances ask for more.
	minGangSlots = 3.0
)

// askMore asks the advisor about workers that a step knows nothing of. Most
// of the time of a call is the same for one worker and for many, so a call
// names enough of them to make a second one unlikely. It reports whether a
// call was made.
func (c *Cell) askMore(s *step, r rank) bool {
	advisor := s.job.queue.Advisor
	if advisor == nil || s.asking > 0 || c.now.Before(s.askAfter) || c.freeAdvisor(advisor.CallTime(1)) == nil {
		return false
	}
	names := c.workersToAsk(s, r)
	return len(names) > 0 && c.ask(s, names)
}

// workersToAsk returns the unknown workers with the most room, as many as the
// waiting tasks of the step are expected to need. A task that finds no room
// on any unknown worker gains nothing from advice; a gang does, as room is
// reserved for it.
func (c *Cell) workersToAsk(s *step, r rank) []structs.WorkerID {
	type option struct {
		worker *worker
		slots  float64
	}
	size := s.spec.Size()
	var unknown []option
	for _, w := range c.order {
		if _, asked := s.advice[w.ID]; asked || !c.eligible(s, w) {
			continue
		}
		limit := s.roomForMore(w)
		slots := float64(min(timesIn(size, c.free(w, r)), limit))
		if slots == 0 && len(s.advice) > 0 && !s.spec.Gang {
			continue
		}
		unknown = append(unknown, option{w, max(slots, turnover*float64(min(timesIn(size, w.Capacity), limit)))})
	}
	slices.SortStableFunc(unknown, func(a, b option) int { return cmp.Compare(b.slots, a.slots) })
	share, seen := c.goodShare[s.job.queue.Name]
	if !seen {
		share = defaultGoodShare
	}
	surplus := roomSurplus
	if s.spec.Gang {
		surplus = roomSurplusGang
	}
	wanted := float64(s.idle) * surplus / max(share, minGoodShare)
	least := s.job.queue.Advisor.WorkersWithin(minAdvisedShare)
	var names []structs.WorkerID
	for n, o := range unknown {
		if n >= maxAdvised || wanted <= 0 && n >= least {
			break
		}
		wanted -= o.slots
		names = append(names, o.worker.ID)
	}
	return names
}

// knowsEnough reports whether the workers known as good can hold a gang once
// room is reserved on them.
func (c *Cell) knowsEnough(s *step) bool {
	slots := 0
	for _, w := range c.admitted(s) {
		slots += min(timesIn(s.spec.Size(), w.Capacity), s.roomForMore(w))
	}
	return float64(slots) >= minGangSlots*float64(len(s.tasks))
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

// adviseWaitingGang makes the call for advice that helps a gang without room
// most: first until it knows workers that can hold it, then about tickets for
// those once they have room, and about further workers only through instances
// that have nothing else to do.
func (c *Cell) adviseWaitingGang(s *step, r rank) {
	if !c.knowsEnough(s) && c.askMore(s, r) {
		return
	}
	if !c.renewAhead(s, r) && c.advisorsIdle() {
		c.askMore(s, r)
	}
}

// renewAhead renews the tickets of a waiting gang before the last of its room
// is free, so that no room stands idle during the call. It names the good
// workers with the most room, more than the gang needs, as the tickets that
// the answer brings are used wherever there is room by then.
func (c *Cell) renewAhead(s *step, r rank) bool {
	if s.job.queue.Advisor == nil || s.asking > 0 || c.now.Before(s.askAfter) {
		return false
	}
	size := s.spec.Size()
	candidates := c.admitted(s)
	slots := func(w *worker) int { return min(timesIn(size, c.free(w, r)), s.roomForMore(w)) }
	total := 0
	for _, w := range candidates {
		total += slots(w)
	}
	if float64(total) < aheadShare*float64(len(s.tasks)) {
		return false
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(slots(b), slots(a)) })
	var names []structs.WorkerID
	named := 0
	for _, w := range candidates {
		if float64(named) >= aheadSurplus*float64(len(s.tasks)) {
			break
		}
		named += max(slots(w), 1)
		names = append(names, w.ID)
	}
	return c.ask(s, names[:min(len(names), maxAdvised)])
}

const (
	// aheadShare of a gang's members must have room before its tickets are
	// renewed; the rest is freed during the call under the usual turnover.
	aheadShare = 0.3
	// aheadSurplus is how many slots a renewal covers for each member.
	aheadSurplus = 2.0
)

// startPlaced starts the placed tasks that have tickets and asks for the
// tickets that are missing. The members of a gang are placed with tickets
// only.
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

// ticketsToRenew returns the workers of placed tasks without a valid ticket.
func (c *Cell) ticketsToRenew(s *step) []structs.WorkerID {
	var names []structs.WorkerID
	for _, t := range s.tasks {
		if t.state == taskPlaced && !c.hasTicket(t) && !slices.Contains(names, t.at.ID) {
			names = append(names, t.at.ID)
		}
	}
	return names
}

// unplaceWithoutTicket gives up places that would stand idle until an
// instance is free to renew their tickets.
func (c *Cell) unplaceWithoutTicket(s *step) {
	for _, t := range s.tasks {
		if t.state == taskPlaced && !c.hasTicket(t) {
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
