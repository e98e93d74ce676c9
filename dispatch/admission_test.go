package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// repliesByCall returns the replies since the last call of it.
func (s *dispatcherHarness) repliesByCall() map[CallID]Reply {
	replies := map[CallID]Reply{}
	for _, r := range takeEffects[Reply](s) {
		replies[r.Call] = r
	}
	return replies
}

// smallJob returns a job of one task.
func smallJob(n int) workflow.Job {
	return workflow.Job{
		ID:    structs.JobID(fmt.Sprintf("%016x", n)),
		Steps: []workflow.Step{{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 100}}},
	}
}

// TestCallersWaitForTheStore replays an outage of the whole store of 4.2 s with 40
// submissions a second, whose callers try for 3 s (trouble-3 of the sites). It
// guards against sending callers away who could have been accepted: when each was
// refused at once, they used up their attempts during the outage, and those of its
// last seconds were not served either. Callers of which outageWaitShare of the time
// ends during the outage must be refused then, with a time to return, and their jobs
// must never be known.
func TestCallersWaitForTheStore(t *testing.T) {
	const outage, budget, between = 4200 * time.Millisecond, 3 * time.Second, 25 * time.Millisecond
	s := newDispatcherHarness(t, 1, largeWorker)
	began := s.now
	s.reduce(StoreHealth{Unavailable: true, Since: began})
	sentAt := map[CallID]structs.Timestamp{}
	answered := map[CallID]structs.Timestamp{}
	replies := map[CallID]Reply{}
	collect := func() {
		for call, r := range s.repliesByCall() {
			replies[call], answered[call] = r, s.now
		}
	}
	for n := 1; s.now.Sub(began) < outage; n++ {
		sentAt[CallID(n)] = s.now
		s.reduce(SubmitJob{Call: CallID(n), Job: smallJob(n), Queue: batchQueue(nil), Deadline: s.now.Add(budget)})
		s.advance(between)
		collect()
	}
	s.reduce(StoreHealth{})
	s.commit()
	collect()
	for call, sent := range sentAt {
		reply, deadline := replies[call], sent.Add(budget)
		_, known := s.dispatcher.State(structs.JobID(fmt.Sprintf("%016x", int(call))))
		waits := pendingCall{receivedAt: sent, deadline: deadline}
		deadline = waits.waitsUntil(true)
		if away := deadline.Sub(began) - outage; away >= 0 && away <= between {
			continue // ends with the outage, within the steps of this test
		}
		if deadline.After(began.Add(outage)) {
			if reply.Verdict != Accepted || !known {
				t.Errorf("caller of %s into the outage, who waits beyond its end: %+v", sent.Sub(began), reply)
			}
			continue
		}
		if reply.Verdict != Refused || known || s.dispatcher.IsPending(structs.JobID(fmt.Sprintf("%016x", int(call)))) {
			t.Errorf("caller of %s into the outage: %+v, job known: %t; want a refusal and no job", sent.Sub(began), reply, known)
		}
		if late := answered[call].Sub(deadline); late > 2*between {
			t.Errorf("caller of %s into the outage is refused %s too late", sent.Sub(began), late)
		}
		if reply.RetryAfter < minRetryAfter || reply.RetryAfter > maxRetryAfter {
			t.Errorf("retry after %s, want %s to %s", reply.RetryAfter, minRetryAfter, maxRetryAfter)
		}
	}
}

// TestOpenCommitIsNeverCalledNotAccepted guards against telling a caller that a job
// was not accepted while it is part of a commit whose outcome is not known. The
// caller gets the open outcome at its deadline, the commit may still succeed.
func TestOpenCommitIsNeverCalledNotAccepted(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(SubmitJob{Call: 1, Job: smallJob(1), Queue: batchQueue(nil), Deadline: s.now.Add(time.Second)})
	commit, err := s.dispatcher.NextCommit(s.now)
	if err != nil {
		t.Fatal(err)
	}
	s.reduce(StoreHealth{Unavailable: true, Since: s.now})
	s.reduce(SubmitJob{Call: 2, Job: smallJob(2), Queue: batchQueue(nil), Deadline: s.now.Add(time.Second)})
	s.reduce(SubmitJob{Call: 3, Job: smallJob(1), Queue: batchQueue(nil), Deadline: s.now.Add(2 * time.Second)})
	s.reduce(CancelJob{Call: 4, ID: smallJob(2).ID, Deadline: s.now.Add(2 * time.Second)})
	if replies := s.repliesByCall(); len(replies) != 0 {
		t.Errorf("replies %v before any deadline, want none", replies)
	}
	s.advance(1100 * time.Millisecond)
	replies := s.repliesByCall()
	if len(replies) != 3 || replies[1].Verdict != CommitPending || replies[2].Verdict != Refused || replies[4].Verdict != NoSuchJob {
		t.Errorf("replies %v, want 1 open, 2 refused, and 4, its cancellation, without a job", replies)
	}
	s.reduce(Committed{Sequence: commit.Sequence})
	if replies := s.repliesByCall(); replies[3].Verdict != Accepted {
		t.Errorf("replies %v after the commit, want 3 accepted", replies)
	}
}

