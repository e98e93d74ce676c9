package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// A hedge is a second attempt of an urgent idempotent request that runs in
// parallel with a slow first attempt. It costs a token of the retry budget.

// hedgeDelayFactor is the multiple of the mean run time after which an attempt
// is hedged. With exponential run times, 5% of the attempts take longer.
const hedgeDelayFactor = 3

// minHedgeDelay is longer than the tick interval of the gateway, because hedges
// start at ticks.
const minHedgeDelay = 10 * time.Millisecond

// attemptKey identifies an attempt, also after its request ended.
type attemptKey struct {
	ref     Ref
	attempt int
}

// supersededAttempt is an attempt that still runs after another attempt decided
// its request. It occupies its slot until the gateway reports its end.
type supersededAttempt struct {
	executor  *executor
	service   *service
	class     int
	className structs.ClassName
}

// scheduleHedge sets the time at which the first attempt of r is hedged.
func (s *State) scheduleHedge(r *request) {
	r.hedgeAt = 0
	if !r.req.Idempotent || !r.req.Replayable || s.policy.Classes[r.class].Urgency != structs.Urgent {
		return
	}
	r.hedgeAt = s.now.Add(max(minHedgeDelay, hedgeDelayFactor*r.service.runTime))
	s.timers.push(timer{r.hedgeAt, r.ref})
}

// hedgeIfDue starts a second attempt if it is due, no request is queued, a slot
// is free and the budget allows it.
func (s *State) hedgeIfDue(r *request) {
	if r.hedgeAt == 0 || s.now < r.hedgeAt || len(r.activeAttempts) != 1 || r.attemptCount > 1 || r.attemptCount >= s.policy.MaxAttempts || r.callerDisconnected {
		return
	}
	r.hedgeAt = 0
	svc := r.service
	if svc.queuedTotal() > 0 || !s.mayStart(svc, r.class) {
		return
	}
	e := s.choose(svc, r)
	if e == nil || !s.retryBudgets[r.class].spend() {
		return
	}
	s.counts.Retries++
	s.begin(r, e, true)
}

// awaitsOtherAttempt reports whether the result of an attempt leaves its request
// undecided and another attempt still runs. If the result decides the request,
// it cancels the other attempt.
func (s *State) awaitsOtherAttempt(r *request, res *Result) bool {
	if len(r.activeAttempts) == 0 {
		return false
	}
	switch {
	case r.callerDisconnected:
		return true // finish with the last attempt
	case res.Kind == Completed, res.Kind == ResponseInterrupted, res.Kind == Cancelled:
	case res.Kind == Buffered && !IsRetriableStatus(res.Status):
	default:
		return true
	}
	for _, other := range r.activeAttempts {
		s.superseded[attemptKey{r.ref, other.attempt}] = supersededAttempt{other.executor, r.service, r.class, r.req.Class}
		s.emit(CancelAttempt{Ref: r.ref, Attempt: other.attempt})
	}
	r.activeAttempts = r.activeAttempts[:0]
	delete(s.creditBound, r.ref)
	return false
}

func (s *State) supersededEnded(key attemptKey) {
	o, ok := s.superseded[key]
	if !ok {
		return
	}
	delete(s.superseded, key)
	s.releaseSlot(o.executor, o.service, o.class)
	s.dispatch(o.service)
}
