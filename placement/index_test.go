package placement

import (
	"fmt"
	"testing"

	"github.com/mangodrum/mangodrum/structs"
)

const gib = 1 << 30

func res(cores, memoryGiB, accelerators int64) structs.Resources {
	return structs.Resources{MilliCPU: cores * 1000, MemoryBytes: memoryGiB * gib, Accelerators: accelerators}
}

func newWorker(id, region, domain string, capacity structs.Resources) structs.Worker {
	return structs.Worker{
		ID:       structs.WorkerID(id),
		Location: structs.Location{Region: structs.Region(region), FailureDomain: structs.FailureDomain(domain)},
		Capacity: capacity,
		State:    structs.Live,
	}
}

func newIndexWith(workers ...structs.Worker) *Index {
	x := New()
	for _, w := range workers {
		x.Upsert(w)
	}
	return x
}

func mustReserve(t *testing.T, x *Index, id structs.WorkerID, r structs.Resources, key string) {
	t.Helper()
	if !x.Reserve(id, r, key) {
		t.Fatalf("Reserve(%s, %s) refused", id, r)
	}
}

// Guards against overcommitting a worker whose capacity was reduced, that was
// removed and listed again, or whose tasks were adopted after a restart.
func TestReservationsSurviveWorkerChanges(t *testing.T) {
	w := newWorker("a", "r", "d", res(8, 8, 0))
	steps := map[string]func(x *Index){
		"shrinks":         func(x *Index) { small := w; small.Capacity = res(4, 8, 0); x.Upsert(small) },
		"removed, listed": func(x *Index) { x.Remove("a"); x.Upsert(w) },
		"adopted":         func(x *Index) { x.Adopt("a", res(4, 0, 0), "") },
	}
	for name, step := range steps {
		x := newIndexWith(w)
		mustReserve(t, x, "a", res(6, 6, 0), "")
		step(x)
		if x.Reserve("a", res(4, 1, 0), "") {
			t.Errorf("%s: reserved 4 of at most 2 free cores", name)
		}
		if _, ok := x.Find(&Request{Resources: res(4, 1, 0)}); ok {
			t.Errorf("%s: Find returned a worker for 4 cores", name)
		}
		x.Release("a", res(6, 6, 0), "")
		if !x.Reserve("a", res(4, 1, 0), "") {
			t.Errorf("%s: refused after the release", name)
		}
		x.Release("a", res(16, 16, 0), "")
		if free, _ := x.Free("a"); free.MilliCPU > w.Capacity.MilliCPU {
			t.Errorf("%s: %s are free after a repeated release", name, free)
		}
	}
}

// Guards against placing new work on workers that must not accept any, and
// against losing the reservations of such workers.
func TestUnschedulableWorkersTakeNoNewWork(t *testing.T) {
	leaving := newWorker("a", "r", "d", res(8, 8, 0))
	leaving.State = structs.Leaving
	gone := leaving
	gone.State = structs.Gone
	cases := map[string]func(x *Index){
		"leaving":     func(x *Index) { x.Upsert(leaving) },
		"gone":        func(x *Index) { x.Upsert(gone) },
		"quarantined": func(x *Index) { x.SetSchedulable("a", false) },
		"quarantined, listed again": func(x *Index) {
			x.SetSchedulable("a", false)
			x.Remove("a")
			x.Upsert(newWorker("a", "r", "d", res(8, 8, 0)))
		},
		"removed": func(x *Index) { x.Remove("a") },
	}
	for name, step := range cases {
		x := newIndexWith(newWorker("a", "r", "d", res(8, 8, 0)))
		mustReserve(t, x, "a", res(2, 2, 0), "")
		step(x)
		if x.Reserve("a", res(1, 1, 0), "") {
			t.Errorf("%s: Reserve accepted new work", name)
		}
		if id, ok := x.Find(&Request{Resources: res(1, 1, 0)}); ok {
			t.Errorf("%s: Find chose %s", name, id)
		}
		x.SetSchedulable("a", true)
		x.Upsert(newWorker("a", "r", "d", res(8, 8, 0)))
		if free, _ := x.Free("a"); free != res(6, 6, 0) {
			t.Errorf("%s: free = %s after return, want 6 cores", name, free)
		}
	}
}

