package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestBurstWritesFewRows guards against commits that cannot keep up with a burst
// of small urgent jobs. When each end of a task wrote a row, at 300 jobs a second
// a job took 0.85 s to be accepted and submissions were refused (sadm-drum-grown
// scale-2).
func TestBurstWritesFewRows(t *testing.T) {
	const jobs, tasks = 60, 3
	s := newDispatcherHarness(t, 30, largeWorker)
	step := workflow.Step{Tasks: tasks, Estimate: 300 * time.Millisecond, Resources: structs.Resources{MilliCPU: 2500}}
	for n := range jobs {
		job := workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Steps: []workflow.Step{step}}
		s.reduce(SubmitJob{Call: CallID(n), Job: job, Queue: batchQueue(nil)})
	}
	rows := 0
	flush := func() {
		for s.dispatcher.NeedsCommit() {
			commit, err := s.dispatcher.NextCommit(s.now)
			if err != nil {
				t.Fatal(err)
			}
			if entries := len(commit.Puts) + len(commit.Removes); entries > 98 {
				t.Fatalf("commit has %d entries, the store takes 100 including the leadership row", entries)
			}
			rows += len(commit.Puts) + len(commit.Removes)
			s.reduce(Committed{Sequence: commit.Sequence})
			s.place()
		}
	}
	flush()
	starts := takeEffects[StartTask](s)
	if len(starts) != jobs*tasks {
		t.Fatalf("%d starts, want %d", len(starts), jobs*tasks)
	}
	numbers := map[structs.WorkerID]uint64{}
	for n, start := range starts { // the tasks end one by one
		numbers[start.Worker.ID]++
		s.now = s.now.Add(time.Millisecond)
		s.report(start.Worker.ID, time.Second, workflow.EndedTask{
			Sequence: numbers[start.Worker.ID], Task: start.Order.Task, Run: start.Order.Run, Kind: workflow.EndDone,
		})
		if n%10 == 0 {
			flush()
		}
	}
	flush()
	const want = jobs + 10 // rows hold many jobs; the 10 are for worker buckets
	if rows > want {
		t.Errorf("%d rows written for %d jobs of %d tasks, want at most %d", rows, jobs, tasks, want)
	}
}

// TestEndIsAcknowledgedWhenDurable guards against losing an end, because a worker
// forgets ends that are acknowledged.
func TestEndIsAcknowledgedWhenDurable(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(2, false), batchQueue(nil))
	order := starts[0].Order
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	w := s.dispatcher.workers["w0"]
	if s.commit(); w.acknowledgedEnd != 0 {
		t.Error("end is acknowledged although its progress is deferred to a later commit")
	}
	s.advance(maxProgressDelay)
	if s.commit(); w.acknowledgedEnd != 1 {
		t.Errorf("acknowledged through %d after the commit with the progress, want 1", w.acknowledgedEnd)
	}
}

// TestEndedJobsDropSteps guards against keeping the steps of all jobs that ended
// in the last minutes, which took 123 MB of the leader's 536 MB in a cell of 350
// workers.
func TestEndedJobsDropSteps(t *testing.T) {
	s, starts := submitJob(t, 1, workflow.Job{ID: "0000000000000001", Steps: arrayJob(1, false).Steps[:1]}, batchQueue(nil))
	order := starts[0].Order
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.commit()
	s.advance(endedStepsRetention + time.Second)
	if j := s.dispatcher.jobs["0000000000000001"]; j.occurrences != nil || j.spec.Steps != nil {
		t.Error("ended job still has its steps")
	}
	if state, _ := s.dispatcher.State("0000000000000001"); state != workflow.Done {
		t.Errorf("state of the job: %q, want done", state)
	}
	s.reduce(SubmitJob{Call: 9, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	if replies := takeEffects[Reply](s); len(replies) != 1 || replies[0].Verdict != Accepted {
		t.Errorf("replies to a late repeated submission: %v, want accepted", replies)
	}
}

// TestCommitHoldsABurst guards against a throughput that a slow store limits. On
// trouble-2 of the grown sites, the store took three commits a second with 46
// jobs each, while 230 jobs a second arrived and as many ended.
func TestCommitHoldsABurst(t *testing.T) {
	const jobs, storeBytes, storeRow = 400, 1 << 20, 64 << 10
	s := newDispatcherHarness(t, 60, largeWorker)
	text := strings.Repeat("x", 500)
	step := workflow.Step{Tasks: 3, Estimate: 300 * time.Millisecond, Resources: structs.Resources{MilliCPU: 1500}}
	for n := range jobs {
		job := workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Spec: text, Steps: []workflow.Step{step, step}}
		s.reduce(SubmitJob{Call: CallID(n), Job: job, Queue: batchQueue(&workflow.Advisor{})})
	}
	check := func(commit Commit) {
		t.Helper()
		size := 0
		for _, p := range commit.Puts {
			size += len(p.Value) * 4 / 3
			if len(p.Value)*4/3 > storeRow {
				t.Errorf("row has %d bytes, the store takes %d", len(p.Value)*4/3, storeRow)
			}
		}
		if entries := len(commit.Puts) + len(commit.Removes); entries > 98 || size > storeBytes {
			t.Errorf("commit has %d entries and %d bytes, the store takes 100 and %d", entries, size, storeBytes)
		}
	}
	commit, err := s.dispatcher.NextCommit(s.now)
	if err != nil {
		t.Fatal(err)
	}
	check(commit)
	s.reduce(Committed{Sequence: commit.Sequence})
	if accepted := len(takeEffects[Reply](s)); accepted != jobs {
		t.Errorf("%d jobs accepted by one commit, want %d", accepted, jobs)
	}
	for _, j := range s.dispatcher.jobs { // all of them make progress and then end
		s.dispatcher.markDirty(j)
	}
	if commit, err = s.dispatcher.NextCommit(s.now); err != nil {
		t.Fatal(err)
	}
	check(commit)
	s.reduce(Committed{Sequence: commit.Sequence})
	for _, j := range s.dispatcher.jobs {
		s.dispatcher.endJob(j, jobDone)
	}
	if commit, err = s.dispatcher.NextCommit(s.now); err != nil {
		t.Fatal(err)
	}
	check(commit)
	s.reduce(Committed{Sequence: commit.Sequence})
	for _, j := range s.dispatcher.jobs {
		if j.visibleState != workflow.Done {
			t.Fatalf("job %s has visible state %s after the commit of its end", j.spec.ID, j.visibleState)
		}
	}
}

// TestRowsAreRemoved guards against tables that grow without bound.
func TestRowsAreRemoved(t *testing.T) {
	s := newDispatcherHarness(t, 4, largeWorker)
	rows := map[string]bool{}
	flush := func() {
		for s.dispatcher.NeedsCommit() {
			commit, err := s.dispatcher.NextCommit(s.now)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range commit.Puts {
				rows[p.Table+"/"+p.Key] = true
			}
			for _, r := range commit.Removes {
				delete(rows, r.Table+"/"+r.Key)
			}
			s.reduce(Committed{Sequence: commit.Sequence})
		}
	}
	for n := range 40 {
		job := workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Steps: arrayJob(1, false).Steps[:1]}
		s.reduce(SubmitJob{Call: CallID(n), Job: job, Queue: batchQueue(nil)})
		flush()
		s.dispatcher.markDirty(s.dispatcher.jobs[job.ID])
		flush()
		s.dispatcher.endJob(s.dispatcher.jobs[job.ID], jobDone)
		flush()
	}
	for name := range rows {
		if strings.HasPrefix(name, JobTable) {
			t.Errorf("row %s is not removed although its jobs have ended", name)
		}
	}
	s.now = s.now.Add(s.dispatcher.policy.Retention + time.Second)
	s.reduce(Tick{})
	flush()
	for name := range rows {
		if strings.HasPrefix(name, EndedJobTable) {
			t.Errorf("row %s is not removed although its jobs are no longer kept", name)
		}
	}
	if len(s.dispatcher.jobs) != 0 {
		t.Errorf("%d jobs are still known", len(s.dispatcher.jobs))
	}
}

