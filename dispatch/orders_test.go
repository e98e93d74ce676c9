package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

var roomy = structs.Resources{MilliCPU: 32_000, MemoryBytes: 1 << 40}

// submitted returns a scene with one accepted job whose first starts are kept.
func submitted(t *testing.T, workers int, job workflow.Job, queue workflow.Queue) (*scene, []StartTask) {
	s := newScene(t, workers, roomy)
	s.reduce(SubmitJob{Ref: 1, Job: job, Queue: queue})
	s.commit()
	return s, take[StartTask](s)
}

func arrayJob(tasks int, gang bool) workflow.Job {
	step := workflow.Step{Tasks: tasks, Gang: gang, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000}}
	next := step
	next.After = []int{0}
	return workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step, next}}
}

// TestGangSucceedsOnce guards against counting the success of a gang once for
// each member, which showed jobs as done with a step missing.
func TestGangSucceedsOnce(t *testing.T) {
	s, starts := submitted(t, 1, arrayJob(3, true), batchQueue(nil))
	for n, start := range starts {
		s.reduce(StartAnswered{Worker: "w0", Task: start.Order.Task, Run: start.Order.Run, Outcome: workflow.OK})
		_ = n
	}
	var ends []workflow.EndedTask
	for n, start := range starts {
		ends = append(ends, workflow.EndedTask{Number: uint64(n + 1), Task: start.Order.Task, Run: start.Order.Run, How: workflow.EndDone})
	}
	s.report("w0", time.Second, ends...)
	s.commit()
	if state, _ := s.cell.State("0000000000000001"); state != workflow.Running {
		t.Errorf("state with one of two steps done: %s", state)
	}
	if next := take[StartTask](s); len(next) != 3 || next[0].Order.Task != "0000000000000001.0.1.0" {
		t.Errorf("starts of the second step: %d, want 3", len(next))
	}
}

// TestFailedRunsCountByNumber guards against losing a failed run when two
// workers list their ends to a new leader in the opposite order, which
// started a task again after its last attempt.
func TestFailedRunsCountByNumber(t *testing.T) {
	queue := batchQueue(nil)
	queue.MaxAttempts = 2
	s, _ := submitted(t, 2, arrayJob(1, false), queue)
	task := s.cell.findTask("0000000000000001.0.0.0")
	s.cell.fail(task, 1002)
	s.cell.fail(task, 1001)
	s.cell.fail(task, 1002) // listed again
	if task.step.job.state != jobFailed {
		t.Errorf("%d failed runs counted, want 2 and a failed job", len(task.failedRuns))
	}
}

// TestSilentWorkersLeaseEnds guards against renewals that extend the assumed
// lease of a worker that does not answer: its tasks were never run again.
func TestSilentWorkersLeaseEnds(t *testing.T) {
	s, starts := submitted(t, 1, arrayJob(1, false), batchQueue(nil))
	s.reduce(StartAnswered{Worker: "w0", Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: workflow.OK})
	s.reduce(WorkerSeen{Worker: workflow.Worker{ID: "w1", Incarnation: 1, Service: "svc", Address: "w1", Capacity: roomy}})
	s.report("w1", 0)
	for range 80 {
		s.pass(100 * time.Millisecond)
		for _, e := range take[RenewLease](s) {
			if e.Worker.ID == "w1" {
				s.report("w1", time.Minute)
				continue
			}
			s.reduce(LeaseAnswered{Worker: e.Worker.ID, SentAt: s.now, Outcome: workflow.Unanswered})
		}
		if again := s.cell.findTask("0000000000000001.0.0.0"); again.at != nil && again.at.ID == "w1" {
			return
		}
	}
	t.Error("the task of a silent worker was not started elsewhere within 8 s")
}

