package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// restartedWorker returns a harness with two workers in which w0 loses the first
// start request of a task with its power, and is back under its identifier. The
// leader repeats the request, which the new incarnation answers with the given
// outcome, and then reads the new directory entry.
func restartedWorker(t *testing.T, repeated workflow.Outcome) (*dispatcherHarness, workflow.StartOrder) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
	s.report("w1", 0)
	s.commit()
	order := starts[0].Order
	s.now = s.now.Add(400 * time.Millisecond)
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.Unanswered})
	s.advance(200 * time.Millisecond)
	if again := takeEffects[StartTask](s); len(again) != 1 {
		t.Fatalf("%d repeated start requests, want 1", len(again))
	}
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: repeated})
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	s.place()
	return s, order
}

// reportOf delivers a report of an incarnation that was requested now. If it shows a new
// incarnation, the leader asks again with a raised token, and gets the same report.
func (s *dispatcherHarness) reportOf(id structs.WorkerID, r workflow.Report) {
	for range 2 {
		s.reduce(LeaseAnswered{Worker: id, SentAt: s.now, Outcome: workflow.OK, Report: r})
		if s.dispatcher.workers[id].known {
			break
		}
	}
	s.place()
}

// TestRestartedWorkerKeepsRepeatedStart guards against starting a task on another
// worker while it runs on a worker that has restarted under its identifier: the
// leader learned of the new incarnation after that had carried out a start request.
func TestRestartedWorkerKeepsRepeatedStart(t *testing.T) {
	for _, repeated := range []workflow.Outcome{workflow.OK, workflow.Unanswered} {
		s, order := restartedWorker(t, repeated)
		s.now = s.now.Add(5 * time.Millisecond)
		s.reportOf("w0", workflow.Report{Incarnation: 2, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
		s.advance(100 * time.Millisecond)
		for _, effect := range s.effects {
			switch e := effect.(type) {
			case StartTask:
				t.Errorf("%s: started on %s as run %d", repeated, e.Worker.ID, e.Order.Run)
			case StopTask:
				t.Errorf("%s: stopped on %s", repeated, e.Worker.ID)
			}
		}
		s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: time.Second, Ended: []workflow.EndedTask{
			{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone},
		}})
		if task := s.dispatcher.findTask(order.Task); task.state != taskDone {
			t.Errorf("%s: state of the task after its run ended: %d, want done", repeated, task.state)
		}
	}
}

// TestUnansweredStartIsFencedAtNextIncarnation guards against starting a task on
// another worker while a new incarnation of its worker may still carry out a start
// request without an answer: it has to receive a higher token first.
func TestUnansweredStartIsFencedAtNextIncarnation(t *testing.T) {
	s, order := restartedWorker(t, workflow.OK)
	s.advance(5 * time.Millisecond)
	var fence structs.Epoch
	for _, effect := range s.effects {
		switch e := effect.(type) {
		case StartTask:
			t.Fatalf("started on %s before the new incarnation has reported", e.Worker.ID)
		case RenewLease:
			if e.Worker.ID == "w0" {
				fence = e.Order.FencingToken
			}
		}
	}
	if fence <= order.FencingToken {
		t.Fatalf("renewal at the new incarnation with token %d, want one above %d of the start request", fence, order.FencingToken)
	}
	s.effects = nil
	s.reportOf("w0", workflow.Report{Incarnation: 2}) // lists nothing
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 || starts[0].Order.Run <= order.Run || (starts[0].Worker.ID == "w0" && starts[0].Order.FencingToken < fence) {
		t.Errorf("starts after the worker rejects the request: %+v, want one with a higher run", starts)
	}
}

// TestReportBeforeTheFenceDoesNotCount guards against taking for over what a new
// incarnation does not list yet: the request for its report had the token of the earlier
// one, so requests of that may still be carried out after it.
func TestReportBeforeTheFenceDoesNotCount(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.Unanswered})
	s.now = s.now.Add(time.Millisecond)
	s.effects = nil
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2}})
	s.place()
	asked, again := 0, 0
	for _, effect := range s.effects {
		switch e := effect.(type) {
		case RenewLease:
			asked++
			if e.Order.FencingToken <= order.FencingToken || e.Order.AcknowledgedThrough != 0 || e.Order.Deadline != 0 {
				t.Errorf("renewal after a report of a new incarnation: %+v, want only a token above %d", e.Order, order.FencingToken)
			}
		case StartTask:
			again++
		}
	}
	if asked != 1 || again != 0 {
		t.Errorf("%d renewals and %d starts after a report of a new incarnation, want 1 and 0", asked, again)
	}
}

