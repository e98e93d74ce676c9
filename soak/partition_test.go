package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// partitionProfile is a small site without an advisor, whose workers all may run every
// task.
var partitionProfile = siteProfile{
	instances: 3, workers: 10, zones: 1, maxLease: 6 * time.Second, stopTime: 400 * time.Millisecond, gangWait: 3 * time.Second,
	restoreTime: 100 * time.Millisecond, workerCPU: 32_000,
	kinds: []jobKind{{queue: "urgent", attempts: 2, stretch: 4, sloMs: 30_000}},
}

// Guards against tasks that run twice after a partition: the leader is left with some
// idle workers and without the store, counts the leases of the others as over, which the
// next leader renews, and starts their tasks on its own workers.
func TestPartitionedLeaderStartsNoRunningTasks(t *testing.T) {
	const (
		jobs     = 24 // half of the workers take them
		workTime = 9 * time.Second
		cut      = 7 * time.Second // as long as the leader may grant leases without the store
		timeout  = 40 * time.Second
	)
	c := startSite(t, partitionProfile)
	c.awaitLeader()
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	traffic := &siteTraffic{cell: c, client: &http.Client{Timeout: 3 * time.Second}}
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range jobs {
		job := platformtest.SiteJob{ID: fmt.Sprintf("%016x", n+1), Queue: "urgent", DurationPart: 1}
		job.Body = wire.Submission{Spec: "spec", Steps: []wire.Step{{Count: 1, CPU: 6000, MemMB: 512, EstimateMs: float64(workTime.Milliseconds())}}}
		if !traffic.submit(ctx, job, rng).accepted {
			t.Fatalf("job %s is not accepted", job.ID)
		}
	}
	await := func(what string, condition func(id string) bool) {
		t.Helper()
		for _, job := range traffic.jobs {
			for !condition(job.ID) {
				if ctx.Err() != nil {
					t.Fatalf("job %s %s within %s", job.ID, what, timeout)
				}
				sleepContext(ctx, 5*time.Millisecond)
			}
		}
	}
	await("has not started", c.site.HasStarted)
	before := c.leader()
	idle := slices.DeleteFunc(slices.Clone(c.site.Workers), func(w *platformtest.SiteWorker) bool { return !c.site.IsIdle(w) })
	if len(idle) < 2 {
		t.Fatalf("%d idle workers, want 2 or more", len(idle))
	}
	c.isolate(ctx, []*siteProcess{before}, idle, true, cut)
	if c.leader() == before {
		t.Error("no other instance leads after the partition")
	}
	await("has not ended", c.site.IsDone)
	for _, violation := range c.site.Violations() {
		t.Error(violation)
	}
}
