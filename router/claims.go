package router

import "github.com/mangodrum/mangodrum/structs"

// ClaimResult is the end of a claim's write.
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

// maxWaiters bounds the repeats that wait for one unfinished request.
const maxWaiters = 16

// claim asks for the claim of a request, or lets it wait for the request of
// this instance that already holds it.
func (s *State) claim(r *request) {
	r.claimKey = claimKey{r.req.Team, r.req.ID}
	if ref, ok := s.holders[r.claimKey]; ok {
		s.waitForHolder(r, s.requests[ref])
		return
	}
	s.holders[r.claimKey] = r.ref
	r.phase = phaseClaiming
	s.emit(WriteClaim{Ref: r.ref, Team: r.req.Team, ID: r.req.ID, Deadline: r.req.Deadline})
}

func (s *State) waitForHolder(r, holder *request) {
	if len(holder.waiters) >= maxWaiters {
		s.refuse(r, OutcomeUnknown, ReasonRepeatOfUnknown, 0)
		return
	}
	r.phase = phaseWaiting
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
		s.refuse(r, OutcomeUnknown, ReasonRepeatOfUnknown, 0)
	case ev.Result == ClaimUnknown:
		s.refuse(r, OutcomeUnknown, ReasonClaimUnknown, 0)
	case r.gone:
		s.finish(r, "", StoredAnswer{Outcome: NotRun})
	case ev.Result == ClaimNotWritten && s.now >= r.req.Deadline:
		s.refuse(r, NotRun, ReasonDeadlinePassed, tableRetryAfter)
	case ev.Result == ClaimNotWritten:
		s.refuse(r, NotRun, ReasonTableDown, tableRetryAfter)
	case s.now >= r.req.Deadline:
		s.refuse(r, NotRun, ReasonDeadlinePassed, 0)
	case s.services[r.req.Service] == nil:
		s.refuse(r, NotRun, ReasonUnknownService, 0)
	default:
		s.enqueueAndDispatch(r)
	}
}

// replay answers a repeat.
func (s *State) replay(r *request, stored StoredAnswer) {
	if !r.gone {
		s.emit(Replay{Ref: r.ref, Stored: stored})
	}
	s.finish(r, stored.Outcome, stored)
}

// settleClaim records or releases the claim of a request that ends, and
// answers the repeats that wait for it.
func (s *State) settleClaim(r *request, stored StoredAnswer) {
	if r.req.Idempotent || s.holders[r.claimKey] != r.ref || r.claimKey.id == "" {
		return
	}
	delete(s.holders, r.claimKey)
	switch {
	case !r.claimed:
	case !r.maybeRan:
		stored = StoredAnswer{Outcome: NotRun}
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

func (s *State) answerWaiter(waiter *request, stored StoredAnswer) {
	switch stored.Outcome {
	case Answered, RanAndFailed:
		s.replay(waiter, stored)
	case NotRun:
		s.refuse(waiter, NotRun, ReasonAttemptFailed, tableRetryAfter)
	default:
		s.refuse(waiter, OutcomeUnknown, ReasonRepeatOfUnknown, 0)
	}
}