// TestLeadershipEndReturnsUncommittedJobs guards against an unknown outcome for
// submissions that are not part of any commit of the leader. Callers do not
// repeat submissions with an unknown outcome (sierra-cambios-grown trouble-2, 556
// answers 504).
func TestLeadershipEndReturnsUncommittedJobs(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(SubmitJob{Call: 1, Job: workflow.Job{ID: "0000000000000001", Steps: arrayJob(1, false).Steps[:1]}, Queue: batchQueue(nil)})
	if _, err := s.dispatcher.NextCommit(s.now); err != nil { // its outcome remains unknown
		t.Fatal(err)
	}
	s.reduce(SubmitJob{Call: 2, Job: workflow.Job{ID: "0000000000000002", Steps: arrayJob(1, false).Steps[:1]}, Queue: batchQueue(nil)})
	takeEffects[Reply](s)
	s.reduce(LeadershipEnded{})
	replies := takeEffects[Reply](s)
	if len(replies) != 1 || replies[0].Call != 2 || replies[0].Verdict != NotAccepted {
		t.Errorf("replies %v, want one with verdict NotAccepted for the second job", replies)
	}
}

// TestManyWorkersFitIntoRows guards against a list of workers that exceeds the
// size of a row. The store refused every commit of a cell of 1,000 workers, and no
// job was accepted (sweep at 100 instances).
func TestManyWorkersFitIntoRows(t *testing.T) {
	const workers, storeRow, storeBytes = 3000, 64 << 10, 1 << 20
	s := newDispatcherHarness(t, 0, largeWorker)
	for n := range workers {
		id := structs.WorkerID(fmt.Sprintf("i-%010x", n*7919))
		s.reduce(WorkerListed{Worker: workflow.Worker{
			ID: id, Incarnation: 1_790_000_000_000, Service: "planeador-cambios", Address: "10.200.100.100:8161", Capacity: largeWorker,
			Location: structs.Location{Rack: "rack-0123"}, Labels: []string{"kind-a", "rack-0123"},
		}})
	}
	var rows []tablestore.Row
	for s.dispatcher.NeedsCommit() {
		commit, err := s.dispatcher.NextCommit(s.now)
		if err != nil {
			t.Fatal(err)
		}
		size := 0
		for _, p := range commit.Puts {
			size += len(p.Value) * 4 / 3
			if len(p.Value)*4/3 > storeRow {
				t.Fatalf("row has %d bytes, the store takes %d", len(p.Value)*4/3, storeRow)
			}
			rows = append(rows, tablestore.Row{Table: p.Table, Key: p.Key, Value: p.Value})
		}
		if len(commit.Puts) > 98 || size > storeBytes {
			t.Fatalf("commit has %d rows and %d bytes, too many for the store", len(commit.Puts), size)
		}
		s.reduce(Committed{Sequence: commit.Sequence})
	}
	next := New(DefaultPolicy(), 2, s.now, s.now)
	if err := next.Recover(rows, s.now); err != nil {
		t.Fatal(err)
	}
	if len(next.workers) != workers || next.unreported != workers {
		t.Errorf("next leader knows %d workers and waits for %d, want %d for both", len(next.workers), next.unreported, workers)
	}
}
