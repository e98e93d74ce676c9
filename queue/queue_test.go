package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

func testConfig() Config {
	return Config{Classes: []ClassConfig{
		{Name: "urgent", Urgency: structs.Urgent, Weight: 8, FloorPPM: 300_000, MaxDepth: 2000},
		{Name: "normal", Urgency: structs.Normal, Weight: 2, FloorPPM: 300_000},
		{Name: "deferrable", Urgency: structs.Deferrable, Weight: 1, FloorPPM: 100_000, MaxDepth: 1},
	}}
}

func newQueue() *Queue {
	q := New(testConfig())
	q.SetCapacity(1000)
	return q
}

func item(job string, n int, class structs.ClassName, at structs.Timestamp) Item {
	id := structs.TaskID(fmt.Sprintf("%s/%d", job, n))
	return Item{ID: id, Job: structs.JobID(job), Team: "/a", Class: class, Enqueued: at, Cost: 10}
}

func push(t *testing.T, q *Queue, items ...Item) {
	t.Helper()
	for _, it := range items {
		if err := q.Push(it); err != nil {
			t.Fatalf("Push(%s): %v", it.ID, err)
		}
	}
}

// takeCounts takes up to n items and counts them by key.
func takeCounts(q *Queue, n int, key func(Item) string) map[string]int {
	counts := map[string]int{}
	q.BeginPass(1)
	for range n {
		it, ok := q.Next(1)
		if !ok {
			break
		}
		q.Take(it)
		counts[key(it)]++
	}
	return counts
}

// Guards against an overloaded class that occupies the floors of the others.
func TestFloorsHoldUnderOverload(t *testing.T) {
	for _, overloaded := range []structs.ClassName{"urgent", "deferrable"} {
		q := newQueue()
		for i := range 1000 {
			push(t, q, item("flood", i, overloaded, 0))
		}
		for i := range 60 {
			push(t, q, item("u", i, "urgent", 1), item("n", i, "normal", 1), item("d", i, "deferrable", 1))
		}
		got := takeCounts(q, 100, func(it Item) string { return string(it.Class) })
		for _, c := range testConfig().Classes {
			if floor := int(c.FloorPPM / 10_000); got[string(c.Name)] < floor {
				t.Errorf("overload of %s: class %s got %d of 100, floor %d", overloaded, c.Name, got[string(c.Name)], floor)
			}
		}
	}
}

// Guards against a team with many tasks that gets more than its share, and
// against team weights that have no effect.
func TestTeamsShareByWeight(t *testing.T) {
	cfg := testConfig()
	cfg.TeamWeights = map[structs.TeamID]int64{"/b": 3}
	q := New(cfg)
	q.SetCapacity(10_000)
	for i := range 400 {
		a, b := item("a", i, "normal", 0), item("b", i, "normal", 5)
		b.Team = "/b"
		push(t, q, a, b)
	}
	got := takeCounts(q, 200, func(it Item) string { return string(it.Team) })
	if got["/a"] != 50 || got["/b"] != 150 {
		t.Errorf("shares %v, want 50 and 150", got)
	}
}

// Guards against an item that does not fit and blocks others, and against an
// unbounded pass. The number of passes needed is the number of subqueues divided
// by the limit per pass.
func TestSkippedHeadBlocksNoOtherItem(t *testing.T) {
	q := newQueue()
	for i := range 300 {
		push(t, q, item(fmt.Sprint("big", i), 0, "normal", 0))
	}
	push(t, q, item("small", 0, "normal", 1))
	found := false
	bound := 301/maxSkippedSubqueues + 1
	for passes := 0; passes < bound && !found; passes++ {
		q.BeginPass(2)
		for tries := 0; ; tries++ {
			it, ok := q.Next(2)
			if !ok {
				break
			}
			if tries > maxSkippedSubqueues {
				t.Fatal("the pass is not bounded")
			}
			found = found || it.Job == "small"
			q.Skip(it)
		}
	}
	if !found {
		t.Errorf("the last subqueue was not reached in %d passes", bound)
	}
}

