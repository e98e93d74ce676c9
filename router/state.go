package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Config identifies the instance and seeds the state's randomness.
type Config struct {
	Instance structs.InstanceID
	Location structs.Location
	Seed     uint64
	Policy   Policy
	// Alone makes the instance use the full slots of every executor without
	// asking for credits.
	Alone bool
	// FirstSequence numbers the first credit request; it must exceed every
	// number that an earlier run of the instance used.
	FirstSequence uint64
}

type phase int

const (
	phaseClaiming phase = iota + 1
	phaseQueued
	phaseRunning
	phaseBackoff
	phaseWaiting // for the holder of the same claim
)

// request is a request between its arrival and its end.
type request struct {
	ref      Ref
	req      Request
	class    int
	phase    phase
	arrived  structs.Timestamp
	started  structs.Timestamp // of the first attempt
	wakeAt   structs.Timestamp // end of a backoff
	attempt  int
	runs     []run // attempts in flight, at most two
	hedgeAt  structs.Timestamp
	tried    []structs.ExecutorID
	service  *service
	claimed  bool
	maybeRan bool // a byte of an attempt may have reached an executor
	gone     bool // the caller left
	waiters  []Ref
	claimKey claimKey
}

// run is an attempt in flight.
type run struct {
	attempt  int
	executor *executor
	began    structs.Timestamp
}

// State is the reducer for the requests of one instance. It is not safe for
// concurrent use.
type State struct {
	cfg       Config
	policy    Policy
	now       structs.Timestamp
	out       []structs.Effect
	rng       uint64
	draining  bool
	classes   map[structs.ClassName]int
	budgets   []budget
	services  map[string]*service
	executors map[structs.ExecutorID]*executor
	order     []*executor // in the order of the list, for determinism
	requests  map[Ref]*request
	holders   map[claimKey]Ref
	timers    timerHeap
	orphans   map[attemptKey]orphan
	long      map[Ref]struct{} // running attempts that end at their credit's end unless it is renewed
	credit    creditState
	counts    Counts
	pool      []*request
}

// Counts are totals since the start.
type Counts struct {
	FirstAttempts uint64
	Retries       uint64
	Refused       uint64
	CreditsLapsed uint64 // slots whose credit ended without a renewal
}

// New returns a state without executors.
func New(cfg Config) *State {
	s := &State{
		cfg:       cfg,
		rng:       cfg.Seed*2 + 1,
		services:  map[string]*service{},
		executors: map[structs.ExecutorID]*executor{},
		requests:  map[Ref]*request{},
		holders:   map[claimKey]Ref{},
		long:      map[Ref]struct{}{},
		orphans:   map[attemptKey]orphan{},
	}
	s.credit.init(cfg)
	s.setPolicy(cfg.Policy)
	return s
}

// Reduce applies an event. The returned slice is valid until the next call.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if now > s.now {
		s.now = now
	}
	clear(s.out)
	s.out = s.out[:0]
	switch ev := ev.(type) {
	case *RequestArrived:
		s.arrive(ev)
	case *CallerGone:
		s.callerGone(ev.Ref)
	case *AttemptEnded:
		s.attemptEnded(ev)
	case *ClaimEnded:
		s.claimEnded(ev)
	case *CreditsDelivered:
		s.creditsDelivered(&ev.Grant)
	case *ExecutorsListed:
		s.listExecutors(ev.Executors)
	case *PolicyChanged:
		s.setPolicy(ev.Policy)
	case *DrainStarted:
		s.draining = true
	case *Tick:
		s.tick()
	}
	return s.out
}

func (s *State) emit(e structs.Effect) { s.out = append(s.out, e) }

// random returns the next number of a xorshift generator.
func (s *State) random() uint64 {
	s.rng ^= s.rng << 13
	s.rng ^= s.rng >> 7
	s.rng ^= s.rng << 17
	return s.rng
}

// jitter returns a duration between half and one and a half of d.
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(s.random()%uint64(d))
}

// setPolicy keeps the queues of classes that stay and refuses what is queued
// in classes that are gone.
func (s *State) setPolicy(p Policy) {
	old := s.policy
	oldBudgets := s.budgets
	s.policy = p.withDefaults()
	s.classes = make(map[structs.ClassName]int, len(p.Classes))
	s.budgets = make([]budget, len(s.policy.Classes))
	for i, c := range s.policy.Classes {
		s.classes[c.Name] = i
		for j, was := range old.Classes {
			if was.Name == c.Name {
				s.budgets[i] = oldBudgets[j]
			}
		}
	}
	for _, r := range s.sortedRequests() {
		if s.requests[r.ref] != r {
			continue // refused together with the request that it waited for
		}
		class, ok := s.classes[r.req.Class]
		if ok {
			r.class = class
			continue
		}
		r.class = 0
		if r.phase != phaseRunning {
			s.refuse(r, NotRun, ReasonUnknownClass, 0)
		}
	}
	for key, o := range s.orphans {
		o.class = s.classes[o.className] // 0, the most urgent, if it is gone
		s.orphans[key] = o
	}
	for _, svc := range s.sortedServices() {
		svc.rebuildQueues(s)
	}
	s.dispatchAll()
}

// Requests returns the number of requests that have not ended.
func (s *State) Requests() int { return len(s.requests) }

// Totals returns counts since the start.
func (s *State) Totals() Counts { return s.counts }

