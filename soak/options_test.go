package soak

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
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
	{"starts-under-lease", func(o *platformtest.Options, _ *rand.Rand) { o.StartsUnderLease = true }},
	{"stop-time", func(o *platformtest.Options, _ *rand.Rand) { o.StopTime = upTo(900 * time.Millisecond) }},
	{"lasting-acks", func(o *platformtest.Options, _ *rand.Rand) { o.LastingAcks = true }},
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

// newLongJob returns a job of one or two steps whose tasks take up to 9 s.
func newLongJob(rng *rand.Rand, seed uint64, client, n int) *soakJob {
	job := newJob(rng, seed, client, n)
	longest := []int{300, 3000, 9000}[rng.IntN(3)]
	for k := range job.body.Steps {
		job.body.Steps[k].EstimateMs = float64(100 + rng.IntN(longest))
	}
	return job
}
