package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// gangPlanInterval is the minimum time between two plans of reservations.
	gangPlanInterval = time.Second
	// runTimePadding is the percentage added to expected remaining run times in
	// plans.
	runTimePadding = 50
)

// gangItemID returns the identifier of the single queue item of a gang.
func gangItemID(j *job) structs.TaskID { return structs.TaskID(string(j.Spec.ID) + "/gang") }

// enqueueGang queues the gang once all its open tasks are pending.
func (s *State) enqueueGang(j *job) {
	it := queue.Item{
		ID: gangItemID(j), Job: j.Spec.ID, Team: j.Spec.Team, Class: j.Spec.Class, Resources: j.need(),
		Cost: s.costUnit.cost(s.itemSize(j)),
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

// handleGangAttemptEnd requests the stop of the other tasks of a gang after an
// attempt of one ended without success. All open tasks start together again
// once the last attempt has ended.
func (s *State) handleGangAttemptEnd(j *job, status provider.RunStatus) {
	if status == provider.RunSucceeded {
		s.requeuePending(j)
		return
	}
	for _, t := range j.Tasks {
		if t.Phase == phasePlaced && t.live != nil {
			s.requestStop(t, stopRequeue)
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
	ids, ok := s.useReservation(j, len(reqs))
	if !ok && !p.cannotFit(j.need()) {
		ids, ok = s.index.FindGang(reqs)
		ok = ok && s.reserveGang(reqs, ids)
	}
	if !ok {
		return false
	}
	s.queue.Remove(it.ID)
	for i, t := range tasks {
		s.recordStart(t, ids[i])
	}
	p.starts += len(tasks)
	return true
}

// reservedGang is the size and number of the tasks for which a gang has a
// reservation.
type reservedGang struct {
	need  structs.Resources
	tasks int
}

// useReservation turns the gang's reservation into reserved resources for its
// tasks. If the size or number of the tasks has changed, it drops all
// reservations; the next plan makes new ones.
func (s *State) useReservation(j *job, tasks int) ([]structs.WorkerID, bool) {
	plan, ok := s.reservedGangs[j.Spec.ID]
	if !ok {
		return nil, false
	}
	if plan.need != j.need() || plan.tasks != tasks {
		s.dropReservations()
		return nil, false
	}
	ids, ok := s.reservations.Start(j.Spec.ID)
	if ok {
		delete(s.reservedGangs, j.Spec.ID)
	}
	return ids, ok
}

func (s *State) dropReservations() {
	s.reservations.Clear()
	clear(s.reservedGangs)
	clear(s.gangWorkers)
}

// collectWaitingGang adds the gang to those that need a reservation, if it has
// waited long enough without a place.
func (s *State) collectWaitingGang(p *pass, it queue.Item, j *job, waited time.Duration) {
	if waited < s.policy.Reservation.ReserveAfter {
		return
	}
	_, reqs := s.gangRequests(j)
	p.waitingGangs = append(p.waitingGangs, placement.Gang{ID: j.Spec.ID, Enqueued: it.Enqueued, Requests: reqs})
}

// planReservations replaces the reservations of the waiting gangs. The plan
// examines every running task, so it is made at most once a second.
func (s *State) planReservations(p *pass) {
	if len(p.waitingGangs) == 0 {
		// A pass that ended at maxStartsPerPass may not have reached the gangs.
		if len(s.reservedGangs) > 0 && s.now.Sub(s.gangsPlannedAt) > 2*gangPlanInterval {
			s.dropReservations()
		}
		return
	}
	if s.now.Sub(s.gangsPlannedAt) < gangPlanInterval {
		return
	}
	s.gangsPlannedAt = s.now
	s.dropReservations()
	for _, r := range s.reservations.Plan(s.now, s.runningTasks(), p.waitingGangs) {
		s.reservedGangs[r.Gang] = reservedGang{s.jobs[r.Gang].need(), len(r.Workers)}
		for _, id := range r.Workers {
			s.gangWorkers[id] = true
		}
	}
}

// runningTasks returns all placed tasks with their expected ends.
func (s *State) runningTasks() []placement.Running {
	var out []placement.Running
	for _, w := range s.sortedWorkers() {
		for _, t := range w.tasks {
			r := placement.Running{Worker: w.id, Resources: t.live.reserved, Started: t.Started}
			if t.job.Spec.Kind != structs.KindService && !t.live.unconfirmed {
				r.End = t.Started.Add(max(s.estimatedRunTime(t.job), time.Millisecond))
			}
			out = append(out, r)
		}
	}
	return out
}

// reserveGang reserves resources for all requests or for none.
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

// gangFits reports whether a gang fits on the workers when they are empty. It
// is true for other jobs.
func (s *State) gangFits(j *job) bool {
	if j.Spec.Kind != structs.KindGang {
		return true
	}
	_, reqs := s.gangRequests(j)
	_, ok := s.hypotheticalIndex(func(*task) bool { return false }).FindGang(reqs)
	return ok
}

// hypotheticalIndex returns an index over the same workers, all live, on which
// only the tasks selected by keep occupy resources.
func (s *State) hypotheticalIndex(keep func(*task) bool) *placement.Index {
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