// tick handles what is due.
func (s *State) tick() {
	s.expireCredits()
	for _, svc := range s.services {
		svc.noteDemand()
	}
	for {
		due, ok := s.timers.popDue(s.now)
		if !ok {
			break
		}
		if r := s.requests[due.ref]; r != nil {
			s.timerDue(r)
		}
	}
	s.dispatchAll()
	s.requestCredits()
}

func (s *State) timerDue(r *request) {
	if r.phase == phaseRunning {
		s.hedgeIfDue(r)
		return // the shell ends attempts at their deadline
	}
	if s.now >= r.req.Deadline {
		s.deadlinePassed(r)
		return
	}
	if r.phase == phaseBackoff && s.now >= r.wakeAt {
		s.enqueue(r)
	}
}

// deadlinePassed ends a request that is not running.
func (s *State) deadlinePassed(r *request) {
	switch {
	case r.phase == phaseClaiming:
		return // the claim's writer knows whether the claim may exist; it ends at the deadline
	case r.phase == phaseWaiting, r.maybeRan:
		s.refuse(r, OutcomeUnknown, ReasonDeadlinePassed, 0)
	default:
		s.refuse(r, NotRun, ReasonDeadlinePassed, s.expectedWait(r.service, r.class))
	}
}

// UnknownClass stands in RequestObserved for classes outside the policy.
const UnknownClass structs.ClassName = "unknown"

// arrive admits a request or refuses it.
func (s *State) arrive(ev *RequestArrived) {
	r := s.newRequest()
	r.ref = ev.Ref
	r.req = ev.Request
	r.arrived = s.now
	class, ok := s.classes[r.req.Class]
	s.requests[r.ref] = r
	if !ok {
		r.req.Class = UnknownClass // a caller's text must not become a label
		s.refuse(r, NotRun, ReasonUnknownClass, 0)
		return
	}
	r.class = class
	r.service = s.services[r.req.Service]
	r.req.Deadline = s.boundDeadline(class, r.req.Deadline)
	if reason, wait := s.admit(r); reason != "" {
		s.refuse(r, NotRun, reason, wait)
		return
	}
	if r.req.Idempotent {
		s.enqueueAndDispatch(r)
		return
	}
	s.claim(r)
}

func (s *State) boundDeadline(class int, deadline structs.Timestamp) structs.Timestamp {
	policy := &s.policy.Classes[class]
	if deadline == 0 {
		return s.now.Add(policy.DefaultDeadline)
	}
	return min(deadline, s.now.Add(policy.MaxDeadline))
}

// admit returns the reason to refuse a request, or "".
func (s *State) admit(r *request) (Reason, time.Duration) {
	const drainRetryAfter = time.Second // another instance takes it at once
	if s.draining {
		return ReasonDraining, drainRetryAfter
	}
	if r.service == nil {
		return ReasonUnknownService, drainRetryAfter
	}
	if s.now >= r.req.Deadline {
		return ReasonDeadlinePassed, 0
	}
	policy := &s.policy.Classes[r.class]
	queue := &r.service.queues[r.class]
	wait := s.expectedWait(r.service, r.class)
	if queue.queued >= policy.QueueLimit {
		return ReasonQueueFull, wait
	}
	if queue.teamQueued(r.req.Team) >= policy.TeamQueueLimit {
		return ReasonTeamQueueFull, wait
	}
	if policy.Urgency == structs.Urgent && s.cannotMeet(r, wait) {
		return ReasonCannotMeet, wait
	}
	return "", 0
}

// cannotMeet reports whether the expected wait and run time exceed the
// deadline of a request that would have to queue.
func (s *State) cannotMeet(r *request, wait time.Duration) bool {
	queue := &r.service.queues[r.class]
	if queue.queued == 0 {
		return false
	}
	return s.now.Add(wait+r.service.runTime) > r.req.Deadline
}

// callerGone ends the work of a request whose caller left.
func (s *State) callerGone(ref Ref) {
	r := s.requests[ref]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	switch r.phase {
	case phaseRunning:
		for _, running := range r.runs {
			s.emit(CancelAttempt{Ref: ref, Attempt: running.attempt})
		}
	case phaseClaiming: // ends with ClaimEnded
	default:
		s.finish(r, "", StoredAnswer{})
	}
}

// refuse answers the caller and ends the request.
func (s *State) refuse(r *request, outcome Outcome, reason Reason, retryAfter time.Duration) {
	s.counts.Refused++
	if !r.gone {
		s.emit(Refuse{Ref: r.ref, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
	}
	s.finish(r, outcome, StoredAnswer{Outcome: outcome})
}

// finish removes a request, settles its claim and answers its waiters.
func (s *State) finish(r *request, outcome Outcome, stored StoredAnswer) {
	if r.phase == phaseQueued {
		r.service.queues[r.class].remove(r)
	}
	s.settleClaim(r, stored)
	delete(s.requests, r.ref)
	wait := s.now.Sub(r.arrived)
	if r.started != 0 {
		wait = r.started.Sub(r.arrived)
	}
	observed := outcome
	if r.gone {
		observed = ""
	}
	s.emit(RequestObserved{
		Team: r.req.Team, Class: r.req.Class, Outcome: observed,
		Wait: wait, Total: s.now.Sub(r.arrived),
	})
	s.pool = append(s.pool, r)
}

func (s *State) newRequest() *request {
	if n := len(s.pool); n > 0 {
		r := s.pool[n-1]
		s.pool = s.pool[:n-1]
		*r = request{tried: r.tried[:0], waiters: r.waiters[:0], runs: r.runs[:0]}
		return r
	}
	return &request{}
}
