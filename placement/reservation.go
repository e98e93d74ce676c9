package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Gang is a set of tasks that must start together and wait for capacity.
type Gang struct {
	ID       structs.JobID
	Enqueued structs.Timestamp
	Requests []Request
}

// Running is a task that occupies a worker.
type Running struct {
	Worker    structs.WorkerID
	Resources structs.Resources
	Started   structs.Timestamp
	End       structs.Timestamp // expected end; 0 if the task runs until it is stopped
}

// Reservation holds the workers for a gang and the earliest time at which it
// can start on them.
type Reservation struct {
	Gang     structs.JobID
	Start    structs.Timestamp
	Workers  []structs.WorkerID // in the order of the gang's requests
	requests []Request
}

// Reservations claims capacity for gangs that cannot start now. Claimed
// capacity is not available to Find and Reserve from the time it is planned,
// including capacity that running tasks free later.
//
// Gangs are served in order of enqueue time, then ID. A gang never takes
// capacity that is claimed for an earlier one, so gangs cannot deadlock and no
// gang starves.
type Reservations struct {
	index   *Index
	padding int64 // percentage added to expected remaining run times
	list    []Reservation
}

// NewReservations returns an empty set of reservations for the index. The
// padding, as a percentage of the remaining run time, allows for tasks that run
// longer than declared.
func NewReservations(index *Index, padding int64) *Reservations {
	return &Reservations{index: index, padding: max(padding, 0)}
}

// List returns the reservations in the order in which gangs are served.
func (r *Reservations) List() []Reservation { return r.list }

// Plan replaces all reservations with new ones for the waiting gangs. A gang
// that would not fit even after the end of all running tasks with an expected
// end gets no reservation.
func (r *Reservations) Plan(now structs.Timestamp, running []Running, gangs []Gang) []Reservation {
	r.Clear()
	if len(gangs) == 0 {
		return nil
	}
	f := r.newForecast(now, running)
	ordered := slices.Clone(gangs)
	slices.SortFunc(ordered, func(a, b Gang) int {
		return cmp.Or(cmp.Compare(a.Enqueued, b.Enqueued), cmp.Compare(a.ID, b.ID))
	})
	for _, g := range ordered {
		if res, ok := f.earliestStart(g); ok {
			r.list = append(r.list, res)
			res.adjustClaims(r.index, +1)
			f.reserve(res)
		}
	}
	return r.list
}

// Clear removes all reservations and their claims.
func (r *Reservations) Clear() {
	for _, res := range r.list {
		res.adjustClaims(r.index, -1)
	}
	r.list = nil
}

// Start removes the reservation of the gang and reserves its resources on all
// its workers with Index.Reserve. It returns false and changes nothing if the
// gang has no reservation or does not fit on all its workers yet.
func (r *Reservations) Start(gang structs.JobID) ([]structs.WorkerID, bool) {
	i := slices.IndexFunc(r.list, func(res Reservation) bool { return res.Gang == gang })
	if i < 0 {
		return nil, false
	}
	res := r.list[i]
	// The claims of later gangs must not prevent this gang from starting.
	for k := range r.list[i:] {
		r.list[i+k].adjustClaims(r.index, -1)
	}
	ok := r.index.reserveAll(res.Workers, res.requests)
	if ok {
		r.list = slices.Delete(r.list, i, i+1)
	}
	for k := range r.list[i:] {
		r.list[i+k].adjustClaims(r.index, +1)
	}
	if !ok {
		return nil, false
	}
	return res.Workers, true
}

// reserveAll reserves resources for each request on its worker. If any of them
// does not fit, it changes nothing and returns false.
func (x *Index) reserveAll(workers []structs.WorkerID, requests []Request) bool {
	for k, id := range workers {
		if x.Reserve(id, requests[k].Resources, requests[k].SpreadKey) {
			continue
		}
		for j := range k {
			x.Release(workers[j], requests[j].Resources, requests[j].SpreadKey)
		}
		return false
	}
	return true
}

// Backfill reserves claimed but idle capacity for a task whose padded run time
// ends before any reservation on the same worker starts. It returns false if
// there is none; the task can then only be placed with Find.
func (r *Reservations) Backfill(now structs.Timestamp, req *Request, runTime time.Duration) (structs.WorkerID, bool) {
	if runTime <= 0 {
		return "", false
	}
	end := now.Add(r.padded(runTime))
	for _, res := range r.list {
		for _, id := range res.Workers {
			if r.endsBeforeReservations(id, end) && r.index.reserveClaimed(id, req) {
				return id, true
			}
		}
	}
	return "", false
}

// endsBeforeReservations reports whether no reservation on the worker starts
// before end.
func (r *Reservations) endsBeforeReservations(id structs.WorkerID, end structs.Timestamp) bool {
	for _, res := range r.list {
		if res.Start < end && slices.Contains(res.Workers, id) {
			return false
		}
	}
	return true
}

func (r *Reservations) padded(d time.Duration) time.Duration {
	return d + d/100*time.Duration(r.padding)
}

// expectedEnd returns the padded end of a task. A task that has exceeded its
// expected end is assumed to run for half of its current run time longer.
func (r *Reservations) expectedEnd(now structs.Timestamp, t *Running) structs.Timestamp {
	if t.End > now {
		return now.Add(r.padded(t.End.Sub(now)))
	}
	return now.Add(r.padded(now.Sub(t.Started)/2 + 1))
}

// adjustClaims adds the claims of the reservation to its workers (sign +1) or
// removes them (sign -1).
func (res *Reservation) adjustClaims(x *Index, sign int64) {
	for i, id := range res.Workers {
		slot := x.slotOf(id)
		x.adjustClaimed(slot, res.requests[i].Resources.Scale(sign))
		x.deleteIfEmpty(slot)
	}
}

// reserveClaimed reserves resources on the worker even if they are claimed.
func (x *Index) reserveClaimed(id structs.WorkerID, req *Request) bool {
	slot, ok := x.slots[id]
	if !ok || req.Resources.IsNegative() {
		return false
	}
	rec := &x.workers[slot]
	if !x.fitsWhenEmpty(rec, req) || !req.Resources.Fits(rec.unreserved()) {
		return false
	}
	x.reserve(slot, req.Resources, req.SpreadKey)
	return true
}
