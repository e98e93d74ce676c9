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

// reportOf delivers a report of an incarnation that was requested now.
func (s *dispatcherHarness) reportOf(id structs.WorkerID, r workflow.Report) {
	s.reduce(LeaseAnswered{Worker: id, SentAt: s.now, Outcome: workflow.OK, Report: r})
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

// TestUnansweredStartIsStoppedAtNextIncarnation guards against starting a task on
// another worker while a new incarnation of its worker may still carry out a start
// request without an answer.
func TestUnansweredStartIsStoppedAtNextIncarnation(t *testing.T) {
	s, order := restartedWorker(t, workflow.OK)
	s.now = s.now.Add(5 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 2}) // lists nothing
	stops, starts := 0, 0
	for _, effect := range s.effects {
		switch e := effect.(type) {
		case StopTask:
			stops++
			s.reduce(StopAnswered{Worker: "w0", Task: e.Order.Task, Run: e.Order.Run, Outcome: workflow.OK})
		case StartTask:
			starts++
		}
	}
	if stops != 1 || starts != 0 {
		t.Fatalf("%d stops and %d starts after the report, want 1 and 0", stops, starts)
	}
	s.effects = nil
	s.advance(s.dispatcher.policy.MaxStopTime + 10*time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: time.Second})
	if starts := takeEffects[StartTask](s); len(starts) != 1 || starts[0].Order.Run <= order.Run {
		t.Errorf("starts after the worker rejects the request: %+v, want one with a higher run", starts)
	}
}

// TestReportedRunsEndWithTheirIncarnation guards against waiting for the report of
// a restarted worker before tasks that can no longer run there are started again.
func TestReportedRunsEndWithTheirIncarnation(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.now = s.now.Add(100 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 1, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
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
	if w := s.dispatcher.workers["w0"]; w.known || w.Incarnation != 2 {
		t.Errorf("known %t with incarnation %d after a late report, want unknown with 2", w.known, w.Incarnation)
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

// TestLateStartOfEndedRunIsStopped guards against a start request without an answer
// that a new incarnation of the worker carries out after the run has ended.
func TestLateStartOfEndedRunIsStopped(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(2, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.Unanswered})
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.commit()
	s.effects = nil
	s.now = s.now.Add(time.Second)
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	if stops := takeEffects[StopTask](s); len(stops) != 1 || stops[0].Order.Task != order.Task || stops[0].Order.Run != order.Run {
		t.Errorf("stops at the new incarnation: %+v, want one of %s run %d", stops, order.Task, order.Run)
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
