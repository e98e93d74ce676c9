package router

import (
	"math"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// strideUnit is the stride at weight 1: the amount by which a start advances the
// pass of its class or team.
const strideUnit = 1 << 20

// teamQueue is the FIFO queue of one team in one class.
type teamQueue struct {
	team           structs.TeamID
	items          []*request
	head           int
	pass           uint64
	skippedInRound uint64 // last dispatch round in which the head could not start
}

func (t *teamQueue) length() int { return len(t.items) - t.head }

func (t *teamQueue) pop() {
	t.items[t.head] = nil
	t.head++
	if t.head == len(t.items) || t.head >= 64 && 2*t.head >= len(t.items) {
		n := copy(t.items, t.items[t.head:])
		clear(t.items[n:])
		t.items = t.items[:n]
		t.head = 0
	}
}

// classQueue contains the queued requests of one class of a service. It divides
// the starts of the class among teams by stride scheduling.
type classQueue struct {
	class        int
	weight       uint64
	floorPercent int
	queued       int
	inflight     int
	pass         uint64
	// floorDebt is the number of starts, in hundredths, that the class is
	// behind its floor.
	floorDebt int
	teams     map[structs.TeamID]*teamQueue
	active    []*teamQueue // teams with queued requests
	teamPass  uint64       // pass of the team that started a request last
}

func (c *classQueue) teamQueued(team structs.TeamID) int {
	if t := c.teams[team]; t != nil {
		return t.length()
	}
	return 0
}

// push appends r. A team that was idle continues at the current pass, so that
// it does not accumulate starts.
func (c *classQueue) push(r *request) {
	t := c.teams[r.req.Team]
	if t == nil {
		t = &teamQueue{team: r.req.Team}
		c.teams[r.req.Team] = t
	}
	if t.length() == 0 {
		t.pass = max(t.pass, c.teamPass)
		c.active = append(c.active, t)
	}
	t.items = append(t.items, r)
	c.queued++
}

// next returns the active team with the lowest pass that was not skipped in
// this dispatch round.
func (c *classQueue) next(round uint64) *teamQueue {
	var best *teamQueue
	for _, t := range c.active {
		if t.skippedInRound == round {
			continue
		}
		if best == nil || t.pass < best.pass || t.pass == best.pass && t.team < best.team {
			best = t
		}
	}
	return best
}

// popHead removes the head of t for its start and advances the pass of t.
func (c *classQueue) popHead(t *teamQueue, teamWeight int) {
	c.teamPass = max(c.teamPass, t.pass)
	t.pass += strideUnit / uint64(max(teamWeight, 1))
	t.pop()
	c.queued--
	c.removeIfEmpty(t)
}

// remove removes r from any position in the queue.
func (c *classQueue) remove(r *request) {
	t := c.teams[r.req.Team]
	if t == nil {
		return
	}
	i := slices.Index(t.items[t.head:], r)
	if i < 0 {
		return
	}
	t.items = slices.Delete(t.items, t.head+i, t.head+i+1)
	c.queued--
	c.removeIfEmpty(t)
}

func (c *classQueue) removeIfEmpty(t *teamQueue) {
	if t.length() > 0 {
		return
	}
	c.active = slices.DeleteFunc(c.active, func(o *teamQueue) bool { return o == t })
	delete(c.teams, t.team)
}

// enqueue puts r into its class queue and sets its deadline timer.
func (s *State) enqueue(r *request) {
	r.phase = phaseQueued
	svc := r.service
	queue := &svc.queues[r.class]
	if queue.queued == 0 {
		queue.pass = max(queue.pass, svc.pass)
	}
	queue.push(r)
	s.timers.push(timer{r.req.Deadline, r.ref})
}

// enqueueAndDispatch starts r at once if possible and queues it otherwise.
func (s *State) enqueueAndDispatch(r *request) {
	r.service = s.services[r.req.Service]
	svc := r.service
	if svc.queues[r.class].queued == 0 && s.mayStart(svc, r.class) {
		if e := s.choose(svc, r); e != nil {
			s.start(r, e)
			return
		}
	}
	s.enqueue(r)
}

// dispatchAll dispatches the queued requests of every service.
func (s *State) dispatchAll() {
	for _, svc := range s.sortedServices() {
		s.dispatch(svc)
	}
}

// dispatch starts queued requests while there are usable slots. A team whose
// head cannot start is skipped for the rest of the round, so that it does not
// block other teams.
func (s *State) dispatch(svc *service) {
	svc.dispatchRound++
	for svc.queuedTotal() > 0 && svc.inflight < svc.heldSlots {
		queue, team := s.nextQueued(svc)
		if team == nil {
			return
		}
		r := team.items[team.head]
		if s.isTooLate(r) {
			s.refuse(r, s.knownOutcome(r), ReasonDeadlineCannotBeMet, s.expectedWait(svc, r.class))
			continue
		}
		e := s.choose(svc, r)
		if e == nil {
			team.skippedInRound = svc.dispatchRound
			continue
		}
		queue.popHead(team, s.policy.TeamWeights[team.team])
		svc.charge(queue)
		s.start(r, e)
	}
}

// isTooLate reports whether an urgent request that waited has less time left
// than half of the usual latency. Its outcome would most likely be unknown.
func (s *State) isTooLate(r *request) bool {
	if s.policy.Classes[r.class].Urgency != structs.Urgent {
		return false
	}
	return r.req.Deadline.Sub(s.now) < r.service.latency/2
}

// knownOutcome returns the outcome of a request that ends without a running
// attempt.
func (s *State) knownOutcome(r *request) Outcome {
	if r.mayHaveRun {
		return OutcomeUnknown
	}
	return NotRun
}

// nextQueued returns the first class that is at least one start behind its
// floor, otherwise the class with the lowest pass, and its next team.
func (s *State) nextQueued(svc *service) (*classQueue, *teamQueue) {
	var best *classQueue
	var bestTeam *teamQueue
	for i := range svc.queues {
		queue := &svc.queues[i]
		if queue.queued == 0 || !s.mayStart(svc, i) {
			continue
		}
		team := queue.next(svc.dispatchRound)
		if team == nil {
			continue
		}
		if queue.floorDebt >= 100 {
			return queue, team
		}
		if best == nil || queue.pass < best.pass {
			best, bestTeam = queue, team
		}
	}
	return best, bestTeam
}

// mayStart reports whether a start of the class leaves enough slots free for
// other classes: the floors of more urgent classes and, if the class floods the
// service, headroom for variations in the arrivals of the others.
func (s *State) mayStart(svc *service, class int) bool {
	free := svc.heldSlots - svc.inflight
	if free <= 0 {
		return false
	}
	reserved := 0
	for i := range class {
		queue := &svc.queues[i]
		if s.policy.Classes[i].Urgency == s.policy.Classes[class].Urgency {
			continue
		}
		reserved += max(0, (svc.heldSlots*queue.floorPercent+50)/100-queue.inflight)
	}
	if s.isFlooding(svc, class) {
		reserved = max(reserved, s.headroom(svc, class))
	}
	return free > reserved
}

// isFlooding reports whether a class is above its floor and could use the whole
// service. This is always assumed of deferrable classes, and of others if they
// have more queued requests than the service has slots.
func (s *State) isFlooding(svc *service, class int) bool {
	queue := &svc.queues[class]
	if queue.inflight <= svc.heldSlots*queue.floorPercent/100 {
		return false
	}
	return s.policy.Classes[class].Urgency == structs.Deferrable || queue.queued > svc.heldSlots
}

// headroomDeviations is the number of standard deviations of the other classes'
// use that a flooding class leaves free for them. The standard deviation for
// independent arrivals is about the square root of the slots in use; three
// standard deviations are exceeded about once in a thousand cases.
const headroomDeviations = 3

// headroom returns the number of slots to leave free for the classes that do
// not flood.
func (s *State) headroom(svc *service, class int) int {
	used := 0
	for i := range svc.queues {
		if i != class && !s.isFlooding(svc, i) {
			used += svc.queues[i].inflight
		}
	}
	return int(math.Ceil(headroomDeviations * math.Sqrt(float64(used))))
}
