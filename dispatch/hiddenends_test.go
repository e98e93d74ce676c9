package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// hiddenEnd returns a harness with one worker whose report lists neither a run that
// was confirmed nor its end, because the worker lists only its first ends.
func hiddenEnd(t *testing.T, job workflow.Job) (*dispatcherHarness, []StartTask) {
	s, starts := submitJob(t, 1, job, batchQueue(nil))
	for _, start := range starts {
		s.reduce(StartAnswered{Worker: "w0", Task: start.Order.Task, Run: start.Order.Run, Outcome: workflow.OK})
	}
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Second, EndsTruncated: true})
	return s, starts
}

// TestHiddenEndIsNotLost guards against starting a task again while the worker has
// more unacknowledged ends than it lists, one of which may be that of the task. So
// many wait when the store is down.
func TestHiddenEndIsNotLost(t *testing.T) {
	s, starts := hiddenEnd(t, arrayJob(1, false))
	order := starts[0].Order
	first := workflow.EndedTask{Sequence: 1, Task: "00000000000000ff.0.0.0", Run: 1, Kind: workflow.EndDone}
	for clock := 2 * time.Second; clock < 8*time.Second; clock += 500 * time.Millisecond {
		s.advance(500 * time.Millisecond)
		s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: clock, EndsTruncated: true})
	}
	for _, effect := range s.effects {
		switch e := effect.(type) {
		case StartTask:
			t.Errorf("started again as run %d", e.Order.Run)
		case StopTask:
			t.Error("stopped, although the worker does not list the run as running")
		case RenewLease:
			if e.Order.Wait == 0 {
				t.Error("a worker is asked without a wait although no end was acknowledged since the last time")
			}
		}
	}
	s.effects = nil
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: 8 * time.Second, EndsTruncated: true, Ended: []workflow.EndedTask{first}})
	s.advance(100 * time.Millisecond)
	if sent := takeEffects[RenewLease](s); len(sent) != 1 || sent[0].Order.AcknowledgedThrough != 1 || sent[0].Order.Wait != 0 {
		t.Errorf("renewals after an end was acknowledged: %+v, want one without a wait", sent)
	}
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: 8 * time.Second, Ended: []workflow.EndedTask{
		{Sequence: 501, Task: order.Task, Run: order.Run, Kind: workflow.EndDone},
	}})
	if task := s.dispatcher.findTask(order.Task); task.state != taskDone {
		t.Errorf("state after the end is listed: %d, want done", task.state)
	}
}

// TestStoppedRunMayHaveHiddenEnd guards against starting a task again whose run was
// stopped while its end as done was not listed yet.
func TestStoppedRunMayHaveHiddenEnd(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.dispatcher.stopTask(s.dispatcher.findTask(order.Task), "test")
	s.reduce(StopAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.now = s.now.Add(2 * time.Second)
	s.effects = nil
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: 3 * time.Second, EndsTruncated: true})
	if again := takeEffects[StartTask](s); len(again) != 0 {
		t.Errorf("%d starts while ends are not listed, want 0", len(again))
	}
}

// TestNewLeaderWaitsForAllEnds guards against starting tasks of the previous leader
// again while a worker has ended them and does not list these ends yet, also after
// all leases of that leader.
func TestNewLeaderWaitsForAllEnds(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	c.previousLeasesEnd = c.now.Add(5 * time.Second)
	worker := workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker}
	c.Reduce(c.now, WorkerListed{Worker: worker})
	truncated := workflow.Report{Incarnation: 1, EndsTruncated: true}
	for _, at := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
		now := structs.Timestamp(time.Minute).Add(at)
		c.Reduce(now, LeaseAnswered{Worker: "w0", SentAt: now, Outcome: workflow.OK, Report: truncated})
		c.Reduce(now, Tick{})
		if c.unreported != 1 {
			t.Errorf("%d unreported workers %s after the change, want 1", c.unreported, at)
		}
	}
	now := c.now.Add(time.Second)
	c.Reduce(now, LeaseAnswered{Worker: "w0", SentAt: now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
	if c.unreported != 0 {
		t.Errorf("%d unreported workers after all ends are listed, want 0", c.unreported)
	}
}
