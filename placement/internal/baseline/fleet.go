package baseline

import (
	"fmt"
	"math/rand/v2"

	"github.com/mangodrum/mangodrum/structs"
)

const gib = 1 << 30

// Fleet is a set of workers and a mix of tasks.
type Fleet struct {
	Name    string
	Largest structs.Resources   // size of the largest task of the mix
	shapes  []structs.Resources // capacities of the workers, assigned in rotation
	task    func(r *rand.Rand) structs.Resources
}

// Fleets are the workloads of the tests and benchmarks.
var Fleets = []Fleet{
	{"bureau", resources(8, 16, 0), []structs.Resources{resources(32, 128, 0)}, func(r *rand.Rand) structs.Resources {
		return resources(oneOf(r, 1, 1, 2, 2, 4, 8), oneOf(r, 1, 2, 4, 8, 16), 0)
	}},
	{"sierra-alta", resources(4, 6, 0), []structs.Resources{resources(16, 32, 0)}, func(r *rand.Rand) structs.Resources {
		return resources(oneOf(r, 1, 1, 2, 3, 4), oneOf(r, 1, 2, 3, 4, 6), 0)
	}},
	{"two shapes", resources(6, 16, 0), []structs.Resources{resources(32, 64, 0), resources(16, 128, 0)}, twoShapesTask},
	{"accelerators", resources(8, 32, 4), []structs.Resources{resources(32, 128, 0), resources(64, 256, 8), resources(16, 32, 0), resources(32, 128, 4)}, acceleratorTask},
}

// twoShapesTask returns a task that needs mostly processors or mostly memory.
func twoShapesTask(r *rand.Rand) structs.Resources {
	if r.IntN(2) == 0 {
		return resources(oneOf(r, 2, 4, 6), oneOf(r, 1, 2, 4), 0)
	}
	return resources(oneOf(r, 1, 2), oneOf(r, 8, 12, 16), 0)
}

// acceleratorTask returns a task that needs accelerators in one of twelve cases.
func acceleratorTask(r *rand.Rand) structs.Resources {
	if r.IntN(12) == 0 {
		n := oneOf(r, 1, 1, 2, 4)
		return resources(2*n, 8*n, n)
	}
	return resources(oneOf(r, 1, 2, 3, 4, 6), oneOf(r, 2, 4, 8, 12), 0)
}

// Workers returns n workers in the given number of failure domains, three in
// each region.
func (f *Fleet) Workers(n, domains int) []structs.Worker {
	list := make([]structs.Worker, n)
	for i := range list {
		d := i % domains
		list[i] = structs.Worker{
			ID: structs.WorkerID(fmt.Sprintf("w%04d", i)),
			Location: structs.Location{
				Region:        structs.Region(fmt.Sprint("r", d/3)),
				FailureDomain: structs.FailureDomain(fmt.Sprint("d", d)),
			},
			Capacity: f.shapes[i%len(f.shapes)],
			State:    structs.Live,
		}
	}
	return list
}

// Task returns a random task of the mix. Its amounts are not whole cores or GiB.
func (f *Fleet) Task(r *rand.Rand) structs.Resources {
	t := f.task(r)
	t.MilliCPU -= r.Int64N(5) * 100
	t.MemoryBytes -= r.Int64N(4) * gib / 8
	return t
}

func resources(cores, memoryGiB, accelerators int64) structs.Resources {
	return structs.Resources{MilliCPU: cores * 1000, MemoryBytes: memoryGiB * gib, Accelerators: accelerators}
}

func oneOf(r *rand.Rand, choices ...int64) int64 { return choices[r.IntN(len(choices))] }
