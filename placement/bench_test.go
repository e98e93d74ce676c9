package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/placement/internal/baseline"
	"github.com/mangodrum/mangodrum/structs"
)

// BenchmarkFind compares Find in a fleet with 85% of its capacity reserved with
// a full scan that scores every worker.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{50, 500, 2100} {
		l := newSteadyLoad(&baseline.Fleets[0], n, 3, "plain")
		for i := range l.b.Free {
			l.b.Free[i], _ = l.x.Free(l.b.Workers[i].ID)
		}
		b.Run(fmt.Sprintf("index/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				l.x.Find(&l.reqs[i%len(l.reqs)])
			}
		})
		b.Run(fmt.Sprintf("fullscan/%d", n), func(b *testing.B) {
			for i := range b.N {
				l.b.FullScan(l.reqs[i%len(l.reqs)].Resources)
			}
		})
		b.Run(fmt.Sprintf("step/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				l.step()
			}
		})
	}
}

// BenchmarkFindGang times a gang of 64 tasks at 2,100 workers.
func BenchmarkFindGang(b *testing.B) {
	l := newSteadyLoad(&baseline.Fleets[0], 2100, 18, "plain")
	gang := gangOf("g", 0, 64, res(4, 8, 0)).Requests
	b.ResetTimer()
	for range b.N {
		if _, ok := l.x.FindGang(gang); !ok {
			b.Fatal("FindGang found no workers for the gang")
		}
	}
}

// BenchmarkPlan times Plan for three gangs of 256 tasks that must wait for
// about 18,000 running tasks.
func BenchmarkPlan(b *testing.B) {
	l := newSteadyLoad(&baseline.Fleets[0], 2100, 18, "plain")
	running := make([]Running, 0, len(l.tasks))
	for i, task := range l.tasks {
		running = append(running, Running{Worker: task.id, Resources: task.r, End: structs.Timestamp(i+1) * second})
	}
	var gangs []Gang
	for i := range 3 {
		gangs = append(gangs, gangOf(fmt.Sprint("g", i), structs.Timestamp(i), 256, res(24, 96, 0)))
	}
	r := NewReservations(l.x, 20)
	b.ReportMetric(float64(len(running)), "tasks")
	for range b.N {
		if plan := r.Plan(0, running, gangs); len(plan) != len(gangs) {
			b.Fatalf("planned %d of %d gangs", len(plan), len(gangs))
		}
		r.Clear()
	}
}

// BenchmarkRatios reports the time of the full scan relative to Find at 2,100
// workers, and of Find at 2,100 workers relative to 50. The runs alternate and
// each time is the best of many short runs, to limit the effect of other load
// on the machine.
func BenchmarkRatios(b *testing.B) {
	small := newSteadyLoad(&baseline.Fleets[0], 50, 3, "plain")
	large := newSteadyLoad(&baseline.Fleets[0], 2100, 3, "plain")
	for i := range large.b.Free {
		large.b.Free[i], _ = large.x.Free(large.b.Workers[i].ID)
	}
	find := func(l *steadyLoad) func(i int) {
		return func(i int) { l.x.Find(&l.reqs[i%len(l.reqs)]) }
	}
	scan := func(i int) { large.b.FullScan(large.reqs[i%len(large.reqs)].Resources) }
	var best [3]time.Duration
	for range max(b.N, 20) {
		for k, call := range []func(int){find(small), find(large), scan} {
			if d := timeOf(call); best[k] == 0 || d < best[k] {
				best[k] = d
			}
		}
	}
	b.ReportMetric(float64(best[2])/float64(best[1]), "scan/find")
	b.ReportMetric(float64(best[1])/float64(best[0]), "find2100/find50")
	b.ReportMetric(float64(best[1])/1000, "ns/find2100")
}

func timeOf(call func(i int)) time.Duration {
	start := time.Now()
	for i := range 1000 {
		call(i)
	}
	return time.Since(start)
}
