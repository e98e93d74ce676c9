package queue

import (
	"container/heap"

	"github.com/mangodrum/mangodrum/structs"
)

// entry is one item in a line or in the heap of items that are not due yet.
type entry struct {
	item Item
	line *line
	seq  uint64
	dead bool // removed or taken; dropped when it surfaces
}

// entryHeap orders entries by their time of enqueueing, or by NotBefore.
type entryHeap struct {
	list  []*entry
	byDue bool
}

func (h entryHeap) Len() int { return len(h.list) }

func (h entryHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	x, y := a.item.Enqueued, b.item.Enqueued
	if h.byDue {
		x, y = a.item.NotBefore, b.item.NotBefore
	}
	if x != y {
		return x < y
	}
	return a.seq < b.seq
}

func (h entryHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *entryHeap) Push(x any)   { h.list = append(h.list, x.(*entry)) }
func (h *entryHeap) Pop() any {
	last := len(h.list) - 1
	e := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return e
}

// dropDead removes dead entries from the top.
func (h *entryHeap) dropDead() {
	for len(h.list) > 0 && h.list[0].dead {
		heap.Pop(h)
	}
}

// compact rebuilds the heap without its dead entries.
func (h *entryHeap) compact() {
	live := h.list[:0]
	for _, e := range h.list {
		if !e.dead {
			live = append(live, e)
		}
	}
	clear(h.list[len(live):])
	h.list = live
	heap.Init(h)
}

// lineKey identifies a line of a team: by the shape, or by the job.
type lineKey struct {
	line string
	job  structs.JobID
}

func (it Item) lineKey() lineKey {
	if it.Line != "" {
		return lineKey{line: it.Line}
	}
	return lineKey{job: it.Job}
}

// line holds the due items of one shape.
type line struct {
	key     lineKey
	team    *team
	entries entryHeap
	live    int // entries of this line that are not dead, due or not
	due     int // entries in the heap that are not dead
	pos     int // index in team.ready, or -1
	aside   bool
	held    structs.Timestamp // not served before this time
	holding bool              // in the list of held lines
}

// head returns the first live entry, or nil.
func (l *line) head() *entry {
	l.entries.dropDead()
	if len(l.entries.list) == 0 {
		return nil
	}
	return l.entries.list[0]
}

// isReady reports whether the line takes part in the current pass.
func (l *line) isReady() bool { return l.due > 0 && !l.aside && !l.holding }

// lineHeap orders the ready lines of a team by the age of their heads.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }
func (h lineHeap) Less(i, j int) bool {
	a, b := h[i].entries.list[0], h[j].entries.list[0]
	if a.item.Enqueued != b.item.Enqueued {
		return a.item.Enqueued < b.item.Enqueued
	}
	return a.seq < b.seq
}
func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *lineHeap) Push(x any) {
	l := x.(*line)
	l.pos = len(*h)
	*h = append(*h, l)
}
func (h *lineHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.pos = -1
	return l
}
