package soak

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// longestTestLease is the longest lease that a worker of the tests grants.
const longestTestLease = 6 * time.Second

// Guards against tasks that start elsewhere while they go on, on a worker that ends its
// runs late after the end of their lease. The worker is short of processor time and
// checks its lease late; it is cut off meanwhile.
func TestLateLapseRunsNoTaskTwice(t *testing.T) {
	t.Parallel()
	delay := platformtest.Range{Min: 700 * time.Millisecond, Max: 700 * time.Millisecond}
	c := startCellWith(t, 1, 2, platformtest.Options{LapseDelay: delay})
	w := c.startOnFirst(20 * time.Second)
	w.SetCutKind(platformtest.CutFromInstances)
	time.Sleep(longestTestLease)
	c.reportViolations()
}

// Guards against tasks that start elsewhere while they go on, on a worker that is not cut
// off but short of processor time: it answers each request after 600 ms, which is too late
// for the leader, and ends its runs late.
func TestStarvedWorkerRunsNoTaskTwice(t *testing.T) {
	t.Parallel()
	late := platformtest.Range{Min: 600 * time.Millisecond, Max: 600 * time.Millisecond}
	c := startCellWith(t, 1, 2, platformtest.Options{LapseDelay: late})
	w := c.startOnFirst(20 * time.Second)
	w.SetStarved(late)
	time.Sleep(8 * time.Second)
	c.reportViolations()
}

// Guards against tasks that start again after an end as done that is acknowledged. The
// lease of the worker ends while nothing runs there any more, which may count as no lapse
// of it: then the end stands, and the leader must not have started the task elsewhere, or
// must not acknowledge the end.
func TestLapseWithoutRunsKeepsEnd(t *testing.T) {
	t.Parallel()
	c := startCellWith(t, 1, 2, platformtest.Options{LapseNeedsRuns: true})
	w := c.startOnFirst(4 * time.Second)
	w.SetCutKind(platformtest.CutFromInstances) // the task ends as done meanwhile
	time.Sleep(longestTestLease)
	w.SetCutKind(platformtest.NotCut)
	time.Sleep(3 * time.Second) // for the acknowledgment
	c.reportViolations()
}

// Guards against tasks that start elsewhere and are then started by a late request. A
// start request is carried out seconds later, when its own deadline has passed but a
// renewal has extended the lease of the worker. The worker was cut off meanwhile, and the
// run has counted as lost.
func TestLateStartUnderLaterLease(t *testing.T) {
	t.Parallel()
	c := startCellWith(t, 1, 2, platformtest.Options{StartsUnderLease: true})
	w, other := c.platform.Workers[0], c.platform.Workers[1]
	other.LosePower()
	c.runJob(1, 4, 100*time.Millisecond)
	held := w.HoldBack(platformtest.IsStart)
	job := c.submitTasks(2, 1, 20*time.Second)
	c.awaitHeld(held)
	w.SetCutKind(platformtest.CutFromInstances)
	other.RestorePower()
	c.awaitWithin("the start of job "+job.id+" elsewhere", 2*longestTestLease, func() bool { return c.platform.IsRunningOn(job.id, other) })
	w.SetCutKind(platformtest.NotCut)
	c.await("a lease on "+w.ID, w.HasLease)
	held.CarryOut()
	c.reportViolations()
}

// Guards against tasks that start again after an end as done that was acknowledged. An
// acknowledgment that was sent to the ended incarnation of a worker is carried out by the
// next one before any request has reached that, and applies to its later ends too.
func TestLateAcknowledgmentOfLaterEnds(t *testing.T) {
	t.Parallel()
	c := startCellWith(t, 1, 1, platformtest.Options{LastingAcks: true})
	w := c.platform.Workers[0]
	c.runJob(1, 4, 100*time.Millisecond)
	held := w.HoldBack(platformtest.IsRenewal(4, 0))
	c.awaitHeld(held)
	w.SetCutKind(platformtest.CutFromInstances)
	w.LosePower()
	w.RestorePower()
	held.CarryOut()
	w.SetCutKind(platformtest.NotCut)
	c.runJob(2, 2, 300*time.Millisecond)
	time.Sleep(2 * time.Second) // for a second start of a task
	c.reportViolations()
}

