package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// A hedge is a second attempt of an urgent idempotent request beside a first
// one that takes long. It costs a token of the retry budget.

// hedgeRunTimes is after how many mean run times an attempt is late: with
// exponential run times 5% of the attempts are.
const hedgeRunTimes = 3

// minHedgeDelay is above the tick of the shell, which starts hedges.
const minHedgeDelay = 10 * time.Millisecond

// attemptKey names an attempt whose request may have ended.
type attemptKey struct {
	ref     Ref
	attempt int
}

// orphan is an attempt that runs on after another one answered its request.
// It keeps its slot until the shell reports its end.
type orphan struct {
	executor  *executor
	service   *service
	class     int
	className structs.ClassName
}

// planHedge sets the time at which the first attempt of r is late.
func (s *State) planHedge(r *request) {
	r.hedgeAt = 0
	if !r.req.Idempotent || !r.req.Replayable || s.policy.Classes[r.class].Urgency != structs.Urgent {
		return
	}
	r.hedgeAt = s.now.Add(max(minHedgeDelay, hedgeRunTimes*r.service.runTime))
	s.timers.push(timer{r.hedgeAt, r.ref})
}

// hedgeIfDue starts a second attempt if a slot is free that nobody waits for
// and the budget allows it.
func (s *State) hedgeIfDue(r *request) {
	if r.hedgeAt == 0 || s.now < r.hedgeAt || len(r.runs) != 1 || r.attempt > 1 || r.attempt >= s.policy.MaxAttempts || r.gone {
		return
	}
	r.hedgeAt = 0
	svc := r.service
	if svc.queuedTotal() > 0 || !s.mayStart(svc, r.class) {
		return
	}
	e := s.choose(svc, r)
	if e == nil || !s.budgets[r.class].spend() {
		return
	}
	s.counts.Retries++
	s.begin(r, e, true)
}

// waitsForOther reports whether an attempt ended without deciding its request
// because another one still runs. If it does decide, the other is cancelled.
func (s *State) waitsForOther(r *request, res *Result) bool {
	if len(r.runs) == 0 {
		return false
	}
	switch {
	case r.gone:
		return true // finish with the last attempt
	case res.Kind == Completed, res.Kind == CutMidAnswer, res.Kind == Cancelled:
	case res.Kind == Buffered && !IsRetriableStatus(res.Status):
	default:
		return true
	}
	for _, other := range r.runs {
		s.orphans[attemptKey{r.ref, other.attempt}] = orphan{other.executor, r.service, r.class, r.req.Class}
		s.emit(CancelAttempt{Ref: r.ref, Attempt: other.attempt})
	}
	r.runs = r.runs[:0]
	delete(s.long, r.ref)
	return false
}

func (s *State) orphanEnded(key attemptKey) {
	o, ok := s.orphans[key]
	if !ok {
		return
	}
	delete(s.orphans, key)
	s.releaseSlot(o.executor, o.service, o.class)
	s.dispatch(o.service)
}
