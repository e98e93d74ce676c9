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

// Limits of the store for a row and a transaction. Values are encoded in base64.
const (
	storeRowBytes     = 65_536 * 3 / 4
	storeEntries      = 100
	storeCommitBytes  = 1_000_000 * 3 / 4
	checkpointOfTests = "00000bb87a21d94b"
)

// wideJob returns a job of two steps with 10,000 tasks each.
func wideJob(n int) workflow.Job {
	step := workflow.Step{Tasks: workflow.MaxTasksPerStep, Estimate: time.Second, Checkpoints: true, Resources: structs.Resources{MilliCPU: 100}}
	return workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Spec: "spec", Steps: []workflow.Step{step, step}}
}

// commitWithinLimits completes commits until nothing is left to write, and checks each.
func (s *dispatcherHarness) commitWithinLimits(stored map[tablestore.RowID][]byte) {
	s.t.Helper()
	for range 200 {
		commit, err := s.dispatcher.NextCommit(s.now)
		if err != nil {
			s.t.Fatal(err)
		}
		bytes := 0
		for _, put := range commit.Puts {
			stored[tablestore.RowID{Table: put.Table, Key: put.Key}] = put.Value
			bytes += len(put.Value)
			if len(put.Value) > storeRowBytes {
				s.t.Fatalf("a row of %s has %d bytes, the store takes %d", put.Table, len(put.Value), storeRowBytes)
			}
		}
		for _, id := range commit.Removes {
			delete(stored, id)
		}
		if entries := len(commit.Puts) + len(commit.Removes) + 1; entries > storeEntries || bytes > storeCommitBytes {
			s.t.Fatalf("a commit has %d entries and %d bytes, the store takes %d and %d", entries, bytes, storeEntries, storeCommitBytes)
		}
		s.reduce(Committed{Sequence: commit.Sequence})
		if !s.dispatcher.NeedsCommit() {
			return
		}
	}
	s.t.Fatal("changes are left after 200 commits")
}

// TestWideJobsFitIntoTheStore guards against progress that outgrows a row or a
// transaction: the store then refused every commit of the cell, for good.
func TestWideJobsFitIntoTheStore(t *testing.T) {
	const jobs = 60
	s := newDispatcherHarness(t, 1, structs.Resources{})
	stored := map[tablestore.RowID][]byte{}
	for n := range jobs {
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: wideJob(n), Queue: batchQueue(nil)})
	}
	s.commitWithinLimits(stored)
	for n := range jobs {
		j := s.dispatcher.jobs[wideJob(n).ID]
		for k, task := range j.occurrences[0].steps[n%2].tasks {
			task.checkpoint = checkpointOfTests
			switch {
			case k%3 == 0:
				s.dispatcher.succeed(task)
			case n == 0:
				task.failedRuns = []uint64{1001, 2001, 3001}
			}
		}
		s.dispatcher.markDirty(j)
	}
	s.commitWithinLimits(stored)
	s.nextLeader(stored)
	for n := range jobs {
		step := s.dispatcher.jobs[wideJob(n).ID].occurrences[0].steps[n%2]
		if want := workflow.MaxTasksPerStep - (workflow.MaxTasksPerStep+2)/3; step.remainingTasks != want {
			t.Errorf("job %d: %d tasks are left at the next leader, want %d", n, step.remainingTasks, want)
		}
		if failed := len(step.tasks[9_998].failedRuns); n == 0 && failed != 3 {
			t.Errorf("%d failed runs of a task at the next leader, want 3", failed)
		}
	}
}

// checkpointJob returns a job of one step whose tasks save their progress.
func checkpointJob(n, tasks int) workflow.Job {
	step := workflow.Step{Tasks: tasks, Estimate: time.Second, Checkpoints: true, Resources: structs.Resources{MilliCPU: 100}}
	return workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Spec: "spec", Steps: []workflow.Step{step}}
}

// TestRemovedProgressRowsFitIntoACommit guards against a commit with too many removed rows:
// jobs with large progress have ended, the rows of their buckets are still stored, and the
// first changes after an outage of the store concern all buckets. The store rejected that
// commit for its number of entries, for good (review/7).
func TestRemovedProgressRowsFitIntoACommit(t *testing.T) {
	const jobs, tasks = 300, 24
	s := newDispatcherHarness(t, 1, structs.Resources{})
	stored := map[tablestore.RowID][]byte{}
	submit := func(n, tasks int) *step {
		job := checkpointJob(n, tasks)
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: job, Queue: batchQueue(nil)})
		return s.dispatcher.jobs[job.ID].occurrences[0].steps[0]
	}
	var large, small []*step
	for n := range jobs {
		large, small = append(large, submit(n, tasks)), append(small, submit(jobs+n, 2))
	}
	s.commitWithinLimits(stored)
	for _, step := range large {
		for _, task := range step.tasks {
			task.checkpoint = strings.Repeat("c", 1000)
		}
		s.dispatcher.markDirty(step.job)
	}
	s.commitWithinLimits(stored)
	if rows := len(stored); rows < 2*progressBuckets {
		t.Fatalf("%d rows are stored, want more than one for each of %d buckets", rows, progressBuckets)
	}
	for _, step := range large {
		for _, task := range step.tasks {
			s.dispatcher.succeed(task)
		}
	}
	s.commitWithinLimits(stored)
	s.advance(endedStepsRetention + time.Second)
	for _, step := range small {
		s.dispatcher.succeed(step.tasks[0])
	}
	s.advance(maxProgressDelay)
	s.commitWithinLimits(stored)
	if rows := len(stored); rows > 2*progressBuckets {
		t.Errorf("%d rows are stored, want that those of the ended jobs are removed", rows)
	}
	next := s.recoverNext(stored)
	for _, step := range small {
		if left := next.jobs[step.job.spec.ID].occurrences[0].steps[0].remainingTasks; left != 1 {
			t.Errorf("%d tasks of %s are left at the next leader, want 1", left, step.name)
		}
	}
}

