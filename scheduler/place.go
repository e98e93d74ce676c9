package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// passGap is the least time between two passes that are not caused by a
	// tick, so that a burst of events shares one pass.
	passGap = 5 * time.Millisecond
	// maxStarts bounds the starts of one pass; the next event continues.
	maxStarts = 256
)

// schedule runs a pass if one may place something and is due.
func (s *State) schedule(ev structs.Event) {
	_, isTick := ev.(Tick)
	if isTick && s.queue.HasDue(s.now) {
		s.dirty = true
	}
	if !s.dirty || s.stalled() || !s.horizon.After(s.now) {
		return
	}
	if !isTick && s.now.Sub(s.passed) < passGap {
		return
	}
	s.pass()
}

// pass places pending work until the queue has nothing more to try.
func (s *State) pass() {
	s.passed = s.now
	s.dirty = false
	s.counts.Passes++
	p := pass{}
	s.claims.dropIdle(s)
	s.queue.BeginPass(s.now)
	for p.starts < maxStarts {
		it, ok := s.queue.Next(s.now)
		if !ok {
			break
		}
		if p.holdFloods && s.queue.IsFlooded(it.Class) {
			s.queue.Shut(it.Class)
			continue
		}
		s.try(&p, it)
	}
	if p.starts >= maxStarts {
		s.dirty = true
	}
	s.planGangs(&p)
	s.preemptFor(&p)
}

// pass is the state of one pass.
type pass struct {
	starts  int
	failed  []structs.Resources // sizes that found no place on any worker
	gangs   []placement.Gang    // that have waited for long without a place
	blocked []queue.Item        // urgent items without a place
	// holdFloods is set when an item of a class that is not in a flood found no
	// place a short time ago: a class in a flood must not fill the gaps.
	holdFloods bool
}

// failsLike reports whether a task of the size cannot be placed because a
// smaller one without constraints found no place in this pass.
func (p *pass) failsLike(r structs.Resources) bool {
	for _, f := range p.failed {
		if f.Fits(r) {
			return true
		}
	}
	return false
}

// try answers one item: it is placed, set aside or held.
func (s *State) try(p *pass, it queue.Item) {
	j := s.jobs[it.Job]
	if j == nil {
		s.queue.Remove(it.ID)
		return
	}
	if j.Spec.Kind != structs.KindGang && it.Line != j.line() {
		s.requeuePending(j)
		return
	}
	if until := s.heldBackUntil(j); until.After(s.now) {
		s.queue.Hold(it, until)
		return
	}
	if j.isOnProbation() && j.placed >= probationTasks {
		s.queue.Hold(it, s.now.Add(fastPoll))
		return
	}
	size := s.itemSize(j)
	if !s.quota.admits(j.Spec.Team, size) {
		s.skipForQuota(p, it, j, size)
		return
	}
	placed := false
	if j.Spec.Kind == structs.KindGang {
		placed = s.tryGang(p, it, j)
	} else {
		placed = s.tryTask(p, it, j)
	}
	if placed {
		return
	}
	s.counts.Skipped++
	if s.checkStillPossible(j) {
		return
	}
	s.noteBlocked(p, it, j)
	s.queue.Skip(it)
}

// skipForQuota sets aside the work of a team that is at its limit, or holds a
// job whose size grew above the limit. Work that only the capacity of the
// fleet refuses is like work without a place: the team's other work goes on.
func (s *State) skipForQuota(p *pass, it queue.Item, j *job, size structs.Resources) {
	switch {
	case !s.quota.couldAdmit(j.Spec.Team, size):
		s.hold(j)
	case s.quota.lacksCapacity(j.Spec.Team, size):
		if !s.checkStillPossible(j) {
			s.noteBlocked(p, it, j)
			s.queue.Skip(it)
		}
	default:
		s.queue.SkipTeam(it)
	}
}

func (s *State) tryTask(p *pass, it queue.Item, j *job) bool {
	t := s.tasks[it.ID]
	if t == nil || t.Phase != phasePending {
		s.queue.Remove(it.ID)
		return true
	}
	if id, ok := s.probeTarget(j); ok && s.startProbe(p, it, t, id) {
		return true
	}
	if s.useClaim(p, it, t) {
		return true
	}
	need := j.need()
	if p.failsLike(need) {
		return s.backfill(p, it, t)
	}
	req := s.request(j)
	id, ok := s.index.Find(&req)
	if !ok {
		if isFree(&req.Constraint) {
			p.failed = append(p.failed, need)
		}
		return s.backfill(p, it, t)
	}
	return s.start(p, it, t, id)
}

// isFree reports whether the constraint allows every worker.
func isFree(c *structs.Constraint) bool {
	return len(c.Regions) == 0 && len(c.FailureDomains) == 0 && len(c.Labels) == 0 && len(c.ExcludeWorkers) == 0
}

// start takes the item from the queue and records its start on the worker.
func (s *State) start(p *pass, it queue.Item, t *task, id structs.WorkerID) bool {
	if !s.index.Reserve(id, t.job.need(), t.job.spreadKey()) {
		return false
	}
	s.startReserved(p, it, t, id)
	return true
}

// startReserved starts the item on a worker where room is reserved for it.
func (s *State) startReserved(p *pass, it queue.Item, t *task, id structs.WorkerID) {
	s.queue.Remove(it.ID)
	s.place(t, id)
	p.starts++
}

// place records the start of a task for which room is reserved on the worker.
func (s *State) place(t *task, id structs.WorkerID) {
	need := t.job.need()
	s.record(Record{TaskStarted: &TaskStarted{
		Task: t.ID, Attempt: t.Attempt + 1, Worker: id, NotAfter: s.now.Add(s.policy.StartWindow),
		Resources: need, At: s.now,
	}})
	s.attach(t, &attempt{seq: s.nextSequence(), reserved: need})
	s.afterCommit(deferred{start: t, attempt: t.Attempt})
	s.counts.Placed++
}

// attach makes an attempt part of its worker and charges what it reserves.
func (s *State) attach(t *task, a *attempt) {
	w := s.worker(t.Worker)
	a.slot = len(w.tasks)
	w.tasks = append(w.tasks, t)
	a.cost = s.unit.cost(a.reserved)
	t.live = a
	t.job.placed++
	s.quota.take(t.job.Spec.Team, a.reserved)
	s.queue.Charge(t.job.Spec.Class, t.job.Spec.Team, a.cost)
}

// detach gives back what the attempt reserved.
func (s *State) detach(t *task) {
	a, w := t.live, s.workers[t.Worker]
	last := len(w.tasks) - 1
	moved := w.tasks[last]
	w.tasks[a.slot] = moved
	moved.live.slot = a.slot
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	t.live = nil
	t.job.placed--
	s.index.Release(w.id, a.reserved, t.job.spreadKey())
	s.quota.give(t.job.Spec.Team, a.reserved)
	s.queue.Release(t.job.Spec.Class, t.job.Spec.Team, a.cost)
	s.dirty = true
}
