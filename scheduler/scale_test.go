package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// peak is the two-year size: 2,100 workers, 18,000 running tasks, a fifth of
// them services, and 1,200 starts per second.
func peak(seed int64, workers int) *cell {
	c := newCell(seed, testPolicy(), fleet(workers, cores(32)))
	service := batch("service", "normal", 3600*workers/2100, cores(1), time.Second)
	service.Kind, service.Command, service.Spread = structs.KindService, nil, false
	c.submit(service)
	c.advance(10 * time.Second)
	return c
}

// arrive submits 1,200 tasks per second at the two-year size, a tenth of them
// urgent, each for about 12 s on 4 cores, which loads nine tenths of the fleet.
func (c *cell) arrive(length time.Duration) {
	every := 5 * time.Millisecond
	rate := 1200 * float64(len(c.order)) / 2100
	n, first := 0, len(c.submitted)
	for at := time.Duration(0); at < length; at += every {
		c.after(at, func() {
			for float64(n) < rate*(at+every).Seconds() {
				n++
				class := classNames[min(n%10, 2)]
				run := 6*time.Second + time.Duration(c.rng.Int63n(int64(12*time.Second)))
				c.submit(batch(fmt.Sprintf("p%d", first+n), class, 1, cores(int64(2+c.rng.Intn(5))), run))
			}
		})
	}
	c.advance(length)
}

// Guards against urgent work that waits for more than 6 s at the two-year size
// with 1,200 starts per second.
func TestUrgentStartsAtTwoYearSize(t *testing.T) {
	c := peak(1, 2100)
	c.arrive(20 * time.Second)
	waits := c.waits["urgent"]
	t.Logf("urgent: %d started, p50 %v p99 %v max %v; %d starts in all", len(waits),
		percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 1), len(c.runs))
	if got := percentile(waits, 1); got > 6*time.Second {
		t.Errorf("an urgent task waited %v, limit 6 s", got)
	}
	if want := 20 * 1200 * 9 / 10; len(c.runs) < want {
		t.Errorf("%d starts, want at least %d", len(c.runs), want)
	}
	c.mustHold(t)
}

// measured runs the traffic of the two-year size on part of the fleet and
// returns the time spent in Reduce and the calls to workers, per start.
func measured(workers int) (perStart time.Duration, calls float64) {
	c := peak(1, workers)
	c.arrive(15 * time.Second) // until the fleet is loaded
	starts, batches := len(c.runs), 0
	c.onEffect = func(eff structs.Effect) {
		if _, ok := eff.(SendBatch); ok {
			batches++
		}
	}
	c.spent = 0
	c.arrive(5 * time.Second)
	starts = len(c.runs) - starts
	return c.spent / time.Duration(starts), float64(batches) / float64(starts)
}

// BenchmarkStart reports the cost of one start and all that follows from it:
// submission, passes, reports, renewals, records and the end.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 500, 2100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var perStart time.Duration
			var calls float64
			for range b.N {
				perStart, calls = measured(workers)
			}
			b.ReportMetric(float64(perStart.Nanoseconds()), "ns/start")
			b.ReportMetric(calls, "calls/start")
		})
	}
}

// cancelWave returns the time to cancel a job of n pending tasks, per task.
func cancelWave(n int) time.Duration {
	best := time.Duration(1 << 62)
	for seed := range int64(5) {
		c := newCell(seed, testPolicy(), fleet(1, cores(1)))
		c.submit(batch("wave", "deferrable", n, cores(1), time.Hour))
		c.advance(100 * time.Millisecond)
		c.spent = 0
		c.send(CancelJob{Call: 2, Job: "wave"})
		best = min(best, c.spent/time.Duration(n))
	}
	return best
}

// Guards against cancellation that costs more than linear time: ten times the
// tasks may cost at most thirty times as much; quadratic cost is a hundred.
func TestCancellationWaveIsLinear(t *testing.T) {
	small, large := cancelWave(1000), cancelWave(10_000)
	t.Logf("per task: %v for 1,000 tasks, %v for 10,000", small, large)
	if large > 3*small {
		t.Errorf("%v per task at 10,000, %v at 1,000", large, small)
	}
}

func BenchmarkCancelWave(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perTask time.Duration
			for range b.N {
				perTask = cancelWave(n)
			}
			b.ReportMetric(float64(perTask.Nanoseconds()), "ns/task")
		})
	}
}
