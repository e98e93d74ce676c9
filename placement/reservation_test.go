package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const second = structs.Timestamp(time.Second)

func gangOf(id string, enqueued structs.Timestamp, n int, r structs.Resources) Gang {
	g := Gang{ID: structs.JobID(id), Enqueued: enqueued}
	for range n {
		g.Requests = append(g.Requests, Request{Resources: r})
	}
	return g
}

// newBusyIndex returns an index of four workers of 8 cores, w0 to w3. Each is
// filled by one task; the tasks end after 10, 20, 30 and 40 seconds.
func newBusyIndex(t *testing.T) (*Index, []Running) {
	x := New()
	var running []Running
	for i := range 4 {
		id := structs.WorkerID(fmt.Sprint("w", i))
		x.Upsert(newWorker(string(id), "r", "d", res(8, 8, 0)))
		mustReserve(t, x, id, res(8, 8, 0), "")
		running = append(running, Running{Worker: id, Resources: res(8, 8, 0), End: structs.Timestamp(i+1) * 10 * second})
	}
	return x, running
}

// Guards against a gang that waits longer than necessary, a later gang that
// delays an earlier one, and a gang that can never fit but claims capacity.
func TestPlanFindsEarliestStartInOrder(t *testing.T) {
	cases := map[string]struct {
		gangs []Gang
		want  string
	}{
		"first two workers":       {[]Gang{gangOf("a", 1, 2, res(8, 8, 0))}, "a@20 "},
		"all workers":             {[]Gang{gangOf("a", 1, 4, res(8, 8, 0))}, "a@40 "},
		"enqueue time decides":    {[]Gang{gangOf("small", 2, 1, res(8, 8, 0)), gangOf("large", 1, 3, res(8, 8, 0))}, "large@30 small@40 "},
		"impossible holds none":   {[]Gang{gangOf("huge", 1, 5, res(8, 8, 0)), gangOf("a", 2, 1, res(8, 8, 0))}, "a@10 "},
		"equal times by identity": {[]Gang{gangOf("b", 1, 2, res(8, 8, 0)), gangOf("a", 1, 2, res(8, 8, 0))}, "a@20 b@40 "},
	}
	for name, c := range cases {
		x, running := newBusyIndex(t)
		got := ""
		for _, r := range NewReservations(x, 0).Plan(0, running, c.gangs) {
			got += fmt.Sprintf("%s@%d ", r.Gang, r.Start/second)
		}
		if got != c.want {
			t.Errorf("%s: planned %q, want %q", name, got, c.want)
		}
	}
}

// Guards against work that takes capacity freed for a waiting gang, and against
// a backfilled task that ends after the start of the gang.
func TestClaimedCapacityIsKeptAndBackfilled(t *testing.T) {
	x, running := newBusyIndex(t)
	r := NewReservations(x, 50)
	r.Plan(0, running, []Gang{gangOf("a", 1, 2, res(8, 8, 0))})
	x.Release("w0", res(8, 8, 0), "")
	task := Request{Resources: res(2, 2, 0)}
	if id, ok := x.Find(&task); ok {
		t.Errorf("Find returned %s, whose capacity is claimed for a gang", id)
	}
	now := 10 * second
	// The gang starts at 30 s: w1 ends at 20 s, padded by half.
	if id, ok := r.Backfill(now, &task, 14*time.Second); ok {
		t.Errorf("backfilled %s with a task whose padded end is after the start", id)
	}
	id, ok := r.Backfill(now, &task, 13*time.Second)
	if !ok || id != "w0" {
		t.Fatalf("Backfill = %q, %v, want w0", id, ok)
	}
	if _, ok := r.Start("a"); ok {
		t.Error("started a gang whose workers are busy")
	}
	x.Release("w0", task.Resources, "")
	x.Release("w1", res(8, 8, 0), "")
	placed, ok := r.Start("a")
	slices.Sort(placed)
	if !ok || !slices.Equal(placed, []structs.WorkerID{"w0", "w1"}) {
		t.Errorf("Start = %v, %v", placed, ok)
	}
	if free, _ := x.Free("w0"); free != res(0, 0, 0) || len(r.List()) != 0 {
		t.Errorf("after Start: free = %s, reservations = %v, want none of either", free, r.List())
	}
}

