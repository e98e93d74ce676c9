package standin

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Clock is a virtual clock. It runs scheduled functions in the order of their
// times, and functions with the same time in the order in which they were added.
// It is not safe for concurrent use.
type Clock struct {
	Now structs.Timestamp

	timers  timerHeap
	lastSeq uint64
}

type timer struct {
	at  structs.Timestamp
	seq uint64
	run func()
}

type timerHeap []timer

func (q timerHeap) Len() int { return len(q) }
func (q timerHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerHeap) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerHeap) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return t
}

// After schedules run for the time d from now.
func (c *Clock) After(d time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.timers, timer{c.Now.Add(d), c.lastSeq, run})
}

// Step advances the clock to the next function that is due by end, runs it and
// returns true. Without such a function it advances the clock to end and returns
// false.
func (c *Clock) Step(end structs.Timestamp) bool {
	if len(c.timers) == 0 || c.timers[0].at > end {
		c.Now = max(c.Now, end)
		return false
	}
	next := heap.Pop(&c.timers).(timer)
	c.Now = next.at
	next.run()
	return true
}
