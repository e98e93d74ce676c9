package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// successor returns a harness with a new leader that has loaded the rows which the
// given commits of s stored, and that has no tick before its workers report.
func (s *dispatcherHarness) successor(commits ...Commit) *dispatcherHarness {
	s.t.Helper()
	next := &dispatcherHarness{t: s.t, now: s.now.Add(time.Second)}
	next.dispatcher = New(DefaultPolicy(), 2, next.now, next.now)
	stored := map[tablestore.RowID][]byte{}
	for _, commit := range commits {
		for _, put := range commit.Puts {
			stored[tablestore.RowID{Table: put.Table, Key: put.Key}] = put.Value
		}
		for _, id := range commit.Removes {
			delete(stored, id)
		}
	}
	var rows []tablestore.Row
	for id, value := range stored {
		rows = append(rows, tablestore.Row{Table: id.Table, Key: id.Key, Value: value})
	}
	if err := next.dispatcher.Recover(rows, s.now); err != nil {
		s.t.Fatal(err)
	}
	return next
}

// timedJob returns a job of ten occurrences with one task each, the first of which is
// due at the given time of day.
func timedJob(due structs.Timestamp) workflow.Job {
	step := workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}
	return workflow.Job{
		ID: "0000000000000001", Steps: []workflow.Step{step}, Occurrences: 10, FirstDue: time.Duration(due), Interval: time.Minute,
	}
}

// TestOccurrenceOfPreviousLeader guards against running an occurrence again that is
// not stored when the leader changes: its runs and their ends are reported before the
// new leader's first tick, or before the occurrence is due by its time of day. The
// ends were acknowledged and forgotten, and running tasks were stopped.
func TestOccurrenceOfPreviousLeader(t *testing.T) {
	for _, behind := range []time.Duration{0, 5 * time.Second} {
		for _, ended := range []bool{true, false} {
			s := newDispatcherHarness(t, 2, largeWorker)
			s.reduce(SubmitJob{Call: 1, Job: timedJob(s.now), Queue: batchQueue(nil)})
			commit, err := s.dispatcher.NextCommit(s.now)
			if err != nil {
				t.Fatal(err)
			}
			s.reduce(Committed{Sequence: commit.Sequence})
			s.reduce(Tick{})
			s.place()
			starts := takeEffects[StartTask](s)
			if len(starts) != 1 {
				t.Fatalf("%d starts of the first occurrence, want 1", len(starts))
			}
			order, at := starts[0].Order, starts[0].Worker.ID

			next := s.successor(commit)
			next.reduce(WorkerListed{Worker: s.dispatcher.workers["w0"].Worker})
			next.reduce(WorkerListed{Worker: s.dispatcher.workers["w1"].Worker})
			report := workflow.Report{Incarnation: 1, Clock: time.Second}
			if ended {
				report.Ended = []workflow.EndedTask{{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone}}
			} else {
				report.Running = []workflow.RunningTask{{Task: order.Task, Run: order.Run}}
			}
			other := structs.WorkerID("w0")
			if at == other {
				other = "w1"
			}
			next.reduce(LeaseAnswered{Worker: at, SentAt: next.now, Outcome: workflow.OK, Report: report})
			next.report(other, time.Second)
			if w := next.dispatcher.workers[at]; ended && w.acknowledgedEnd != 0 {
				t.Errorf("clock behind by %v: the end is acknowledged before it is stored", behind)
			}
			for range 8 {
				next.now = next.now.Add(100 * time.Millisecond)
				next.reduce(Tick{WallOffset: -behind})
				next.commit()
			}
			if w := next.dispatcher.workers[at]; ended && w.acknowledgedEnd != 1 {
				t.Errorf("clock behind by %v: the end is not acknowledged after it is stored", behind)
			}
			for _, e := range next.effects {
				switch e := e.(type) {
				case StartTask:
					t.Errorf("clock behind by %v, ended %t: task starts again as run %d", behind, ended, e.Order.Run)
				case StopTask:
					t.Errorf("clock behind by %v, ended %t: run of the previous leader is stopped", behind, ended)
				}
			}
		}
	}
}

// TestReportCreatesBoundedOccurrences guards against a report that names an
// occurrence far in the future and makes the leader create all before it.
func TestReportCreatesBoundedOccurrences(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	job := timedJob(s.now)
	job.Occurrences = workflow.MaxOccurrences
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	commit, err := s.dispatcher.NextCommit(s.now)
	if err != nil {
		t.Fatal(err)
	}
	next := s.successor(commit)
	next.reduce(WorkerListed{Worker: s.dispatcher.workers["w0"].Worker})
	next.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: "0000000000000001.999999.0.0", Run: 1, Kind: workflow.EndDone})
	if n := len(next.dispatcher.jobs["0000000000000001"].occurrences); n != 0 {
		t.Errorf("%d occurrences created, want none", n)
	}
}

// TestManyOccurrencesFitIntoARow guards against the progress of a job with many
// occurrences that outgrows its row: the store then refused every commit of the cell.
// It also guards against running completed ones again after a change of leader.
func TestManyOccurrencesFitIntoARow(t *testing.T) {
	const occurrences = 4000
	s := newDispatcherHarness(t, 1, largeWorker)
	job := timedJob(s.now)
	job.Occurrences, job.Interval = occurrences, 10*time.Millisecond
	first := job.Steps[0]
	first.DependsOn = []int{0}
	job.Steps = append(job.Steps, first, first, first)
	stored := map[tablestore.RowID][]byte{}
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commitTo(stored)
	done, number, largest := map[string]bool{}, uint64(0), 0
	for round := 0; len(done) < 4*occurrences && round < 4*occurrences; round++ {
		var ends []workflow.EndedTask
		for _, start := range takeEffects[StartTask](s) {
			if done[start.Order.Task] {
				t.Fatalf("%s starts again", start.Order.Task)
			}
			done[start.Order.Task] = true
			number++
			ends = append(ends, workflow.EndedTask{Sequence: number, Task: start.Order.Task, Run: start.Order.Run, Kind: workflow.EndDone})
		}
		s.now = s.now.Add(10 * time.Millisecond)
		s.report("w0", s.now.Sub(0), ends...)
		s.dispatcher.ConfirmLeadership(s.now)
		s.reduce(Tick{})
		s.commitTo(stored)
		for _, value := range stored {
			largest = max(largest, len(value))
		}
		if round == occurrences/2 {
			s.advance(maxProgressDelay)
			s.commitTo(stored)
			for _, start := range takeEffects[StartTask](s) {
				delete(done, start.Order.Task) // not carried out
			}
			s.nextLeader(stored)
		}
	}
	if len(done) != 4*occurrences {
		t.Errorf("%d tasks were started, want %d", len(done), 4*occurrences)
	}
	if largest > maxRowBytes {
		t.Errorf("the largest row has %d bytes, want at most %d", largest, maxRowBytes)
	}
	s.advance(time.Second)
	if state, _ := s.dispatcher.State(job.ID); state != workflow.Done {
		t.Errorf("state at the end: %s, want done", state)
	}
}