// Guards against placing a task on a worker that its constraint excludes.
func TestFindHonoursConstraints(t *testing.T) {
	ssd := newWorker("ssd", "north", "n1", res(8, 8, 0))
	ssd.Labels = map[string]string{"disk": "ssd"}
	x := newIndexWith(ssd, newWorker("plain", "north", "n2", res(4, 4, 0)), newWorker("south", "south", "s1", res(2, 2, 0)))
	cases := map[string]struct {
		constraint structs.Constraint
		want       structs.WorkerID
	}{
		"none takes the best fit": {structs.Constraint{}, "south"},
		"region":                  {structs.Constraint{Regions: []structs.Region{"north"}}, "plain"},
		"failure domain":          {structs.Constraint{FailureDomains: []structs.FailureDomain{"n1"}}, "ssd"},
		"label":                   {structs.Constraint{Labels: map[string]string{"disk": "ssd"}}, "ssd"},
		"excluded":                {structs.Constraint{ExcludeWorkers: []structs.WorkerID{"south", "plain"}}, "ssd"},
		"label value":             {structs.Constraint{Labels: map[string]string{"disk": "tape"}}, ""},
		"unknown region":          {structs.Constraint{Regions: []structs.Region{"east"}}, ""},
	}
	for name, c := range cases {
		got, ok := x.Find(&Request{Resources: res(1, 1, 0), Constraint: c.constraint})
		if got != c.want || ok != (c.want != "") {
			t.Errorf("%s: Find = %q, %v, want %q", name, got, ok, c.want)
		}
	}
}

// Guards against replicas of a service that share a failure domain or a worker
// while others run none of them.
func TestSpreadOverDomainsThenWorkers(t *testing.T) {
	x := New()
	for i := range 6 {
		x.Upsert(newWorker(fmt.Sprint("w", i), "r", fmt.Sprint("d", i%3), res(8, 8, 0)))
	}
	perDomain := map[int]int{}
	perWorker := map[structs.WorkerID]int{}
	for i := range 12 {
		id, ok := x.Find(&Request{Resources: res(1, 1, 0), SpreadKey: "svc"})
		if !ok {
			t.Fatalf("Find returned no worker for replica %d", i)
		}
		mustReserve(t, x, id, res(1, 1, 0), "svc")
		perDomain[int(id[1]-'0')%3]++
		perWorker[id]++
		if lo, hi := i/3, (i+3)/3; perDomain[0] < lo || perDomain[0] > hi {
			t.Errorf("after %d replicas domain 0 has %d, want %d to %d", i+1, perDomain[0], lo, hi)
		}
	}
	for id, n := range perWorker {
		if n != 2 {
			t.Errorf("worker %s has %d replicas, want 2", id, n)
		}
	}
}

// Guards against placement in another region when the affinity cost rules it
// out, and against a task that waits for its preferred region while another
// region has room.
func TestAffinityToPreferredRegion(t *testing.T) {
	near := newWorker("near", "north", "n1", res(32, 32, 0))
	far := newWorker("far", "south", "s1", res(2, 2, 0))
	cases := map[string]struct {
		workers []structs.Worker
		cost    int64
		want    structs.WorkerID
	}{
		"within the cost":          {[]structs.Worker{near, far}, 100, "near"},
		"cost exceeded":            {[]structs.Worker{near, far}, 0, "far"},
		"preferred region is full": {[]structs.Worker{far}, 100, "far"},
	}
	for name, c := range cases {
		x := newIndexWith(c.workers...)
		got, _ := x.Find(&Request{Resources: res(2, 2, 0), PreferRegion: "north", AffinityCost: c.cost})
		if got != c.want {
			t.Errorf("%s: Find = %q, want %q", name, got, c.want)
		}
	}
}

