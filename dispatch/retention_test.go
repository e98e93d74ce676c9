package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// commitTo completes the next commit and applies it to the stored rows.
func (s *dispatcherHarness) commitTo(stored map[tablestore.RowID][]byte) {
	s.t.Helper()
	commit, err := s.dispatcher.NextCommit(s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, put := range commit.Puts {
		stored[tablestore.RowID{Table: put.Table, Key: put.Key}] = put.Value
	}
	for _, id := range commit.Removes {
		delete(stored, id)
	}
	s.reduce(Committed{Sequence: commit.Sequence})
	s.place()
}

// nextLeader replaces the leader of a harness by one that has loaded the stored rows
// and the reports of all workers, and has stored the workers. The first report lists
// the given ends.
func (s *dispatcherHarness) nextLeader(stored map[tablestore.RowID][]byte, ends ...workflow.EndedTask) {
	s.t.Helper()
	earlier := s.dispatcher
	s.now = s.now.Add(time.Second)
	s.dispatcher = New(DefaultPolicy(), earlier.epoch+1, s.now, s.now)
	var rows []tablestore.Row
	for id, value := range stored {
		rows = append(rows, tablestore.Row{Table: id.Table, Key: id.Key, Value: value})
	}
	if err := s.dispatcher.Recover(rows, s.now); err != nil {
		s.t.Fatal(err)
	}
	s.effects = nil
	for _, w := range earlier.sortedWorkers {
		s.reduce(WorkerListed{Worker: w.Worker})
		s.report(w.ID, time.Second, ends...)
		ends = nil
	}
	s.place()
	s.commitTo(stored)
}

// TestEndedJobsNeverStartAgain guards against starting ended jobs again after a change
// of leader: their specifications shared a row with a job that lasts, and were stored
// for longer than their outcomes.
func TestEndedJobsNeverStartAgain(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	step := workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}
	lasting := step
	lasting.LongRunning = true
	const jobs = 6
	for n := range jobs {
		job := workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Steps: []workflow.Step{step}}
		if n == 0 {
			job.Steps = []workflow.Step{lasting}
		}
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: job, Queue: batchQueue(nil)})
	}
	s.commitTo(stored)
	starts := takeEffects[StartTask](s)
	if len(starts) != jobs {
		t.Fatalf("%d starts, want %d", len(starts), jobs)
	}
	var ends []workflow.EndedTask
	for _, start := range starts {
		if start.Order.Task != "0000000000000000.0.0.0" && start.Order.Task != "0000000000000001.0.0.0" {
			ends = append(ends, workflow.EndedTask{Sequence: uint64(len(ends) + 1), Task: start.Order.Task, Run: start.Order.Run, Kind: workflow.EndDone})
		}
	}
	s.report("w0", time.Second, ends...)
	s.reduce(CancelJob{Call: 99, ID: "0000000000000001"})
	s.commitTo(stored)
	for round := range 4 {
		for range 3 {
			s.advance(s.dispatcher.policy.Retention/2 + time.Second)
			if round != 1 { // one leader ends before it has written that
				s.commitTo(stored)
			}
		}
		s.nextLeader(stored)
		for _, start := range takeEffects[StartTask](s) {
			if start.Order.Task != "0000000000000000.0.0.0" {
				t.Errorf("change of leader %d: %s starts again", round+1, start.Order.Task)
			}
		}
		if state, known := s.dispatcher.State("0000000000000000"); !known || state.IsTerminal() {
			t.Errorf("change of leader %d: the job that lasts is known: %t, %s", round+1, known, state)
		}
	}
	if n := len(s.dispatcher.jobs); n != 1 {
		t.Errorf("%d jobs are known at the end, want 1", n)
	}
	for id := range stored {
		if id.Table == EndedJobTable {
			t.Errorf("row %s of outcomes is still stored", id.Key)
		}
	}
}