// Guards against tasks that start again after an end as done that was acknowledged. The
// repetition of an unanswered start request has run and ended, and the worker has
// forgotten the run with its end; the first request is carried out after that.
func TestLateStartOfForgottenRun(t *testing.T) {
	t.Parallel()
	c := startCellWith(t, 1, 1, platformtest.Options{ForgetsRuns: true})
	w := c.platform.Workers[0]
	c.runJob(1, 4, 100*time.Millisecond)
	held := w.HoldBack(platformtest.IsStart)
	c.runJob(2, 1, 100*time.Millisecond)
	c.await("the acknowledgment of the end", func() bool { return w.ListedEnds() == 0 })
	held.CarryOut()
	c.reportViolations()
}

// Guards against tasks that start elsewhere while they go on. The clock of an incarnation
// does not begin at 0, so it does not show for how long the incarnation is up: a lease
// that a late request to the earlier incarnation has granted has to count all the same.
func TestLateRenewalWithClockOrigin(t *testing.T) {
	t.Parallel()
	origin := platformtest.Range{Min: 8 * time.Minute, Max: 8 * time.Minute}
	c := startCellWith(t, 1, 2, platformtest.Options{ClockOrigin: origin, MaxLease: 10 * time.Second})
	w, other := c.platform.Workers[0], c.platform.Workers[1]
	other.LosePower()
	c.runJob(1, 4, 100*time.Millisecond)
	held := w.HoldBack(platformtest.IsRenewal(0, origin.Min+longDeadline))
	c.awaitHeld(held)
	w.SetCutKind(platformtest.CutFromInstances)
	w.LosePower()
	w.RestorePower()
	held.CarryOut()
	w.SetCutKind(platformtest.NotCut)
	job := c.submitTasks(2, 1, 20*time.Second)
	c.await("the start of job "+job.id, func() bool { return c.platform.IsRunningOn(job.id, w) })
	time.Sleep(1200 * time.Millisecond) // for a report that lists the run
	w.SetCutKind(platformtest.CutFromInstances)
	other.RestorePower()
	time.Sleep(longDeadline + time.Second)
	c.reportViolations()
}

// Guards against tasks that start elsewhere while they go on. For a while another worker
// answers at the address of a worker, and then the right one again, whose tasks have gone
// on under their lease.
func TestMisdirectedRequestsEndNoRun(t *testing.T) {
	t.Parallel()
	c := startCellWith(t, 1, 2, platformtest.Options{})
	w := c.startOnFirst(20 * time.Second)
	w.SetMisdirected(true)
	time.Sleep(2 * time.Second)
	w.SetMisdirected(false)
	time.Sleep(time.Second)
	c.reportViolations()
}

// startOnFirst starts a task on the first of two workers while the second is down, and
// returns the first when the second has room for the task too.
func (c *testCell) startOnFirst(duration time.Duration) *platformtest.Worker {
	c.t.Helper()
	w, other := c.platform.Workers[0], c.platform.Workers[1]
	other.LosePower()
	job := c.submitTasks(1, 1, duration)
	c.await("the start of job "+job.id, func() bool { return c.platform.IsRunningOn(job.id, w) })
	other.RestorePower()
	time.Sleep(2500 * time.Millisecond)
	return w
}

// Guards against ends that are not processed, and tasks that start again. A worker that
// was cut off lists the first 500 of its ends only, and the others once these are
// acknowledged.
func TestMoreEndsThanOneList(t *testing.T) {
	t.Parallel()
	const tasks = 700
	c := startCellWith(t, 1, 1, platformtest.Options{})
	w := c.platform.Workers[0]
	job := &soakJob{id: "0000000000000001", queue: "urgent"}
	job.body = wire.Submission{Spec: "spec", Steps: []wire.Step{{Count: tasks, CPU: 20, MemMB: 1, EstimateMs: 3000}}}
	c.submit(&http.Client{Timeout: 4 * time.Second}, rand.New(rand.NewPCG(1, 1)), job)
	c.await("the start of all tasks", func() bool { return w.Runs() >= tasks })
	w.SetCutKind(platformtest.CutFromInstances)
	c.await("the end of job "+job.id, func() bool { return c.platform.IsDone(job.id) })
	w.SetCutKind(platformtest.NotCut)
	c.await("the acknowledgment of all ends", func() bool { return w.ListedEnds() == 0 })
	c.reportViolations()
}
