package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// largeWorker is a capacity that holds many small tasks.
var largeWorker = structs.Resources{MilliCPU: 32_000, MemoryBytes: 1 << 40}

// submitJob returns a harness with one accepted job, and its first starts.
func submitJob(t *testing.T, workers int, job workflow.Job, queue workflow.Queue) (*dispatcherHarness, []StartTask) {
	s := newDispatcherHarness(t, workers, largeWorker)
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: queue})
	s.commit()
	return s, takeEffects[StartTask](s)
}

// arrayJob returns a job of two equal steps, the second of which depends on the
// first.
func arrayJob(tasks int, gang bool) workflow.Job {
	step := workflow.Step{Tasks: tasks, Gang: gang, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000}}
	next := step
	next.DependsOn = []int{0}
	return workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step, next}}
}

// TestGangSucceedsOnce guards against counting the success of a gang once for each
// member, which ended jobs as done before their last step.
func TestGangSucceedsOnce(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(3, true), batchQueue(nil))
	for n, start := range starts {
		s.reduce(StartAnswered{Worker: "w0", Task: start.Order.Task, Run: start.Order.Run, Outcome: workflow.OK})
		_ = n
	}
	var ends []workflow.EndedTask
	for n, start := range starts {
		ends = append(ends, workflow.EndedTask{Sequence: uint64(n + 1), Task: start.Order.Task, Run: start.Order.Run, Kind: workflow.EndDone})
	}
	s.report("w0", time.Second, ends...)
	s.commit()
	if state, _ := s.dispatcher.State("0000000000000001"); state != workflow.Running {
		t.Errorf("state with one of two steps done: %s, want running", state)
	}
	if next := takeEffects[StartTask](s); len(next) != 3 || next[0].Order.Task != "0000000000000001.0.1.0" {
		t.Errorf("starts of the second step: %d, want 3", len(next))
	}
}

// TestFailedRunsCountByNumber guards against not counting a failed run when two
// workers report their ends to a new leader in reverse order. The task was then
// started again after its last attempt.
func TestFailedRunsCountByNumber(t *testing.T) {
	queue := batchQueue(nil)
	queue.MaxAttempts = 2
	s, _ := submitJob(t, 2, arrayJob(1, false), queue)
	task := s.dispatcher.findTask("0000000000000001.0.0.0")
	s.dispatcher.fail(task, 1002)
	s.dispatcher.fail(task, 1001)
	s.dispatcher.fail(task, 1002) // listed again
	if task.step.job.state != jobFailed {
		t.Errorf("%d failed runs counted, want 2 and a failed job", len(task.failedRuns))
	}
}

// TestSilentWorkersLeaseEnds guards against unanswered renewals that extend the
// assumed lease of a silent worker. Its tasks were never run again. It also guards
// against running a task again before the longest lease has ended that a new
// incarnation of the worker can hold, if no report has listed the run.
func TestSilentWorkersLeaseEnds(t *testing.T) {
	for _, reported := range []bool{true, false} {
		s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
		order := starts[0].Order
		s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
		from, limit := time.Duration(0), 8*time.Second
		if reported {
			s.now = s.now.Add(time.Millisecond)
			s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Millisecond, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
		} else {
			from = s.dispatcher.policy.MaxLease + workerLateness
			limit = from + time.Second
		}
		s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: largeWorker}})
		s.report("w1", 0)
		s.commit()
		again, began := time.Duration(-1), s.now
		for again < 0 && s.now.Sub(began) < limit {
			s.advance(100 * time.Millisecond)
			for _, e := range takeEffects[RenewLease](s) {
				if e.Worker.ID == "w1" {
					s.report("w1", time.Minute)
					continue
				}
				s.reduce(LeaseAnswered{Worker: e.Worker.ID, SentAt: s.now, Outcome: workflow.Unanswered})
			}
			if task := s.dispatcher.findTask(order.Task); task.worker != nil && task.worker.ID == "w1" {
				again = s.now.Sub(began)
			}
		}
		if again < from {
			t.Errorf("reported %t: started on another worker after %s, want between %s and %s", reported, again, from, limit)
		}
	}
}

