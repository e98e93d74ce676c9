package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestEndsAreAcknowledgedOnceStored guards against a worker that forgets an end before
// the effect of the end is stored: the next leader would start the task again. A commit
// that was prepared before the end doesn't include its effect.
func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	const id = structs.JobID("0000000000000001")
	occurrences := workflow.Job{
		ID: id, Occurrences: 2, Interval: time.Hour,
		Steps: []workflow.Step{{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}},
	}
	lost := func(s *dispatcherHarness, starts []StartTask) { // the run counts as missing, and its task is started again
		s.now = s.now.Add(100 * time.Millisecond)
		s.reduce(StartAnswered{Worker: "w0", Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: workflow.OK})
		s.now = s.now.Add(100 * time.Millisecond)
		s.reportOf("w0", workflow.Report{Incarnation: 1})
		s.dispatcher.ConfirmLeadership(s.now)
		s.place()
		if again := takeEffects[StartTask](s); len(again) != 1 {
			s.t.Fatalf("%d starts of a task whose run is missing, want 1", len(again))
		}
	}
	done := func(c *Dispatcher) bool { return c.findTask(string(id)+".0.0.0").state == taskDone }
	for name, test := range map[string]struct {
		job      workflow.Job
		attempts int
		kind     workflow.EndKind
		before   func(s *dispatcherHarness, starts []StartTask)
		stored   func(c *Dispatcher) bool
	}{
		"task":      {job: arrayJob(2, false), kind: workflow.EndDone, stored: done},
		"gang":      {job: arrayJob(3, true), kind: workflow.EndDone, stored: done},
		"failed":    {job: arrayJob(2, false), attempts: 4, kind: workflow.EndFailed, stored: func(c *Dispatcher) bool { return len(c.findTask(string(id)+".0.0.0").failedRuns) == 1 }},
		"exhausted": {job: arrayJob(2, false), attempts: 1, kind: workflow.EndFailed, stored: func(c *Dispatcher) bool { return c.jobs[id].state == jobFailed }},
		"last task": {job: smallJob(1), kind: workflow.EndDone, stored: func(c *Dispatcher) bool { return c.jobs[id].state == jobDone }},
		"occurrence": {job: occurrences, kind: workflow.EndDone, stored: func(c *Dispatcher) bool {
			return c.jobs[id].nextDue == 1 && c.jobs[id].occurrence(0) == nil
		}},
		"cancelled": {
			job: arrayJob(2, false), kind: workflow.EndStopped,
			before: func(s *dispatcherHarness, _ []StartTask) { s.reduce(CancelJob{Call: 2, ID: id}) },
			stored: func(c *Dispatcher) bool { return c.jobs[id].state == jobCancelled },
		},
		"lost run": {job: arrayJob(1, false), kind: workflow.EndDone, before: lost, stored: done},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDispatcherHarness(t, 1, largeWorker)
			stored := map[tablestore.RowID][]byte{}
			s.dispatcher.workerChanged("w0")
			queue := batchQueue(nil)
			queue.MaxAttempts = test.attempts
			s.reduce(SubmitJob{Call: 1, Job: test.job, Queue: queue})
			s.commitTo(stored)
			s.advance(25 * time.Millisecond) // occurrences are due
			starts := takeEffects[StartTask](s)
			if len(starts) == 0 {
				t.Fatal("no starts")
			}
			early, err := s.dispatcher.NextCommit(s.now)
			if err != nil {
				t.Fatal(err)
			}
			if test.before != nil {
				test.before(s, starts)
			}
			order := starts[0].Order
			s.report("w0", time.Minute, workflow.EndedTask{Sequence: 7, Task: order.Task, Run: order.Run, Kind: test.kind})
			w := s.dispatcher.workers["w0"]
			if w.acknowledgedEnd != 0 {
				t.Error("acknowledged before any commit")
			}
			for _, put := range early.Puts {
				stored[tablestore.RowID{Table: put.Table, Key: put.Key}] = put.Value
			}
			s.reduce(Committed{Sequence: early.Sequence})
			if w.acknowledgedEnd != 0 {
				t.Error("acknowledged by a commit that was prepared before the end")
			}
			s.advance(maxProgressDelay)
			s.commitTo(stored)
			if w.acknowledgedEnd != 7 {
				t.Errorf("acknowledged through %d after the commit, want 7", w.acknowledgedEnd)
			}
			if !test.stored(s.recoverNext(stored)) {
				t.Error("the next leader does not know the effect of the acknowledged end")
			}
		})
	}
}