// Guards against tasks without accelerators that occupy workers with
// accelerators while other workers have room.
func TestTasksWithoutAcceleratorsAvoidThem(t *testing.T) {
	x := newIndexWith(newWorker("accel", "r", "d", res(2, 2, 4)), newWorker("plain", "r", "d", res(32, 32, 0)))
	req := Request{Resources: res(2, 2, 0)}
	if id, _ := x.Find(&req); id != "plain" {
		t.Errorf("Find = %s, want plain", id)
	}
	mustReserve(t, x, "plain", res(32, 32, 0), "")
	if id, _ := x.Find(&req); id != "accel" {
		t.Errorf("Find = %q when plain is full, want accel", id)
	}
}

// Guards against partial gangs, reservations that FindGang does not release,
// and gangs that are split over regions although one region has room.
func TestFindGangPlacesAllOrNothing(t *testing.T) {
	x := New()
	for i := range 4 {
		x.Upsert(newWorker(fmt.Sprint("n", i), "north", "n", res(4, 4, 0)))
		x.Upsert(newWorker(fmt.Sprint("s", i), "south", "s", res(8, 8, 0)))
	}
	gang := make([]Request, 8)
	for i := range gang {
		gang[i] = Request{Resources: res(4, 4, 0), PreferRegion: "north"}
	}
	before := x.Totals()
	placed, ok := x.FindGang(gang)
	if !ok || len(placed) != 8 {
		t.Fatalf("FindGang = %v, %v", placed, ok)
	}
	for _, id := range placed {
		if id[0] != 's' {
			t.Errorf("task on %s: the gang fits in south alone", id)
		}
	}
	if placed, ok := x.FindGang(gang[:4]); !ok || placed[0][0] != 'n' {
		t.Errorf("a gang that fits in the preferred region got %v", placed)
	}
	for range 5 {
		gang = append(gang, gang[0])
	}
	if placed, ok := x.FindGang(gang); ok {
		t.Errorf("13 tasks of 4 cores were placed on workers with room for 12: %v", placed)
	}
	if after := x.Totals(); after != before {
		t.Errorf("totals after FindGang: %v, before: %v", after, before)
	}
}

// Guards against an explanation that does not name the reasons why workers were
// rejected.
func TestExplainCountsReasons(t *testing.T) {
	x := newIndexWith(newWorker("a", "north", "n1", res(4, 4, 0)), newWorker("b", "south", "s1", res(16, 16, 0)), newWorker("c", "south", "s1", res(8, 8, 0)))
	x.SetSchedulable("c", false)
	mustReserve(t, x, "b", res(10, 1, 0), "")
	e := x.Explain(&Request{Resources: res(8, 8, 0), Constraint: structs.Constraint{Regions: []structs.Region{"south"}}})
	want := map[Reason]int{ReasonRegion: 1, ReasonUnschedulable: 1, ReasonCPU: 1}
	for reason, n := range want {
		if e.Rejected[reason] != n {
			t.Errorf("%s: %d workers, want %d", reason, e.Rejected[reason], n)
		}
	}
	if e.LargestFree != res(6, 15, 0) || e.Remedy == "" {
		t.Errorf("largest free %s, remedy %q", e.LargestFree, e.Remedy)
	}
}

// Guards against a tree that degenerates into a list when many workers have the
// same free resources. Each update was then linear in the number of workers.
func TestTreeOfEqualWorkersIsShallow(t *testing.T) {
	x := New()
	const workers = 2100
	for n := range workers {
		x.Upsert(structs.Worker{
			ID: structs.WorkerID(fmt.Sprintf("w-%04d", n)), State: structs.Live,
			Capacity: structs.Resources{MilliCPU: 32_000, MemoryBytes: 128 << 30, Accelerators: 1},
		})
	}
	// A random search tree of n nodes has an expected height of about
	// 2.99 log2(n), which is 33 here.
	const limit = 5 * 11
	for _, d := range x.domains.list {
		for k := range d.grids {
			for i := range d.grids[k].cells {
				root := d.grids[k].cells[i].root
				if height := x.trees[gridKind(k).layout()].height(root); height > limit {
					t.Errorf("grid %d has a cell of height %d with %d equal workers, want at most %d", k, height, workers, limit)
				}
			}
		}
	}
}

func (t treeNodes) height(n int32) int {
	if n == noIndex {
		return 0
	}
	return 1 + max(t.height(t[n].left), t.height(t[n].right))
}
