package faulttest

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/structs"
)

var (
	schedules = flag.Int("schedules", defaultSchedules, "number of fault schedules")
	onlySeed  = flag.Int64("seed", -1, "run only this seed and print its faults")
)

// minSteps is the minimum number of events that each schedule must deliver.
const minSteps = 200

// runSchedule simulates a cell with the faults and returns the first
// violation, or "", and the number of events.
func runSchedule(seed uint64, faults []fault, opts options) (violation string, steps int) {
	opts.Horizon, opts.SnapshotRows = horizon, 25
	s := newSim(seed, 3, 2, 8, opts)
	end := startTime.Add(runLength)
	s.startClients(startTime.Add(lastFaultStart + maxFaultLength))
	s.After(lastFaultStart+maxFaultLength, s.cancelServices)
	for _, f := range faults {
		s.inject(f)
	}
	s.runUntil(end)
	s.checkFinalState(opts.tooLarge || !containsKind(faults, jobsTooLarge))
	return s.violation, s.steps
}

// checkFinalState fails if the cell did not recover after the last fault.
func (s *sim) checkFinalState(allJobsMustEnd bool) {
	for _, shard := range s.shards {
		n := s.owner(shard)
		if n == nil {
			s.fail("shard %s has no owner after all faults ended", shard)
			return
		}
		app, err := n.state.Scheduler(shard)
		if err != nil {
			s.fail("the owner of %s does not serve it after all faults ended: %v", shard, err)
			return
		}
		s.clients.check(s, shard, app)
		for _, job := range app.Jobs() {
			if allJobsMustEnd && job.Size.Fits(capacity) && job.Ended == 0 && job.Job.Kind != structs.KindService {
				s.fail("job %s has not ended long after all faults ended: %d pending, %d placed", job.Job.ID, job.Pending, job.Placed)
			}
		}
	}
}

// minimize drops faults one by one as long as the schedule still fails, and
// returns the remaining faults with their violation.
func minimize(seed uint64, faults []fault, opts options) ([]fault, string) {
	violation, _ := runSchedule(seed, faults, opts)
	for i := 0; i < len(faults); {
		fewer := append(append([]fault{}, faults[:i]...), faults[i+1:]...)
		if v, _ := runSchedule(seed, fewer, opts); v != "" {
			faults, violation = fewer, v
			continue
		}
		i++
	}
	return faults, violation
}

// failureReport describes a violation, the faults that cause it and the command
// that repeats it.
func failureReport(seed uint64, faults []fault, violation string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %s\nshortest history:\n", seed, violation)
	for _, f := range faults {
		fmt.Fprintf(&b, "  %v\n", f)
	}
	fmt.Fprintf(&b, "replay: go test ./faulttest -run 'Schedules|Acknowledged|TooLarge' -seed=%d", seed)
	return b.String()
}

// Guards against every violation that the driver checks, such as two owners of
// a shard, epochs that decrease, lost or duplicated records, and rows written
// in an epoch that has ended.
func TestFaultSchedules(t *testing.T) {
	if *onlySeed >= 0 {
		t.Logf("faults: %v", schedule(uint64(*onlySeed)))
		runSchedules(t, uint64(*onlySeed), uint64(*onlySeed)+1, 1, options{})
		return
	}
	const parts = 4 // run in parallel, one core each
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("part-%d", part), func(t *testing.T) {
			t.Parallel()
			runSchedules(t, part, uint64(*schedules), parts, options{})
		})
	}
}

// Guards against a takeover that undoes an acknowledged cancellation. It runs
// the schedules in which many jobs are cancelled at once.
func TestAcknowledgedCancellations(t *testing.T) {
	first, last := seeds()
	runSchedules(t, first, last, 1, options{cancellations: true})
	for _, seed := range []uint64{1079, 1615} { // failed when a cancellation was acknowledged before the job's end was durable
		runSchedules(t, seed, seed+1, 1, options{cancellations: true})
	}
}

// Guards against jobs that are too large for any worker and keep other jobs
// from running. It runs the schedules with such jobs.
func TestFeasibleJobsEndBesideTooLargeOnes(t *testing.T) {
	first, last := seeds()
	runSchedules(t, first, last, 1, options{tooLarge: true})
}

// seeds returns the range of seeds to run: first is included, last is not.
func seeds() (first, last uint64) {
	if *onlySeed >= 0 {
		return uint64(*onlySeed), uint64(*onlySeed) + 1
	}
	return 0, uint64(*schedules)
}

func containsKind(faults []fault, k faultKind) bool {
	return slices.ContainsFunc(faults, func(f fault) bool { return f.kind == k })
}

// runSchedules runs every step-th seed from first up to, not including, last.
// With the options cancellations or tooLarge it skips schedules without that
// fault.
func runSchedules(t *testing.T, first, last, step uint64, opts options) {
	least, total, count := 1<<62, 0, 0
	for seed := first; seed < last; seed += step {
		faults := schedule(seed)
		if opts.cancellations && !containsKind(faults, cancelWave) || opts.tooLarge && !containsKind(faults, jobsTooLarge) {
			continue
		}
		violation, steps := runSchedule(seed, faults, opts)
		if violation != "" {
			minimal, reason := minimize(seed, faults, opts)
			t.Errorf("%s", failureReport(seed, minimal, reason))
			continue
		}
		least, total, count = min(least, steps), total+steps, count+1
	}
	t.Logf("%d schedules, %d events, at least %d in each", count, total, least)
	if count > 0 && least < minSteps {
		t.Errorf("a schedule has only %d events, want %d", least, minSteps)
	}
}

// Guards against a driver that detects nothing: with each mechanism
// deliberately disabled in turn, one of the first 400 schedules must show a
// violation.
func TestDriverFindsDefects(t *testing.T) {
	defects := map[string]core.TestOptions{
		"takeover without waiting":    {Ownership: ownership.InjectedFaults{SkipExpiryWait: true}},
		"takeover without read-back":  {Ownership: ownership.InjectedFaults{SkipReadBack: true}},
		"journal without read-back":   {Journal: eventlog.InjectedFaults{SkipReadBack: true}},
		"journal without epoch check": {Journal: eventlog.InjectedFaults{SkipEpochCondition: true}},
		"no wait for the horizon":     {IgnoreHorizon: true},
	}
	for name, tuning := range defects {
		opts := options{TestOptions: tuning}
		found := false
		for seed := uint64(0); seed < 400 && !found; seed++ {
			if violation, _ := runSchedule(seed, schedule(seed), opts); violation != "" {
				found = true
				minimal, reason := minimize(seed, schedule(seed), opts)
				t.Logf("%s: %s", name, failureReport(seed, minimal, reason))
			}
		}
		if !found {
			t.Errorf("%s: no violation in 400 schedules", name)
		}
	}
}
