package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// lastingOnDrained returns a harness in which w0 runs a long-running task, drains, and then
// accepts no connections. w1 is idle. The rows of the cell are stored.
func lastingOnDrained(t *testing.T) (*dispatcherHarness, map[tablestore.RowID][]byte, workflow.StartOrder) {
	t.Helper()
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.dispatcher.workerChanged("w0")
	job := arrayJob(1, false)
	job.Steps[0].LongRunning = true
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commitTo(stored)
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.listWorker("w1")
	s.now = s.now.Add(100 * time.Millisecond)
	s.reportOf("w0", runningReport(s, order))
	s.commitTo(stored)
	reportFor := func(d time.Duration) {
		for until := s.now.Add(d); s.now.Before(until); {
			s.advance(500 * time.Millisecond)
			s.reportOf("w0", runningReport(s, order))
		}
	}
	reportFor(previousLeaderTime)
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker, Draining: true}})
	reportFor(drainTime) // the leases of 4 s end
	s.commitTo(stored)
	return s, stored, order
}

// drainTime is how long a worker reports that it drains before it leaves.
const drainTime = 3 * time.Second

// runningReport returns a report of w0, whose clock is that of the harness, which lists the run.
func runningReport(s *dispatcherHarness, order workflow.StartOrder) workflow.Report {
	return workflow.Report{Incarnation: 1, Clock: time.Duration(s.now), Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}}
}

// previousLeaderTime is longer than a new leader waits for the leases of the one before.
const previousLeaderTime = 9 * time.Second

// answerRenewals answers all renewals that were sent: those of w0 with an outcome, those of
// other workers with an empty report.
func (s *dispatcherHarness) answerRenewals(w0 workflow.Outcome) {
	for _, sent := range takeEffects[RenewLease](s) {
		answer := LeaseAnswered{Worker: sent.Worker.ID, FencingToken: sent.Order.FencingToken, SentAt: s.now, Outcome: workflow.OK}
		if answer.Report = (workflow.Report{Incarnation: 1, Clock: time.Duration(s.now)}); sent.Worker.ID == "w0" {
			answer.Outcome = w0
		}
		s.reduce(answer)
	}
}

// TestNextLeaderWaitsForNoWorkerThatHasLeft guards against a task that lasts and is away for
// over nine seconds: its worker has left as planned, the leader that knew it was killed two
// seconds later, and the next one waited for all leases that might have been granted to any
// worker (review/9).
func TestNextLeaderWaitsForNoWorkerThatHasLeft(t *testing.T) {
	s, stored, order := lastingOnDrained(t)
	left := s.now
	for s.now.Sub(left) < 2*time.Second {
		s.advance(25 * time.Millisecond)
		s.answerRenewals(workflow.NotSent)
		s.commitTo(stored)
	}
	s.dispatcher, s.effects = s.recoverNext(stored), nil
	s.now = s.now.Add(time.Second)
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
	const most = 5 * time.Second // leases of 2 s, their margin, the change of leader
	for s.now.Sub(left) < most {
		s.advance(25 * time.Millisecond)
		for _, effect := range s.effects {
			if start, ok := effect.(StartTask); ok && start.Order.Task == order.Task {
				return
			}
		}
		s.answerRenewals(workflow.NotSent)
		s.commitTo(stored)
	}
	t.Errorf("the task is not started %v after its worker has left", most)
}

// TestNoLeaseForWorkerThatIsStoredAsGone guards against a lease that the next leader does not
// count: the worker was stored as gone, was cut off from its leader only, and answers again.
// It must get no lease before a commit says so.
func TestNoLeaseForWorkerThatIsStoredAsGone(t *testing.T) {
	s, stored, order := lastingOnDrained(t)
	s.answerRenewals(workflow.Unanswered)
	s.advance(25 * time.Millisecond)
	s.answerRenewals(workflow.NotSent)
	s.advance(25 * time.Millisecond)
	s.commitTo(stored)
	if end := s.recoverNext(stored).workers["w0"].LeasesEndBy; end == 0 || end.Sub(s.now) > s.dispatcher.longestLease() {
		t.Fatalf("the leases of a worker that has left are stored as ended by %v, want a time that is not far", end)
	}
	granted := func() (deadlines int) {
		s.advance(minRenewalInterval)
		for _, sent := range takeEffects[RenewLease](s) {
			if sent.Worker.ID == "w0" && sent.Order.Deadline != 0 {
				deadlines++
			}
		}
		return deadlines
	}
	commit, err := s.dispatcher.NextCommit(s.now) // in progress, with the row from before
	if err != nil {
		t.Fatal(err)
	}
	s.reportOf("w0", runningReport(s, order))
	if n := granted(); n != 0 {
		t.Errorf("%d leases granted to a worker that is stored as gone, want 0", n)
	}
	s.reduce(Committed{Sequence: commit.Sequence})
	s.reportOf("w0", runningReport(s, order))
	if n := granted(); n != 0 {
		t.Errorf("%d leases granted after a commit from before the worker was back, want 0", n)
	}
	s.commitTo(stored)
	if end := s.recoverNext(stored).workers["w0"].LeasesEndBy; end != 0 {
		t.Errorf("the next leader takes a worker that is back for gone by %v", end)
	}
	s.reportOf("w0", runningReport(s, order))
	if n := granted(); n != 1 {
		t.Errorf("%d leases granted once the change is stored, want 1", n)
	}
}