// TestLargeBucketFitsIntoACommit guards against jobs of one bucket whose checkpoints outgrow
// a transaction together: the store rejected each commit with progress of one of them.
func TestLargeBucketFitsIntoACommit(t *testing.T) {
	const jobs, tasks = 120, 24
	s := newDispatcherHarness(t, 1, structs.Resources{})
	stored := map[tablestore.RowID][]byte{}
	var same []workflow.Job
	for n := 0; len(same) < jobs; n++ {
		if job := checkpointJob(n, tasks); jobBucket(job.ID) == 0 {
			same = append(same, job)
			s.reduce(SubmitJob{Call: CallID(n + 1), Job: job, Queue: batchQueue(nil)})
		}
	}
	s.commitWithinLimits(stored)
	for _, job := range same {
		j := s.dispatcher.jobs[job.ID]
		for k, task := range j.occurrences[0].steps[0].tasks {
			if task.checkpoint = strings.Repeat("c", 1000); k == 0 {
				s.dispatcher.succeed(task)
			}
		}
		s.dispatcher.markDirty(j)
	}
	s.commitWithinLimits(stored)
	s.nextLeader(stored)
	for _, job := range same {
		if left := s.dispatcher.jobs[job.ID].occurrences[0].steps[0].remainingTasks; left != tasks-1 {
			t.Errorf("job %s: %d tasks are left at the next leader, want %d", job.ID, left, tasks-1)
		}
	}
}

// TestManyOpenOccurrencesFitIntoRows guards against a job with times whose progress outgrows
// a row by its steps, although no task of it has a checkpoint or a failed run.
func TestManyOpenOccurrencesFitIntoRows(t *testing.T) {
	s := newDispatcherHarness(t, 1, structs.Resources{})
	stored := map[tablestore.RowID][]byte{}
	job := workflow.Job{ID: "0000000000000001", Spec: "spec", Occurrences: 1000}
	for range workflow.MaxSteps {
		job.Steps = append(job.Steps, workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 100}})
	}
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commitWithinLimits(stored)
	s.advance(time.Second)
	j := s.dispatcher.jobs[job.ID]
	open := len(j.occurrences)
	if open < 100 {
		t.Fatalf("%d open occurrences, want at least 100", open)
	}
	for _, occ := range j.occurrences {
		for _, step := range occ.steps[1:] {
			s.dispatcher.succeed(step.tasks[0])
		}
	}
	s.dispatcher.markDirty(j)
	s.commitWithinLimits(stored)
	next := s.recoverNext(stored).jobs[job.ID]
	if next.nextDue != j.nextDue || len(next.occurrences) != open {
		t.Fatalf("%d open occurrences before %d at the next leader, want %d before %d", len(next.occurrences), next.nextDue, open, j.nextDue)
	}
	for _, occ := range next.occurrences {
		for n, step := range occ.steps {
			if want := min(n, 1); step.remainingTasks != 1-want {
				t.Fatalf("%d tasks of %s are left at the next leader, want %d", step.remainingTasks, step.name, 1-want)
			}
		}
	}
}

// TestManyFailedRunsFitIntoARow guards against a task without a limit of attempts, or with a
// high one, whose failed runs outgrow a row. Their count must last, as attempts are limited.
func TestManyFailedRunsFitIntoARow(t *testing.T) {
	const attempts, failed = 20_000, 15_000
	s := newDispatcherHarness(t, 1, structs.Resources{})
	stored := map[tablestore.RowID][]byte{}
	queue := batchQueue(nil)
	queue.MaxAttempts = attempts
	job := checkpointJob(1, 2)
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: queue})
	s.commitWithinLimits(stored)
	task := s.dispatcher.jobs[job.ID].occurrences[0].steps[0].tasks[1]
	for run := range failed {
		s.dispatcher.fail(task, uint64(1_000_000+run))
	}
	s.dispatcher.fail(task, 1_000_000) // listed again
	s.advance(maxProgressDelay)
	s.commitWithinLimits(stored)
	s.nextLeader(stored)
	task = s.dispatcher.jobs[job.ID].occurrences[0].steps[0].tasks[1]
	s.dispatcher.fail(task, 1_000_000+failed-1) // the next leader lists it, too
	if task.failures() != failed || s.dispatcher.jobs[job.ID].state != jobActive {
		t.Errorf("%d failed runs at the next leader, want %d", task.failures(), failed)
	}
	for run := failed; run < attempts; run++ {
		s.dispatcher.fail(task, uint64(1_000_000+run))
	}
	if state := s.dispatcher.jobs[job.ID].state; state != jobFailed {
		t.Errorf("state %d after %d failed runs, want failed", state, attempts)
	}
}