// Guards against work that is served before its NotBefore time, and against
// subqueues that stay held.
func TestNotBeforeAndHold(t *testing.T) {
	q := newQueue()
	early := item("night", 0, "deferrable", 0)
	early.NotBefore = 100
	push(t, q, early, item("bad", 0, "normal", 0))
	q.BeginPass(50)
	it, _ := q.Next(50)
	if it.Job != "bad" {
		t.Fatalf("Next = %s, want bad", it.Job)
	}
	q.Hold(it, 80)
	if it, ok := q.Next(50); ok {
		t.Errorf("Next = %s before its time", it.ID)
	}
	for _, want := range []struct {
		at  structs.Timestamp
		job structs.JobID
	}{{80, "bad"}, {100, "night"}} {
		if !q.HasDue(want.at) {
			t.Errorf("HasDue(%d) = false", want.at)
		}
		q.BeginPass(want.at)
		it, ok := q.Next(want.at)
		if !ok || it.Job != want.job {
			t.Errorf("at %d Next = %s %v, want %s", want.at, it.Job, ok, want.job)
		}
		q.Take(it)
	}
}

// Guards against rejecting deferrable work, and against a maximum depth that is
// not enforced for other classes.
func TestOnlyBoundedClassesRejectItems(t *testing.T) {
	q := newQueue()
	for i := range 2000 {
		push(t, q, item("u", i, "urgent", 0), item("d", i, "deferrable", 0))
	}
	if err := q.Push(item("u", 2000, "urgent", 0)); err != ErrFull {
		t.Errorf("Push above the depth = %v, want ErrFull", err)
	}
}

// Guards against starvation: old work of a class with a low weight must be
// served although newer work of other classes keeps arriving.
func TestAgeingRaisesPriority(t *testing.T) {
	served := func(now structs.Timestamp) bool {
		q := newQueue()
		q.Charge("urgent", "/a", 460)
		q.Charge("normal", "/a", 350)
		q.Charge("deferrable", "/a", 200)
		push(t, q, item("old", 0, "deferrable", 0), item("new", 0, "urgent", now))
		q.BeginPass(now)
		it, _ := q.Next(now)
		return it.Job == "old"
	}
	if served(1) {
		t.Error("deferrable work above its share was served before urgent work without waiting")
	}
	if !served(structs.Timestamp(2 * time.Hour)) {
		t.Error("deferrable work still waits after two hours")
	}
}

// Guards against removed items that are still served, and against subqueues
// whose head is a removed entry.
func TestRemoveManyItems(t *testing.T) {
	q := newQueue()
	for i := range 1000 {
		push(t, q, item("wave", i, "normal", structs.Timestamp(i)), item("stay", i, "normal", structs.Timestamp(i)))
	}
	for i := range 1000 {
		if !q.Remove(item("wave", (i*7)%1000, "normal", 0).ID) {
			t.Fatalf("item %d was not pending", i)
		}
	}
	got := takeCounts(q, 2000, func(it Item) string { return string(it.Job) })
	if got["wave"] != 0 || got["stay"] != 1000 || q.Len() != 0 {
		t.Errorf("served %v, %d left; want 1000 of stay and 0 left", got, q.Len())
	}
}

// Guards against statistics that differ from the contents of the queue.
func TestStatsAgreeWithContents(t *testing.T) {
	q := newQueue()
	push(t, q, item("a", 0, "normal", 0), item("a", 1, "normal", 0))
	takeCounts(q, 1, func(Item) string { return "" })
	for _, st := range q.Stats(structs.Timestamp(time.Second)) {
		if st.Class == "normal" && (st.Depth != 1 || st.SharePPM != 10_000 || st.OldestAge != time.Second) {
			t.Errorf("stat %+v, want depth 1, share 10000 and age 1 s", st)
		}
	}
}

// BenchmarkRemove reports the time per removed item, which must not grow with
// the number of items.
func BenchmarkRemove(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				q := newQueue()
				for i := range n {
					q.PushAdmitted(item("wave", i, "normal", structs.Timestamp(i)))
				}
				b.StartTimer()
				for id := range q.items {
					q.Remove(id)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/item")
		})
	}
}
