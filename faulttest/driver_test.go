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
	schedules = flag.Int("schedules", ordinarySchedules, "number of fault schedules")
	onlySeed  = flag.Int64("seed", -1, "run only this seed and print its faults")
)

// minSteps is the least number of events of a schedule.
const minSteps = 200

// play runs a schedule and returns its first violation, or "".
func play(seed uint64, faults []fault, opts options) (broken string, steps int) {
	opts.Horizon, opts.SnapshotRows = horizon, 25
	s := newSim(seed, 3, 2, 8, opts)
	end := epochStart.Add(settled)
	s.startClients(epochStart.Add(faultsOver + longest))
	s.After(faultsOver+longest, s.cancelServices)
	for _, f := range faults {
		s.inject(f)
	}
	s.runUntil(end)
	s.checkSettled(opts.tooLarge || !contains(faults, jobsTooLarge))
	return s.broken, s.steps
}

// checkSettled fails if the cell did not recover after the last fault.
func (s *sim) checkSettled(allOver bool) {
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
			if allOver && job.Size.Fits(capacity) && job.Ended == 0 && job.Job.Kind != structs.KindService {
				s.fail("job %s is not over long after all faults ended: %d pending, %d placed", job.Job.ID, job.Pending, job.Placed)
			}
		}
	}
}

// shorten drops faults one by one as long as the schedule still fails.
func shorten(seed uint64, faults []fault, opts options) ([]fault, string) {
	broken, _ := play(seed, faults, opts)
	for i := 0; i < len(faults); {
		fewer := append(append([]fault{}, faults[:i]...), faults[i+1:]...)
		if b, _ := play(seed, fewer, opts); b != "" {
			faults, broken = fewer, b
			continue
		}
		i++
	}
	return faults, broken
}

func history(seed uint64, faults []fault, broken string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %s\nshortest history:\n", seed, broken)
	for _, f := range faults {
		fmt.Fprintf(&b, "  %v\n", f)
	}
	fmt.Fprintf(&b, "replay: go test ./faulttest -run 'Schedules|Acknowledged|TooLarge' -seed=%d", seed)
	return b.String()
}

// Guards against every violation that the driver checks: two owners, epochs
// that go back, lost or doubled records, rows of ended epochs.
func TestFaultSchedules(t *testing.T) {
	if *onlySeed >= 0 {
		t.Logf("faults: %v", schedule(uint64(*onlySeed)))
		playRange(t, uint64(*onlySeed), uint64(*onlySeed)+1, 1, options{})
		return
	}
	const parts = 4 // one core each
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("part-%d", part), func(t *testing.T) {
			t.Parallel()
			playRange(t, part, uint64(*schedules), parts, options{})
		})
	}
}

// Guards against an acknowledged cancellation that a takeover undoes. It plays
// the schedules with a wave of cancellations.
func TestAcknowledgedCancellations(t *testing.T) {
	first, last := seeds()
	playRange(t, first, last, 1, options{cancellations: true})
	for _, seed := range []uint64{1079, 1615} { // failed before
		playRange(t, seed, seed+1, 1, options{cancellations: true})
	}
}

// Guards against jobs that fit nowhere and keep others from running. It plays
// the schedules with such jobs.
func TestFeasibleJobsEndBesideTooLargeOnes(t *testing.T) {
	first, last := seeds()
	playRange(t, first, last, 1, options{tooLarge: true})
}

func seeds() (first, last uint64) {
	if *onlySeed >= 0 {
		return uint64(*onlySeed), uint64(*onlySeed) + 1
	}
	return 0, uint64(*schedules)
}

func contains(faults []fault, k kind) bool {
	return slices.ContainsFunc(faults, func(f fault) bool { return f.kind == k })
}

func playRange(t *testing.T, first, last, step uint64, opts options) {
	least, total, count := 1<<62, 0, 0
	for seed := first; seed < last; seed += step {
		faults := schedule(seed)
		if opts.cancellations && !contains(faults, cancelWave) || opts.tooLarge && !contains(faults, jobsTooLarge) {
			continue
		}
		broken, steps := play(seed, faults, opts)
		if broken != "" {
			short, why := shorten(seed, faults, opts)
			t.Errorf("%s", history(seed, short, why))
			continue
		}
		least, total, count = min(least, steps), total+steps, count+1
	}
	t.Logf("%d schedules, %d events, at least %d in each", count, total, least)
	if count > 0 && least < minSteps {
		t.Errorf("a schedule has only %d events, want %d", least, minSteps)
	}
}

// Guards against a driver that cannot fail: with each mechanism broken on
// purpose, one of the first schedules must show a violation.
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
			if broken, _ := play(seed, schedule(seed), opts); broken != "" {
				found = true
				short, why := shorten(seed, schedule(seed), opts)
				t.Logf("%s: %s", name, history(seed, short, why))
			}
		}
		if !found {
			t.Errorf("%s: not found in 400 schedules", name)
		}
	}
}