// TestNewIncarnationCountsAfterReport guards against starting tasks again before a
// worker that restarted under the previous leader has reported its runs.
func TestNewIncarnationCountsAfterReport(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	c.previousLeasesEnd = structs.Timestamp(time.Minute + 5*time.Second)
	c.addWorker(workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker})
	c.Reduce(c.now, WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	if c.unreported != 1 {
		t.Errorf("%d unreported workers after a directory entry, want 1", c.unreported)
	}
	c.Reduce(c.now, LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2}})
	if c.unreported != 0 {
		t.Errorf("%d unreported workers after a report, want 0", c.unreported)
	}
}

// TestUnknownRunUsesFullCapacity guards against exceeding the capacity of a worker
// that is still stopping a task of an ended job, whose size is no longer stored.
func TestUnknownRunUsesFullCapacity(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{
		Incarnation: 1, Running: []workflow.RunningTask{{Task: "00000000000000ff.0.0.0", Run: 7}},
	}})
	if stops := takeEffects[StopTask](s); len(stops) != 1 {
		t.Errorf("%d stop requests for an unknown run, want 1", len(stops))
	}
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commit()
	if starts := takeEffects[StartTask](s); len(starts) != 0 {
		t.Errorf("%d starts on a worker with a run of unknown size, want 0", len(starts))
	}
}

// TestLongRunningTaskRestarts guards against long-running tasks that are placed
// after all others once they have failed, or that fail their job.
func TestLongRunningTaskRestarts(t *testing.T) {
	queue := batchQueue(nil)
	queue.MaxAttempts = 1
	step := workflow.Step{Tasks: 1, LongRunning: true, Resources: structs.Resources{MilliCPU: 9000}}
	s, starts := submitJob(t, 2, workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, queue)
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: starts[0].Worker.ID, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.report(starts[0].Worker.ID, time.Minute, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndFailed})
	s.place()
	again := takeEffects[StartTask](s)
	if len(again) != 1 || again[0].Worker.ID == starts[0].Worker.ID {
		t.Errorf("starts after a failure: %v, want one on the other worker", again)
	}
}

// TestFillerTakesNoProcessors guards against best-effort tasks, which use only idle
// processors, waiting for processor capacity.
func TestFillerTakesNoProcessors(t *testing.T) {
	step := workflow.Step{Tasks: 5, BestEffort: true, Resources: structs.Resources{MilliCPU: 20_000, MemoryBytes: 1 << 30}}
	_, starts := submitJob(t, 1, workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, batchQueue(nil))
	if len(starts) != 5 {
		t.Errorf("%d of 5 best-effort tasks of 20 cores started on 32 cores, want all", len(starts))
	}
}

// TestOccurrencesStartWhenDue guards against a scheduled job that starts too early
// or ends before its last occurrence.
func TestOccurrencesStartWhenDue(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	job := workflow.Job{
		ID: "0000000000000001", Occurrences: 2, FirstDue: time.Hour, Interval: time.Second,
		Steps: []workflow.Step{{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}},
	}
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commit()
	wall := func(at time.Duration) { // sets the time of day
		s.reduce(Tick{WallOffset: at - time.Duration(s.now)})
		s.place()
	}
	wall(time.Hour - time.Millisecond)
	if starts := takeEffects[StartTask](s); len(starts) != 0 {
		t.Fatalf("%d starts before the job is due, want 0", len(starts))
	}
	wall(time.Hour)
	first := takeEffects[StartTask](s)
	if len(first) != 1 || first[0].Order.Task != "0000000000000001.0.0.0" {
		t.Fatalf("starts when the job is due: %v, want one of the first occurrence", first)
	}
	s.report("w0", time.Minute, workflow.EndedTask{Sequence: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, Kind: workflow.EndDone})
	s.commit()
	if state, _ := s.dispatcher.State(job.ID); state != workflow.Running {
		t.Errorf("state between two occurrences: %s, want running", state)
	}
	wall(time.Hour + time.Second)
	if second := takeEffects[StartTask](s); len(second) != 1 || second[0].Order.Task != "0000000000000001.1.0.0" {
		t.Errorf("starts of the second occurrence: %v, want one", second)
	}
}

