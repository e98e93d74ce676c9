package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// gangPlanEvery is the least time between two plans of reservations.
	gangPlanEvery = time.Second
	// runTimePadding is the percentage added to expected run times in plans.
	runTimePadding = 50
)

// gangItemID identifies the one item that stands for a gang in the queue.
func gangItemID(j *job) structs.TaskID { return structs.TaskID(string(j.Spec.ID) + "/gang") }

// enqueueGang queues the gang once all its open tasks are pending.
func (s *State) enqueueGang(j *job) {
	it := queue.Item{
		ID: gangItemID(j), Job: j.Spec.ID, Team: j.Spec.Team, Class: j.Spec.Class, Resources: j.need(),
		Cost: s.unit.cost(s.itemSize(j)),
	}
	pending := 0
	for _, t := range j.Tasks {
		switch t.Phase {
		case phasePlaced:
			return
		case phasePending:
			pending++
			if it.Enqueued == 0 || t.Enqueued < it.Enqueued {
				it.Enqueued = t.Enqueued
			}
			it.NotBefore = max(it.NotBefore, t.NotBefore)
		}
	}
	if pending > 0 {
		s.push(it)
	}
}

// settleGang stops the rest of a gang of which one task ended early; all open
// tasks start together again once the last of them is over.
func (s *State) settleGang(j *job, status provider.RunStatus) {
	if status == provider.RunSucceeded {
		s.requeuePending(j)
		return
	}
	for _, t := range j.Tasks {
		if t.Phase == phasePlaced && t.live != nil {
			s.stop(t, stopRequeue)
		}
	}
}

// gangRequests returns one request per pending task.
func (s *State) gangRequests(j *job) ([]*task, []placement.Request) {
	var tasks []*task
	var reqs []placement.Request
	for _, t := range j.Tasks {
		if t.Phase == phasePending {
			tasks = append(tasks, t)
			reqs = append(reqs, s.request(j))
		}
	}
	return tasks, reqs
}

// tryGang starts all pending tasks of the gang or none.
func (s *State) tryGang(p *pass, it queue.Item, j *job) bool {
	tasks, reqs := s.gangRequests(j)
	ids, ok := s.startReservation(j, len(reqs))
	if !ok && !p.failsLike(j.need()) {
		ids, ok = s.index.FindGang(reqs)
		ok = ok && s.reserveGang(reqs, ids)
	}
	if !ok {
		return false
	}
	s.queue.Remove(it.ID)
	for i, t := range tasks {
		s.place(t, ids[i])
	}
	p.starts += len(tasks)
	return true
}

// plannedGang is the shape for which a gang has a reservation.
type plannedGang struct {
	need  structs.Resources
	tasks int
}

// startReservation turns the gang's reservation into room for its tasks. A
// reservation for another shape is dropped with all others; the next plan
// makes new ones.
func (s *State) startReservation(j *job, tasks int) ([]structs.WorkerID, bool) {
	plan, ok := s.planned[j.Spec.ID]
	if !ok {
		return nil, false
	}
	if plan.need != j.need() || plan.tasks != tasks {
		s.dropReservations()
		return nil, false
	}
	ids, ok := s.reservations.Start(j.Spec.ID)
	if ok {
		delete(s.planned, j.Spec.ID)
	}
	return ids, ok
}

func (s *State) dropReservations() {
	s.reservations.Clear()
	clear(s.planned)
	clear(s.plannedOn)
}

// noteWaitingGang collects gangs that have waited for long without a place.
func (s *State) noteWaitingGang(p *pass, it queue.Item, j *job, waited time.Duration) {
	if waited < s.policy.Gang.ReserveAfter {
		return
	}
	_, reqs := s.gangRequests(j)
	p.gangs = append(p.gangs, placement.Gang{ID: j.Spec.ID, Enqueued: it.Enqueued, Requests: reqs})
}

// planGangs renews the reservations of the gangs that wait. The plan looks at
// every running task, so it is made at most once a second.
func (s *State) planGangs(p *pass) {
	if len(p.gangs) == 0 {
		// A pass that ended at its bound may not have come to the gangs.
		if len(s.planned) > 0 && s.now.Sub(s.plannedAt) > 2*gangPlanEvery {
			s.dropReservations()
		}
		return
	}
	if s.now.Sub(s.plannedAt) < gangPlanEvery {
		return
	}
	s.plannedAt = s.now
	s.dropReservations()
	for _, r := range s.reservations.Plan(s.now, s.running(), p.gangs) {
		s.planned[r.Gang] = plannedGang{s.jobs[r.Gang].need(), len(r.Workers)}
		for _, id := range r.Workers {
			s.plannedOn[id] = true
		}
	}
}

// running returns all placed tasks with their expected ends.
func (s *State) running() []placement.Running {
	var out []placement.Running
	for _, w := range s.sortedWorkers() {
		for _, t := range w.tasks {
			r := placement.Running{Worker: w.id, Resources: t.live.reserved, Started: t.Started}
			if t.job.Spec.Kind != structs.KindService && !t.live.unknown {
				r.End = t.Started.Add(max(s.runTimeOf(t.job), time.Millisecond))
			}
			out = append(out, r)
		}
	}
	return out
}

// reserveGang reserves room for all requests or for none.
func (s *State) reserveGang(reqs []placement.Request, ids []structs.WorkerID) bool {
	for i := range reqs {
		if s.index.Reserve(ids[i], reqs[i].Resources, reqs[i].SpreadKey) {
			continue
		}
		for k := range i {
			s.index.Release(ids[k], reqs[k].Resources, reqs[k].SpreadKey)
		}
		return false
	}
	return true
}

// gangFits reports whether a gang fits into the empty fleet.
func (s *State) gangFits(j *job) bool {
	if j.Spec.Kind != structs.KindGang {
		return true
	}
	_, reqs := s.gangRequests(j)
	_, ok := s.shadow(func(*task) bool { return false }).FindGang(reqs)
	return ok
}

// shadow returns an index over the same workers in which only the tasks that
// keep selects hold room.
func (s *State) shadow(keep func(*task) bool) *placement.Index {
	x := placement.New()
	for _, info := range s.index.Workers() {
		info.State = structs.Live
		x.Upsert(info)
		for _, t := range s.workers[info.ID].tasks {
			if keep(t) {
				x.Adopt(info.ID, t.live.reserved, t.job.spreadKey())
			}
		}
	}
	return x
}
