package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// entry returns the directory entry of an incarnation of w0.
func entry(incarnation workflow.Incarnation, address string) WorkerListed {
	return WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: incarnation, Service: "svc", Address: address, Capacity: largeWorker}}
}

// runOnRestartedWorker returns a harness in which w0, whose first directory entry and
// reports name start time 9, has started again with the earlier start time 5, because
// the time of day of its machine went back. A task runs there, which its reports list.
// w1 is idle.
func runOnRestartedWorker(t *testing.T) (*dispatcherHarness, workflow.StartOrder) {
	t.Helper()
	s := newDispatcherHarness(t, 0, largeWorker)
	s.reduce(entry(9, "w0"))
	s.reportOf("w0", workflow.Report{Incarnation: 9, Clock: time.Minute})
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 5})
	s.reduce(entry(5, "w0"))
	s.commit()
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commit()
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.now = s.now.Add(100 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 5, Clock: 100 * time.Millisecond, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
	s.report("w1", 0)
	s.commit()
	s.effects = nil
	return s, order
}

// checkNotStarted fails the test if a task is started again.
func (s *dispatcherHarness) checkNotStarted(why string) {
	s.t.Helper()
	s.place()
	s.advance(50 * time.Millisecond)
	for _, start := range takeEffects[StartTask](s) {
		s.t.Errorf("%s: %s is started on %s as run %d while an earlier run goes on", why, start.Order.Task, start.Worker.ID, start.Order.Run)
	}
}

// TestLateEntryEndsNoRuns guards against a task that runs twice because a directory
// entry of an ended incarnation arrives after the report of the next one, whose start
// time is earlier.
func TestLateEntryEndsNoRuns(t *testing.T) {
	s, _ := runOnRestartedWorker(t)
	late := entry(9, "w0")
	late.Worker.Draining = true
	s.reduce(late)
	s.checkNotStarted("late entry of another incarnation")
}

// TestNewAddressEndsNoRuns guards against a task that runs twice because the directory
// entry of its worker names another address for the same incarnation.
func TestNewAddressEndsNoRuns(t *testing.T) {
	s, _ := runOnRestartedWorker(t)
	s.reduce(entry(5, "w0:2"))
	s.checkNotStarted("entry of the same incarnation with another address")
}

// TestEntryWithEarlierStartTimeCounts guards against a worker that no leader reaches
// any more: it has started again at another address, and its start time is earlier than
// that of its last incarnation because the time of day of its machine went back.
func TestEntryWithEarlierStartTimeCounts(t *testing.T) {
	s := newDispatcherHarness(t, 0, largeWorker)
	s.reduce(entry(9, "w0"))
	s.reportOf("w0", workflow.Report{Incarnation: 9, Clock: time.Minute})
	s.reduce(entry(5, "w0:2"))
	for range 100 { // 10 s
		s.advance(100 * time.Millisecond)
		for _, sent := range takeEffects[RenewLease](s) {
			if sent.Worker.Address == "w0:2" {
				return
			}
			s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.NotSent})
		}
	}
	t.Error("no renewal is sent to the address of the new incarnation within 10 s")
}

// removeUnlisted unlists w0 and lets it miss renewals for a time.
func (s *dispatcherHarness) removeUnlisted(d time.Duration) {
	s.reduce(WorkerUnlisted{ID: "w0"})
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(50 * time.Millisecond)
		for _, sent := range takeEffects[RenewLease](s) {
			s.reduce(LeaseAnswered{Worker: sent.Worker.ID, SentAt: s.now, Outcome: workflow.NotSent})
		}
	}
}

// TestRemovedWorkersLateReportIsIgnored guards against counting the clock of an ended
// incarnation for the next one, whose leases are then as long as workers grant them
// while the leader counts shorter ones: the worker was removed and listed again while
// an answer of the ended incarnation was on its way.
func TestRemovedWorkersLateReportIsIgnored(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.advance(100 * time.Millisecond)
	if sent := takeEffects[RenewLease](s); len(sent) != 1 {
		t.Fatalf("%d renewals, want 1", len(sent))
	}
	sentAt := s.now // its answer is late
	s.now = s.now.Add(10 * time.Millisecond)
	s.reduce(entry(2, "w0"))
	s.removeUnlisted(600 * time.Millisecond)
	s.reduce(entry(2, "w0"))
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: sentAt, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1, Clock: time.Hour}})
	if w := s.dispatcher.workers["w0"]; w.known && w.Incarnation == 1 {
		t.Errorf("a report of the ended incarnation counts: incarnation %d with clock %s", w.Incarnation, w.clock)
	}
}

// TestLateStartHoldsItsLease guards against starting a task again while a new
// incarnation of a silent worker runs it: the start request had no answer, was carried
// out at the latest time and granted the longest lease.
func TestLateStartHoldsItsLease(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order, sentAt := starts[0].Order, s.now
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
	s.report("w1", 0)
	s.commit()
	s.effects = nil
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.Unanswered})
	over := sentAt.Add(lateRequestTime + s.dispatcher.policy.MaxLease)
	for s.now.Before(over) {
		s.advance(100 * time.Millisecond)
		for _, effect := range s.effects {
			if start, ok := effect.(StartTask); ok && start.Worker.ID == structs.WorkerID("w1") {
				t.Fatalf("started on another worker %s after the request, which may run for up to %s", s.now.Sub(sentAt), over.Sub(sentAt))
			}
		}
		for _, sent := range takeEffects[RenewLease](s) {
			if sent.Worker.ID == "w1" {
				s.report("w1", time.Minute)
				continue
			}
			s.reduce(LeaseAnswered{Worker: sent.Worker.ID, SentAt: s.now, Outcome: workflow.Unanswered})
		}
	}
}

// TestWorkerRemovedByEarlierLeaderMayHoldALease guards against starting a task again
// while it runs: the leader before had removed the worker, so its row does not tell that
// it has restarted. A late renewal by that leader granted the longest lease to the new
// incarnation, before this leader reached it. Then the worker is cut off.
func TestWorkerRemovedByEarlierLeaderMayHoldALease(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.advance(100 * time.Millisecond)
	s.removeUnlisted(500 * time.Millisecond) // its last renewal had a deadline and no answer
	s.commitTo(stored)
	s.nextLeader(stored) // it knows the worker from its row, if that is kept
	s.reduce(entry(2, "w0"))
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: 500 * time.Millisecond})
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commit()
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.now = s.now.Add(10 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: 510 * time.Millisecond, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
	s.report("w1", 0)
	s.commit()
	reportedAt := s.now
	s.effects = nil
	for s.now.Sub(reportedAt) < s.dispatcher.policy.MaxLease-time.Second {
		s.advance(100 * time.Millisecond)
		for _, effect := range s.effects {
			if start, ok := effect.(StartTask); ok && start.Worker.ID == "w1" {
				t.Fatalf("started on another worker %s after the first report", s.now.Sub(reportedAt))
			}
		}
		for _, sent := range takeEffects[RenewLease](s) {
			if sent.Worker.ID == "w1" {
				s.report("w1", time.Minute)
				continue
			}
			s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.Unanswered})
		}
	}
}
