package router

import (
	"slices"
	"time"
)

// budget limits retries to a percentage of first attempts. It starts empty,
// so the bound holds from the first request on.
type budget struct{ hundredths int }

// maxBudget bounds the retries that a quiet time saves up, in hundredths.
const maxBudget = 100 * 100

func (b *budget) earn(percent int) { b.hundredths = min(b.hundredths+percent, maxBudget) }

func (b *budget) spend() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// tableRetryAfter is the Retry-After for requests that the table or a failed
// attempt stopped.
const tableRetryAfter = time.Second

// attemptEnded settles an attempt and retries, delivers or refuses.
func (s *State) attemptEnded(ev *AttemptEnded) {
	r := s.requests[ev.Ref]
	i := -1
	if r != nil {
		i = slices.IndexFunc(r.runs, func(running run) bool { return running.attempt == ev.Attempt })
	}
	if i < 0 {
		s.orphanEnded(attemptKey{ev.Ref, ev.Attempt})
		return
	}
	ended := r.runs[i]
	r.runs = slices.Delete(r.runs, i, i+1)
	if len(r.runs) == 0 {
		delete(s.long, r.ref)
	}
	svc := r.service
	s.releaseSlot(ended.executor, svc, r.class)
	s.observeAttempt(ended.executor, svc, ended.began, &ev.Result)
	if !ev.Result.Kind.neverSent() {
		r.maybeRan = true
	}
	if !s.waitsForOther(r, &ev.Result) {
		s.settleAttempt(r, &ev.Result)
	}
	s.dispatch(svc)
}

func (s *State) settleAttempt(r *request, res *Result) {
	switch {
	case res.Kind == Completed:
		s.finishAnswered(r, res)
	case r.gone || res.Kind == Cancelled:
		r.gone = true
		s.finish(r, "", StoredAnswer{})
	case res.Kind == CutMidAnswer:
		s.finish(r, OutcomeUnknown, StoredAnswer{})
	case res.Kind == Buffered:
		s.settleBuffered(r, res)
	case s.retry(r, res):
	case !r.maybeRan:
		s.refuse(r, NotRun, ReasonAttemptFailed, tableRetryAfter)
	default:
		s.refuse(r, OutcomeUnknown, ReasonAttemptFailed, 0)
	}
}

func (s *State) settleBuffered(r *request, res *Result) {
	if IsRetriableStatus(res.Status) && s.retry(r, res) {
		return
	}
	s.emit(Deliver{Ref: r.ref})
	s.finishAnswered(r, res)
}

func (s *State) finishAnswered(r *request, res *Result) {
	outcome := Answered
	if res.Status >= 500 {
		outcome = RanAndFailed
	}
	stored := res.Stored
	stored.Outcome = outcome
	stored.Status = res.Status
	s.finish(r, outcome, stored)
}

// IsRetriableStatus reports whether another executor may do better: 502, 503
// and 504 tell of the executor, other 5xx of the request.
func IsRetriableStatus(status int) bool { return status >= 502 && status <= 504 }

// retry schedules another attempt if the request, the policy, the deadline
// and the budget allow it.
func (s *State) retry(r *request, res *Result) bool {
	if !res.Replayable && !res.Kind.neverSent() {
		return false
	}
	if !r.req.Idempotent && r.maybeRan {
		return false
	}
	if r.attempt >= s.policy.MaxAttempts || !s.hasOtherExecutor(r) {
		return false
	}
	backoff := s.jitter(s.policy.RetryBackoff << (r.attempt - 1))
	if s.now.Add(backoff) >= r.req.Deadline || !s.budgets[r.class].spend() {
		return false
	}
	s.counts.Retries++
	r.phase = phaseBackoff
	r.wakeAt = s.now.Add(backoff)
	s.timers.push(timer{r.wakeAt, r.ref})
	return true
}

func (s *State) hasOtherExecutor(r *request) bool {
	for _, e := range r.service.executors {
		if e.isOpen() && !slices.Contains(r.tried, e.info.ID) {
			return true
		}
	}
	return false
}
