package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// silentWorker is a harness in which w0 runs a task and then answers nothing, while w1
// is idle and answers.
type silentWorker struct {
	*dispatcherHarness
	order    workflow.StartOrder
	deadline time.Duration     // end of the latest lease of w0, on its clock
	clock    time.Duration     // clock of w0 in its last report
	reported structs.Timestamp // when it reported
	proofs   bool              // commits succeed and prove the leadership
}

// newSilentWorker returns the harness. The start request of the task is answered, and the
// run is reported, if confirmed.
func newSilentWorker(t *testing.T, confirmed bool) *silentWorker {
	t.Helper()
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	h := &silentWorker{dispatcherHarness: s, order: starts[0].Order, proofs: true}
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
	s.report("w1", 0)
	for s.dispatcher.NeedsCommit() {
		s.commit()
	}
	if confirmed {
		s.reduce(StartAnswered{Worker: "w0", Task: h.order.Task, Run: h.order.Run, Outcome: workflow.OK})
		s.now = s.now.Add(100 * time.Millisecond)
		s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Minute, Running: []workflow.RunningTask{h.running()}})
	}
	h.step()
	h.step() // a renewal is sent after minRenewalInterval
	w := s.dispatcher.workers["w0"]
	h.deadline, h.clock, h.reported = w.leaseDeadline, w.clock, w.clockAt
	return h
}

func (h *silentWorker) running() workflow.RunningTask {
	return workflow.RunningTask{Task: h.order.Task, Run: h.order.Run, Percent: 1}
}

// leaseEnd returns when the lease of w0 has ended by the slowest clock.
func (h *silentWorker) leaseEnd() structs.Timestamp {
	return h.reported.Add(time.Duration(float64(h.deadline-h.clock) / minClockRate))
}

// step passes 50 ms, in which w1 answers and w0 does not, and returns the starts and the
// renewals of w0 that were sent.
func (h *silentWorker) step() (starts []StartTask, renewals []RenewLease) {
	const interval = 50 * time.Millisecond
	h.now = h.now.Add(interval)
	h.reduce(Tick{})
	if h.proofs {
		h.dispatcher.ConfirmLeadership(h.now)
	}
	h.place()
	effects := h.effects
	h.effects = nil
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartTask:
			starts = append(starts, e)
		case RenewLease:
			if e.Worker.ID == "w1" {
				h.report("w1", h.now.Sub(h.reported))
				continue
			}
			renewals = append(renewals, e)
			h.reduce(LeaseAnswered{Worker: "w0", SentAt: h.now, Outcome: workflow.Unanswered})
		}
	}
	return starts, renewals
}

// awaitRestart steps until the task starts on w1 and returns when it did.
func (h *silentWorker) awaitRestart() structs.Timestamp {
	h.t.Helper()
	for end := h.now.Add(30 * time.Second); h.now.Before(end); {
		if starts, _ := h.step(); len(starts) > 0 && starts[0].Worker.ID == "w1" {
			return h.now
		}
	}
	h.t.Fatal("the task is not started again within 30 s")
	return 0
}

// TestReplacedLeaderRestartsNoRuns guards against a task that runs twice: a leader whose
// commits get no answer counts the lease of a silent worker as over, which the next
// leader has renewed.
func TestReplacedLeaderRestartsNoRuns(t *testing.T) {
	h := newSilentWorker(t, true)
	h.proofs = false
	for h.now.Before(h.leaseEnd().Add(5 * time.Second)) {
		if starts, _ := h.step(); len(starts) > 0 {
			t.Fatalf("started on %s %s after the end of the lease, without a commit since then", starts[0].Worker.ID, h.now.Sub(h.leaseEnd()))
		}
	}
	h.dispatcher.ConfirmLeadership(h.leaseEnd()) // a commit from before the worker has ended its runs
	if starts, _ := h.step(); len(starts) > 0 {
		t.Fatal("started after a commit that was sent at the end of the lease")
	}
	h.proofs = true
	h.awaitRestart()
}

// TestLateWorkersRunsAreNotRestarted guards against a task that runs twice: a worker that
// is short of processor time ends its runs late after the end of its lease.
func TestLateWorkersRunsAreNotRestarted(t *testing.T) {
	const lateness = 2 * requestTimeout
	h := newSilentWorker(t, true)
	if after := h.awaitRestart().Sub(h.leaseEnd()); after < lateness {
		t.Errorf("started again %s after the end of the lease, want %s or more", after, lateness)
	}
}

// TestLateStartAfterSilenceIsFenced guards against a task that runs twice: a start
// request without an answer is carried out after its worker was silent, counted as over
// and renewed again, if the worker compares the renewed lease with its clock.
func TestLateStartAfterSilenceIsFenced(t *testing.T) {
	h := newSilentWorker(t, false)
	h.awaitRestart()
	_, renewals := h.step()
	for len(renewals) == 0 {
		_, renewals = h.step()
	}
	if renewals[0].Order.FencingToken <= h.order.FencingToken {
		t.Errorf("the worker is renewed with token %d, which does not fence the start request with token %d", renewals[0].Order.FencingToken, h.order.FencingToken)
	}
}

// TestReturnedWorkersLeaseLapses guards against an end as done that is acknowledged after
// its task was started again: the lease counted as over, but the worker's clock shows
// that it has not lapsed.
func TestReturnedWorkersLeaseLapses(t *testing.T) {
	h := newSilentWorker(t, true)
	h.awaitRestart()
	end := workflow.EndedTask{Sequence: 1, Task: h.order.Task, Run: h.order.Run, Kind: workflow.EndDone}
	for clock := h.deadline - time.Second; clock < h.deadline+2*time.Second; clock += 100 * time.Millisecond {
		h.now = h.now.Add(100 * time.Millisecond)
		h.reportOf("w0", workflow.Report{Incarnation: 1, Clock: clock, Ended: []workflow.EndedTask{end}})
		h.commit()
		h.advance(minRenewalInterval)
		for _, sent := range takeEffects[RenewLease](h.dispatcherHarness) {
			renews := sent.Order.Deadline != 0 || sent.Order.AcknowledgedThrough != 0
			if sent.Worker.ID == "w0" && renews && clock < h.deadline {
				t.Fatalf("renewed with %+v while the worker's clock is %s before the end of its lease", sent.Order, h.deadline-clock)
			}
			if sent.Worker.ID == "w0" && renews {
				return
			}
		}
	}
	t.Error("the worker is not renewed once its lease has lapsed")
}
