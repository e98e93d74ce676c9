package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Index answers where a task fits. The zero value is not usable; call New.
type Index struct {
	slots   map[structs.WorkerID]int32
	workers []worker
	unused  []int32  // slots free for reuse
	links   [2]links // by layout
	domains domainTable
	spreads spreadTable
	totals  Usage      // of the workers that may take new work
	scale   proportion // that the grids refer to
	search  search
}

// worker is the record of one worker. A record without a listed worker keeps
// reservations and the schedulable mark of a worker that was removed.
type worker struct {
	structs.Worker
	reserved      structs.Resources
	claimed       structs.Resources // by reservations of gangs; see Reservations
	spread        []keyCount        // tasks on this worker by spread key
	domain        int32
	priority      uint64
	labels        uint64
	class         accelClass
	listed        bool
	unschedulable bool
	indexed       bool // present in the grids
}

// free is what new work may take: neither reserved nor claimed.
func (w *worker) free() structs.Resources { return w.unreserved().Sub(w.claimed) }

func (w *worker) unreserved() structs.Resources { return w.Capacity.Sub(w.reserved) }

func (w *worker) takesWork() bool {
	return w.listed && !w.unschedulable && w.State == structs.Live
}

// Usage is the capacity of a set of workers and what is reserved of it.
type Usage struct {
	Workers  int
	Capacity structs.Resources
	Reserved structs.Resources
}

func (u *Usage) add(w *worker) {
	u.Workers++
	u.Capacity = u.Capacity.Add(w.Capacity)
	u.Reserved = u.Reserved.Add(w.reserved)
}

func (u *Usage) remove(w *worker) {
	u.Workers--
	u.Capacity = u.Capacity.Sub(w.Capacity)
	u.Reserved = u.Reserved.Sub(w.reserved)
}

func (u *Usage) mean() structs.Resources {
	n := int64(max(u.Workers, 1))
	c := u.Capacity
	return structs.Resources{MilliCPU: c.MilliCPU / n, MemoryBytes: c.MemoryBytes / n, Accelerators: c.Accelerators / n}
}

// accelClass separates workers without accelerators from those with some, so
// that tasks that need none can avoid the latter.
type accelClass uint8

const (
	withoutAccelerators accelClass = iota
	withAccelerators
)

// New returns an empty index.
func New() *Index {
	x := &Index{slots: make(map[structs.WorkerID]int32)}
	x.domains.byLocation = make(map[domainKey]int32)
	x.spreads.byKey = make(map[string]int32)
	return x
}

// Upsert adds the worker or replaces its capacity, labels, location and
// state. Its reservations and schedulable mark are kept.
func (x *Index) Upsert(w structs.Worker) {
	n := x.slotOf(w.ID)
	x.unlist(n)
	rec := &x.workers[n]
	rec.Worker = w
	rec.listed = true
	rec.labels = labelBits(w.Labels)
	rec.class = withoutAccelerators
	if w.Capacity.Accelerators > 0 {
		rec.class = withAccelerators
	}
	rec.domain = x.domains.intern(domainKey{w.Location.Region, w.Location.FailureDomain})
	x.search.grow(len(x.domains.list))
	x.domains.list[rec.domain].usage.add(rec)
	x.moveSpread(rec, +1)
	x.link(n)
}

// Remove takes the worker off the list. What is reserved on it stays recorded
// until it is released, so a worker that is listed again is not overcommitted.
func (x *Index) Remove(id structs.WorkerID) {
	n, ok := x.slots[id]
	if !ok {
		return
	}
	x.unlist(n)
	x.forgetIfEmpty(n)
}

// SetSchedulable marks whether the worker may take new work; a drained or
// quarantined worker may not. The mark survives Upsert and Remove and may be
// set before the worker is listed.
func (x *Index) SetSchedulable(id structs.WorkerID, ok bool) {
	if _, known := x.slots[id]; !known && ok {
		return
	}
	n := x.slotOf(id)
	x.unlink(n)
	x.workers[n].unschedulable = !ok
	x.link(n)
	x.forgetIfEmpty(n)
}

// Reserve takes r on the worker for one task. It returns false, and changes
// nothing, if the worker takes no new work or r does not fit.
func (x *Index) Reserve(id structs.WorkerID, r structs.Resources, spreadKey string) bool {
	n, ok := x.slots[id]
	if !ok || r.IsNegative() {
		return false
	}
	rec := &x.workers[n]
	if !rec.takesWork() || !r.Fits(rec.free()) {
		return false
	}
	x.reserve(n, r, spreadKey)
	return true
}

// Adopt records a task that already runs on the worker, for example after a
// restart, whether or not it fits and the worker is listed. Every adopted
// task is released like a reserved one.
func (x *Index) Adopt(id structs.WorkerID, r structs.Resources, spreadKey string) {
	if r.IsNegative() {
		return
	}
	x.reserve(x.slotOf(id), r, spreadKey)
}

// Release gives back what Reserve or Adopt took. More than was reserved is
// never given back.
func (x *Index) Release(id structs.WorkerID, r structs.Resources, spreadKey string) {
	n, ok := x.slots[id]
	if !ok || r.IsNegative() {
		return
	}
	rec := &x.workers[n]
	r = atMost(r, rec.reserved)
	x.changeReserved(n, structs.Resources{}.Sub(r))
	x.uncount(rec, spreadKey)
	x.forgetIfEmpty(n)
}

