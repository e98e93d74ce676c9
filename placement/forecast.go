package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// ending is an expected end of a running task.
type ending struct {
	at        structs.Timestamp
	worker    structs.WorkerID
	slot      int32 // of the worker in the forecast's index
	resources structs.Resources
}

// forecast is a copy of the index that can be moved to any expected end of a
// running task. Capacity that is held for a gang counts as taken from then on
// without end, so that later gangs cannot delay it.
type forecast struct {
	now     structs.Timestamp
	index   *Index
	endings []ending // in order of time
	ended   int      // number of endings that the copy has seen
	touched []int32  // workers that moveTo has taken out of the grids
}

func (r *Reservations) newForecast(now structs.Timestamp, running []Running) *forecast {
	f := &forecast{now: now, index: New()}
	for i := range r.index.workers {
		rec := &r.index.workers[i]
		if !rec.takesWork() {
			continue
		}
		f.index.Upsert(rec.Worker)
		f.index.Adopt(rec.ID, rec.reserved, "")
	}
	for i := range running {
		t := &running[i]
		if slot, ok := f.index.slots[t.Worker]; ok && t.End != 0 {
			f.endings = append(f.endings, ending{r.expectedEnd(now, t), t.Worker, slot, t.Resources})
		}
	}
	slices.SortFunc(f.endings, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker, b.worker))
	})
	return f
}

// moveTo lets the first n running tasks have ended. Every worker is sorted
// into the index anew at most once, however many of its tasks end.
func (f *forecast) moveTo(n int) {
	f.touched = f.touched[:0]
	for ; f.ended < n; f.ended++ {
		e := &f.endings[f.ended]
		f.change(e.slot, structs.Resources{}.Sub(e.resources))
	}
	for ; f.ended > n; f.ended-- {
		e := &f.endings[f.ended-1]
		f.change(e.slot, e.resources)
	}
	for _, slot := range f.touched {
		f.index.workers[slot].indexed = true
		f.index.insertIntoGrids(slot)
	}
}

// change adds to the reservations of a worker that is taken out of the grids.
func (f *forecast) change(slot int32, delta structs.Resources) {
	rec := &f.index.workers[slot]
	if rec.indexed {
		rec.indexed = false
		f.index.removeFromGrids(slot)
		f.touched = append(f.touched, slot)
	}
	rec.reserved = rec.reserved.Add(delta)
	f.index.totals.Reserved = f.index.totals.Reserved.Add(delta)
	usage := &f.index.domains.list[rec.domain].usage
	usage.Reserved = usage.Reserved.Add(delta)
}

// earliest finds the first time at which the gang fits. More ended tasks
// leave more room, so the search halves the range of endings.
func (f *forecast) earliest(g Gang) (Reservation, bool) {
	low, high := 0, len(f.endings)
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
		start = f.endings[high-1].at
	}
	return Reservation{Gang: g.ID, Start: start, Workers: workers, requests: g.Requests}, true
}

func (f *forecast) fits(g *Gang, ended int) ([]structs.WorkerID, bool) {
	f.moveTo(ended)
	return f.index.FindGang(g.Requests)
}

func (f *forecast) hold(res Reservation) {
	for i, id := range res.Workers {
		f.index.Adopt(id, res.requests[i].Resources, "")
	}
}