// TestPartialGangIsStopped guards against a gang of a previous leader of which one
// member keeps running after the others have ended.
func TestPartialGangIsStopped(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(3, true), batchQueue(nil))
	rows := []tablestore.Row{}
	commit := Commit{}
	if err := putRow(&commit, JobTable, "00000001-00000001-00", []storedJob{{arrayJob(3, true), batchQueue(nil), s.now}}); err != nil {
		t.Fatal(err)
	}
	rows = append(rows, tablestore.Row{Table: JobTable, Key: commit.Puts[0].Key, Value: commit.Puts[0].Value})
	next := New(DefaultPolicy(), 2, s.now, s.now)
	if err := next.Recover(rows, s.now); err != nil {
		t.Fatal(err)
	}
	s.dispatcher = next
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker}})
	first, last := starts[0].Order, starts[2].Order
	report := workflow.Report{
		Incarnation: 1, Running: []workflow.RunningTask{{Task: last.Task, Run: last.Run}},
		Ended: []workflow.EndedTask{{Sequence: 1, Task: first.Task, Run: first.Run, Kind: workflow.EndGangBroken}},
	}
	for range 2 { // the first report completes the recovery
		s.now = s.now.Add(time.Second)
		s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: report})
	}
	if stops := takeEffects[StopTask](s); len(stops) != 1 || stops[0].Order.Task != last.Task {
		t.Errorf("stop requests: %v, want one for the remaining member", stops)
	}
}

// TestSilentWorkerEndsRecoveryWithItsLeases guards against starting tasks of the
// previous leader again before all its leases have expired, because a worker is silent
// and has no directory entry: so has one that is cut off and runs on. It also guards
// against a worker that is gone and delays them for longer than that.
func TestSilentWorkerEndsRecoveryWithItsLeases(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	const leases = 5 * time.Second
	c.previousLeasesEnd = c.now.Add(leases)
	c.addWorker(workflow.Worker{ID: "gone", Incarnation: 1, Service: "svc", Address: "gone", Capacity: largeWorker})
	for passed := time.Duration(0); passed < leases+time.Second; passed += 100 * time.Millisecond {
		now := structs.Timestamp(time.Minute).Add(passed)
		c.ConfirmLeadership(now) // commits succeed
		for _, effect := range slices.Clone(c.Reduce(now, Tick{})) {
			if _, ok := effect.(RenewLease); ok {
				c.Reduce(now, LeaseAnswered{Worker: "gone", SentAt: now, Outcome: workflow.NotSent})
			}
		}
		if gone := c.unreported == 0; gone != (passed >= leases) {
			t.Errorf("worker counts as gone after %s: %t; leases of the previous leader end after %s", passed, gone, leases)
		}
	}
}

// TestTakenAddressEndsRecovery guards against a new leader that waits for good for a
// worker that has left and whose address another one has taken: jobs of the leader
// before did not start any more (hunts of power-after-accept, LOST).
func TestTakenAddressEndsRecovery(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	const leases = 5 * time.Second
	c.previousLeasesEnd = c.now.Add(leases)
	c.markUnreported(c.addWorker(workflow.Worker{ID: "left", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker}))
	for passed := time.Duration(0); passed < leases+time.Second; passed += 100 * time.Millisecond {
		now := structs.Timestamp(time.Minute).Add(passed)
		c.ConfirmLeadership(now) // commits succeed
		for _, effect := range slices.Clone(c.Reduce(now, Tick{})) {
			if _, ok := effect.(RenewLease); ok {
				c.Reduce(now, LeaseAnswered{Worker: "left", SentAt: now, Outcome: workflow.OtherIncarnation})
			}
		}
	}
	if c.unreported != 0 || len(c.workers) != 0 {
		t.Errorf("%d unreported of %d workers after all leases, want none", c.unreported, len(c.workers))
	}
}

