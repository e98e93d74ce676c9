package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// lateTestTimeout limits each wait in the tests of late requests.
const lateTestTimeout = 6 * time.Second

// Guards against tasks that start again after an end as done that was acknowledged. A
// renewal sent to the ended incarnation of a worker acknowledges its ends by number;
// carried out late, it must not make the next incarnation forget ends that no leader has
// processed.
func TestLateRenewalForgetsNoEnds(t *testing.T) {
	c := startCell(t, 1, 1)
	w := c.platform.Workers[0]
	c.runJob(1, 4, 100*time.Millisecond)
	held := w.HoldBack(platformtest.IsRenewal(4, 0))
	c.awaitHeld(held)
	w.LosePower()
	w.RestorePower()
	held.CarryOutAtNextEnd()
	c.runJob(2, 2, 300*time.Millisecond)
	time.Sleep(2 * time.Second) // for a second start of a task
	c.reportViolations()
}

// Guards against tasks that start elsewhere while they go on. A renewal or a start
// request sent to the ended incarnation of a worker names the end of the lease on its
// clock; carried out late, it must not let the next incarnation hold a lease that the
// leader does not count. A start request does so too if it is rejected as too old.
func TestLateRequestGrantsNoLongerLease(t *testing.T) {
	t.Run("renewal", func(t *testing.T) { runLongerLease(t, platformtest.IsRenewal(0, longDeadline), func(*testCell) {}) })
	t.Run("start", func(t *testing.T) {
		runLongerLease(t, platformtest.IsStart, func(c *testCell) { c.submitTasks(2, 1, 100*time.Millisecond) })
	})
}

// longDeadline is the end of a lease on the clock of the ended incarnation that grants
// the next one the longest lease for some seconds.
const longDeadline = 9 * time.Second

// runLongerLease holds back a request to a worker, sent by trigger if not by itself,
// restarts the worker, and carries the request out once it runs a task. The worker is
// then cut off, and a second worker has room for the task.
func runLongerLease(t *testing.T, match func(platformtest.Request) bool, trigger func(*testCell)) {
	const (
		longestLease = 6 * time.Second // that a worker grants
		settleTime   = 2500 * time.Millisecond
	)
	t.Parallel()
	c := startCell(t, 1, 2)
	w, other := c.platform.Workers[0], c.platform.Workers[1]
	other.LosePower()
	c.runJob(1, 4, 100*time.Millisecond)
	c.await("the deadline on the worker's clock", func() bool { return w.Clock() > longDeadline-4*time.Second })
	held := w.HoldBack(match)
	trigger(c)
	c.awaitHeld(held)
	w.LosePower()
	w.RestorePower()
	job := c.submitTasks(3, 1, 20*time.Second)
	c.await("the start of job "+job.id, func() bool { return c.platform.IsRunningOn(job.id, w) })
	other.RestorePower()
	time.Sleep(settleTime) // the leader may count the longest lease from the restart on
	held.CarryOut()
	w.SetCut(true)
	time.Sleep(longestLease)
	c.reportViolations()
}

// Guards against tasks that start again after an end as done that was acknowledged. A
// start request without a response is repeated, and the first one may be carried out
// after the task has ended and its worker has restarted, before any request has reached
// the new incarnation.
func TestLateStartRunsNoEndedTask(t *testing.T) {
	c := startCell(t, 1, 1)
	w := c.platform.Workers[0]
	c.runJob(1, 4, 100*time.Millisecond)
	held := w.HoldBack(platformtest.IsStart)
	c.runJob(2, 1, 100*time.Millisecond)
	c.awaitHeld(held)
	time.Sleep(1500 * time.Millisecond) // for the acknowledgement of the end
	w.SetCut(true)
	w.LosePower()
	w.RestorePower()
	held.CarryOut()
	w.SetCut(false)
	time.Sleep(time.Second)
	c.reportViolations()
}

// submitTasks submits a job of one step and waits until it is accepted.
func (c *testCell) submitTasks(number, tasks int, duration time.Duration) *soakJob {
	c.t.Helper()
	job := &soakJob{id: fmt.Sprintf("%016x", number), queue: "urgent"}
	step := wire.Step{Count: tasks, CPU: 1500, MemMB: 512, EstimateMs: float64(duration.Milliseconds())}
	job.body = wire.Submission{Spec: "spec", Steps: []wire.Step{step}}
	c.submit(&http.Client{Timeout: 4 * time.Second}, rand.New(rand.NewPCG(1, 1)), job)
	if !job.accepted {
		c.t.Fatalf("job %s was not accepted", job.id)
	}
	return job
}

// runJob submits a job of one step and waits until its tasks have ended.
func (c *testCell) runJob(number, tasks int, duration time.Duration) {
	c.t.Helper()
	job := c.submitTasks(number, tasks, duration)
	c.await("the end of job "+job.id, func() bool { return c.platform.IsDone(job.id) })
}

func (c *testCell) await(what string, condition func() bool) {
	c.t.Helper()
	c.awaitWithin(what, lateTestTimeout, condition)
}

func (c *testCell) awaitWithin(what string, timeout time.Duration, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s did not happen within %s", what, timeout)
		}
	}
}

func (c *testCell) awaitHeld(held *platformtest.HeldRequest) {
	c.t.Helper()
	select {
	case <-held.Received():
	case <-time.After(lateTestTimeout):
		c.t.Fatalf("no request was held back within %s", lateTestTimeout)
	}
}

func (c *testCell) reportViolations() {
	c.t.Helper()
	for _, violation := range c.platform.Violations() {
		c.t.Error(violation)
	}
}
