package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

const gib = 1 << 30

func cores(n int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryBytes: n * gib}
}

// testPolicy returns a policy with three classes and two teams with unlimited
// quota.
func testPolicy() Policy {
	unlimited := structs.Resources{MilliCPU: 1 << 40, MemoryBytes: 1 << 60, Accelerators: 1 << 20}
	return Policy{
		Classes: []ClassPolicy{
			{Name: "urgent", Urgency: structs.Urgent, Weight: 16, FloorPPM: 167_000},
			{Name: "normal", Urgency: structs.Normal, Weight: 4, FloorPPM: 333_000},
			{Name: "deferrable", Urgency: structs.Deferrable, Weight: 1, FloorPPM: 500_000},
		},
		Teams: map[structs.TeamID]TeamPolicy{"/a": {Guaranteed: unlimited, Weight: 1}, "/b": {Guaranteed: unlimited, Weight: 1}},
	}
}

func fleet(n int, size structs.Resources) []structs.Worker {
	var out []structs.Worker
	for i := range n {
		out = append(out, structs.Worker{
			ID: structs.WorkerID(fmt.Sprintf("w%04d", i)), Capacity: size, State: structs.Live,
			Location: structs.Location{Region: "r", FailureDomain: structs.FailureDomain(fmt.Sprintf("d%d", i%3))},
		})
	}
	return out
}

func batch(id string, class structs.ClassName, count int, size structs.Resources, runTime time.Duration) structs.Job {
	return structs.Job{
		ID: structs.JobID(id), Team: "/a", Class: class, Kind: structs.KindBatch, Count: count,
		Resources: size, Command: []string{runTime.String()},
	}
}

func (c *simulation) advance(d time.Duration) { c.runUntil(c.now.Add(d)) }

func (c *simulation) checkGuarantees(t *testing.T) {
	t.Helper()
	for _, f := range c.violations {
		t.Errorf("violated guarantee: %s", f)
	}
}

func (c *simulation) status(t *testing.T, id structs.JobID) JobStatus {
	t.Helper()
	st, ok := c.s.Job(id)
	if !ok {
		t.Fatalf("job %s is unknown", id)
	}
	return st
}

// Guards against an array that loses tasks, runs one twice or does not end.
func TestArrayRunsEveryTaskOnce(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(4, cores(8)))
	c.submit(batch("array", "normal", 100, cores(1), 2*time.Second))
	c.advance(30 * time.Second)
	st := c.status(t, "array")
	if st.Succeeded != 100 || st.Ended == 0 {
		t.Errorf("succeeded %d, ended %v, want 100 and an end", st.Succeeded, st.Ended)
	}
	if len(c.attempts) != 100 {
		t.Errorf("%d attempts ran, want 100", len(c.attempts))
	}
	c.checkGuarantees(t)
}

// Guards against a start or a reply that is sent before its record is durable.
func TestEffectsWaitForCommit(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(8)))
	c.storeUp = false
	c.onEffect = func(eff structs.Effect) {
		if b, ok := eff.(SendBatch); ok && len(b.Batch.Starts) > 0 {
			t.Errorf("a start was sent without a commit")
		}
	}
	c.submit(batch("a", "normal", 1, cores(1), time.Second))
	c.advance(4 * time.Second)
	if _, answered := c.replies[1]; answered {
		t.Error("the job was answered before its record was durable")
	}
	c.submit(batch("b", "normal", 1, cores(1), time.Second))
	if !errs.Is(c.replies[2], errs.NotRun) {
		t.Errorf("a job during the outage got %v, want not-run", c.replies[2])
	}
	c.onEffect = nil
	c.setStoreUp(true)
	c.advance(5 * time.Second)
	if st := c.status(t, "a"); st.Succeeded != 1 {
		t.Errorf("after the outage %d tasks succeeded, want 1", st.Succeeded)
	}
	c.checkGuarantees(t)
}

