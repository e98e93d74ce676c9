package router

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

type timer struct {
	at  structs.Timestamp
	ref Ref
}

// timerHeap is a binary min-heap of request timers. Timers of requests that
// ended stay until they are due.
type timerHeap struct{ items []timer }

func (h *timerHeap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	return a.at < b.at || a.at == b.at && a.ref < b.ref
}

func (h *timerHeap) push(t timer) {
	h.items = append(h.items, t)
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// popDue removes and returns the first timer if it is due.
func (h *timerHeap) popDue(now structs.Timestamp) (timer, bool) {
	if len(h.items) == 0 || h.items[0].at > now {
		return timer{}, false
	}
	first := h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	h.items = h.items[:last]
	h.siftDown()
	return first, true
}

func (h *timerHeap) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.items[i], h.items[child] = h.items[child], h.items[i]
		i = child
	}
}

// sortedRequests returns the requests in the order of their references, so
// that effects do not depend on the order of a map.
func (s *State) sortedRequests() []*request {
	all := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.ref, b.ref) })
	return all
}

func (s *State) sortedServices() []*service {
	all := make([]*service, 0, len(s.services))
	for _, svc := range s.services {
		all = append(all, svc)
	}
	slices.SortFunc(all, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return all
}
