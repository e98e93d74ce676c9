package router

import (
	"math"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// strideUnit is the pass that one start costs at weight 1.
const strideUnit = 1 << 20

// teamQueue is the first-come queue of one team in one class.
type teamQueue struct {
	team    structs.TeamID
	items   []*request
	head    int
	pass    uint64
	skipped uint64 // the dispatch pass in which its head could not start
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

// classQueue holds the queued requests of one class of a service and shares
// the class's starts among teams by stride scheduling.
type classQueue struct {
	class    int
	weight   uint64
	floor    int // percent
	queued   int
	inflight int
	pass     uint64
	// floorDebt is the starts, in hundredths, that the floor owes the class.
	floorDebt int
	teams     map[structs.TeamID]*teamQueue
	active    []*teamQueue // teams with queued requests
	teamPass  uint64       // pass of the team served last
}

func (c *classQueue) teamQueued(team structs.TeamID) int {
	if t := c.teams[team]; t != nil {
		return t.length()
	}
	return 0
}

// push appends r. A team that was idle starts at the current pass, so it
// cannot save up starts.
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
// this dispatch pass.
func (c *classQueue) next(round uint64) *teamQueue {
	var best *teamQueue
	for _, t := range c.active {
		if t.skipped == round {
			continue
		}
		if best == nil || t.pass < best.pass || t.pass == best.pass && t.team < best.team {
			best = t
		}
	}
	return best
}

// popHead removes the head of t, which starts now.
func (c *classQueue) popHead(t *teamQueue, teamWeight int) {
	c.teamPass = max(c.teamPass, t.pass)
	t.pass += strideUnit / uint64(max(teamWeight, 1))
	t.pop()
	c.queued--
	c.dropIfEmpty(t)
}

// remove takes r out of the queue wherever it stands.
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
	c.dropIfEmpty(t)
}

func (c *classQueue) dropIfEmpty(t *teamQueue) {
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

// enqueueAndDispatch takes the short way for a request that can start at once.
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

// dispatchAll starts what can start in every service.
func (s *State) dispatchAll() {
	for _, svc := range s.sortedServices() {
		s.dispatch(svc)
	}
}

// dispatch starts queued requests while there are usable slots. A team whose
// head cannot start is set aside for this pass, so it blocks nobody else.
func (s *State) dispatch(svc *service) {
	svc.round++
	for svc.queuedTotal() > 0 && svc.inflight < svc.held {
		queue, team := s.nextQueued(svc)
		if team == nil {
			return
		}
		r := team.items[team.head]
		if s.isTooLate(r) {
			s.refuse(r, s.certainOutcome(r), ReasonCannotMeet, s.expectedWait(svc, r.class))
			continue
		}
		e := s.choose(svc, r)
		if e == nil {
			team.skipped = svc.round
			continue
		}
		queue.popHead(team, s.policy.TeamWeights[team.team])
		svc.charge(queue)
		s.start(r, e)
	}
}

// isTooLate reports whether an urgent request that waited has less time left
// than half of a usual answer takes. It would end with an unknown outcome.
func (s *State) isTooLate(r *request) bool {
	if s.policy.Classes[r.class].Urgency != structs.Urgent {
		return false
	}
	return r.req.Deadline.Sub(s.now) < r.service.latency/2
}

// certainOutcome is what is known about a request that is not running.
func (s *State) certainOutcome(r *request) Outcome {
	if r.maybeRan {
		return OutcomeUnknown
	}
	return NotRun
}

// nextQueued picks the class that is owed a start by its floor, otherwise the
// one with the lowest pass.
func (s *State) nextQueued(svc *service) (*classQueue, *teamQueue) {
	var best *classQueue
	var bestTeam *teamQueue
	for i := range svc.queues {
		queue := &svc.queues[i]
		if queue.queued == 0 || !s.mayStart(svc, i) {
			continue
		}
		team := queue.next(svc.round)
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

// mayStart reports whether a start of the class leaves the slots free that
// others may claim: the floors of more urgent classes and, if the class floods
// the service, what the others' arrivals vary by.
func (s *State) mayStart(svc *service, class int) bool {
	free := svc.held - svc.inflight
	if free <= 0 {
		return false
	}
	reserved := 0
	for i := range class {
		queue := &svc.queues[i]
		if s.policy.Classes[i].Urgency == s.policy.Classes[class].Urgency {
			continue
		}
		reserved += max(0, (svc.held*queue.floor+50)/100-queue.inflight)
	}
	if s.isFlooding(svc, class) {
		reserved = max(reserved, s.headroom(svc, class))
	}
	return free > reserved
}

// isFlooding reports whether a class is above its floor and would use the
// whole service: deferrable ones always, others with a long queue.
func (s *State) isFlooding(svc *service, class int) bool {
	queue := &svc.queues[class]
	if queue.inflight <= svc.held*queue.floor/100 {
		return false
	}
	return s.policy.Classes[class].Urgency == structs.Deferrable || queue.queued > svc.held
}

// headroomDeviations is how many standard deviations of the other classes'
// use are left free for them by a class that floods. Independent arrivals
// vary by about the square root of the slots in use; three deviations are
// exceeded about once in a thousand.
const headroomDeviations = 3

// headroom returns the slots to leave free for the classes that do not flood.
func (s *State) headroom(svc *service, class int) int {
	used := 0
	for i := range svc.queues {
		if i != class && !s.isFlooding(svc, i) {
			used += svc.queues[i].inflight
		}
	}
	return int(math.Ceil(headroomDeviations * math.Sqrt(float64(used))))
}
