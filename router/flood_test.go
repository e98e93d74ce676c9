package router_test

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// classLoad is the arrival rate of a class as a fraction of fullLoadRate.
type classLoad struct {
	class structs.ClassName
	load  float64
}

const (
	floodRunTime  = 200 * time.Millisecond
	floodDuration = 12 * time.Second
	fullLoadRate  = float64(simExecutors*simSlots) / 0.2 // requests per second at full load
)

// baseLoads are the loads without a flood. The classes other than the flooding
// one are together below fullLoadRate.
var baseLoads = []classLoad{{"urgent", 0.35}, {"normal", 0.25}, {"deferrable", 0.04}}

// addFlood returns loads with the load of the class set to ten times fullLoadRate.
func addFlood(loads []classLoad, class structs.ClassName) []classLoad {
	var all []classLoad
	for _, l := range loads {
		if l.class == class {
			l.load = 10
		}
		all = append(all, l)
	}
	return all
}

// runFlood returns a simulation with the waits and outcomes by class, without
// those of the warm-up of two seconds.
func runFlood(seed uint64, loads []classLoad) *routerSim {
	s := newRouterSim(seed, router.DefaultPolicy(), 1, false)
	s.meanRunTime = floodRunTime
	for _, l := range loads {
		for _, in := range s.instances {
			gap := time.Duration(float64(time.Second) * simInstances / (l.load * fullLoadRate))
			var next func()
			next = func() {
				in.arrive(l.class, true, 0)
				s.after(s.exponential(gap), next)
			}
			s.after(s.exponential(gap), next)
		}
	}
	s.runUntil(s.now.Add(2 * time.Second))
	clear(s.waits)
	clear(s.perClass)
	s.runUntil(s.now.Add(floodDuration))
	return s
}

// answeredFraction returns the fraction of the requests of a class that were
// answered.
func (s *routerSim) answeredFraction(class structs.ClassName) float64 {
	outcomes := s.perClass[class]
	return float64(outcomes[router.Answered]) / float64(outcomes[router.Answered]+outcomes[router.NotRun]+outcomes[router.OutcomeUnknown])
}

// fifoFlood returns the waits of the baseline: one FIFO queue for all classes and
// all slots.
func fifoFlood(seed uint64, loads []classLoad) map[structs.ClassName][]time.Duration {
	c := newVirtualClock(seed)
	type waiting struct {
		class   structs.ClassName
		arrived structs.Timestamp
	}
	var queue []waiting
	free := simExecutors * simSlots
	waits := map[structs.ClassName][]time.Duration{}
	var start func()
	start = func() {
		for free > 0 && len(queue) > 0 {
			w := queue[0]
			queue = queue[1:]
			free--
			waits[w.class] = append(waits[w.class], c.now.Sub(w.arrived))
			c.after(c.exponential(floodRunTime), func() { free++; start() })
		}
	}
	for _, l := range loads {
		gap := time.Duration(float64(time.Second) / (l.load * fullLoadRate))
		var next func()
		next = func() {
			queue = append(queue, waiting{l.class, c.now})
			start()
			c.after(c.exponential(gap), next)
		}
		c.after(c.exponential(gap), next)
	}
	c.runUntil(c.now.Add(2 * time.Second))
	clear(waits)
	c.runUntil(c.now.Add(floodDuration))
	return waits
}

// BenchmarkFlood reports the completions and p99 waits of the other classes with
// and without a flood, for the router and for a single FIFO queue. ns/op has no
// meaning.
func BenchmarkFlood(b *testing.B) {
	for _, flooding := range []structs.ClassName{"deferrable", "urgent"} {
		for _, l := range baseLoads {
			if l.class == flooding {
				continue
			}
			b.Run(string(flooding)+"/"+string(l.class), func(b *testing.B) {
				for range b.N {
					quiet, flood := runFlood(1, baseLoads), runFlood(1, addFlood(baseLoads, flooding))
					fifoQuiet, fifo := fifoFlood(1, baseLoads), fifoFlood(1, addFlood(baseLoads, flooding))
					b.ReportMetric(flood.answeredFraction(l.class)/quiet.answeredFraction(l.class), "kept")
					b.ReportMetric(percentile(quiet.waits[l.class], 0.99).Seconds()*1000, "calm-p99-ms")
					b.ReportMetric(percentile(flood.waits[l.class], 0.99).Seconds()*1000, "flood-p99-ms")
					b.ReportMetric(float64(len(fifo[l.class]))/float64(len(fifoQuiet[l.class])), "fifo-kept")
					b.ReportMetric(percentile(fifo[l.class], 0.99).Seconds()*1000, "fifo-p99-ms")
					b.ReportMetric(float64(flood.totals[router.Answered])/(fullLoadRate*(floodDuration+2*time.Second).Seconds()), "fleet-use")
				}
			})
		}
	}
}

// floodSeeds is the number of seeds whose waits are combined. One seed has only a
// few hundred deferrable requests, so its p99 depends on very few of them.
const floodSeeds = 4

// Guards against a flood at ten times fullLoadRate that reduces the completions or
// increases the waits of the other classes. The flooding class is first the
// least urgent and then the most urgent one.
func TestFloodDoesNotAffectOtherClasses(t *testing.T) {
	quiet := runFloods(t, baseLoads)
	checkFlood(t, quiet, "deferrable", "urgent", "normal")
	checkFlood(t, quiet, "urgent", "normal", "deferrable")
}

type floodResult struct {
	waits    map[structs.ClassName][]time.Duration
	answered map[structs.ClassName]float64 // sums of answeredFraction over the seeds
}

func runFloods(t *testing.T, loads []classLoad) floodResult {
	p := floodResult{map[structs.ClassName][]time.Duration{}, map[structs.ClassName]float64{}}
	for seed := range uint64(floodSeeds) {
		s := runFlood(seed+1, loads)
		for _, l := range loads {
			p.waits[l.class] = append(p.waits[l.class], s.waits[l.class]...)
			p.answered[l.class] += s.answeredFraction(l.class)
			if s.perClass[l.class][router.Answered] == 0 {
				t.Errorf("seed %d: no request of %s was answered", seed+1, l.class)
			}
		}
		if s.maximum() > simSlots {
			t.Errorf("seed %d: %d requests at an executor with %d slots", seed+1, s.maximum(), simSlots)
		}
	}
	return p
}

func checkFlood(t *testing.T, quiet floodResult, flooding structs.ClassName, others ...structs.ClassName) {
	loads := addFlood(baseLoads, flooding)
	flood, fifo := runFloods(t, loads), fifoFlood(1, loads)
	for _, class := range others {
		kept := flood.answered[class] / quiet.answered[class]
		before, after := percentile(quiet.waits[class], 0.99), percentile(flood.waits[class], 0.99)
		t.Logf("flood of %s: %s has %.3f of its completions without the flood, p99 wait %v -> %v", flooding, class, kept, before, after)
		if kept < 0.99 {
			t.Errorf("flood of %s: %s has %.3f of its completions without the flood, want at least 0.99", flooding, class, kept)
		}
		if after > before+before/2 {
			t.Errorf("flood of %s: p99 wait of %s is %v, want at most 1.5 times the %v without the flood", flooding, class, after, before)
		}
		if baseline := percentile(fifo[class], 0.99); after > baseline {
			t.Errorf("flood of %s: p99 wait of %s is %v, want at most %v as with a single FIFO queue", flooding, class, after, baseline)
		}
	}
}
