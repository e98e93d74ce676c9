package router

import "github.com/mangodrum/mangodrum/structs"

// ClaimResult is the result of writing a claim.
type ClaimResult int

// Results of a claim.
const (
	ClaimHeld       ClaimResult = iota + 1 // durable, and this instance holds it
	ClaimRepeated                          // another request with the identifier came first
	ClaimNotWritten                        // certainly not written
	ClaimUnknown                           // may have been written; not resolved by the deadline
)

// claimKey identifies a non-idempotent request.
type claimKey struct {
	team structs.TeamID
	id   string
}

// maxWaiters is the maximum number of repeats that wait for one unfinished
// request.
const maxWaiters = 16

// claim starts the write of the claim of a request, or makes the request wait if
// another request of this instance already holds or writes the claim.
func (s *State) claim(r *request) {
	r.claimKey = claimKey{r.req.Team, r.req.ID}
	if ref, ok := s.claimHolders[r.claimKey]; ok {
		s.waitForClaimHolder(r, s.requests[ref])
		return
	}
	s.claimHolders[r.claimKey] = r.ref
	r.phase = phaseClaiming
	s.emit(WriteClaim{Ref: r.ref, Team: r.req.Team, ID: r.req.ID, Deadline: r.req.Deadline})
}

func (s *State) waitForClaimHolder(r, holder *request) {
	if len(holder.waiters) >= maxWaiters {
		s.refuse(r, OutcomeUnknown, ReasonRepeatOfUnfinished, 0)
		return
	}
	r.phase = phaseAwaitingClaimHolder
	holder.waiters = append(holder.waiters, r.ref)
	s.timers.push(timer{r.req.Deadline, r.ref})
}

func (s *State) claimEnded(ev *ClaimEnded) {
	r := s.requests[ev.Ref]
	if r == nil || r.phase != phaseClaiming {
		return
	}
	r.claimed = ev.Result == ClaimHeld
	switch {
	case ev.Result == ClaimRepeated && ev.Stored.Outcome != "":
		s.replay(r, ev.Stored)
	case ev.Result == ClaimRepeated:
		s.refuse(r, OutcomeUnknown, ReasonRepeatOfUnfinished, 0)
	case ev.Result == ClaimUnknown:
		s.refuse(r, OutcomeUnknown, ReasonClaimUnknown, 0)
	case r.callerDisconnected:
		s.finish(r, "", StoredResponse{Outcome: NotRun})
	case ev.Result == ClaimNotWritten && s.now >= r.req.Deadline:
		s.refuse(r, NotRun, ReasonDeadlinePassed, failureRetryAfter)
	case ev.Result == ClaimNotWritten:
		s.refuse(r, NotRun, ReasonTableUnavailable, failureRetryAfter)
	case s.now >= r.req.Deadline:
		s.refuse(r, NotRun, ReasonDeadlinePassed, 0)
	case s.services[r.req.Service] == nil:
		s.refuse(r, NotRun, ReasonUnknownService, 0)
	default:
		s.enqueueAndDispatch(r)
	}
}

// replay responds to a repeat with a stored response.
func (s *State) replay(r *request, stored StoredResponse) {
	if !r.callerDisconnected {
		s.emit(Replay{Ref: r.ref, Stored: stored})
	}
	s.finish(r, stored.Outcome, stored)
}

// completeClaim stores the outcome in the claim of a request that ends or
// releases the claim, and responds to the repeats that wait for the request.
func (s *State) completeClaim(r *request, stored StoredResponse) {
	if r.req.Idempotent || s.claimHolders[r.claimKey] != r.ref || r.claimKey.id == "" {
		return
	}
	delete(s.claimHolders, r.claimKey)
	switch {
	case !r.claimed:
	case !r.mayHaveRun:
		stored = StoredResponse{Outcome: NotRun}
		s.emit(ReleaseClaim{Ref: r.ref, Team: r.req.Team, ID: r.req.ID})
	case stored.Outcome == Answered || stored.Outcome == RanAndFailed:
		s.emit(StoreOutcome{Ref: r.ref, Team: r.req.Team, ID: r.req.ID, Stored: stored})
	}
	for _, ref := range r.waiters {
		if waiter := s.requests[ref]; waiter != nil {
			s.answerWaiter(waiter, stored)
		}
	}
}

func (s *State) answerWaiter(waiter *request, stored StoredResponse) {
	switch stored.Outcome {
	case Answered, RanAndFailed:
		s.replay(waiter, stored)
	case NotRun:
		s.refuse(waiter, NotRun, ReasonAttemptFailed, failureRetryAfter)
	default:
		s.refuse(waiter, OutcomeUnknown, ReasonRepeatOfUnfinished, 0)
	}
}
