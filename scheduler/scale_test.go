package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// newPeakLoad returns a simulation of the load expected in two years, scaled to
// the number of workers, with its services already running. The full load is
// 2,100 workers, 18,000 running tasks, a fifth of them services, and 1,200
// starts per second.
func newPeakLoad(seed int64, workers int) *simulation {
	c := newSimulation(seed, testPolicy(), fleet(workers, cores(32)))
	service := batch("service", "normal", 3600*workers/2100, cores(1), time.Second)
	service.Kind, service.Command, service.Spread = structs.KindService, nil, false
	c.submit(service)
	c.advance(10 * time.Second)
	return c
}

// submitLoad submits tasks for the given time: 1,200 per second for 2,100
// workers, a tenth of them urgent, each for about 12 s on 4 cores, which loads
// nine tenths of the fleet.
func (c *simulation) submitLoad(length time.Duration) {
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

// Guards against urgent work that waits for more than 6 s under the load
// expected in two years, with 1,200 starts per second.
func TestUrgentStartsAtTwoYearSize(t *testing.T) {
	c := newPeakLoad(1, 2100)
	c.submitLoad(20 * time.Second)
	waits := c.waits["urgent"]
	t.Logf("urgent: %d started, p50 %v p99 %v max %v; %d starts in all", len(waits),
		percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 1), len(c.attempts))
	if got := percentile(waits, 1); got > 6*time.Second {
		t.Errorf("an urgent task waited %v, limit 6 s", got)
	}
	if want := 20 * 1200 * 9 / 10; len(c.attempts) < want {
		t.Errorf("%d starts, want at least %d", len(c.attempts), want)
	}
	c.checkGuarantees(t)
}

// measureStart runs the load expected in two years, scaled to the number of
// workers, and returns the time spent in Reduce and the calls to workers, per
// start.
func measureStart(workers int) (perStart time.Duration, calls float64) {
	c := newPeakLoad(1, workers)
	c.submitLoad(15 * time.Second) // until the fleet is loaded
	starts, batches := len(c.attempts), 0
	c.onEffect = func(eff structs.Effect) {
		if _, ok := eff.(SendBatch); ok {
			batches++
		}
	}
	c.reduceTime = 0
	c.submitLoad(5 * time.Second)
	starts = len(c.attempts) - starts
	return c.reduceTime / time.Duration(starts), float64(batches) / float64(starts)
}

// BenchmarkStart reports the cost of one start with its share of submissions,
// passes, reports, renewals, records and ends.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 500, 2100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var perStart time.Duration
			var calls float64
			for range b.N {
				perStart, calls = measureStart(workers)
			}
			b.ReportMetric(float64(perStart.Nanoseconds()), "ns/start")
			b.ReportMetric(calls, "calls/start")
		})
	}
}

// measureCancel returns the time per task to cancel a job of n pending tasks.
func measureCancel(n int) time.Duration {
	best := time.Duration(1 << 62)
	for seed := range int64(5) {
		c := newSimulation(seed, testPolicy(), fleet(1, cores(1)))
		c.submit(batch("wave", "deferrable", n, cores(1), time.Hour))
		c.advance(100 * time.Millisecond)
		c.reduceTime = 0
		c.send(CancelJob{Call: 2, Job: "wave"})
		best = min(best, c.reduceTime/time.Duration(n))
	}
	return best
}

// Guards against cancellation that takes more than linear time: ten times the
// tasks may take at most thirty times as long. Quadratic time would be a
// hundred times as long.
func TestCancellationIsLinear(t *testing.T) {
	small, large := measureCancel(1000), measureCancel(10_000)
	t.Logf("per task: %v for 1,000 tasks, %v for 10,000", small, large)
	if large > 3*small {
		t.Errorf("%v per task at 10,000, %v at 1,000", large, small)
	}
}

func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perTask time.Duration
			for range b.N {
				perTask = measureCancel(n)
			}
			b.ReportMetric(float64(perTask.Nanoseconds()), "ns/task")
		})
	}
}