// Guards against duplicate jobs and against invalid jobs that are accepted.
func TestSubmissionIsIdempotentAndChecked(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(8)))
	job := batch("a", "normal", 2, cores(1), time.Second)
	c.submit(job)
	c.advance(time.Second)
	c.send(SubmitJob{Call: 10, Job: job})
	other := job
	other.Count = 3
	c.send(SubmitJob{Call: 11, Job: other})
	bad := map[CallID]func(*structs.Job){
		20: func(j *structs.Job) { j.Count = 0 },
		21: func(j *structs.Job) { j.Resources.MilliCPU = -1 },
		22: func(j *structs.Job) { j.Team = "/unknown" },
		23: func(j *structs.Job) { j.Class = "unknown" },
	}
	for call, invalidate := range bad {
		j := batch(fmt.Sprint("bad", call), "normal", 1, cores(1), time.Second)
		invalidate(&j)
		c.send(SubmitJob{Call: call, Job: j})
	}
	c.advance(time.Second)
	if err, ok := c.replies[10]; !ok || err != nil {
		t.Errorf("the same job again got %v", err)
	}
	if !errs.Is(c.replies[11], errs.Conflict) {
		t.Errorf("another job with the same identifier got %v, want conflict", c.replies[11])
	}
	for call := range bad {
		if err := c.replies[call]; !errs.Is(err, errs.InvalidInput) || errs.RemedyOf(err) == "" {
			t.Errorf("bad job %d got %v, want invalid input with a remedy", call, err)
		}
	}
	if n := len(c.s.Jobs()); n != 1 {
		t.Errorf("%d jobs exist, want 1", n)
	}
}

// Guards against tasks that keep running after a cancellation, and against
// leases that expire while the owner runs.
func TestRenewalAndCancellation(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(2, cores(8)))
	c.submit(batch("long", "normal", 20, cores(1), 10*time.Minute))
	c.advance(5 * time.Minute)
	if len(c.attempts) != 16 {
		t.Errorf("%d attempts after 5 minutes, want the first 16 still under their lease", len(c.attempts))
	}
	c.send(CancelJob{Call: 2, Job: "long"})
	c.advance(2 * time.Second)
	st := c.status(t, "long")
	if len(c.active) != 0 || st.Ended == 0 || st.Stopped != 20 {
		t.Errorf("%d tasks run, ended %v, %d stopped; want none, an end, 20", len(c.active), st.Ended, st.Stopped)
	}
	c.checkGuarantees(t)
}

// Guards against a task that starts elsewhere while its first attempt may
// still run on a worker that does not answer.
func TestLeaseEndsBeforeTaskRestarts(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(2, cores(4)))
	c.submit(batch("a", "normal", 1, cores(4), 2*time.Minute))
	c.advance(10 * time.Second)
	for _, id := range c.active {
		c.workers[id].unreachable = true
	}
	c.advance(25 * time.Second)
	if len(c.attempts) != 1 {
		t.Fatalf("%d attempts before the lease ended, want 1", len(c.attempts))
	}
	c.advance(15 * time.Second)
	if len(c.attempts) != 2 {
		t.Errorf("%d attempts after the lease end, want 2", len(c.attempts))
	}
	c.checkGuarantees(t)
}

// Guards against a new owner that starts a task again before the previous
// owner's horizon, and against one that ignores the worker state gone.
func TestNewOwnerWaitsForPreviousHorizon(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(3, cores(4)))
	c.submit(batch("a", "normal", 2, cores(4), 20*time.Minute))
	c.advance(10 * time.Second)
	var unreachable structs.WorkerID
	for _, id := range c.active {
		unreachable = max(unreachable, id)
	}
	c.workers[unreachable].unreachable = true
	c.restart()
	c.advance(5 * time.Minute)
	if len(c.attempts) != 2 {
		t.Fatalf("%d attempts, want 2: one continues, the other may still run", len(c.attempts))
	}
	c.kill(unreachable)
	gone := c.workers[unreachable].info
	gone.State = structs.Gone
	c.send(WorkersListed{Workers: []structs.Worker{gone}})
	c.advance(2 * time.Second)
	if len(c.attempts) != 3 {
		t.Errorf("%d attempts after the worker is gone, want 3", len(c.attempts))
	}
	c.checkGuarantees(t)
}

