package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// listLongWorkers lists workers whose entries have labels of the given length.
func (s *dispatcherHarness) listLongWorkers(count, labelBytes int) {
	for n := range count {
		id := structs.WorkerID(fmt.Sprintf("w%05d", n))
		s.reduce(WorkerListed{Worker: workflow.Worker{
			ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker, Labels: []string{strings.Repeat("x", labelBytes)},
		}})
	}
}

// TestRowsOfWorkersFitIntoTheStore guards against a bucket of workers that outgrows a row:
// the store then rejected every commit of the cell, for good. Rows that a bucket no longer
// needs must be removed with it, and a new leader must know all workers.
func TestRowsOfWorkersFitIntoTheStore(t *testing.T) {
	const workers = 2000
	s := newDispatcherHarness(t, 0, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.listLongWorkers(workers, 1000)
	s.commitWithinLimits(stored)
	next := s.recoverNext(stored)
	if len(next.workers) != workers {
		t.Fatalf("the next leader knows %d workers, want %d", len(next.workers), workers)
	}
	s.dispatcher = next
	s.listLongWorkers(workers, 1) // the same workers with shorter entries
	for _, w := range s.dispatcher.sortedWorkers {
		s.dispatcher.workerChanged(w.ID)
	}
	s.commitWithinLimits(stored)
	if len(stored) != workerBuckets {
		t.Errorf("%d rows are stored for %d short entries, want one for each of %d buckets", len(stored), workers, workerBuckets)
	}
	if known := len(s.recoverNext(stored).workers); known != workers {
		t.Errorf("the leader after it knows %d workers, want %d", known, workers)
	}
}

// TestWorkersBeyondTheirRowsGetNoTasks guards against a directory whose entries are too
// many to be stored: those that do not fit must cost no other worker anything, and must
// get no tasks, as the next leader would not know of them.
func TestWorkersBeyondTheirRowsGetNoTasks(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.listLongWorkers(4000, 4000)
	s.commitWithinLimits(stored)
	next := s.recoverNext(stored)
	if len(next.workers) == len(s.dispatcher.workers) {
		t.Fatal("all workers are stored, want that some do not fit")
	}
	if !s.dispatcher.workers["w0"].stored {
		t.Error("a worker that was stored before is not any more")
	}
	for _, w := range s.dispatcher.sortedWorkers {
		if w.rowStored != (next.workers[w.ID] != nil) {
			t.Errorf("worker %s counts as stored: %t, want what the next leader finds", w.ID, w.rowStored)
		}
	}
	if got := len(takeEffects[Decision](s)); got == 0 {
		t.Error("no decision tells of the workers that are not stored")
	}
}

// TestWorkersAndJobsShareACommit guards against a commit that is full of jobs and takes a large
// bucket of workers as well: it exceeded the store's limit of a transaction.
func TestWorkersAndJobsShareACommit(t *testing.T) {
	s := newDispatcherHarness(t, 0, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	const jobs = 100
	for n := range jobs {
		job := checkpointJob(n, 1)
		job.Spec = strings.Repeat("s", 20_000)
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: job, Queue: batchQueue(nil)})
	}
	s.listLongWorkers(4000, 4000)
	s.commitWithinLimits(stored)
	next := s.recoverNext(stored)
	if len(next.jobs) != jobs || len(next.workers) == 0 {
		t.Errorf("the next leader knows %d jobs and %d workers, want %d jobs and some workers", len(next.jobs), len(next.workers), jobs)
	}
}
