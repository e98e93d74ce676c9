package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// Each of these tests takes a conclusion that the leader draws from a time that it counts
// itself, and lets the other side act as late as its bound allows.

// silentWorkerTest has a task that runs on w0, which is silent, and an idle w1.
type silentWorkerTest struct {
	*dispatcherHarness
	order    workflow.StartOrder
	stored   map[tablestore.RowID][]byte
	reported structs.Timestamp // last report of w0
	clock    time.Duration     // of w0 at that time
	deadline time.Duration     // latest end of a lease on the clock of w0
}

func newSilentWorkerTest(t *testing.T) *silentWorkerTest {
	t.Helper()
	s := newDispatcherHarness(t, 1, largeWorker)
	c := &silentWorkerTest{dispatcherHarness: s, stored: map[tablestore.RowID][]byte{}}
	s.dispatcher.workerChanged("w0")
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commitTo(c.stored)
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	c.order = starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: c.order.Task, Run: c.order.Run, Outcome: workflow.OK})
	s.listWorker("w1")
	s.commitTo(c.stored)
	s.now, c.clock = s.now.Add(time.Millisecond), time.Millisecond
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: c.clock, Running: []workflow.RunningTask{{Task: c.order.Task, Run: c.order.Run}}})
	c.reported, c.deadline = s.now, c.order.Deadline
	s.dispatcher.ConfirmLeadership(s.now)
	s.effects = nil
	return c
}

// leaseEnd returns when the lease of w0 ends if its clock is as slow as a clock may be.
func (c *silentWorkerTest) leaseEnd() structs.Timestamp {
	return c.reported.Add(time.Duration(float64(c.deadline-c.clock) / minClockRate))
}

// step moves the time forward by a tick, in which w1 answers and w0 does not, and reports
// whether the task is started on w1.
func (c *silentWorkerTest) step(confirmed bool) bool {
	c.now = c.now.Add(25 * time.Millisecond)
	c.reduce(Tick{})
	if confirmed {
		c.dispatcher.ConfirmLeadership(c.now)
	}
	c.place()
	effects, started := c.effects, false
	c.effects = nil
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartTask:
			started = started || e.Worker.ID == "w1" && e.Order.Task == c.order.Task
		case RenewLease:
			if e.Worker.ID == "w1" {
				c.report("w1", time.Duration(c.now))
				continue
			}
			c.deadline = max(c.deadline, e.Order.Deadline)
			c.reduce(LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.Unanswered})
		}
	}
	return started
}

// startedWithin returns whether the task is started on w1 within a time.
func (c *silentWorkerTest) startedWithin(d time.Duration, confirmed bool) bool {
	for end := c.now.Add(d); c.now.Before(end); {
		if c.step(confirmed) {
			return true
		}
	}
	return false
}

// takeOver replaces the leader by one that has recovered from the stored rows, and to
// which w1 has reported. It returns the time in the row of the leader before.
func (c *silentWorkerTest) takeOver() structs.Timestamp {
	c.t.Helper()
	c.commitTo(c.stored)
	lastCommit := c.now
	c.dispatcher = c.recoverNext(c.stored)
	c.now = c.now.Add(time.Second)
	for _, id := range []structs.WorkerID{"w0", "w1"} {
		c.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
	}
	c.reduce(LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.Unanswered})
	c.report("w1", time.Minute)
	c.commitTo(c.stored)
	c.effects = nil
	return lastCommit
}

// TestLeaseIsOverOnlyForProvenLeader guards against a leader that reaches neither the
// store nor a worker, and starts the worker's tasks on one that it reaches: another
// instance leads and renews the lease of the silent worker, so both runs go on.
func TestLeaseIsOverOnlyForProvenLeader(t *testing.T) {
	for name, arrange := range map[string]func(*silentWorkerTest){
		"lease of this leader":         func(*silentWorkerTest) {},
		"lease of the previous leader": func(c *silentWorkerTest) { c.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			c := newSilentWorkerTest(t)
			arrange(c)
			began := c.now
			if c.startedWithin(10*time.Second, false) {
				t.Errorf("%s is started on w1 %s after the last proof of the leadership, while another leader may renew the lease of w0", c.order.Task, c.now.Sub(began))
				return
			}
			if !c.startedWithin(time.Second, true) {
				t.Error("the task is not started once the leadership is proved")
			}
		})
	}
}

// TestLeaseOverAllowsForLateWorker guards against starting a task while its run goes on
// because its worker ends runs late at the end of their lease. It is given the time that
// a stop may take, as no shorter one is stated for the end of a lease.
func TestLeaseOverAllowsForLateWorker(t *testing.T) {
	t.Run("lease of this leader", func(t *testing.T) {
		c := newSilentWorkerTest(t)
		if !c.startedWithin(15*time.Second, true) {
			t.Fatal("the task of a silent worker is not started again")
		}
		if late := c.now.Sub(c.leaseEnd()); late < c.dispatcher.policy.MaxStopTime {
			t.Errorf("started on w1 %s after the lease of w0 has ended, which may take %s to end its runs", late, c.dispatcher.policy.MaxStopTime)
		}
	})
	t.Run("lease of the previous leader", func(t *testing.T) {
		c := newSilentWorkerTest(t)
		end := c.takeOver().Add(time.Duration(float64(c.dispatcher.policy.Horizon) / minClockRate))
		if !c.startedWithin(20*time.Second, true) {
			t.Fatal("the task of a silent worker is not started again")
		}
		if late := c.now.Sub(end); late < c.dispatcher.policy.MaxStopTime {
			t.Errorf("started on w1 %s after the longest lease of the previous leader has ended, w0 may take %s to end its runs", late, c.dispatcher.policy.MaxStopTime)
		}
	})
}