// Guards against the acknowledgement of a completion before it is durable, and
// against one that is never acknowledged after a change of owner.
func TestCompletionIsAcknowledgedAfterCommit(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(4)))
	c.submit(batch("a", "normal", 1, cores(1), time.Second))
	c.advance(500 * time.Millisecond)
	c.storeUp = false
	c.onEffect = func(eff structs.Effect) {
		if b, ok := eff.(SendBatch); ok && len(b.Batch.Acks) > 0 {
			t.Error("acknowledged before the end was durable")
		}
	}
	c.advance(3 * time.Second)
	c.onEffect = nil
	c.restart()
	c.setStoreUp(true)
	c.advance(5 * time.Second)
	if st := c.status(t, "a"); st.Succeeded != 1 || len(c.attempts) != 1 {
		t.Errorf("succeeded %d in %d attempts, want 1 in 1", st.Succeeded, len(c.attempts))
	}
	if n := len(c.workers["w0000"].runs); n != 0 {
		t.Errorf("%d completions were not acknowledged", n)
	}
}

// Guards against leases that expire and completions that are lost while the
// store is down for an hour.
func TestTasksSurviveAnHourWithoutTheStore(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(2, cores(8)))
	c.submit(batch("long", "normal", 4, cores(1), 2*time.Hour))
	c.submit(batch("short", "normal", 4, cores(1), time.Minute))
	c.advance(10 * time.Second)
	c.setStoreUp(false)
	c.advance(time.Hour)
	if len(c.active) != 4 {
		t.Errorf("%d tasks run after an hour, want the 4 long ones", len(c.active))
	}
	c.setStoreUp(true)
	c.advance(10 * time.Second)
	if st := c.status(t, "short"); st.Succeeded != 4 || len(c.attempts) != 8 {
		t.Errorf("%d short tasks succeeded in %d attempts of all, want 4 in 8", st.Succeeded, len(c.attempts))
	}
	c.checkGuarantees(t)
}

// Guards against leases that end after the durable horizon.
func TestNoLeasePastTheHorizon(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(8)))
	c.submit(batch("long", "normal", 4, cores(1), 3*time.Hour))
	c.advance(10 * time.Second)
	horizon := c.s.horizon
	c.onEffect = func(eff structs.Effect) {
		b, ok := eff.(SendBatch)
		for i := 0; ok && i < len(b.Batch.Renewals); i++ {
			if end := b.Batch.Renewals[i].LeaseEnd; end > horizon {
				t.Fatalf("a lease was granted %v past the horizon", end.Sub(horizon))
			}
		}
	}
	c.setStoreUp(false)
	c.advance(80 * time.Minute)
	if len(c.active) != 0 {
		t.Errorf("%d tasks run past the horizon", len(c.active))
	}
}

// Guards against an operator's confirmation that does not release the tasks of
// the worker, or that lets a start in transit run alongside the next attempt.
func TestConfirmStoppedReleasesTasks(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(2, cores(4)))
	c.submit(batch("a", "normal", 1, cores(4), 10*time.Minute))
	c.advance(10 * time.Second)
	killed := c.active["a/0"]
	c.restart()
	c.kill(killed)
	c.advance(time.Minute)
	if len(c.attempts) != 1 {
		t.Fatalf("%d attempts before the confirmation, want 1", len(c.attempts))
	}
	c.send(ConfirmStopped{Call: 9, Worker: killed})
	c.advance(2 * time.Second)
	if err, ok := c.replies[9]; !ok || err != nil || len(c.attempts) != 2 {
		t.Errorf("answer %v %v, %d attempts; want 2", ok, err, len(c.attempts))
	}
}

// Guards against a repeated submission that is reported as a conflict because
// the job was restored from a snapshot or has an empty list.
func TestRepeatedSubmissionAfterRestart(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(4)))
	job := batch("a", "normal", 1, cores(1), time.Second)
	job.Constraint.Regions = []structs.Region{}
	c.submit(job)
	c.advance(time.Second)
	snapshot, err := c.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if c.s, err = Restore(c.cfg, snapshot, nil); err != nil {
		t.Fatal(err)
	}
	c.send(SubmitJob{Call: 5, Job: job})
	if err, ok := c.replies[5]; !ok || err != nil {
		t.Errorf("answer %v %v, want success", ok, err)
	}
}

// Guards against ended jobs that are never removed.
func TestEndedJobsAreRemoved(t *testing.T) {
	policy := testPolicy()
	policy.Retention = time.Minute
	c := newSimulation(1, policy, fleet(1, cores(4)))
	c.submit(batch("a", "normal", 1, cores(1), time.Second))
	c.advance(30 * time.Second)
	c.status(t, "a")
	c.advance(time.Minute)
	if _, ok := c.s.Job("a"); ok {
		t.Error("the job is still known a minute after its retention")
	}
}
