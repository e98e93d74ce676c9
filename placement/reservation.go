package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Gang is a set of tasks that start together, waiting for capacity.
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
	End       structs.Timestamp // expected; 0 for a task that does not end by itself
}

// Reservation is the earliest place and time at which a gang can start.
type Reservation struct {
	Gang     structs.JobID
	Start    structs.Timestamp
	Workers  []structs.WorkerID // in the order of the gang's requests
	requests []Request
}

// Reservations holds capacity for gangs that cannot start now. What a
// reservation claims on a worker is out of reach of Find and Reserve from the
// moment it is planned, and stays so as running tasks end and free more.
//
// Gangs are served in order of enqueue time, then ID. A later gang never takes
// what an earlier one holds, so gangs cannot wait for each other in a circle
// and no gang is overtaken without end.
type Reservations struct {
	index   *Index
	padding int64 // percent added to expected remaining run times
	list    []Reservation
}

// NewReservations returns an empty set for the index. The padding, in percent
// of the remaining run time, allows for run times that are declared too short.
func NewReservations(index *Index, padding int64) *Reservations {
	return &Reservations{index: index, padding: max(padding, 0)}
}

// List returns the reservations in the order in which gangs are served.
func (r *Reservations) List() []Reservation { return r.list }

// Plan replaces all reservations by new ones for the waiting gangs. A gang
// that does not fit even when all running tasks with an expected end have
// ended gets none and holds nothing.
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
		if res, ok := f.earliest(g); ok {
			r.list = append(r.list, res)
			res.adjustClaims(r.index, +1)
			f.hold(res)
		}
	}
	return r.list
}

// Clear drops all reservations and their claims.
func (r *Reservations) Clear() {
	for _, res := range r.list {
		res.adjustClaims(r.index, -1)
	}
	r.list = nil
}

// Start turns the reservation of the gang into reservations of the index on
// all its workers. It returns false and changes nothing if the gang has no
// reservation or its workers do not all have room yet.
func (r *Reservations) Start(gang structs.JobID) ([]structs.WorkerID, bool) {
	i := slices.IndexFunc(r.list, func(res Reservation) bool { return res.Gang == gang })
	if i < 0 {
		return nil, false
	}
	res := r.list[i]
	// Claims of later gangs must not refuse this one.
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

// reserveAll reserves for every request on its worker, or changes nothing.
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

// Backfill reserves claimed but idle capacity for a task that ends before any
// reservation on its worker starts, with its run time padded. It returns
// false if there is none; the task can then only go where Find puts it.
func (r *Reservations) Backfill(now structs.Timestamp, req *Request, runTime time.Duration) (structs.WorkerID, bool) {
	if runTime <= 0 {
		return "", false
	}
	end := now.Add(r.padded(runTime))
	for _, res := range r.list {
		for _, id := range res.Workers {
			if r.endsInTime(id, end) && r.index.reserveClaimed(id, req) {
				return id, true
			}
		}
	}
	return "", false
}

// endsInTime reports whether no reservation on the worker starts before end.
func (r *Reservations) endsInTime(id structs.WorkerID, end structs.Timestamp) bool {
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

// expectedEnd returns the padded end of a task. One that has overrun is taken
// to run for half as long again as it has so far.
func (r *Reservations) expectedEnd(now structs.Timestamp, t *Running) structs.Timestamp {
	if t.End > now {
		return now.Add(r.padded(t.End.Sub(now)))
	}
	return now.Add(r.padded(now.Sub(t.Started)/2 + 1))
}

// adjustClaims adds what the reservation claims (sign +1) or takes it away.
func (res *Reservation) adjustClaims(x *Index, sign int64) {
	for i, id := range res.Workers {
		n := x.slotOf(id)
		x.claim(n, res.requests[i].Resources.Scale(sign))
		x.forgetIfEmpty(n)
	}
}

// reserveClaimed reserves on the worker whether or not the room is claimed.
func (x *Index) reserveClaimed(id structs.WorkerID, req *Request) bool {
	n, ok := x.slots[id]
	if !ok || req.Resources.IsNegative() {
		return false
	}
	rec := &x.workers[n]
	if !x.mayHost(rec, req) || !req.Resources.Fits(rec.unreserved()) {
		return false
	}
	x.reserve(n, req.Resources, req.SpreadKey)
	return true
}