// TestReportedRunsEndWithTheirIncarnation guards against waiting for more than the first
// report of a restarted worker, which is asked for at once, before tasks that can no
// longer run there are started again.
func TestReportedRunsEndWithTheirIncarnation(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.now = s.now.Add(100 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 1, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
	s.effects = nil
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	if asked := takeEffects[RenewLease](s); len(asked) != 1 || asked[0].Order.FencingToken <= order.FencingToken {
		t.Fatalf("renewals after a directory entry of a new incarnation: %+v, want one at once with a token above %d", asked, order.FencingToken)
	}
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2}})
	if task := s.dispatcher.findTask(order.Task); task.state != taskWaiting {
		t.Errorf("state of a task whose worker has restarted: %d, want waiting", task.state)
	}
}

// TestReportOfEndedIncarnationIsIgnored guards against taking the answer of an
// incarnation that is over for that of the present one.
func TestReportOfEndedIncarnationIsIgnored(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	sentAt := s.now
	s.now = s.now.Add(time.Second)
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	if asked := takeEffects[RenewLease](s); len(asked) != 1 {
		t.Errorf("%d renewals after a directory entry of a new incarnation, want 1 at once", len(asked))
	}
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: sentAt, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
	if w := s.dispatcher.workers["w0"]; w.known {
		t.Errorf("known with incarnation %d after a late report, want unknown", w.Incarnation)
	}
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2}})
	if w := s.dispatcher.workers["w0"]; !w.known || w.Incarnation != 2 {
		t.Errorf("known %t with incarnation %d after the report that was asked for, want known with 2", w.known, w.Incarnation)
	}
}

// TestEndsOfNewIncarnationCount guards against skipping the first ends of a worker
// that restarts while its leader has asked it to report again: their numbers begin
// anew, and the ends were neither processed nor acknowledged.
func TestEndsOfNewIncarnationCount(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(2, false), batchQueue(nil))
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: starts[0].Order.Task, Run: starts[0].Order.Run, Kind: workflow.EndDone})
	w := s.dispatcher.workers["w0"]
	w.askAgain()
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 2, Ended: []workflow.EndedTask{
		{Sequence: 1, Task: starts[1].Order.Task, Run: starts[1].Order.Run, Kind: workflow.EndDone},
	}})
	if task := s.dispatcher.findTask(starts[1].Order.Task); task.state != taskDone {
		t.Errorf("state of a task that ended in the new incarnation: %d, want done", task.state)
	}
}

// TestLateStartOfEndedRunIsFenced guards against a start request without an answer
// that a new incarnation of the worker carries out after the run has ended.
func TestLateStartOfEndedRunIsFenced(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(2, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.Unanswered})
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.commit()
	s.effects = nil
	s.now = s.now.Add(time.Second)
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	if sent := takeEffects[RenewLease](s); len(sent) != 1 || sent[0].Order.FencingToken <= order.FencingToken {
		t.Errorf("renewals at the new incarnation: %+v, want one with a token above %d", sent, order.FencingToken)
	}
}

// TestOwnFencedRequestIsNoDeposition guards against a leader that steps down because a
// worker has rejected its own late request, and against one that goes on although a
// worker has received the token of a later leader.
func TestOwnFencedRequestIsNoDeposition(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	earlier := s.dispatcher.fencingToken(s.dispatcher.workers["w0"])
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 2})
	s.effects = nil
	present := s.dispatcher.fencingToken(s.dispatcher.workers["w0"])
	s.reduce(LeaseAnswered{Worker: "w0", FencingToken: earlier, SentAt: s.now, Outcome: workflow.Fenced})
	if ended := takeEffects[StepDown](s); present <= earlier || len(ended) != 0 {
		t.Errorf("tokens %d, then %d; leader ended by its own earlier token: %+v", earlier, present, ended)
	}
	s.reduce(LeaseAnswered{Worker: "w0", FencingToken: present, SentAt: s.now, Outcome: workflow.Fenced})
	if ended := takeEffects[StepDown](s); len(ended) != 1 {
		t.Errorf("%d effects that end a leader whose present token is rejected, want 1", len(ended))
	}
}