// TestCountedLeaseIsNotRenewedBeforeItHasLapsed guards against acknowledging the end of a
// run whose task was started again when its lease was counted as over, although it had
// not lapsed on the worker: a renewal keeps it from lapsing.
func TestCountedLeaseIsNotRenewedBeforeItHasLapsed(t *testing.T) {
	c := newSilentWorkerTest(t)
	if !c.startedWithin(15*time.Second, true) {
		t.Fatal("the task of a silent worker is not started again")
	}
	old := c.deadline
	report := workflow.Report{Incarnation: 1, Ended: []workflow.EndedTask{{Sequence: 1, Task: c.order.Task, Run: c.order.Run, Kind: workflow.EndDone}}}
	// answer lets w0 report its clock until no renewal follows, and returns the latest
	// deadline and acknowledged end that the leader sends.
	answer := func(clock time.Duration) (deadline time.Duration, acknowledged uint64) {
		report.Clock = clock
		c.reduce(LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.OK, Report: report})
		for range 40 {
			c.advance(25 * time.Millisecond)
			c.commitTo(c.stored)
			for _, sent := range takeEffects[RenewLease](c.dispatcherHarness) {
				if sent.Worker.ID != "w0" {
					c.report(sent.Worker.ID, time.Duration(c.now))
					continue
				}
				deadline, acknowledged = max(deadline, sent.Order.Deadline), max(acknowledged, sent.Order.AcknowledgedThrough)
				c.reduce(LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.OK, Report: report})
			}
		}
		return deadline, acknowledged
	}
	if deadline, acknowledged := answer(old - time.Millisecond); deadline > old || acknowledged != 0 {
		t.Errorf("the lease of w0, which ends at %s, is renewed until %s and its end %d is acknowledged before it has lapsed", old, deadline, acknowledged)
	}
	if deadline, acknowledged := answer(old + workerLateness); deadline <= old || acknowledged != 1 {
		t.Errorf("after the lease has lapsed at %s: renewed until %s, end %d acknowledged, want a later one and end 1", old, deadline, acknowledged)
	}
}

// checkPaused fails the test if a leader that was paused starts a task before a commit
// proves that it still leads. The given event is the first one that it processes.
func checkPaused(t *testing.T, pause time.Duration, first structs.Event) {
	t.Helper()
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil), Deadline: s.now.Add(time.Minute)})
	s.advance(25 * time.Millisecond)
	s.effects = nil
	s.now = s.now.Add(pause)
	s.reduce(first)
	s.commit() // it was sent before the pause
	for _, start := range takeEffects[StartTask](s) {
		t.Errorf("%s is started after a pause of %s, before a commit proves the leadership", start.Order.Task, pause)
	}
	s.advance(25 * time.Millisecond) // confirms the leadership
	s.advance(25 * time.Millisecond)
	if s.dispatcher.workers["w0"].used.MilliCPU == 0 {
		t.Error("the task is not started once the leadership is proved")
	}
}

// TestPauseIsNoticedBeforeAnyEvent guards against a leader that was paused and replaced,
// and whose first event afterwards is not a tick: it starts tasks before the tick
// notices the pause.
func TestPauseIsNoticedBeforeAnyEvent(t *testing.T) {
	checkPaused(t, 3*time.Second, WorkerUnlisted{ID: "w1"})
}

// TestPauseInWhichAnotherMayLeadIsNoticed guards against a leader that was paused for long
// enough to be replaced, but too short a time to notice it. Another instance may claim
// the leadership once the row has been unchanged for leadership.MinUnchangedTime.
func TestPauseInWhichAnotherMayLeadIsNoticed(t *testing.T) {
	checkPaused(t, 2*leadership.MinUnchangedTime, Tick{})
}

// TestEndedJobIsKeptFromWhenItIsShown guards against forgetting an ended job too early:
// callers see its end only once that is stored, which an outage of the store delays.
func TestEndedJobIsKeptFromWhenItIsShown(t *testing.T) {
	s, starts := submitJob(t, 1, smallJob(1), batchQueue(nil))
	order := starts[0].Order
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	const outage = 7 * time.Second
	s.advance(outage)
	s.commit()
	if state, _ := s.dispatcher.State(smallJob(1).ID); state != workflow.Done {
		t.Fatalf("state after the commit: %s, want done", state)
	}
	shown := s.now
	for s.now.Sub(shown) < s.dispatcher.policy.Retention-time.Second {
		s.advance(time.Second)
		if _, known := s.dispatcher.State(smallJob(1).ID); !known {
			t.Fatalf("the job is forgotten %s after its end is shown, want at least %s", s.now.Sub(shown), s.dispatcher.policy.Retention)
		}
	}
}
