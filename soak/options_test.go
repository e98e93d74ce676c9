package soak

import (
	"context"
	"encoding/json"
	"flag"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// optionName plays one option alone in TestWorkerSoak, with the same faults, to tell which
// of them breaks a rule.
var optionName = flag.String("option", "", "option of the platform that seeds from 1000000 on play alone, or none; empty draws up to three")

// firstOptionSeed is the first seed of TestWorkerSoak that draws options of the platform,
// with longer cuts and longer tasks, so that leases end while tasks run. Earlier seeds
// keep their schedule.
const firstOptionSeed = 1_000_000

// platformOption is a behavior of the platform that its pages allow.
type platformOption struct {
	name  string
	apply func(*platformtest.Options, *rand.Rand)
}

// upTo returns a range that begins at 0.
func upTo(limit time.Duration) platformtest.Range { return platformtest.Range{Max: limit} }

var platformOptions = []platformOption{
	{"lapse-delay", func(o *platformtest.Options, _ *rand.Rand) { o.LapseDelay = upTo(time.Second) }},
	{"lapse-needs-runs", func(o *platformtest.Options, _ *rand.Rand) { o.LapseNeedsRuns = true }},
	{"clock-origin", func(o *platformtest.Options, _ *rand.Rand) { o.ClockOrigin = upTo(8 * time.Minute) }},
	{"starts-under-lease", func(o *platformtest.Options, _ *rand.Rand) { o.StartsUnderLease = true }},
	{"stop-time", func(o *platformtest.Options, _ *rand.Rand) { o.StopTime = upTo(900 * time.Millisecond) }},
	{"lasting-acks", func(o *platformtest.Options, _ *rand.Rand) { o.LastingAcks = true }},
	{"forgets-runs", func(o *platformtest.Options, _ *rand.Rand) { o.ForgetsRuns = true }},
	{"early-timestamps", func(o *platformtest.Options, _ *rand.Rand) { o.EarlyTimestamps = true }},
	{"delayed-requests", func(o *platformtest.Options, rng *rand.Rand) {
		o.DelayedShare, o.RequestDelay = 0.1, upTo([]time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second}[rng.IntN(3)])
	}},
	{"unhealthy", func(o *platformtest.Options, _ *rand.Rand) { o.UnhealthyShare = 0.03 }},
	{"failed-runs", func(o *platformtest.Options, _ *rand.Rand) { o.FailedShare = 0.05 }},
	{"enforced-limits", func(o *platformtest.Options, _ *rand.Rand) { o.EnforceLimits = true }},
	{"list-delay", func(o *platformtest.Options, _ *rand.Rand) { o.ListDelay = upTo(4 * time.Second) }},
	{"max-lease", func(o *platformtest.Options, _ *rand.Rand) { o.MaxLease = 10 * time.Second }},
}

// repeatedFault is a fault of the store or of workers that a seed plays again and again.
type repeatedFault struct {
	name   string
	inject func(c *testCell, rng *rand.Rand, fault bool)
}

var repeatedFaults = []repeatedFault{
	{"late-commits", storeModeFault(platformtest.StoreDelaysCommits)},
	{"lost-history", storeModeFault(platformtest.StoreForgetsHistory)},
	{"slow-store", storeModeFault(platformtest.StoreSlow)},
	{"lost-commit-responses", storeModeFault(platformtest.StoreLosesResponses)},
	{"starved-workers", starveWorkers},
	// The store does not serve the leader, which still reaches the workers and the others.
	{"refused-leader", func(c *testCell, rng *rand.Rand, fault bool) {
		for _, p := range c.processes {
			switch {
			case fault && p == c.leader():
				p.storeProxy.setMode([]proxyMode{dropAll, dropResponses}[rng.IntN(2)])
			case !fault:
				p.storeProxy.setMode(passThrough)
				p.storeProxy.reset() // lost data is not sent again on the same connection
			}
		}
	}},
}

// starveWorkers makes some workers answer each request late.
func starveWorkers(c *testCell, rng *rand.Rand, fault bool) {
	for _, w := range c.platform.Workers {
		switch {
		case !fault:
			w.SetStarved(platformtest.Range{})
		case rng.IntN(4) == 0:
			w.SetStarved(platformtest.Range{Min: 100 * time.Millisecond, Max: 900 * time.Millisecond})
		}
	}
}

func storeModeFault(mode platformtest.StoreMode) func(*testCell, *rand.Rand, bool) {
	return func(c *testCell, _ *rand.Rand, fault bool) {
		if fault {
			c.platform.SetStoreMode(mode)
		} else {
			c.platform.SetStoreMode(platformtest.StoreOK)
		}
	}
}

