package standin

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Clock is virtual time: it runs functions in the order of their times, and
// those of one time in the order in which they were added. It is not safe for
// concurrent use.
type Clock struct {
	Now structs.Timestamp

	queue timers
	added uint64
}

type timer struct {
	at  structs.Timestamp
	seq uint64
	run func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return t
}

// After runs the function when d has passed.
func (c *Clock) After(d time.Duration, run func()) {
	c.added++
	heap.Push(&c.queue, timer{c.Now.Add(d), c.added, run})
}

// Step runs the next function if it is due by end, and reports whether it did.
func (c *Clock) Step(end structs.Timestamp) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		c.Now = max(c.Now, end)
		return false
	}
	next := heap.Pop(&c.queue).(timer)
	c.Now = next.at
	next.run()
	return true
}
