package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// stragglerBy is how many times as long as usual a straggling attempt takes.
const stragglerBy = 25

// runRouterHedge returns the total times of urgent requests at 8 instances
// with credits, where a share of the attempts straggles.
func runRouterHedge(load, straggle float64, hedge bool) (totals []time.Duration, s *routerSim) {
	s = newRouterSim(1, openPolicy("urgent", structs.Urgent), 1, false)
	s.hedge = hedge
	s.totalTime = map[structs.ClassName][]time.Duration{}
	for _, x := range s.executors {
		x.behave = func() (time.Duration, router.Result) {
			run := s.exponential(meanRun)
			if s.rng.Float64() < straggle {
				run *= stragglerBy
			}
			return run, router.Result{Kind: router.Completed, Status: 200}
		}
	}
	work := meanRun.Seconds() * (1 + straggle*(stragglerBy-1))
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

// BenchmarkRouterHedging reports total times in virtual time without and with
// a second attempt; ns/op has no meaning.
func BenchmarkRouterHedging(b *testing.B) {
	for _, straggle := range []float64{0, 0.01} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			b.Run(fmt.Sprintf("stragglers=%.2f/load=%.2f", straggle, load), func(b *testing.B) {
				for range b.N {
					plain, _ := runRouterHedge(load, straggle, false)
					hedged, s := runRouterHedge(load, straggle, true)
					for _, p := range []float64{0.5, 0.99} {
						b.ReportMetric(percentile(plain, p).Seconds()*1000, fmt.Sprintf("plain-p%.0f-ms", p*100))
						b.ReportMetric(percentile(hedged, p).Seconds()*1000, fmt.Sprintf("hedged-p%.0f-ms", p*100))
					}
					first := uint64(0)
					for _, in := range s.instances {
						first += in.state.Totals().FirstAttempts
					}
					b.ReportMetric(float64(s.attempts)/float64(first), "attempts")
				}
			})
		}
	}
}
