package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// recoverNext returns the dispatcher of the next leader, which has recovered from the
// stored rows and read no directory entry yet.
func (s *dispatcherHarness) recoverNext(stored map[tablestore.RowID][]byte) *Dispatcher {
	s.t.Helper()
	now := s.now.Add(time.Second)
	next := New(DefaultPolicy(), s.dispatcher.epoch+1, now, now)
	var rows []tablestore.Row
	for id, value := range stored {
		rows = append(rows, tablestore.Row{Table: id.Table, Key: id.Key, Value: value})
	}
	if err := next.Recover(rows, s.now); err != nil {
		s.t.Fatal(err)
	}
	return next
}

// listWorker lists an idle worker of the given name, and delivers its first report.
func (s *dispatcherHarness) listWorker(id structs.WorkerID) {
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
	s.report(id, 0)
}

// TestNextLeaderKnowsWorkersWithTasks guards against a task that runs twice after a
// change of leader: the first leader started it on a worker whose row was not stored
// yet, the directory's list reached the next leader late, and the next leader
// completed its recovery without that worker and started the task elsewhere.
func TestNextLeaderKnowsWorkersWithTasks(t *testing.T) {
	s := newDispatcherHarness(t, 0, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commitTo(stored)
	s.listWorker("w0")
	s.place()
	for range 10 { // a leader that dies may have sent requests whose commit is not stored
		for _, start := range takeEffects[StartTask](s) {
			if s.recoverNext(stored).workers[start.Worker.ID] == nil {
				t.Fatalf("%s is started on %s, which the next leader does not know", start.Order.Task, start.Worker.ID)
			}
			return
		}
		s.commitTo(stored)
	}
	t.Error("the task is not started after ten commits")
}

// TestRestartedWorkerIsStoredBeforeItsTasks guards against a task that runs twice after a
// change of leader: it was started on a restarted worker before the end of the lease that
// this may hold from a late request was stored, and the next leader did not count that.
func TestRestartedWorkerIsStoredBeforeItsTasks(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	commit, err := s.dispatcher.NextCommit(s.now) // in progress, with the row from before the restart
	if err != nil {
		t.Fatal(err)
	}
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 2})
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	s.reduce(Committed{Sequence: commit.Sequence})
	s.place()
	if starts := takeEffects[StartTask](s); len(starts) != 0 {
		t.Fatalf("%d starts on a restarted worker before it is stored, want 0", len(starts))
	}
	s.commitTo(stored)
	if starts := takeEffects[StartTask](s); len(starts) != 1 {
		t.Errorf("%d starts on a restarted worker that is stored, want 1", len(starts))
	}
	next := New(DefaultPolicy(), s.dispatcher.epoch.Next(), s.now, s.now)
	for id, value := range stored {
		if err := next.Recover([]tablestore.Row{{Table: id.Table, Key: id.Key, Value: value}}, s.now); err != nil {
			t.Fatal(err)
		}
		if w := next.workers["w0"]; w != nil {
			if left := w.InheritedLeaseEnd.Sub(s.now); left < s.dispatcher.policy.MaxLease {
				t.Errorf("the next leader counts a lease of %s, want at least %s", left, s.dispatcher.policy.MaxLease)
			}
			return
		}
	}
	t.Error("the next leader does not know the worker")
}

// TestWorkersAreStoredSoon guards against a cell whose first tasks wait for many
// commits, because a worker gets no task before its row is stored. A commit takes up
// to 80 ms, and a cell of 350 workers has room for all their rows in one.
func TestWorkersAreStoredSoon(t *testing.T) {
	const workers, wantCommits = 350, 2
	s := newDispatcherHarness(t, 0, largeWorker)
	for n := range workers {
		s.listWorker(structs.WorkerID(taskName("w", n)))
	}
	commits := 0
	for s.dispatcher.NeedsCommit() {
		s.commit()
		commits++
	}
	for _, w := range s.dispatcher.sortedWorkers {
		if !w.stored {
			t.Fatalf("worker %s is not stored after %d commits", w.ID, commits)
		}
	}
	if commits > wantCommits {
		t.Errorf("%d commits until all of %d workers are stored, want at most %d", commits, workers, wantCommits)
	}
}
