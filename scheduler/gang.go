package scheduler

import (
	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
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
func (s *State) settleGang(j *job, status platform.RunStatus) {
	if status == platform.RunSucceeded {
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
	if p.failsLike(j.need()) && s.claims.of(j) == nil {
		return false
	}
	tasks, reqs := s.gangRequests(j)
	restore := s.openClaim(j)
	ids, ok := s.index.FindGang(reqs)
	if ok {
		ok = s.reserveGang(reqs, ids)
	}
	restore()
	if !ok {
		return false
	}
	s.claims.drop(s, j)
	s.queue.Remove(it.ID)
	for i, t := range tasks {
		s.place(t, ids[i])
	}
	p.starts += len(tasks)
	return true
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
