package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

func service(id string, count int, size structs.Resources) structs.Job {
	j := batch(id, "normal", count, size, time.Second)
	j.Kind, j.Command = structs.KindService, nil
	return j
}

// ready returns the number of tasks of the job that run on fake workers.
func (c *simulation) ready(id structs.JobID) int {
	n := 0
	for task := range c.active {
		if jobOf(task) == id {
			n++
		}
	}
	return n
}

// Guards against a rolling replacement with fewer than MinAvailable replicas
// ready, or one that does not end.
func TestRollingReplacementKeepsMinAvailable(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(4)))
	job := service("web", 4, cores(1))
	job.MinAvailable = 3
	c.submit(job)
	c.advance(2 * time.Second)
	job.Generation, job.Command = 1, nil
	job.Resources = structs.Resources{MilliCPU: 1000, MemoryBytes: gib / 2}
	c.send(SubmitJob{Call: 2, Job: job})
	least := 4
	for range 1200 {
		c.advance(100 * time.Millisecond)
		least = min(least, c.ready("web"))
	}
	if least < 3 {
		t.Errorf("%d replicas ran during the replacement, want at least 3", least)
	}
	for _, task := range c.status(t, "web").Tasks {
		if task.State == structs.TaskRunning && c.s.tasks[task.ID].Generation != 1 {
			t.Errorf("%s still has generation 0", task.ID)
		}
	}
	if n := c.ready("web"); n != 4 {
		t.Errorf("%d replicas run at the end, want 4", n)
	}
	c.checkGuarantees(t)
}

// Guards against new replicas that wait until the leases of an unreachable
// worker end, and against old replicas that stay after the worker answers again.
func TestReplicasOfALostWorkerAreReplacedAtOnce(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(2, cores(8)))
	c.submit(service("web", 4, cores(1)))
	c.advance(2 * time.Second)
	unreachable := c.active["web/0"]
	c.workers[unreachable].unreachable = true
	c.send(WorkerUnreachable{Worker: unreachable})
	c.advance(4 * time.Second)
	moved := 0
	for task, id := range c.active {
		if jobOf(task) == "web" && id != unreachable {
			moved++
		}
	}
	if moved != 4 {
		t.Errorf("%d replicas run elsewhere after 4 s, want 4", moved)
	}
	c.workers[unreachable].unreachable = false
	c.advance(15 * time.Second)
	if n := c.ready("web"); n != 4 {
		t.Errorf("%d replicas run after the worker answers again, want 4", n)
	}
	c.checkGuarantees(t)
}

// Guards against a gang that waits forever because small tasks take all
// capacity that becomes free.
func TestGangStartsDespiteSmallTasks(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(4, cores(8)))
	for i := range 2000 {
		c.after(time.Duration(i)*100*time.Millisecond, func() {
			c.submit(batch(fmt.Sprintf("s%d", i), "normal", 1, cores(1), 4*time.Second))
		})
	}
	gang := batch("gang", "normal", 4, cores(8), time.Second)
	gang.Kind = structs.KindGang
	c.after(20*time.Second, func() { c.submit(gang) })
	c.advance(90 * time.Second)
	if st := c.status(t, "gang"); st.Succeeded != 4 {
		t.Errorf("%d tasks of the gang ended within 70 s, want 4", st.Succeeded)
	}
	c.checkGuarantees(t)
}

// Guards against a worker that fails every task and is not quarantined, and
// against a quarantine that does not end after the worker recovers.
func TestFailingWorkerIsQuarantinedAndReleased(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(4, cores(8)))
	for i := range 3000 {
		c.after(time.Duration(i)*100*time.Millisecond, func() {
			c.submit(batch(fmt.Sprintf("s%d", i), "normal", 1, cores(2), 3*time.Second))
		})
	}
	bad := c.workers["w0001"]
	bad.failAll = true
	failures := 0
	c.onEnd = func(_ structs.TaskID, status provider.RunStatus) {
		if status == provider.RunFailed {
			failures++
		}
	}
	c.advance(100 * time.Second)
	if _, quarantined := c.s.quarantine["w0001"]; !quarantined || failures > 20 {
		t.Errorf("quarantined %v after %d failures", quarantined, failures)
	}
	bad.failAll = false
	c.advance(180 * time.Second)
	if _, quarantined := c.s.quarantine["w0001"]; quarantined {
		t.Error("the worker is still in quarantine after it recovered")
	}
	if n := len(c.s.quarantine); n != 0 {
		t.Errorf("%d good workers are in quarantine", n)
	}
}

// Guards against a failing job that quarantines its workers, is retried in a
// tight loop or delays other jobs.
func TestFailingJobBacksOff(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(5, cores(8)))
	bad := batch("bad", "urgent", 50, cores(1), 100*time.Millisecond)
	bad.Command = append(bad.Command, "fails")
	c.submit(bad)
	c.submit(batch("good", "deferrable", 200, cores(1), time.Second))
	c.advance(3 * time.Minute)
	if n := len(c.s.quarantine); n != 0 {
		t.Errorf("%d workers are in quarantine because of one bad job", n)
	}
	if st := c.status(t, "good"); st.Ended.Sub(startTime) > 20*time.Second {
		t.Errorf("the good job ended after %v", st.Ended.Sub(startTime))
	}
	if attempts := len(c.attempts) - 200; attempts > 80 {
		t.Errorf("the bad job had %d attempts in 3 minutes, want at most 80 for 50 tasks", attempts)
	}
}