// Guards against a later gang whose claim on a shared worker delays an
// earlier one.
func TestLaterClaimDoesNotDelayEarlierGang(t *testing.T) {
	x := newIndexWith(newWorker("w0", "r", "d", res(8, 8, 0)))
	var running []Running
	for i := range 2 {
		mustReserve(t, x, "w0", res(4, 4, 0), "")
		running = append(running, Running{Worker: "w0", Resources: res(4, 4, 0), End: structs.Timestamp(10+30*i) * second})
	}
	r := NewReservations(x, 0)
	if plan := r.Plan(0, running, []Gang{gangOf("a", 1, 1, res(4, 4, 0)), gangOf("b", 2, 1, res(4, 4, 0))}); len(plan) != 2 {
		t.Fatalf("planned %v, want both gangs", plan)
	}
	x.Release("w0", res(4, 4, 0), "")
	if _, ok := r.Start("b"); ok {
		t.Error("the later gang started before the earlier one")
	}
	if _, ok := r.Start("a"); !ok {
		t.Error("the earlier gang was refused")
	}
}

// Guards against a gang that is delayed by the claims of an earlier gang
// although another worker is free.
func TestClaimsDoNotHideFreeWorkers(t *testing.T) {
	x, running := newBusyIndex(t)
	x.Upsert(newWorker("free", "r", "d", res(4, 4, 0)))
	plan := NewReservations(x, 0).Plan(0, running, []Gang{gangOf("a", 1, 4, res(8, 8, 0)), gangOf("b", 2, 1, res(4, 4, 0))})
	if len(plan) != 2 || plan[1].Start != 0 {
		t.Errorf("planned %v, want gang b to start immediately on the free worker", plan)
	}
}

// Guards against starvation. A stream of small tasks that could fill all free
// capacity must not delay a large gang, and two gangs must not deadlock.
func TestLargeGangsStartDespiteSmallTasks(t *testing.T) {
	x, running := newBusyIndex(t)
	r := NewReservations(x, 0)
	gangs := []Gang{gangOf("a", 1, 3, res(8, 8, 0)), gangOf("b", 2, 3, res(8, 8, 0))}
	started := map[structs.JobID]structs.Timestamp{}
	for now := structs.Timestamp(0); now <= 120*second; now += second {
		running = slices.DeleteFunc(running, func(t Running) bool {
			if t.End <= now {
				x.Release(t.Worker, t.Resources, "")
			}
			return t.End <= now
		})
		for _, res := range slices.Clone(r.Plan(now, running, gangs)) {
			workers, ok := r.Start(res.Gang)
			if !ok {
				continue
			}
			started[res.Gang] = now
			gangs = slices.DeleteFunc(gangs, func(g Gang) bool { return g.ID == res.Gang })
			for k, id := range workers {
				running = append(running, Running{Worker: id, Resources: res.requests[k].Resources, Started: now, End: now + 20*second})
			}
		}
		running = append(running, fillWithSmallTasks(x, r, now)...)
	}
	if started["a"] != 30*second {
		t.Errorf("gang a started at %d s, want 30 s", started["a"]/second)
	}
	if at := started["b"]; at == 0 || at > 60*second {
		t.Errorf("gang b started at %d s, want at most 60 s", at/second)
	}
}

// fillWithSmallTasks places tasks of 5 s until none fits.
func fillWithSmallTasks(x *Index, r *Reservations, now structs.Timestamp) []Running {
	var placed []Running
	task := Request{Resources: res(1, 1, 0)}
	for {
		id, ok := x.Find(&task)
		if ok {
			ok = x.Reserve(id, task.Resources, "")
		} else {
			id, ok = r.Backfill(now, &task, 5*time.Second)
		}
		if !ok {
			return placed
		}
		placed = append(placed, Running{Worker: id, Resources: task.Resources, Started: now, End: now + 5*second})
	}
}
