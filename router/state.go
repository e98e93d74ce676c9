package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Config contains the parameters of a State.
type Config struct {
	Instance structs.InstanceID
	Location structs.Location
	Seed     uint64
	Policy   Policy
	// Standalone makes the instance use all slots of every executor without
	// requesting credits.
	Standalone bool
	// FirstSequence numbers the first credit request; it must exceed every
	// number that an earlier process of the instance used.
	FirstSequence uint64
}

// phase is the stage of processing of a request.
type phase int

const (
	phaseClaiming phase = iota + 1
	phaseQueued
	phaseRunning
	phaseBackoff
	phaseAwaitingClaimHolder // a repeat that waits for the request that holds its claim
)

// request is the state of a request between its arrival and its end.
type request struct {
	ref                Ref
	req                Request
	class              int
	phase              phase
	arrived            structs.Timestamp
	started            structs.Timestamp // start of the first attempt
	retryAt            structs.Timestamp // end of a backoff
	attemptCount       int
	activeAttempts     []activeAttempt // attempts in flight, at most two
	hedgeAt            structs.Timestamp
	triedExecutors     []structs.ExecutorID
	service            *service
	claimed            bool
	mayHaveRun         bool // a byte of the request may have reached an executor
	callerDisconnected bool
	waiters            []Ref
	claimKey           claimKey
}

// activeAttempt is an attempt in flight.
type activeAttempt struct {
	attempt  int
	executor *executor
	started  structs.Timestamp
}

// State is the reducer for the requests of one instance. It is not safe for
// concurrent use.
type State struct {
	cfg          Config
	policy       Policy
	now          structs.Timestamp
	effects      []structs.Effect
	rngState     uint64
	draining     bool
	classes      map[structs.ClassName]int
	retryBudgets []retryBudget
	services     map[string]*service
	executors    map[structs.ExecutorID]*executor
	executorList []*executor // in list order, for determinism
	requests     map[Ref]*request
	claimHolders map[claimKey]Ref
	timers       timerHeap
	superseded   map[attemptKey]supersededAttempt
	creditBound  map[Ref]struct{} // requests with an attempt that ends with its credit unless that is renewed
	credit       creditState
	counts       Counts
	pool         []*request
}

// Counts are totals since the state was created.
type Counts struct {
	FirstAttempts      uint64
	Retries            uint64
	Refused            uint64
	ExpiredCreditSlots uint64 // slots whose credit expired
}

// New returns a state without executors.
func New(cfg Config) *State {
	s := &State{
		cfg:          cfg,
		rngState:     cfg.Seed*2 + 1,
		services:     map[string]*service{},
		executors:    map[structs.ExecutorID]*executor{},
		requests:     map[Ref]*request{},
		claimHolders: map[claimKey]Ref{},
		creditBound:  map[Ref]struct{}{},
		superseded:   map[attemptKey]supersededAttempt{},
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
	clear(s.effects)
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case *RequestArrived:
		s.requestArrived(ev)
	case *CallerDisconnected:
		s.callerDisconnected(ev.Ref)
	case *AttemptEnded:
		s.attemptEnded(ev)
	case *ClaimEnded:
		s.claimEnded(ev)
	case *GrantReceived:
		s.grantReceived(&ev.Grant)
	case *ExecutorsListed:
		s.listExecutors(ev.Executors)
	case *PolicyChanged:
		s.setPolicy(ev.Policy)
	case *DrainStarted:
		s.draining = true
	case *Tick:
		s.tick()
	}
	return s.effects
}

func (s *State) emit(e structs.Effect) { s.effects = append(s.effects, e) }

// random returns the next number of a xorshift generator.
func (s *State) random() uint64 {
	s.rngState ^= s.rngState << 13
	s.rngState ^= s.rngState >> 7
	s.rngState ^= s.rngState << 17
	return s.rngState
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(s.random()%uint64(d))
}

