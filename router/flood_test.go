package router_test

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// classLoad is the arrival rate of a class as a part of the fleet's rate.
type classLoad struct {
	class structs.ClassName
	load  float64
}

const (
	floodRun    = 200 * time.Millisecond
	floodLength = 12 * time.Second
	fleetRate   = float64(simExecutors*simSlots) / 0.2 // requests per second
)

// baseLoads leave the classes other than the flooding one below the fleet's
// rate.
var baseLoads = []classLoad{{"urgent", 0.35}, {"normal", 0.25}, {"deferrable", 0.04}}

func flooded(loads []classLoad, class structs.ClassName) []classLoad {
	var all []classLoad
	for _, l := range loads {
		if l.class == class {
			l.load = 10
		}
		all = append(all, l)
	}
	return all
}

// runFlood returns waits and completions by class.
func runFlood(seed uint64, loads []classLoad) *routerSim {
	s := newRouterSim(seed, router.DefaultPolicy(), 1, false)
	s.meanRun = floodRun
	for _, l := range loads {
		for _, in := range s.instances {
			gap := time.Duration(float64(time.Second) * simInstances / (l.load * fleetRate))
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
	s.runUntil(s.now.Add(floodLength))
	return s
}

// kept returns the part of a class's requests that were answered.
func (s *routerSim) kept(class structs.ClassName) float64 {
	outcomes := s.perClass[class]
	return float64(outcomes[router.Answered]) / float64(outcomes[router.Answered]+outcomes[router.NotRun]+outcomes[router.OutcomeUnknown])
}

// fifoFlood is the baseline: one queue for all classes and all slots.
func fifoFlood(seed uint64, loads []classLoad) map[structs.ClassName][]time.Duration {
	c := newClockwork(seed)
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
			c.after(c.exponential(floodRun), func() { free++; start() })
		}
	}
	for _, l := range loads {
		gap := time.Duration(float64(time.Second) / (l.load * fleetRate))
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
	c.runUntil(c.now.Add(floodLength))
	return waits
}

// BenchmarkFlood reports the other classes' completions and p99 waits with a
// flood and without, and those of one queue; ns/op has no meaning.
func BenchmarkFlood(b *testing.B) {
	for _, flooding := range []structs.ClassName{"deferrable", "urgent"} {
		for _, l := range baseLoads {
			if l.class == flooding {
				continue
			}
			b.Run(string(flooding)+"/"+string(l.class), func(b *testing.B) {
				for range b.N {
					calm, flood := runFlood(1, baseLoads), runFlood(1, flooded(baseLoads, flooding))
					fifoCalm, fifo := fifoFlood(1, baseLoads), fifoFlood(1, flooded(baseLoads, flooding))
					b.ReportMetric(flood.kept(l.class)/calm.kept(l.class), "kept")
					b.ReportMetric(percentile(calm.waits[l.class], 0.99).Seconds()*1000, "calm-p99-ms")
					b.ReportMetric(percentile(flood.waits[l.class], 0.99).Seconds()*1000, "flood-p99-ms")
					b.ReportMetric(float64(len(fifo[l.class]))/float64(len(fifoCalm[l.class])), "fifo-kept")
					b.ReportMetric(percentile(fifo[l.class], 0.99).Seconds()*1000, "fifo-p99-ms")
					b.ReportMetric(float64(flood.totals[router.Answered])/(fleetRate*(floodLength+2*time.Second).Seconds()), "fleet-use")
				}
			})
		}
	}
}

// floodSeeds are pooled: the p99 of one seed's few hundred deferrable requests
// is the wait of a handful of them.
const floodSeeds = 4

// Guards against a flood at ten times the fleet's rate, of the least urgent
// class and then of the most urgent one, that takes completions or waiting
// time from the other classes.
func TestFloodLeavesOtherClassesAlone(t *testing.T) {
	calm := poolFloods(t, baseLoads)
	checkFlood(t, calm, "deferrable", "urgent", "normal")
	checkFlood(t, calm, "urgent", "normal", "deferrable")
}

type pooled struct {
	waits map[structs.ClassName][]time.Duration
	kept  map[structs.ClassName]float64 // sums over seeds
}

func poolFloods(t *testing.T, loads []classLoad) pooled {
	p := pooled{map[structs.ClassName][]time.Duration{}, map[structs.ClassName]float64{}}
	for seed := range uint64(floodSeeds) {
		s := runFlood(seed+1, loads)
		for _, l := range loads {
			p.waits[l.class] = append(p.waits[l.class], s.waits[l.class]...)
			p.kept[l.class] += s.kept(l.class)
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

func checkFlood(t *testing.T, calm pooled, flooding structs.ClassName, others ...structs.ClassName) {
	loads := flooded(baseLoads, flooding)
	busy, fifo := poolFloods(t, loads), fifoFlood(1, loads)
	for _, class := range others {
		kept := busy.kept[class] / calm.kept[class]
		before, after := percentile(calm.waits[class], 0.99), percentile(busy.waits[class], 0.99)
		t.Logf("flood of %s: %s keeps %.3f, p99 wait %v -> %v", flooding, class, kept, before, after)
		if kept < 0.99 {
			t.Errorf("flood of %s: %s keeps %.3f of its completions, want 0.99", flooding, class, kept)
		}
		if after > before+before/2 {
			t.Errorf("flood of %s: p99 wait of %s is %v, without the flood %v", flooding, class, after, before)
		}
		if baseline := percentile(fifo[class], 0.99); after > baseline {
			t.Errorf("flood of %s: p99 wait of %s is %v, one queue has %v", flooding, class, after, baseline)
		}
	}
}
