package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Index tracks the free resources of workers and finds workers for tasks. The
// zero value is not usable; call New.
type Index struct {
	slots     map[structs.WorkerID]int32
	workers   []workerRecord
	unused    []int32      // slots that can be reused
	trees     [2]treeNodes // indexed by layout
	domains   domainTable
	spreads   spreadTable
	totals    Usage             // of the workers that accept new work
	reference referenceCapacity // by which the grids are sorted
	search    search
}

// workerRecord is the record of one worker. The record of a worker that is not
// listed keeps its reservations and whether it is schedulable.
type workerRecord struct {
	structs.Worker
	reserved      structs.Resources
	claimed       structs.Resources // held for waiting gangs; see Reservations
	spread        []keyCount        // tasks on this worker per spread key
	domain        int32
	idHash        uint64
	labelBits     uint64
	class         accelClass
	listed        bool
	unschedulable bool
	indexed       bool // present in the grids
}

// free returns the resources available to new work: neither reserved nor
// claimed.
func (w *workerRecord) free() structs.Resources { return w.unreserved().Sub(w.claimed) }

func (w *workerRecord) unreserved() structs.Resources { return w.Capacity.Sub(w.reserved) }

func (w *workerRecord) acceptsWork() bool {
	return w.listed && !w.unschedulable && w.State == structs.Live
}

// Usage holds the capacity and the reservations of a set of workers.
type Usage struct {
	Workers  int
	Capacity structs.Resources
	Reserved structs.Resources
}

func (u *Usage) add(w *workerRecord) {
	u.Workers++
	u.Capacity = u.Capacity.Add(w.Capacity)
	u.Reserved = u.Reserved.Add(w.reserved)
}

func (u *Usage) remove(w *workerRecord) {
	u.Workers--
	u.Capacity = u.Capacity.Sub(w.Capacity)
	u.Reserved = u.Reserved.Sub(w.reserved)
}

func (u *Usage) mean() structs.Resources {
	n := int64(max(u.Workers, 1))
	c := u.Capacity
	return structs.Resources{MilliCPU: c.MilliCPU / n, MemoryBytes: c.MemoryBytes / n, Accelerators: c.Accelerators / n}
}

// accelClass tells workers with accelerators from those without, so that tasks
// that need no accelerator can avoid the former.
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
// state. It keeps the reservations and the setting of SetSchedulable.
func (x *Index) Upsert(w structs.Worker) {
	slot := x.slotOf(w.ID)
	x.unlist(slot)
	rec := &x.workers[slot]
	rec.Worker = w
	rec.listed = true
	rec.labelBits = labelBits(w.Labels)
	rec.class = withoutAccelerators
	if w.Capacity.Accelerators > 0 {
		rec.class = withAccelerators
	}
	rec.domain = x.domains.intern(domainKey{w.Location.Region, w.Location.FailureDomain})
	x.search.growDomains(len(x.domains.list))
	x.domains.list[rec.domain].usage.add(rec)
	x.adjustDomainCounts(rec, +1)
	x.addToIndex(slot)
}

// Remove removes the worker from the list. Its reservations are kept until they
// are released, so that a worker that is listed again is not overcommitted.
func (x *Index) Remove(id structs.WorkerID) {
	slot, ok := x.slots[id]
	if !ok {
		return
	}
	x.unlist(slot)
	x.deleteIfEmpty(slot)
}

// SetSchedulable sets whether the worker may accept new work. Drained and
// quarantined workers may not. The setting survives Upsert and Remove and may
// be made before the worker is listed.
func (x *Index) SetSchedulable(id structs.WorkerID, ok bool) {
	if _, known := x.slots[id]; !known && ok {
		return
	}
	slot := x.slotOf(id)
	x.removeFromIndex(slot)
	x.workers[slot].unschedulable = !ok
	x.addToIndex(slot)
	x.deleteIfEmpty(slot)
}

// Reserve reserves r on the worker for one task. It returns false and changes
// nothing if the worker accepts no new work or r does not fit.
func (x *Index) Reserve(id structs.WorkerID, r structs.Resources, spreadKey string) bool {
	slot, ok := x.slots[id]
	if !ok || r.IsNegative() {
		return false
	}
	rec := &x.workers[slot]
	if !rec.acceptsWork() || !r.Fits(rec.free()) {
		return false
	}
	x.reserve(slot, r, spreadKey)
	return true
}

// Adopt records a task that already runs on the worker, for example after a
// restart, even if the task does not fit or the worker is not listed. Adopted
// tasks are released like reserved ones.
func (x *Index) Adopt(id structs.WorkerID, r structs.Resources, spreadKey string) {
	if r.IsNegative() {
		return
	}
	x.reserve(x.slotOf(id), r, spreadKey)
}

// Release frees resources that Reserve or Adopt recorded. It never frees more
// than is reserved.
func (x *Index) Release(id structs.WorkerID, r structs.Resources, spreadKey string) {
	slot, ok := x.slots[id]
	if !ok || r.IsNegative() {
		return
	}
	rec := &x.workers[slot]
	r = atMost(r, rec.reserved)
	x.adjustReserved(slot, structs.Resources{}.Sub(r))
	x.removeSpreadTask(rec, spreadKey)
	x.deleteIfEmpty(slot)
}