// Guards against workers that stay overloaded, and jobs that do not end, when
// declared sizes are too small.
func TestLargerUsageGetsALargerReservation(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(2, cores(8)))
	c.measuredUsage = func(task structs.TaskID, need structs.Resources) structs.Resources {
		if jobOf(task) == "undersized" {
			return componentMax(need, structs.Resources{MilliCPU: 1000, MemoryBytes: 4 * gib})
		}
		return need
	}
	c.submit(batch("undersized", "normal", 16, cores(1), 5*time.Second))
	c.advance(2 * time.Second)
	for _, id := range c.order {
		var used int64
		for _, r := range c.workers[id].runs {
			if r.report.Status == provider.RunRunning {
				used += r.report.Used.MemoryBytes
			}
		}
		if used > 8*gib {
			t.Errorf("%s uses %d GiB of 8 after 2 s", id, used/gib)
		}
	}
	c.advance(60 * time.Second)
	st := c.status(t, "undersized")
	if st.Succeeded != 16 || st.Size.MemoryBytes < 4*gib {
		t.Errorf("%d tasks succeeded with a size of %s", st.Succeeded, st.Size)
	}
	c.checkGuarantees(t)
}

// Guards against run time estimates that keep a wrong declared value.
func TestRunTimeIsLearned(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(4)))
	j := batch("a", "normal", 40, cores(1), 10*time.Second)
	j.RunTime = time.Second
	c.submit(j)
	c.advance(150 * time.Second)
	if got := c.status(t, "a").RunTime; got < 9*time.Second || got > 11*time.Second {
		t.Errorf("estimate %v, want about 10 s", got)
	}
}

// Guards against infeasible jobs that stay in the queue, are not explained, or
// do not run after a change of the fleet or the policy makes them feasible.
func TestInfeasibleJobsAreExplained(t *testing.T) {
	policy := testPolicy()
	policy.Teams["/small"] = TeamPolicy{Guaranteed: cores(2), BorrowLimit: cores(1)}
	c := newSimulation(1, policy, fleet(3, cores(8)))
	large := batch("large", "normal", 2, cores(16), time.Second)
	quota := batch("quota", "normal", 1, cores(4), time.Second)
	quota.Team = "/small"
	gang := batch("gang", "normal", 4, cores(8), time.Second)
	gang.Kind = structs.KindGang
	for _, j := range []structs.Job{large, quota, gang} {
		c.submit(j)
	}
	c.advance(time.Second)
	if n := c.s.queue.Len(); n != 0 {
		t.Errorf("%d infeasible tasks are in the queue", n)
	}
	for id, want := range map[structs.JobID]string{
		"large": "3 too small even when empty", "quota": "team /small may use 3 cores", "gang": "4 tasks of 8 cores",
	} {
		e, _ := c.s.Explain(c.now, id)
		if !strings.Contains(e.Summary, want) || e.Remedy == "" || e.InfeasibleReason == "" {
			t.Errorf("%s: %q, remedy %q, held %q; want %q in it", id, e.Summary, e.Remedy, e.InfeasibleReason, want)
		}
	}
	largerFleet := fleet(4, cores(16))
	c.workers["w0003"] = &fakeWorker{info: largerFleet[3], acknowledged: map[provider.AttemptRef]bool{}}
	c.send(WorkersListed{Workers: largerFleet[3:]})
	policy.Teams["/small"] = TeamPolicy{Guaranteed: cores(4)}
	c.send(PolicyChanged{Policy: policy})
	c.advance(10 * time.Second)
	for _, id := range []structs.JobID{"large", "quota", "gang"} {
		if st := c.status(t, id); st.Ended == 0 {
			t.Errorf("%s did not run after the change: %+v", id, st)
		}
	}
	c.checkGuarantees(t)
}

// Guards against urgent work that waits until tasks on borrowed capacity end,
// and against preempted tasks that are lost.
func TestUrgentWorkPreemptsBorrowedCapacity(t *testing.T) {
	policy := testPolicy()
	policy.Teams["/a"] = TeamPolicy{Guaranteed: cores(8), BorrowLimit: cores(100)}
	policy.Teams["/b"] = TeamPolicy{Guaranteed: cores(8)}
	c := newSimulation(1, policy, fleet(2, cores(8)))
	c.submit(batch("borrows", "deferrable", 16, cores(1), 10*time.Minute))
	c.advance(5 * time.Second)
	urgent := batch("urgent", "urgent", 2, cores(2), 5*time.Second)
	urgent.Team = "/b"
	c.submit(urgent)
	c.advance(5 * time.Second)
	for _, id := range []structs.TaskID{"urgent/0", "urgent/1"} {
		if _, started := c.startedAt[id]; !started {
			t.Errorf("%s did not start within 5 s", id)
		}
	}
	if n := c.s.Counters().Preempted; n != 4 {
		t.Errorf("%d tasks were preempted, want 4", n)
	}
	c.advance(21 * time.Minute)
	if st := c.status(t, "borrows"); st.Succeeded != 16 {
		t.Errorf("%d of 16 preempted tasks ended", st.Succeeded)
	}
	c.checkGuarantees(t)
}

// Guards against tasks that start before NotBefore.
func TestNotBefore(t *testing.T) {
	c := newSimulation(1, testPolicy(), fleet(1, cores(8)))
	j := batch("night", "deferrable", 3, cores(1), time.Second)
	j.NotBefore = startTime.Add(time.Minute)
	c.submit(j)
	c.advance(59 * time.Second)
	if len(c.attempts) != 0 {
		t.Error("started before its window")
	}
	c.advance(5 * time.Second)
	if st := c.status(t, "night"); st.Succeeded != 3 {
		t.Errorf("%d of 3 ended", st.Succeeded)
	}
}
