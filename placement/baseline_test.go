package placement

import (
	"fmt"
	"math/rand/v2"

	"github.com/mangodrum/mangodrum/structs"
)

// baseline places tasks by looking at workers one by one. It supports no
// constraints, which favours it in comparisons of time.
type baseline struct {
	workers []structs.Worker
	free    []structs.Resources
	scale   proportion
}

func newBaseline(workers []structs.Worker) *baseline {
	b := &baseline{workers: workers}
	var total structs.Resources
	for _, w := range workers {
		b.free = append(b.free, w.Capacity)
		total = total.Add(w.Capacity)
	}
	b.scale = proportionOf(total, len(workers))
	return b
}

// firstFit returns the first worker in order that fits, or -1.
func (b *baseline) firstFit(r structs.Resources) int {
	for i := range b.free {
		if r.Fits(b.free[i]) {
			return i
		}
	}
	return -1
}

// fullScan scores every worker that fits and returns the best, or -1.
func (b *baseline) fullScan(r structs.Resources) int {
	best, bestScore := -1, int64(-1)
	s := search{req: &Request{Resources: r}, scale: b.scale}
	for i := range b.free {
		if !r.Fits(b.free[i]) {
			continue
		}
		rec := worker{Worker: structs.Worker{Capacity: b.free[i]}}
		if b.workers[i].Capacity.Accelerators > 0 {
			rec.class = withAccelerators
		}
		if score := s.score(&rec); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// fleet is a set of workers and a mix of tasks for measurements.
type fleet struct {
	name    string
	shapes  []structs.Resources // workers take the shapes in turn
	largest structs.Resources   // task of the mix
	task    func(r *rand.Rand) structs.Resources
}

func (f *fleet) workers(n, domains int) []structs.Worker {
	list := make([]structs.Worker, n)
	for i := range list {
		list[i] = newWorker(fmt.Sprintf("w%04d", i), fmt.Sprint("r", i%domains/3), fmt.Sprint("d", i%domains), f.shapes[i%len(f.shapes)])
	}
	return list
}

func oneOf(r *rand.Rand, choices ...int64) int64 { return choices[r.IntN(len(choices))] }

var fleets = []fleet{
	{"bureau", []structs.Resources{res(32, 128, 0)}, res(8, 16, 0), func(r *rand.Rand) structs.Resources {
		return res(oneOf(r, 1, 1, 2, 2, 4, 8), oneOf(r, 1, 2, 4, 8, 16), 0)
	}},
	{"sierra-alta", []structs.Resources{res(16, 32, 0)}, res(4, 6, 0), func(r *rand.Rand) structs.Resources {
		return res(oneOf(r, 1, 1, 2, 3, 4), oneOf(r, 1, 2, 3, 4, 6), 0)
	}},
	{"two shapes", []structs.Resources{res(32, 64, 0), res(16, 128, 0)}, res(6, 16, 0), func(r *rand.Rand) structs.Resources {
		if r.IntN(2) == 0 {
			return res(oneOf(r, 2, 4, 6), oneOf(r, 1, 2, 4), 0)
		}
		return res(oneOf(r, 1, 2), oneOf(r, 8, 12, 16), 0)
	}},
	{"accelerators", []structs.Resources{res(32, 128, 0), res(64, 256, 8), res(16, 32, 0), res(32, 128, 4)}, res(8, 32, 4), func(r *rand.Rand) structs.Resources {
		if r.IntN(12) == 0 {
			n := oneOf(r, 1, 1, 2, 4)
			return res(2*n, 8*n, n)
		}
		return res(oneOf(r, 1, 2, 3, 4, 6), oneOf(r, 2, 4, 8, 12), 0)
	}},
}

// randomTask draws a task from the fleet's mix with fractions of a core and of a GiB.
func (f *fleet) randomTask(r *rand.Rand) structs.Resources {
	t := f.task(r)
	t.MilliCPU -= r.Int64N(5) * 100
	t.MemoryBytes -= r.Int64N(4) * gib / 8
	return t
}