// setPolicy applies a policy. It keeps the queues of classes that still exist
// and refuses queued requests of removed classes.
func (s *State) setPolicy(p Policy) {
	old := s.policy
	oldBudgets := s.retryBudgets
	s.policy = p.withDefaults()
	s.classes = make(map[structs.ClassName]int, len(p.Classes))
	s.retryBudgets = make([]retryBudget, len(s.policy.Classes))
	for i, c := range s.policy.Classes {
		s.classes[c.Name] = i
		for j, was := range old.Classes {
			if was.Name == c.Name {
				s.retryBudgets[i] = oldBudgets[j]
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
	for key, o := range s.superseded {
		o.class = s.classes[o.className] // 0, the most urgent class, if the class was removed
		s.superseded[key] = o
	}
	for _, svc := range s.sortedServices() {
		svc.rebuildQueues(s)
	}
	s.dispatchAll()
}

// Requests returns the number of requests that have not ended.
func (s *State) Requests() int { return len(s.requests) }

// Counts returns the counts since the state was created.
func (s *State) Counts() Counts { return s.counts }

// tick expires credits, handles due timers, dispatches queued requests and
// requests credits.
func (s *State) tick() {
	s.expireCredits()
	for _, svc := range s.services {
		svc.updateDemand()
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

// timerDue handles a timer of r: a hedge, the deadline or the end of a backoff.
func (s *State) timerDue(r *request) {
	if r.phase == phaseRunning {
		s.hedgeIfDue(r)
		return // the gateway ends attempts at their deadline
	}
	if s.now >= r.req.Deadline {
		s.deadlinePassed(r)
		return
	}
	if r.phase == phaseBackoff && s.now >= r.retryAt {
		s.enqueue(r)
	}
}

// deadlinePassed ends a request that is not running.
func (s *State) deadlinePassed(r *request) {
	switch {
	case r.phase == phaseClaiming:
		return // ClaimEnded follows at the deadline and says whether the claim may exist
	case r.phase == phaseAwaitingClaimHolder, r.mayHaveRun:
		s.refuse(r, OutcomeUnknown, ReasonDeadlinePassed, 0)
	default:
		s.refuse(r, NotRun, ReasonDeadlinePassed, s.expectedWait(r.service, r.class))
	}
}

// UnknownClass replaces classes outside the policy in RequestObserved.
const UnknownClass structs.ClassName = "unknown"

// requestArrived admits a request or refuses it.
func (s *State) requestArrived(ev *RequestArrived) {
	r := s.newRequest()
	r.ref = ev.Ref
	r.req = ev.Request
	r.arrived = s.now
	class, ok := s.classes[r.req.Class]
	s.requests[r.ref] = r
	if !ok {
		r.req.Class = UnknownClass // text from a caller must not become a metric label
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

// boundDeadline returns the default deadline for requests without one, and
// otherwise the deadline limited to the maximum of the class.
func (s *State) boundDeadline(class int, deadline structs.Timestamp) structs.Timestamp {
	policy := &s.policy.Classes[class]
	if deadline == 0 {
		return s.now.Add(policy.DefaultDeadline)
	}
	return min(deadline, s.now.Add(policy.MaxDeadline))
}

// admit returns the reason to refuse a request and the time for Retry-After, or
// "" if the request is admitted.
func (s *State) admit(r *request) (Reason, time.Duration) {
	const drainRetryAfter = time.Second // another instance can take the request now
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
	if policy.Urgency == structs.Urgent && s.cannotMeetDeadline(r, wait) {
		return ReasonDeadlineCannotBeMet, wait
	}
	return "", 0
}

// cannotMeetDeadline reports whether the expected wait and run time exceed the
// deadline of a request that would have to queue.
func (s *State) cannotMeetDeadline(r *request, wait time.Duration) bool {
	queue := &r.service.queues[r.class]
	if queue.queued == 0 {
		return false
	}
	return s.now.Add(wait+r.service.runTime) > r.req.Deadline
}

// callerDisconnected cancels a request whose caller disconnected.
func (s *State) callerDisconnected(ref Ref) {
	r := s.requests[ref]
	if r == nil || r.callerDisconnected {
		return
	}
	r.callerDisconnected = true
	switch r.phase {
	case phaseRunning:
		for _, running := range r.activeAttempts {
			s.emit(CancelAttempt{Ref: ref, Attempt: running.attempt})
		}
	case phaseClaiming: // ends with ClaimEnded
	default:
		s.finish(r, "", StoredResponse{})
	}
}

// refuse responds to the caller with the reason and ends the request.
func (s *State) refuse(r *request, outcome Outcome, reason Reason, retryAfter time.Duration) {
	s.counts.Refused++
	if !r.callerDisconnected {
		s.emit(Refuse{Ref: r.ref, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
	}
	s.finish(r, outcome, StoredResponse{Outcome: outcome})
}

// finish removes a request, completes its claim and responds to its waiters.
func (s *State) finish(r *request, outcome Outcome, stored StoredResponse) {
	if r.phase == phaseQueued {
		r.service.queues[r.class].remove(r)
	}
	s.completeClaim(r, stored)
	delete(s.requests, r.ref)
	wait := s.now.Sub(r.arrived)
	if r.started != 0 {
		wait = r.started.Sub(r.arrived)
	}
	observed := outcome
	if r.callerDisconnected {
		observed = ""
	}
	s.emit(RequestObserved{
		Team: r.req.Team, Class: r.req.Class, Outcome: observed,
		Wait: wait, Total: s.now.Sub(r.arrived),
	})
	s.pool = append(s.pool, r)
}

// newRequest returns an empty request, reusing one from the pool if possible.
func (s *State) newRequest() *request {
	if n := len(s.pool); n > 0 {
		r := s.pool[n-1]
		s.pool = s.pool[:n-1]
		*r = request{triedExecutors: r.triedExecutors[:0], waiters: r.waiters[:0], activeAttempts: r.activeAttempts[:0]}
		return r
	}
	return &request{}
}
