package placement

import (
	"fmt"
	"testing"
)

// BenchmarkFind times one Find in a fleet that is 0.85 full, against a full
// scan that scores every worker.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{50, 500, 2100} {
		l := newLoad(&fleets[0], n, 3, "plain")
		for i := range l.b.free {
			l.b.free[i], _ = l.x.Free(l.b.workers[i].ID)
		}
		b.Run(fmt.Sprintf("index/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				l.x.Find(&l.reqs[i%len(l.reqs)])
			}
		})
		b.Run(fmt.Sprintf("fullscan/%d", n), func(b *testing.B) {
			for i := range b.N {
				l.b.fullScan(l.reqs[i%len(l.reqs)].Resources)
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