// TestTokensStayBelowNextEpoch guards against a fencing token that reaches those of the
// next leader: a leader that has used up its tokens for a worker ends.
func TestTokensStayBelowNextEpoch(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.effects = nil
	for n := workflow.Incarnation(2); len(takeEffects[StepDown](s)) == 0; n++ {
		if n > 2*structs.TokensPerEpoch {
			t.Fatalf("the leader goes on after %d incarnations", n)
		}
		if token := s.dispatcher.fencingToken(s.dispatcher.workers["w0"]); token >= s.dispatcher.epoch+structs.TokensPerEpoch {
			t.Fatalf("token %d reaches that of the next leader", token)
		}
		s.now = s.now.Add(time.Second)
		s.reportOf("w0", workflow.Report{Incarnation: n})
	}
}

// TestReturnedWorkerGetsHigherToken guards against requests from before a worker was
// removed that it carries out after it was listed again, perhaps as another incarnation,
// and against lower tokens than it has received: the leader would take the rejection for
// its deposition.
func TestReturnedWorkerGetsHigherToken(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 2})
	w := s.dispatcher.workers["w0"]
	before, entry := s.dispatcher.fencingToken(w), w.Worker
	s.reduce(WorkerUnlisted{ID: "w0"})
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.NotSent})
	s.advance(time.Minute)
	if s.dispatcher.workers["w0"] != nil {
		t.Fatal("a worker that is not listed and does not answer is kept")
	}
	s.reduce(WorkerListed{Worker: entry})
	if after := s.dispatcher.fencingToken(s.dispatcher.workers["w0"]); after <= before {
		t.Errorf("token of a worker that was listed again: %d, want above %d", after, before)
	}
}

// TestWorkerIsKeptUntilItsEndsAreStored guards against removing a worker from the store
// before the ends that it has listed are stored. A leader that came next did not ask it,
// started its tasks again, and acknowledged the ends when the worker was back.
func TestWorkerIsKeptUntilItsEndsAreStored(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.now = s.now.Add(time.Second)
	s.reduce(WorkerUnlisted{ID: "w0"})
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.NotSent})
	for range 2 { // the second time, no earlier request is carried out any more
		s.advance(100 * time.Millisecond)
		if s.dispatcher.workers["w0"] == nil {
			t.Fatal("the worker is removed before the end of its run is stored")
		}
		s.now = s.now.Add(s.dispatcher.policy.RenewalWait + requestTimeout + lateRequestTime)
	}
	s.advance(maxProgressDelay)
	s.commit()
	s.advance(s.dispatcher.policy.RenewalWait + requestTimeout + lateRequestTime) // no request of before is carried out any more
	if s.dispatcher.workers["w0"] != nil {
		t.Error("a worker without runs that is not listed and does not answer is kept")
	}
}

// TestMissedRenewalAcknowledgesNothing guards against acknowledging, by numbers of an
// ended incarnation, ends of the next one that no leader has processed. Their tasks
// started again although they were done.
func TestMissedRenewalAcknowledgesNothing(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 7, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.advance(maxProgressDelay)
	s.commit()
	s.report("w0", 2*time.Second)
	s.effects = nil
	s.advance(100 * time.Millisecond)
	if sent := takeEffects[RenewLease](s); len(sent) != 1 || sent[0].Order.AcknowledgedThrough != 7 {
		t.Fatalf("renewals after a report: %+v, want one that acknowledges 7", sent)
	}
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.Unanswered})
	for range 2 {
		for _, sent := range takeEffects[RenewLease](s) {
			if sent.Order.AcknowledgedThrough != 0 {
				t.Errorf("a worker that may have restarted is sent an acknowledgement of %d", sent.Order.AcknowledgedThrough)
			}
			s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.Unanswered})
		}
		s.advance(time.Second)
	}
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: 4 * time.Second})
	s.effects = nil
	s.advance(100 * time.Millisecond)
	if sent := takeEffects[RenewLease](s); len(sent) != 1 || sent[0].Order.AcknowledgedThrough != 7 {
		t.Errorf("renewals after the worker has answered: %+v, want one that acknowledges 7", sent)
	}
}
