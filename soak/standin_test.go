package soak

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
)

// Guards against tasks that start elsewhere while they go on, on a worker that ends its
// runs late after the end of their lease. The worker is short of processor time and
// checks its lease late; it is cut off meanwhile.
func TestLateLapseRunsNoTaskTwice(t *testing.T) {
	t.Parallel()
	delay := platformtest.Range{Min: 700 * time.Millisecond, Max: 700 * time.Millisecond}
	c := startCellWith(t, 1, 2, platformtest.Options{LapseDelay: delay})
	w := c.startOnFirst(20 * time.Second)
	w.SetCutKind(platformtest.CutFromInstances)
	time.Sleep(7 * time.Second)
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
