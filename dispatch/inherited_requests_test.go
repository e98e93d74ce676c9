package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestAdoptedRunIsKeptForNextIncarnation guards against starting a task again whose run a
// new incarnation lists: the leader has adopted the run, and the incarnation has carried
// out a late start request of the leader before.
func TestAdoptedRunIsKeptForNextIncarnation(t *testing.T) {
	s := newDispatcherHarness(t, 2, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.dispatcher.workerChanged("w0")
	s.dispatcher.workerChanged("w1")
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commitTo(stored)
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts", len(starts))
	}
	order, on := starts[0].Order, starts[0].Worker.ID
	other := structs.WorkerID("w1")
	if on == "w1" {
		other = "w0"
	}
	s.reduce(StartAnswered{Worker: on, FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.Unanswered})
	s.dispatcher = s.recoverNext(stored)
	s.now = s.now.Add(time.Second)
	s.effects = nil
	for _, id := range []structs.WorkerID{"w0", "w1"} {
		s.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
	}
	running := []workflow.RunningTask{{Task: order.Task, Run: order.Run}}
	s.now = s.now.Add(10 * time.Millisecond)
	s.reportOf(on, workflow.Report{Incarnation: 1, Clock: time.Minute, Running: running})
	s.reportOf(other, workflow.Report{Incarnation: 1, Clock: time.Minute})
	s.commitTo(stored)
	s.now = s.now.Add(500 * time.Millisecond)
	s.reportOf(other, workflow.Report{Incarnation: 1, Clock: time.Minute})
	s.effects = nil
	s.reduce(LeaseAnswered{Worker: on, SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2, Clock: 200 * time.Millisecond, Running: running}})
	s.place()
	for _, start := range takeEffects[StartTask](s) {
		t.Errorf("run %d of %s started on %s while run %d runs on %s, which has just listed it", start.Order.Run, start.Order.Task, start.Worker.ID, order.Run, on)
	}
}

// TestRecoveredWorkerIsKeptWhileRequestsMayArrive guards against removing the row of a
// worker while requests of the leader before may still be carried out: a third leader then
// takes a restarted worker for a new one, and counts too short a lease.
func TestRecoveredWorkerIsKeptWhileRequestsMayArrive(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.dispatcher.workerChanged("w0")
	s.advance(100 * time.Millisecond)
	sentAt := s.now // last renewal with a deadline, no answer
	if r := takeEffects[RenewLease](s); len(r) != 1 || r[0].Order.Deadline == 0 {
		t.Fatal("no renewal with a deadline")
	}
	s.commitTo(stored)
	s.nextLeader(stored)
	s.reduce(WorkerUnlisted{ID: "w0"})
	for s.dispatcher.workers["w0"] != nil && s.now.Sub(sentAt) < 20*time.Second {
		s.advance(50 * time.Millisecond)
		for _, sent := range takeEffects[RenewLease](s) {
			s.reduce(LeaseAnswered{Worker: sent.Worker.ID, SentAt: s.now, Outcome: workflow.NotSent})
		}
	}
	if d := s.now.Sub(sentAt); d < lateRequestTime {
		t.Errorf("row removed %s after a renewal of the first leader that may be carried out for %s", d, lateRequestTime)
	}
	s.commitTo(stored)
	s.now = s.now.Add(-time.Second + 500*time.Millisecond)
	s.nextLeader(stored)
	s.reduce(entry(2, "w0"))
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: 500 * time.Millisecond})
	w := s.dispatcher.workers["w0"]
	if s.now.Sub(sentAt) < lateRequestTime && max(w.leaseEnd, w.InheritedLeaseEnd).Sub(s.now) < s.dispatcher.policy.MaxLease {
		t.Errorf("the third leader counts a lease of %s, want at least %s", max(w.leaseEnd, w.InheritedLeaseEnd).Sub(s.now), s.dispatcher.policy.MaxLease)
	}
}

// TestNoLeaseBeforeWorkerIsStored guards against a late renewal that grants a lease to a
// worker which the next leader does not know, and takes for one that has never restarted.
func TestNoLeaseBeforeWorkerIsStored(t *testing.T) {
	s := newDispatcherHarness(t, 0, largeWorker)
	s.reduce(entry(1, "w0"))
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Minute})
	s.effects = nil
	s.now = s.now.Add(70 * time.Millisecond)
	s.reduce(Tick{})
	sent := takeEffects[RenewLease](s)
	if len(sent) != 1 {
		t.Fatalf("%d renewals, want 1", len(sent))
	}
	for _, r := range sent {
		if r.Order.Deadline != 0 && !s.dispatcher.workers["w0"].stored {
			t.Errorf("lease until %s granted before the row is stored", r.Order.Deadline)
		}
	}
}

// TestStoredLeaseEndAllowsForClocks guards against a lease that the next leader counts too
// short because its clock is ahead of that of the leader which stored the lease's end.
func TestStoredLeaseEndAllowsForClocks(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: 500 * time.Millisecond})
	granted := s.now
	stored := map[tablestore.RowID][]byte{}
	const behind = time.Second // the first leader's clock is behind the store's by the return path of its claim
	s.dispatcher.SetStoreClockAhead(behind)
	s.commitTo(stored)
	s.dispatcher = s.recoverNext(stored)
	left := s.dispatcher.workers["w0"].InheritedLeaseEnd.Sub(granted.Add(behind))
	if lasts := time.Duration(float64(s.dispatcher.policy.MaxLease)/minClockRate) + workerLateness; left < lasts {
		t.Errorf("counted for %s, may last %s", left, lasts)
	}
}
