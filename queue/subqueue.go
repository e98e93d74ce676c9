package queue

import (
	"container/heap"

	"github.com/mangodrum/mangodrum/structs"
)

// entry is one item in a subqueue or in the heap of items that are not due yet.
type entry struct {
	item     Item
	subqueue *subqueue
	seq      uint64
	removed  bool // removed or taken; stays in the heap until it reaches the top or the heap is compacted
}

// entryHeap orders entries by enqueue time, or by NotBefore if byNotBefore is
// set.
type entryHeap struct {
	list        []*entry
	byNotBefore bool
}

func (h entryHeap) Len() int { return len(h.list) }

func (h entryHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	x, y := a.item.Enqueued, b.item.Enqueued
	if h.byNotBefore {
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

// dropRemoved pops removed entries off the top of the heap.
func (h *entryHeap) dropRemoved() {
	for len(h.list) > 0 && h.list[0].removed {
		heap.Pop(h)
	}
}

// compact rebuilds the heap without removed entries.
func (h *entryHeap) compact() {
	live := h.list[:0]
	for _, e := range h.list {
		if !e.removed {
			live = append(live, e)
		}
	}
	clear(h.list[len(live):])
	h.list = live
	heap.Init(h)
}

// subqueueKey identifies a subqueue of a team: by Item.PlacementKey, or by the job if
// that is empty.
type subqueueKey struct {
	placementKey string
	job          structs.JobID
}

func (it Item) subqueueKey() subqueueKey {
	if it.PlacementKey != "" {
		return subqueueKey{placementKey: it.PlacementKey}
	}
	return subqueueKey{job: it.Job}
}

// subqueue holds the due items of a team that fit the same workers.
type subqueue struct {
	key       subqueueKey
	team      *team
	entries   entryHeap
	pending   int               // entries that are not removed, due or not
	due       int               // entries in the heap that are not removed
	index     int               // index in team.ready, or -1
	skipped   bool              // for the current pass
	heldUntil structs.Timestamp // not served before this time
	isHeld    bool              // listed in Queue.heldSubqueues
}

// head returns the first entry that is not removed, or nil.
func (s *subqueue) head() *entry {
	s.entries.dropRemoved()
	if len(s.entries.list) == 0 {
		return nil
	}
	return s.entries.list[0]
}

// isReady reports whether the subqueue can be served in the current pass.
func (s *subqueue) isReady() bool { return s.due > 0 && !s.skipped && !s.isHeld }

// subqueueHeap orders the ready subqueues of a team by the age of their heads.
type subqueueHeap []*subqueue

func (h subqueueHeap) Len() int { return len(h) }
func (h subqueueHeap) Less(i, j int) bool {
	a, b := h[i].entries.list[0], h[j].entries.list[0]
	if a.item.Enqueued != b.item.Enqueued {
		return a.item.Enqueued < b.item.Enqueued
	}
	return a.seq < b.seq
}
func (h subqueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *subqueueHeap) Push(x any) {
	s := x.(*subqueue)
	s.index = len(*h)
	*h = append(*h, s)
}
func (h *subqueueHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.index = -1
	return s
}