// Free returns the unreserved resources of a listed worker, including claimed
// ones. Amounts are negative if the worker is overcommitted.
func (x *Index) Free(id structs.WorkerID) (structs.Resources, bool) {
	slot, ok := x.slots[id]
	if !ok || !x.workers[slot].listed {
		return structs.Resources{}, false
	}
	return x.workers[slot].unreserved(), true
}

// Workers returns the listed workers, sorted by ID.
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

// Totals returns the capacity and the reservations of all workers that accept
// new work.
func (x *Index) Totals() Usage { return x.totals }

func (x *Index) reserve(slot int32, r structs.Resources, spreadKey string) {
	x.adjustReserved(slot, r)
	x.addSpreadTask(&x.workers[slot], spreadKey)
}

// adjustClaimed adds delta to the resources claimed on the worker.
func (x *Index) adjustClaimed(slot int32, delta structs.Resources) {
	rec := &x.workers[slot]
	indexed := rec.indexed
	if indexed {
		x.removeFromGrids(slot)
	}
	rec.claimed = rec.claimed.Add(delta)
	if indexed {
		x.insertIntoGrids(slot)
	}
}

func (x *Index) adjustReserved(slot int32, delta structs.Resources) {
	rec := &x.workers[slot]
	indexed := rec.indexed
	if indexed {
		x.removeFromGrids(slot)
		x.totals.Reserved = x.totals.Reserved.Add(delta)
	}
	rec.reserved = rec.reserved.Add(delta)
	if rec.listed {
		usage := &x.domains.list[rec.domain].usage
		usage.Reserved = usage.Reserved.Add(delta)
	}
	if indexed {
		x.insertIntoGrids(slot)
	}
}

// slotOf returns the slot of the worker and creates its record if needed.
func (x *Index) slotOf(id structs.WorkerID) int32 {
	if slot, ok := x.slots[id]; ok {
		return slot
	}
	slot := int32(len(x.workers))
	if last := len(x.unused) - 1; last >= 0 {
		slot = x.unused[last]
		x.unused = x.unused[:last]
	} else {
		x.workers = append(x.workers, workerRecord{})
		for i := range x.trees {
			x.trees[i] = append(x.trees[i], treeNode{})
		}
	}
	x.workers[slot] = workerRecord{idHash: mixHash(hashString(string(id))), domain: noIndex}
	x.workers[slot].ID = id
	x.slots[id] = slot
	return slot
}

// deleteIfEmpty deletes a record that holds nothing worth keeping.
func (x *Index) deleteIfEmpty(slot int32) {
	rec := &x.workers[slot]
	if rec.listed || rec.unschedulable || !rec.reserved.IsZero() || !rec.claimed.IsZero() || len(rec.spread) > 0 {
		return
	}
	delete(x.slots, rec.ID)
	x.workers[slot] = workerRecord{}
	x.unused = append(x.unused, slot)
}

// unlist removes a worker from the grids and from the usage of its failure
// domain.
func (x *Index) unlist(slot int32) {
	rec := &x.workers[slot]
	if !rec.listed {
		return
	}
	x.removeFromIndex(slot)
	x.domains.list[rec.domain].usage.remove(rec)
	x.adjustDomainCounts(rec, -1)
	rec.listed = false
}

// addToIndex adds the worker to the grids and the totals if it accepts new
// work.
func (x *Index) addToIndex(slot int32) {
	rec := &x.workers[slot]
	if rec.indexed || !rec.acceptsWork() {
		return
	}
	rec.indexed = true
	x.totals.add(rec)
	x.insertIntoGrids(slot)
	x.updateReference()
}

// updateReference rebuilds the grids if the reference capacity has changed.
func (x *Index) updateReference() {
	if current := newReferenceCapacity(x.totals.Capacity, x.totals.Workers); current != x.reference {
		x.rebuild(current)
	}
}

// rebuild fills all grids again for the given reference capacity.
func (x *Index) rebuild(reference referenceCapacity) {
	x.reference = reference
	for i := range x.domains.list {
		for k := range numGridKinds {
			x.domains.list[i].grids[k].clear()
		}
	}
	for slot := range x.workers {
		if x.workers[slot].indexed {
			x.insertIntoGrids(int32(slot))
		}
	}
}

func (x *Index) removeFromIndex(slot int32) {
	rec := &x.workers[slot]
	if !rec.indexed {
		return
	}
	rec.indexed = false
	x.totals.remove(rec)
	x.removeFromGrids(slot)
	x.updateReference()
}

func atMost(r, limit structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     min(r.MilliCPU, limit.MilliCPU),
		MemoryBytes:  min(r.MemoryBytes, limit.MemoryBytes),
		Accelerators: min(r.Accelerators, limit.Accelerators),
	}
}

// mixHash mixes the bits of h. FNV alone gives similar names similar values.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// labelBits returns a 64-bit Bloom filter of the labels. Different labels may
// share a bit, so a match must be confirmed against the labels of the worker.
func labelBits(labels map[string]string) uint64 {
	var bits uint64
	for key, value := range labels {
		bits |= 1 << (mixHash(hashString(key)^hashString(value)*3) % 64)
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