// TestNewLifeIsHeardByReport guards against starting tasks again while a
// worker that restarted under the previous leader has not said what it runs.
func TestNewLifeIsHeardByReport(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	c.oldLeasesEnd = structs.Timestamp(time.Minute + 5*time.Second)
	c.addWorker(workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: roomy})
	c.Reduce(c.now, WorkerSeen{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: roomy}})
	if c.unheard != 1 {
		t.Errorf("%d workers unheard after a directory entry, want 1", c.unheard)
	}
	c.Reduce(c.now, LeaseAnswered{Worker: "w0", SentAt: c.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2}})
	if c.unheard != 0 {
		t.Errorf("%d workers unheard after a report, want 0", c.unheard)
	}
}

// TestUnknownRunTakesAllRoom guards against exceeding a worker that still
// stops a task of an ended job, whose size is no longer stored.
func TestUnknownRunTakesAllRoom(t *testing.T) {
	s := newScene(t, 1, roomy)
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{
		Incarnation: 1, Running: []workflow.RunningTask{{Task: "00000000000000ff.0.0.0", Run: 7}},
	}})
	if stops := take[StopTask](s); len(stops) != 1 {
		t.Errorf("%d stop orders for an unknown run, want 1", len(stops))
	}
	s.reduce(SubmitJob{Ref: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commit()
	if starts := take[StartTask](s); len(starts) != 0 {
		t.Errorf("%d starts beside a run of unknown size, want 0", len(starts))
	}
}

// TestRefusesAtOnceWhileStoreIsAway guards against holding callers back until
// their time is over when nothing can be accepted.
func TestRefusesAtOnceWhileStoreIsAway(t *testing.T) {
	s := newScene(t, 1, roomy)
	s.reduce(StoreHealth{Away: true})
	s.reduce(SubmitJob{Ref: 5, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	replies := take[Reply](s)
	if len(replies) != 1 || replies[0].Verdict != Refused || replies[0].RetryAfter <= 0 {
		t.Errorf("replies %v, want one refusal with a time to come back", replies)
	}
	if _, known := s.cell.State("0000000000000001"); known || s.cell.IsPending("0000000000000001") {
		t.Error("a refused job is kept, and could run")
	}
}

// TestOpenOutcomeIsToldAtOnce guards against holding callers whose job is in a
// commit without an answer until their time is over (sadm-drum trouble-3).
func TestOpenOutcomeIsToldAtOnce(t *testing.T) {
	s := newScene(t, 1, roomy)
	s.reduce(SubmitJob{Ref: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	commit, err := s.cell.NextCommit(s.now)
	if err != nil {
		t.Fatal(err)
	}
	late := arrayJob(1, false)
	late.ID = "0000000000000002"
	s.reduce(SubmitJob{Ref: 2, Job: late, Queue: batchQueue(nil)})
	s.reduce(CancelJob{Ref: 4, ID: late.ID})
	s.reduce(StoreHealth{Away: true})
	s.reduce(SubmitJob{Ref: 3, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	verdicts := map[Ref]Verdict{}
	for _, r := range take[Reply](s) {
		verdicts[r.Ref] = r.Verdict
	}
	if verdicts[1] != Unsettled || verdicts[2] != Refused || verdicts[3] != Unsettled || verdicts[4] != NoSuchJob {
		t.Errorf("verdicts %v, want 1 and 3 unsettled, 2 refused and its cancellation told that there is no such job", verdicts)
	}
	s.reduce(CommitAnswered{Sequence: commit.Sequence})
	if _, known := s.cell.State("0000000000000001"); !known {
		t.Error("the job of a commit that succeeded in the end is not known")
	}
}

// TestLongRunningTaskRestarts guards against long-running work that falls
// behind everything else after a failure, or fails for good.
func TestLongRunningTaskRestarts(t *testing.T) {
	queue := batchQueue(nil)
	queue.MaxAttempts = 1
	step := workflow.Step{Tasks: 1, LongRunning: true, Resources: structs.Resources{MilliCPU: 9000}}
	s, starts := submitted(t, 2, workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, queue)
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: starts[0].Worker.ID, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.report(starts[0].Worker.ID, time.Minute, workflow.EndedTask{Number: 1, Task: order.Task, Run: order.Run, How: workflow.EndFailed})
	s.place()
	again := take[StartTask](s)
	if len(again) != 1 || again[0].Worker.ID == starts[0].Worker.ID {
		t.Errorf("starts after a failure: %v, want one on the other worker", again)
	}
}

// TestFillerTakesNoProcessors guards against work on idle processors that
// waits for room.
func TestFillerTakesNoProcessors(t *testing.T) {
	step := workflow.Step{Tasks: 5, Filler: true, Resources: structs.Resources{MilliCPU: 20_000, MemoryBytes: 1 << 30}}
	_, starts := submitted(t, 1, workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, batchQueue(nil))
	if len(starts) != 5 {
		t.Errorf("%d of 5 fillers of 20 cores start on 32 cores, want all", len(starts))
	}
}

// TestOccurrencesStartWhenDue guards against a scheduled job that starts
// early or is done before its last occurrence.
func TestOccurrencesStartWhenDue(t *testing.T) {
	s := newScene(t, 1, roomy)
	job := workflow.Job{
		ID: "0000000000000001", Occurrences: 2, FirstDue: time.Hour, Interval: time.Second,
		Steps: []workflow.Step{{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}},
	}
	s.reduce(SubmitJob{Ref: 1, Job: job, Queue: batchQueue(nil)})
	s.commit()
	wall := func(at time.Duration) { // the time of day is at
		s.reduce(Tick{WallOffset: at - time.Duration(s.now)})
		s.place()
	}
	wall(time.Hour - time.Millisecond)
	if starts := take[StartTask](s); len(starts) != 0 {
		t.Fatalf("%d starts before the time", len(starts))
	}
	wall(time.Hour)
	first := take[StartTask](s)
	if len(first) != 1 || first[0].Order.Task != "0000000000000001.0.0.0" {
		t.Fatalf("starts when due: %v", first)
	}
	s.report("w0", time.Minute, workflow.EndedTask{Number: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, How: workflow.EndDone})
	s.commit()
	if state, _ := s.cell.State(job.ID); state != workflow.Running {
		t.Errorf("state between two occurrences: %s", state)
	}
	wall(time.Hour + time.Second)
	if second := take[StartTask](s); len(second) != 1 || second[0].Order.Task != "0000000000000001.1.0.0" {
		t.Errorf("starts of the second occurrence: %v", second)
	}
}

// TestPartialGangIsStopped guards against a gang of a previous leader of
// which one member runs on for ever while the others have ended.
func TestPartialGangIsStopped(t *testing.T) {
	s, starts := submitted(t, 1, arrayJob(3, true), batchQueue(nil))
	rows := []tablestore.Row{}
	commit := Commit{}
	if err := put(&commit, JobTable, "00000001-00000001-00", []jobRow{{arrayJob(3, true), batchQueue(nil), s.now}}); err != nil {
		t.Fatal(err)
	}
	rows = append(rows, tablestore.Row{Table: JobTable, Key: commit.Puts[0].Key, Value: commit.Puts[0].Value})
	next := New(DefaultPolicy(), 2, s.now, s.now)
	if err := next.Recover(rows, s.now); err != nil {
		t.Fatal(err)
	}
	s.cell = next
	s.reduce(WorkerSeen{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: roomy}})
	first, last := starts[0].Order, starts[2].Order
	report := workflow.Report{
		Incarnation: 1, Running: []workflow.RunningTask{{Task: last.Task, Run: last.Run}},
		Ended: []workflow.EndedTask{{Number: 1, Task: first.Task, Run: first.Run, How: workflow.EndBroken}},
	}
	for range 2 { // the first report ends the recovery
		s.now = s.now.Add(time.Second)
		s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: report})
	}
	if stops := take[StopTask](s); len(stops) != 1 || stops[0].Order.Task != last.Task {
		t.Errorf("stop orders: %v, want one for the member that is left", stops)
	}
}

// TestGoneWorkerEndsTheWait guards against a change of leader that holds all
// earlier jobs for the longest lease because of a worker that had left
// (sierra-cambios trouble-3: 8.6 s after the final fault).
func TestGoneWorkerEndsTheWait(t *testing.T) {
	c := New(DefaultPolicy(), 2, structs.Timestamp(time.Minute), structs.Timestamp(time.Minute))
	c.oldLeasesEnd = c.now.Add(8 * time.Second)
	c.addWorker(workflow.Worker{ID: "gone", Incarnation: 1, Service: "svc", Address: "gone", Capacity: roomy})
	c.Reduce(c.now, DirectoryListed{})
	for passed := time.Duration(0); passed < 4*time.Second; passed += 100 * time.Millisecond {
		now := structs.Timestamp(time.Minute).Add(passed)
		for _, effect := range slices.Clone(c.Reduce(now, Tick{})) {
			if _, ok := effect.(RenewLease); ok {
				c.Reduce(now, LeaseAnswered{Worker: "gone", SentAt: now, Outcome: workflow.NotSent})
			}
		}
		if c.unheard == 0 {
			if passed < entriesBackAfter {
				t.Errorf("the worker is taken as gone after %s, its entry may come back until %s", passed, entriesBackAfter)
			}
			return
		}
	}
	t.Error("a worker without an entry holds the earlier jobs for 4 s")
}

// TestDrainedWorkerLosesItsTasksAtOnce guards against waiting for the lease of
// tasks whose worker has drained and left (sierra-cambios inc-db80: 4 s each).
func TestDrainedWorkerLosesItsTasksAtOnce(t *testing.T) {
	s, starts := submitted(t, 1, arrayJob(1, false), batchQueue(nil))
	s.reduce(StartAnswered{Worker: "w0", Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: workflow.OK})
	leaving := workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: roomy, Draining: true}
	s.reduce(WorkerSeen{Worker: leaving})
	s.reduce(WorkerUnlisted{ID: "w0"})
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.NotSent})
	s.pass(50 * time.Millisecond)
	if task := s.cell.findTask("0000000000000001.0.0.0"); task.state != taskWaiting {
		t.Errorf("the task of a worker that has left is in state %d, want waiting", task.state)
	}
}

// TestLeasesCountFromTheClaim guards against leases that outlive the wait of
// the next leader, which counts them from the time in the leadership row: a
// claim that took 1.2 s in a slow store left that much too long ones, and a
// task could run twice.
func TestLeasesCountFromTheClaim(t *testing.T) {
	claimed := structs.Timestamp(time.Minute)
	now := claimed.Add(1200 * time.Millisecond)
	c := New(DefaultPolicy(), 2, now, claimed)
	if err := c.Recover(nil, NoPreviousLeader); err != nil {
		t.Fatal(err)
	}
	c.Reduce(now, WorkerSeen{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: roomy}})
	c.Reduce(now, LeaseAnswered{Worker: "w0", SentAt: now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
	w := c.workers["w0"]
	limit := claimed.Add(time.Duration(float64(c.policy.Horizon)/slowClock) + leaseMargin)
	for passed := time.Duration(0); passed < c.policy.Horizon; passed += 100 * time.Millisecond {
		at := now.Add(passed)
		c.Reduce(at, Tick{})
		c.Reduce(at, LeaseAnswered{Worker: "w0", SentAt: at, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1, Clock: passed}})
		if w.leaseEnd.After(limit) {
			t.Fatalf("a lease granted at %s ends %s after the claim, want at most %s", passed, w.leaseEnd.Sub(claimed), limit.Sub(claimed))
		}
	}
}
