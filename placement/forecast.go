package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// taskEnd is the expected end of a running task.
type taskEnd struct {
	at        structs.Timestamp
	worker    structs.WorkerID
	slot      int32 // slot of the worker in the forecast's index
	resources structs.Resources
}

// forecast is a copy of the index that simulates the reservations after any
// number of running tasks have ended. Capacity reserved for a gang stays
// reserved at all simulated times, so that later gangs cannot delay that gang.
type forecast struct {
	now       structs.Timestamp
	index     *Index
	taskEnds  []taskEnd // sorted by time
	ended     int       // number of taskEnds applied to the copy
	unindexed []int32   // slots of workers that setEnded removed from the grids
}

func (r *Reservations) newForecast(now structs.Timestamp, running []Running) *forecast {
	f := &forecast{now: now, index: New()}
	for i := range r.index.workers {
		rec := &r.index.workers[i]
		if !rec.acceptsWork() {
			continue
		}
		f.index.Upsert(rec.Worker)
		f.index.Adopt(rec.ID, rec.reserved, "")
	}
	for i := range running {
		t := &running[i]
		if slot, ok := f.index.slots[t.Worker]; ok && t.End != 0 {
			f.taskEnds = append(f.taskEnds, taskEnd{r.expectedEnd(now, t), t.Worker, slot, t.Resources})
		}
	}
	slices.SortFunc(f.taskEnds, func(a, b taskEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker, b.worker))
	})
	return f
}

// setEnded simulates that exactly the first n running tasks have ended. Each
// worker is inserted into the grids again at most once, however many of its
// tasks end.
func (f *forecast) setEnded(n int) {
	f.unindexed = f.unindexed[:0]
	for ; f.ended < n; f.ended++ {
		e := &f.taskEnds[f.ended]
		f.adjustReserved(e.slot, structs.Resources{}.Sub(e.resources))
	}
	for ; f.ended > n; f.ended-- {
		e := &f.taskEnds[f.ended-1]
		f.adjustReserved(e.slot, e.resources)
	}
	for _, slot := range f.unindexed {
		f.index.workers[slot].indexed = true
		f.index.insertIntoGrids(slot)
	}
}

// adjustReserved adds delta to the reservations of a worker. The worker is
// removed from the grids, and setEnded inserts it again.
func (f *forecast) adjustReserved(slot int32, delta structs.Resources) {
	rec := &f.index.workers[slot]
	if rec.indexed {
		rec.indexed = false
		f.index.removeFromGrids(slot)
		f.unindexed = append(f.unindexed, slot)
	}
	rec.reserved = rec.reserved.Add(delta)
	f.index.totals.Reserved = f.index.totals.Reserved.Add(delta)
	usage := &f.index.domains.list[rec.domain].usage
	usage.Reserved = usage.Reserved.Add(delta)
}

// earliestStart returns a reservation at the first time at which the gang fits.
// It uses a binary search, because free capacity grows with each ended task.
func (f *forecast) earliestStart(g Gang) (Reservation, bool) {
	low, high := 0, len(f.taskEnds)
	workers, ok := f.fits(&g, high)
	if !ok {
		return Reservation{}, false
	}
	for low < high {
		middle := (low + high) / 2
		if placed, ok := f.fits(&g, middle); ok {
			workers, high = placed, middle
		} else {
			low = middle + 1
		}
	}
	start := f.now
	if high > 0 {
		start = f.taskEnds[high-1].at
	}
	return Reservation{Gang: g.ID, Start: start, Workers: workers, requests: g.Requests}, true
}

func (f *forecast) fits(g *Gang, endedTasks int) ([]structs.WorkerID, bool) {
	f.setEnded(endedTasks)
	return f.index.FindGang(g.Requests)
}

func (f *forecast) reserve(res Reservation) {
	for i, id := range res.Workers {
		f.index.Adopt(id, res.requests[i].Resources, "")
	}
}