// Free returns the free resources of a listed worker, claimed ones included.
// They are negative where its capacity shrank below what is reserved.
func (x *Index) Free(id structs.WorkerID) (structs.Resources, bool) {
	n, ok := x.slots[id]
	if !ok || !x.workers[n].listed {
		return structs.Resources{}, false
	}
	return x.workers[n].unreserved(), true
}

// Workers returns the listed workers in order of their IDs.
func (x *Index) Workers() []structs.Worker {
	list := make([]structs.Worker, 0, len(x.slots))
	for i := range x.workers {
		if x.workers[i].listed {
			list = append(list, x.workers[i].Worker)
		}
	}
	slices.SortFunc(list, func(a, b structs.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Totals returns capacity and reservations of all workers that may take new
// work.
func (x *Index) Totals() Usage { return x.totals }

func (x *Index) reserve(n int32, r structs.Resources, spreadKey string) {
	x.changeReserved(n, r)
	x.count(&x.workers[n], spreadKey)
}

// claim changes what reservations hold on the worker.
func (x *Index) claim(n int32, delta structs.Resources) {
	rec := &x.workers[n]
	indexed := rec.indexed
	if indexed {
		x.removeFromGrids(n)
	}
	rec.claimed = rec.claimed.Add(delta)
	if indexed {
		x.insertIntoGrids(n)
	}
}

func (x *Index) changeReserved(n int32, delta structs.Resources) {
	rec := &x.workers[n]
	indexed := rec.indexed
	if indexed {
		x.removeFromGrids(n)
		x.totals.Reserved = x.totals.Reserved.Add(delta)
	}
	rec.reserved = rec.reserved.Add(delta)
	if rec.listed {
		usage := &x.domains.list[rec.domain].usage
		usage.Reserved = usage.Reserved.Add(delta)
	}
	if indexed {
		x.insertIntoGrids(n)
	}
}

// slotOf returns the slot of the worker and creates its record if needed.
func (x *Index) slotOf(id structs.WorkerID) int32 {
	if n, ok := x.slots[id]; ok {
		return n
	}
	n := int32(len(x.workers))
	if last := len(x.unused) - 1; last >= 0 {
		n = x.unused[last]
		x.unused = x.unused[:last]
	} else {
		x.workers = append(x.workers, worker{})
		for i := range x.links {
			x.links[i] = append(x.links[i], link{})
		}
	}
	x.workers[n] = worker{priority: mix(hashString(string(id))), domain: none}
	x.workers[n].ID = id
	x.slots[id] = n
	return n
}

// forgetIfEmpty drops a record that no longer carries any information.
func (x *Index) forgetIfEmpty(n int32) {
	rec := &x.workers[n]
	if rec.listed || rec.unschedulable || !rec.reserved.IsZero() || !rec.claimed.IsZero() || len(rec.spread) > 0 {
		return
	}
	delete(x.slots, rec.ID)
	x.workers[n] = worker{}
	x.unused = append(x.unused, n)
}

// unlist takes a worker out of the grids and of its domain.
func (x *Index) unlist(n int32) {
	rec := &x.workers[n]
	if !rec.listed {
		return
	}
	x.unlink(n)
	x.domains.list[rec.domain].usage.remove(rec)
	x.moveSpread(rec, -1)
	rec.listed = false
}

// link puts the worker into the grids if it may take new work.
func (x *Index) link(n int32) {
	rec := &x.workers[n]
	if rec.indexed || !rec.takesWork() {
		return
	}
	rec.indexed = true
	x.totals.add(rec)
	x.insertIntoGrids(n)
	x.rescale()
}

// rescale orders all workers anew when the mean worker has changed.
func (x *Index) rescale() {
	if current := proportionOf(x.totals.Capacity, x.totals.Workers); current != x.scale {
		x.rebuild(current)
	}
}

// rebuild orders all workers anew by the given proportion.
func (x *Index) rebuild(scale proportion) {
	x.scale = scale
	for i := range x.domains.list {
		for k := range kinds {
			x.domains.list[i].grids[k].clear()
		}
	}
	for n := range x.workers {
		if x.workers[n].indexed {
			x.insertIntoGrids(int32(n))
		}
	}
}

func (x *Index) unlink(n int32) {
	rec := &x.workers[n]
	if !rec.indexed {
		return
	}
	rec.indexed = false
	x.totals.remove(rec)
	x.removeFromGrids(n)
	x.rescale()
}

func atMost(r, limit structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     min(r.MilliCPU, limit.MilliCPU),
		MemoryBytes:  min(r.MemoryBytes, limit.MemoryBytes),
		Accelerators: min(r.Accelerators, limit.Accelerators),
	}
}

// mix spreads the bits of h; FNV alone orders similar names alike.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// labelBits maps labels to a set of bits. Different labels may share a bit,
// so a match is confirmed on the worker itself.
func labelBits(labels map[string]string) uint64 {
	var bits uint64
	for key, value := range labels {
		bits |= 1 << (mix(hashString(key)^hashString(value)*3) % 64)
	}
	return bits
}

func hashString(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return h
}
