package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// stragglerFactor is the multiple of the usual run time that a straggler takes.
const stragglerFactor = 25

// runRouterHedge returns the total times of urgent requests at 8 instances with
// credits, where the given share of the attempts are stragglers.
func runRouterHedge(load, stragglerShare float64, hedge bool) (totals []time.Duration, s *routerSim) {
	s = newRouterSim(1, unlimitedPolicy("urgent", structs.Urgent), 1, false)
	s.hedge = hedge
	s.totalTime = map[structs.ClassName][]time.Duration{}
	for _, x := range s.executors {
		x.respond = func() (time.Duration, router.Result) {
			run := s.exponential(meanRunTime)
			if s.rng.Float64() < stragglerShare {
				run *= stragglerFactor
			}
			return run, router.Result{Kind: router.Completed, Status: 200}
		}
	}
	work := meanRunTime.Seconds() * (1 + stragglerShare*(stragglerFactor-1))
	gap := time.Duration(simInstances * work / (load * simExecutors * simSlots) * float64(time.Second))
	for _, in := range s.instances {
		var next func()
		next = func() {
			in.arrive("urgent", true, 0)
			s.after(s.exponential(gap), next)
		}
		s.after(s.exponential(gap), next)
	}
	s.runUntil(s.now.Add(time.Second))
	clear(s.totalTime)
	s.runUntil(s.now.Add(3 * time.Second))
	return s.totalTime["urgent"], s
}

// BenchmarkRouterHedging reports total times in virtual time with and without
// hedging. ns/op has no meaning.
func BenchmarkRouterHedging(b *testing.B) {
	for _, stragglerShare := range []float64{0, 0.01} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			b.Run(fmt.Sprintf("stragglers=%.2f/load=%.2f", stragglerShare, load), func(b *testing.B) {
				for range b.N {
					plain, _ := runRouterHedge(load, stragglerShare, false)
					hedged, s := runRouterHedge(load, stragglerShare, true)
					for _, p := range []float64{0.5, 0.99} {
						b.ReportMetric(percentile(plain, p).Seconds()*1000, fmt.Sprintf("plain-p%.0f-ms", p*100))
						b.ReportMetric(percentile(hedged, p).Seconds()*1000, fmt.Sprintf("hedged-p%.0f-ms", p*100))
					}
					first := uint64(0)
					for _, in := range s.instances {
						first += in.state.Counts().FirstAttempts
					}
					b.ReportMetric(float64(s.attempts)/float64(first), "attempts")
				}
			})
		}
	}
}
