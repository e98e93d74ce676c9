package dispatch

import (
	"fmt"
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
