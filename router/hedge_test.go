package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// hedgeModel is one queue for all slots, in which a share of the attempts
// straggles. It shows what a second attempt of a late request would bring;
// the router does not hedge.
type hedgeModel struct {
	*clockwork
	straggle float64
	hedge    bool
	free     int
	tokens   float64
	queue    []*hedgeRequest
	totals   []time.Duration
}

type hedgeRequest struct {
	arrived structs.Timestamp
	done    bool
}

// hedgeAfter is about the 95th percentile of the usual run time.
const hedgeAfter = 3 * meanRun

const (
	hedgeBudget = 0.1 // second attempts per request, the budget of retries
	stragglerBy = 25  // times as long as usual
)

func (m *hedgeModel) arrive() {
	m.tokens = min(m.tokens+hedgeBudget, 100)
	m.queue = append(m.queue, &hedgeRequest{arrived: m.now})
	m.next()
}

func (m *hedgeModel) next() {
	for m.free > 0 && len(m.queue) > 0 {
		r := m.queue[0]
		m.queue = m.queue[1:]
		m.start(r)
		if m.hedge {
			m.after(hedgeAfter, func() { m.second(r) })
		}
	}
}

func (m *hedgeModel) second(r *hedgeRequest) {
	if r.done || m.free == 0 || m.tokens < 1 {
		return
	}
	m.tokens--
	m.start(r)
}

// start occupies a slot until the executor is done; closing the connection of
// the slower attempt does not stop the executor.
func (m *hedgeModel) start(r *hedgeRequest) {
	m.free--
	run := m.exponential(meanRun)
	if m.rng.Float64() < m.straggle {
		run *= stragglerBy
	}
	m.after(run, func() {
		m.free++
		if !r.done {
			r.done = true
			m.totals = append(m.totals, m.now.Sub(r.arrived))
		}
		m.next()
	})
}

func runHedge(straggle, load float64, hedge bool) []time.Duration {
	m := &hedgeModel{clockwork: newClockwork(1), straggle: straggle, hedge: hedge, free: simExecutors * simSlots}
	work := meanRun.Seconds() * (1 + straggle*(stragglerBy-1))
	gap := time.Duration(work / (load * simExecutors * simSlots) * float64(time.Second))
	var next func()
	next = func() {
		m.arrive()
		m.after(m.exponential(gap), next)
	}
	next()
	m.runUntil(m.now.Add(2 * time.Second))
	m.totals = nil
	m.runUntil(m.now.Add(6 * time.Second))
	return m.totals
}

// BenchmarkHedging reports total times in virtual time without and with a
// second attempt; ns/op has no meaning.
func BenchmarkHedging(b *testing.B) {
	for _, straggle := range []float64{0, 0.01} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			b.Run(fmt.Sprintf("stragglers=%.2f/load=%.2f", straggle, load), func(b *testing.B) {
				for range b.N {
					plain, hedged := runHedge(straggle, load, false), runHedge(straggle, load, true)
					for _, p := range []float64{0.5, 0.99} {
						b.ReportMetric(percentile(plain, p).Seconds()*1000, fmt.Sprintf("plain-p%.0f-ms", p*100))
						b.ReportMetric(percentile(hedged, p).Seconds()*1000, fmt.Sprintf("hedged-p%.0f-ms", p*100))
					}
				}
			})
		}
	}
}

// runRouterHedge returns the total times of urgent requests through the
// router itself, 8 instances with credits.
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

// BenchmarkRouterHedging is BenchmarkHedging with the router.
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