// injectRepeatedFault injects a fault for 1 to 4 s, again and again, until ctx
// ends.
func (c *testCell) injectRepeatedFault(ctx context.Context, rng *rand.Rand, fault repeatedFault) {
	for ctx.Err() == nil {
		sleepContext(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		c.logFault("fault %s", fault.name)
		fault.inject(c, rng, true)
		sleepContext(ctx, time.Duration(1000+rng.IntN(3000))*time.Millisecond)
		fault.inject(c, rng, false)
	}
}

// drawRepeatedFault returns the fault that a seed plays again and again, if any.
func drawRepeatedFault(rng *rand.Rand) (repeatedFault, bool) {
	if *optionName == "" {
		n := rng.IntN(2 * len(repeatedFaults))
		return repeatedFaults[n%len(repeatedFaults)], n < len(repeatedFaults)
	}
	for _, fault := range repeatedFaults {
		if slices.Contains(strings.Split(*optionName, ","), fault.name) {
			return fault, true
		}
	}
	return repeatedFault{}, false
}

// drawOptions returns the options that a seed plays, and their names.
func drawOptions(seed uint64) (platformtest.Options, string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var options platformtest.Options
	var names []string
	count := 1 + rng.IntN(3)
	for _, n := range rng.Perm(len(platformOptions))[:count] {
		names = append(names, platformOptions[n].name)
	}
	if *optionName != "" {
		names = strings.Split(*optionName, ",")
	}
	for _, option := range platformOptions {
		if slices.Contains(names, option.name) {
			option.apply(&options, rng)
		}
	}
	return options, strings.Join(names, ", ")
}

// drawLength returns how long a fault of a worker lasts in a seed that draws options. Half
// of them are longer than a lease, and some longer than the longest one.
func drawLength(rng *rand.Rand) time.Duration {
	switch rng.IntN(8) {
	case 0:
		return time.Duration(10_500+rng.IntN(1500)) * time.Millisecond
	case 1, 2, 3, 4:
		return time.Duration(5000+rng.IntN(3000)) * time.Millisecond
	default:
		return time.Duration(1000+rng.IntN(4500)) * time.Millisecond
	}
}

// optionWorkload is the workload of a seed that draws options.
type optionWorkload struct {
	submitPause time.Duration // of a client, at least
	longest     []int         // estimates of tasks, in ms
}

// drawWorkload returns the workload of a seed. In calm ones workers get few start requests,
// each of which would extend the lease, so the leases end as soon as they can.
func drawWorkload(seed uint64) optionWorkload {
	if seed%2 == 0 {
		return optionWorkload{400 * time.Millisecond, []int{3000, 9000}}
	}
	return optionWorkload{60 * time.Millisecond, []int{300, 3000, 9000}}
}

// newJob returns a job of one or two steps whose tasks take up to 9 s. Some steps are
// gangs, some tasks save their progress, and the first job of a client lasts.
func (o optionWorkload) newJob(rng *rand.Rand, seed uint64, client, n int) *soakJob {
	job := newJob(rng, seed, client, n)
	longest := o.longest[rng.IntN(len(o.longest))]
	for k := range job.body.Steps {
		step := &job.body.Steps[k]
		step.EstimateMs = float64(100 + rng.IntN(longest))
		step.SavesProgress = rng.IntN(3) == 0
		if step.Gang = rng.IntN(4) == 0; step.Gang {
			step.Count = 2 + rng.IntN(4)
		}
	}
	if n == 0 {
		job.lasts = true
		job.body.Steps = []wire.Step{{Count: 4, CPU: 1500, MemMB: 512, EstimateMs: 1000, LongRunning: true}}
		return job
	}
	if rng.IntN(8) == 0 {
		job.repeatAfter = time.Duration(500+rng.IntN(6000)) * time.Millisecond
	}
	if rng.IntN(10) == 0 {
		job.cancelAfter = time.Duration(200+rng.IntN(4000)) * time.Millisecond
	}
	return job
}

// repeat hands an accepted job in again after its time, as a request that was held up. It
// remains one job.
func (c *testCell) repeat(ctx context.Context, client *http.Client, rng *rand.Rand, job *soakJob) {
	body, err := json.Marshal(job.body)
	if err != nil {
		c.t.Error(err)
		return
	}
	if sleepContext(ctx, job.repeatAfter); ctx.Err() == nil && job.accepted {
		c.call(client, http.MethodPost, rng, job, body)
	}
}

// cancel cancels a job after its time, and repeats the request until it is acknowledged or
// ctx ends.
func (c *testCell) cancel(ctx context.Context, client *http.Client, rng *rand.Rand, job *soakJob) {
	sleepContext(ctx, job.cancelAfter)
	job.outcomeUnknown, job.cancelled = true, true
	for ctx.Err() == nil {
		if status := c.call(client, http.MethodDelete, rng, job, nil); status == http.StatusOK || status == http.StatusGone {
			c.platform.JobCancelled(job.id)
			return
		}
		sleepContext(ctx, 300*time.Millisecond)
	}
}