// TestRefusedRequestStaysRefused guards against accepting a late copy of a request
// whose caller was told that its job never runs. The copy may be delayed on another
// connection. A new request for the same job is accepted.
func TestRefusedRequestStaysRefused(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(StoreHealth{Unavailable: true, Since: s.now})
	s.reduce(SubmitJob{Call: 1, Job: smallJob(1), Queue: batchQueue(nil), Request: "a-1", Deadline: s.now.Add(time.Second)})
	s.advance(1100 * time.Millisecond)
	s.reduce(StoreHealth{})
	s.reduce(SubmitJob{Call: 2, Job: smallJob(1), Queue: batchQueue(nil), Request: "a-1", Deadline: s.now.Add(time.Second)})
	replies := s.repliesByCall()
	if replies[1].Verdict != Refused || replies[2].Verdict != Refused || s.dispatcher.IsPending(smallJob(1).ID) {
		t.Errorf("replies %v, want both copies refused and no job", replies)
	}
	s.reduce(SubmitJob{Call: 3, Job: smallJob(1), Queue: batchQueue(nil), Request: "a-2", Deadline: s.now.Add(time.Second)})
	s.commit()
	if replies := s.repliesByCall(); replies[3].Verdict != Accepted {
		t.Errorf("replies %v, want the new request accepted", replies)
	}
	s.advance(refusalMemory + time.Second)
	if remembered := len(s.dispatcher.refused.refusedAt); remembered != 0 {
		t.Errorf("%d refusals remembered, want none after %s", remembered, refusalMemory)
	}
}

// TestWaitingSubmissionsAreBounded guards against running out of memory in an outage
// with many callers.
func TestWaitingSubmissionsAreBounded(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(StoreHealth{Unavailable: true, Since: s.now})
	for n := range maxWaitingSubmissions + 100 {
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: smallJob(n), Queue: batchQueue(nil), Deadline: s.now.Add(time.Second)})
	}
	replies := s.repliesByCall()
	if len(replies) != 100 || replies[maxWaitingSubmissions+1].Verdict != Refused || replies[maxWaitingSubmissions+1].RetryAfter < minRetryAfter {
		t.Errorf("%d replies, want the last 100 refused at once", len(replies))
	}
}

// TestOutageLengthsAreLearned guards against sending callers back at a fixed time,
// whatever the length of the outages.
func TestOutageLengthsAreLearned(t *testing.T) {
	var h outageHistory
	at := structs.Timestamp(time.Hour)
	h.began(at)
	if got := h.remaining(at.Add(2 * time.Second)); got != 2*time.Second {
		t.Errorf("first outage after 2 s: %s more expected, want 2s", got)
	}
	h.ended(at.Add(6 * time.Second))
	if got := h.remaining(at.Add(7 * time.Second)); got != 0 {
		t.Errorf("%s more expected without an outage", got)
	}
	at = at.Add(time.Minute)
	h.began(at)
	if got := h.remaining(at.Add(2 * time.Second)); got != 4*time.Second {
		t.Errorf("second outage after 2 s: %s more expected, want 4s as the first took 6s", got)
	}
	if got := h.remaining(at.Add(7 * time.Second)); got != 7*time.Second {
		t.Errorf("second outage after 7 s: %s more expected, want 7s", got)
	}
	if urgent, other := h.retryAfter(at.Add(2*time.Second), 0), h.retryAfter(at.Add(2*time.Second), 2); urgent >= other {
		t.Errorf("urgent callers return after %s, others after %s", urgent, other)
	}
	for n := range 3 * rememberedOutages {
		h.ended(at.Add(time.Second))
		h.began(at.Add(time.Duration(n) * time.Minute))
	}
	if len(h.lengths) > rememberedOutages {
		t.Errorf("%d outages remembered, want at most %d", len(h.lengths), rememberedOutages)
	}
}