// TestDrainedWorkersTasksEndWithItsLease guards against starting tasks of a draining
// worker again while they run there: its directory entry is missing and it is silent,
// as it is when it has left, but also when it is cut off. It also guards against
// waiting for a full lease (4 s each in sierra-cambios inc-db80).
func TestDrainedWorkersTasksEndWithItsLease(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker, Draining: true}})
	for clock := time.Second; clock <= 5*time.Second; clock += 500 * time.Millisecond { // a drain takes at least 3 s
		s.advance(500 * time.Millisecond)
		s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: clock, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run, Percent: int(clock / 100e6)}}})
	}
	s.advance(50 * time.Millisecond)
	lastGrant, w := s.now, s.dispatcher.workers["w0"]
	s.reduce(WorkerUnlisted{ID: "w0"})
	limit := time.Duration(float64(s.dispatcher.policy.DrainingLease)/minClockRate) + leaseMargin
	for passed := time.Duration(0); passed < limit+200*time.Millisecond; passed += 50 * time.Millisecond {
		for _, e := range takeEffects[RenewLease](s) {
			s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.NotSent})
			if e.Order.Wait > s.dispatcher.policy.DrainingLease/3 {
				t.Errorf("a renewal waits for %s, which leaves too little of the lease", e.Order.Wait)
			}
		}
		free := s.dispatcher.findTask(order.Task).state == taskWaiting
		leaseLeft := w.leaseEnd.Sub(s.now)
		if free && leaseLeft >= 0 {
			t.Fatalf("task is free %s after the last grant, with %s of the lease left", s.now.Sub(lastGrant), leaseLeft)
		}
		if free {
			return
		}
		s.advance(50 * time.Millisecond)
	}
	t.Errorf("task of a worker that has left is not free %s after the last grant", s.now.Sub(lastGrant))
}

// TestLeaseOfPreviousLeaderCounts guards against starting tasks of a draining worker
// again after the short lease of a new leader, while the longer one of the leader
// before it lasts.
func TestLeaseOfPreviousLeaderCounts(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	c.previousLeasesEnd = c.now.Add(c.policy.Horizon)
	c.Reduce(c.now, WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker, Draining: true}})
	c.Reduce(c.now, LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
	c.Reduce(c.now.Add(100*time.Millisecond), Tick{})
	if left := c.workers["w0"].leaseEnd.Sub(structs.Timestamp(time.Minute)); left < c.policy.Lease || left > c.policy.Horizon {
		t.Errorf("leases end %s after the first report, want the %s of the previous leader", left, c.policy.Lease)
	}
}

// TestLeasesCountFromTheClaim guards against leases that last longer than the next
// leader waits, which it computes from the time in the leadership row. A claim that
// took 1.2 s in a slow store made leases too long by that time, and a task could
// run twice.
func TestLeasesCountFromTheClaim(t *testing.T) {
	claimed := structs.Timestamp(time.Minute)
	now := claimed.Add(1200 * time.Millisecond)
	c := New(DefaultPolicy(), 2, now, claimed)
	if err := c.Recover(nil, NoPreviousLeader); err != nil {
		t.Fatal(err)
	}
	c.Reduce(now, WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker}})
	c.Reduce(now, LeaseAnswered{Worker: "w0", SentAt: now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
	w := c.workers["w0"]
	limit := claimed.Add(time.Duration(float64(c.policy.Horizon)/minClockRate) + leaseMargin)
	for passed := time.Duration(0); passed < c.policy.Horizon; passed += 100 * time.Millisecond {
		at := now.Add(passed)
		c.Reduce(at, Tick{})
		c.Reduce(at, LeaseAnswered{Worker: "w0", SentAt: at, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1, Clock: passed}})
		if w.leaseEnd.After(limit) {
			t.Fatalf("lease granted after %s ends %s after the claim, want at most %s", passed, w.leaseEnd.Sub(claimed), limit.Sub(claimed))
		}
	}
}
