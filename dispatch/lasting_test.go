package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// lastingJob returns a job with one task that lasts.
func lastingJob() workflow.Job {
	step := workflow.Step{Tasks: 1, LongRunning: true, Resources: structs.Resources{MilliCPU: 9000}}
	return workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}
}

// TestLastingTaskRestartsHoweverItEnds guards against a long-running task that ends as
// done and is not started again, with its job shown as done.
func TestLastingTaskRestartsHoweverItEnds(t *testing.T) {
	for _, kind := range []workflow.EndKind{
		workflow.EndDone, workflow.EndFailed, workflow.EndStopped, workflow.EndLeaseExpired, workflow.EndGangBroken, workflow.EndGangIncomplete,
	} {
		s, starts := submitJob(t, 2, lastingJob(), batchQueue(nil))
		order, at := starts[0].Order, starts[0].Worker.ID
		s.reduce(StartAnswered{Worker: at, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
		s.now = s.now.Add(5 * time.Second)
		s.dispatcher.lastTickAt = s.now // the leader has not been paused
		s.report(at, time.Minute, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: kind})
		s.dispatcher.ConfirmLeadership(s.now)
		s.commit()
		if again := takeEffects[StartTask](s); len(again) != 1 || again[0].Order.Run <= order.Run {
			t.Errorf("starts after the end %s: %+v, want one with a higher run", kind, again)
		}
		if state, _ := s.dispatcher.State("0000000000000001"); state != workflow.Running {
			t.Errorf("state after the end %s: %s, want running", kind, state)
		}
	}
}

// TestLastingTaskRestartsAfterChangeOfLeader guards against a new leader that takes the
// end of a long-running task as done for its success.
func TestLastingTaskRestartsAfterChangeOfLeader(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.reduce(SubmitJob{Call: 1, Job: lastingJob(), Queue: batchQueue(nil)})
	s.commitTo(stored)
	order := takeEffects[StartTask](s)[0].Order
	s.nextLeader(stored, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.advance(maxProgressDelay)
	s.commitTo(stored)
	if again := takeEffects[StartTask](s); len(again) != 1 {
		t.Errorf("%d starts by the next leader, want 1", len(again))
	}
	if state, _ := s.dispatcher.State("0000000000000001"); state.IsTerminal() {
		t.Errorf("state at the next leader: %s", state)
	}
	if w := s.dispatcher.workers["w0"]; w.acknowledgedEnd != 1 {
		t.Error("the end is not acknowledged")
	}
}

// TestShortRunsPauseRestarts guards against starting a long-running task that ends at
// once as fast as the cell can, and against storing each of its failed runs, which
// outgrows the row of its job.
func TestShortRunsPauseRestarts(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.reduce(SubmitJob{Call: 1, Job: lastingJob(), Queue: batchQueue(nil)})
	s.commitTo(stored)
	runs, lastStart, longest := uint64(0), s.now, time.Duration(0)
	for range 4000 { // 200 s
		for _, start := range takeEffects[StartTask](s) {
			runs++
			longest, lastStart = max(longest, s.now.Sub(lastStart)), s.now
			s.report("w0", s.now.Sub(0), workflow.EndedTask{Sequence: runs, Task: start.Order.Task, Run: start.Order.Run, Kind: workflow.EndFailed})
		}
		s.advance(50 * time.Millisecond)
		s.report("w0", s.now.Sub(0))
		s.commitTo(stored)
	}
	if runs < 40 || runs > 80 {
		t.Errorf("%d runs in 200 s, want 40 to 80", runs)
	}
	if longest > 6*time.Second {
		t.Errorf("the longest pause is %s, want less than 6 s", longest)
	}
	for id, value := range stored {
		if len(value) > 2000 {
			t.Errorf("row %s of %s has %d bytes", id.Key, id.Table, len(value))
		}
	}
	s.nextLeader(stored)
	if early := takeEffects[StartTask](s); len(early) != 0 {
		t.Error("a new leader starts the task without a pause")
	}
	s.advance(4 * time.Second)
	if starts := takeEffects[StartTask](s); len(starts) != 1 {
		t.Errorf("%d starts after the pause, want 1", len(starts))
	}
}
