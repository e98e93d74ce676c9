package router

import (
	"slices"
	"time"
)

// retryBudget limits retries to a percentage of first attempts. It starts empty,
// so that the limit holds from the first request on. It counts hundredths of a
// retry.
type retryBudget struct{ hundredths int }

// maxRetryBudget is the maximum that the budget accumulates, in hundredths: 100
// retries.
const maxRetryBudget = 100 * 100

func (b *retryBudget) earn(percent int) { b.hundredths = min(b.hundredths+percent, maxRetryBudget) }

func (b *retryBudget) spend() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// failureRetryAfter is the Retry-After for requests that fail because of the
// table service or a failed attempt.
const failureRetryAfter = time.Second

// attemptEnded releases the slot of an attempt and handles its result.
func (s *State) attemptEnded(ev *AttemptEnded) {
	r := s.requests[ev.Ref]
	i := -1
	if r != nil {
		i = slices.IndexFunc(r.activeAttempts, func(running activeAttempt) bool { return running.attempt == ev.Attempt })
	}
	if i < 0 {
		s.supersededEnded(attemptKey{ev.Ref, ev.Attempt})
		return
	}
	ended := r.activeAttempts[i]
	r.activeAttempts = slices.Delete(r.activeAttempts, i, i+1)
	if len(r.activeAttempts) == 0 {
		delete(s.creditBound, r.ref)
	}
	svc := r.service
	s.releaseSlot(ended.executor, svc, r.class)
	s.observeAttempt(ended.executor, svc, ended.started, &ev.Result)
	if !ev.Result.Kind.neverSent() {
		r.mayHaveRun = true
	}
	if !s.awaitsOtherAttempt(r, &ev.Result) {
		s.handleResult(r, &ev.Result)
	}
	s.dispatch(svc)
}

// handleResult finishes, retries or refuses the request according to the result
// of its attempt.
func (s *State) handleResult(r *request, res *Result) {
	switch {
	case res.Kind == Completed:
		s.finishWithResponse(r, res)
	case r.callerDisconnected || res.Kind == Cancelled:
		r.callerDisconnected = true
		s.finish(r, "", StoredResponse{})
	case res.Kind == ResponseInterrupted:
		s.finish(r, OutcomeUnknown, StoredResponse{})
	case res.Kind == Buffered:
		s.handleBuffered(r, res)
	case s.retry(r, res):
	case !r.mayHaveRun:
		s.refuse(r, NotRun, ReasonAttemptFailed, failureRetryAfter)
	default:
		s.refuse(r, OutcomeUnknown, ReasonAttemptFailed, 0)
	}
}

func (s *State) handleBuffered(r *request, res *Result) {
	if IsRetriableStatus(res.Status) && s.retry(r, res) {
		return
	}
	s.emit(Deliver{Ref: r.ref})
	s.finishWithResponse(r, res)
}

func (s *State) finishWithResponse(r *request, res *Result) {
	outcome := Answered
	if res.Status >= 500 {
		outcome = RanAndFailed
	}
	stored := res.Stored
	stored.Outcome = outcome
	stored.Status = res.Status
	s.finish(r, outcome, stored)
}

// IsRetriableStatus reports whether another executor may succeed: 502, 503 and
// 504 indicate a problem of the executor, other 5xx one of the request.
func IsRetriableStatus(status int) bool { return status >= 502 && status <= 504 }

// retry schedules another attempt if the request, the policy, the deadline
// and the budget allow it.
func (s *State) retry(r *request, res *Result) bool {
	if !res.Replayable && !res.Kind.neverSent() {
		return false
	}
	if !r.req.Idempotent && r.mayHaveRun {
		return false
	}
	if r.attemptCount >= s.policy.MaxAttempts || !s.hasOtherExecutor(r) {
		return false
	}
	backoff := s.jitter(s.policy.RetryBackoff << (r.attemptCount - 1))
	if s.now.Add(backoff) >= r.req.Deadline || !s.retryBudgets[r.class].spend() {
		return false
	}
	s.counts.Retries++
	r.phase = phaseBackoff
	r.retryAt = s.now.Add(backoff)
	s.timers.push(timer{r.retryAt, r.ref})
	return true
}

func (s *State) hasOtherExecutor(r *request) bool {
	for _, e := range r.service.executors {
		if e.isLive() && !slices.Contains(r.triedExecutors, e.info.ID) {
			return true
		}
	}
	return false
}
