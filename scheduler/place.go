package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// minPassInterval is the minimum time between two scheduling passes that
	// are not caused by a tick, so that a burst of events shares one pass.
	minPassInterval = 5 * time.Millisecond
	// maxStartsPerPass bounds the starts of one pass. The next pass continues
	// with the rest.
	maxStartsPerPass = 256
)

// schedule runs a scheduling pass if one is due and may place tasks.
func (s *State) schedule(ev structs.Event) {
	_, isTick := ev.(Tick)
	if isTick && s.queue.HasDue(s.now) {
		s.passNeeded = true
	}
	if !s.passNeeded || s.stalled() || !s.horizon.After(s.now) {
		return
	}
	if !isTick && s.now.Sub(s.lastPass) < minPassInterval {
		return
	}
	s.runPass()
}

// runPass places pending tasks until the queue has no more items to try or the
// limit of starts is reached.
func (s *State) runPass() {
	s.lastPass = s.now
	s.passNeeded = false
	s.counters.Passes++
	p := pass{}
	s.claims.releaseStale(s)
	s.queue.BeginPass(s.now)
	for p.starts < maxStartsPerPass {
		it, ok := s.queue.Next(s.now)
		if !ok {
			break
		}
		if p.skipOverloaded && s.queue.IsOverloaded(it.Class) {
			s.queue.SkipClass(it.Class)
			continue
		}
		s.tryItem(&p, it)
	}
	if p.starts >= maxStartsPerPass {
		s.passNeeded = true
	}
	s.planReservations(&p)
	s.preemptFor(&p)
}

// pass is the state of one scheduling pass.
type pass struct {
	starts        int
	unplaceable   []structs.Resources // sizes without constraints that no worker has capacity for
	waitingGangs  []placement.Gang    // gangs that need a reservation
	blockedUrgent []queue.Item        // urgent items that have waited long enough to preempt
	// skipOverloaded is set when an item of a class that is not overloaded found no
	// place, has no claim and has waited for less than ReserveAfter. Overloaded
	// classes then must not take the capacity that becomes free.
	skipOverloaded bool
}

// cannotFit reports whether a task of the size cannot be placed because a task
// without constraints that is no larger found no place in this pass.
func (p *pass) cannotFit(r structs.Resources) bool {
	for _, f := range p.unplaceable {
		if f.Fits(r) {
			return true
		}
	}
	return false
}

// tryItem places one item, or skips, delays or removes it.
func (s *State) tryItem(p *pass, it queue.Item) {
	j := s.jobs[it.Job]
	if j == nil {
		s.queue.Remove(it.ID)
		return
	}
	if j.Spec.Kind != structs.KindGang && it.PlacementKey != j.placementKey() {
		s.requeuePending(j)
		return
	}
	if until := s.backoffUntil(j); until.After(s.now) {
		s.queue.Hold(it, until)
		return
	}
	if j.isOnProbation() && j.placedTasks >= probationTasks {
		s.queue.Hold(it, s.now.Add(fastPollInterval))
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
	s.counters.Skipped++
	if s.markIfInfeasible(j) {
		return
	}
	s.handleBlocked(p, it, j)
	s.queue.Skip(it)
}

// skipForQuota skips all items of a team that is at its limit, and marks a job
// as infeasible whose size grew above the limit. An item that fails only
// because of the capacity of the fleet is treated like one without a place:
// other items of the team are still tried.
func (s *State) skipForQuota(p *pass, it queue.Item, j *job, size structs.Resources) {
	switch {
	case !s.quota.couldAdmit(j.Spec.Team, size):
		s.markInfeasible(j)
	case s.quota.lacksCapacity(j.Spec.Team, size):
		if !s.markIfInfeasible(j) {
			s.handleBlocked(p, it, j)
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
	if s.startOnClaimedWorker(p, it, t) {
		return true
	}
	need := j.need()
	if p.cannotFit(need) {
		return s.backfill(p, it, t)
	}
	req := s.request(j)
	id, ok := s.index.Find(&req)
	if !ok {
		if isUnconstrained(&req.Constraint) {
			p.unplaceable = append(p.unplaceable, need)
		}
		return s.backfill(p, it, t)
	}
	return s.start(p, it, t, id)
}

// isUnconstrained reports whether the constraint permits every worker.
func isUnconstrained(c *structs.Constraint) bool {
	return len(c.Regions) == 0 && len(c.FailureDomains) == 0 && len(c.Labels) == 0 && len(c.ExcludeWorkers) == 0
}

// start reserves resources on the worker, removes the item from the queue and
// records the start. It reports whether the worker had capacity.
func (s *State) start(p *pass, it queue.Item, t *task, id structs.WorkerID) bool {
	if !s.index.Reserve(id, t.job.need(), t.job.spreadKey()) {
		return false
	}
	s.startReserved(p, it, t, id)
	return true
}

// startReserved starts the item on a worker where its resources are already
// reserved.
func (s *State) startReserved(p *pass, it queue.Item, t *task, id structs.WorkerID) {
	s.queue.Remove(it.ID)
	s.recordStart(t, id)
	p.starts++
}

// recordStart records the start of a task whose resources are reserved on the
// worker.
func (s *State) recordStart(t *task, id structs.WorkerID) {
	need := t.job.need()
	s.record(Record{TaskStarted: &TaskStarted{
		Task: t.ID, Attempt: t.Attempt + 1, Worker: id, NotAfter: s.now.Add(s.policy.StartWindow),
		Resources: need, At: s.now,
	}})
	s.attachAttempt(t, &attempt{seq: s.nextSequence(), reserved: need})
	s.afterCommit(deferredEffect{start: t, attempt: t.Attempt})
	s.counters.Placed++
}

// attachAttempt adds the attempt to its worker and charges its reservation to
// the quota and the queue.
func (s *State) attachAttempt(t *task, a *attempt) {
	w := s.worker(t.Worker)
	a.workerIndex = len(w.tasks)
	w.tasks = append(w.tasks, t)
	a.cost = s.costUnit.cost(a.reserved)
	t.live = a
	t.job.placedTasks++
	s.quota.charge(t.job.Spec.Team, a.reserved)
	s.queue.Charge(t.job.Spec.Class, t.job.Spec.Team, a.cost)
}

// detachAttempt removes the attempt from its worker and releases its
// reservation.
func (s *State) detachAttempt(t *task) {
	a, w := t.live, s.workers[t.Worker]
	last := len(w.tasks) - 1
	moved := w.tasks[last]
	w.tasks[a.workerIndex] = moved
	moved.live.workerIndex = a.workerIndex
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	t.live = nil
	t.job.placedTasks--
	s.index.Release(w.id, a.reserved, t.job.spreadKey())
	s.quota.discharge(t.job.Spec.Team, a.reserved)
	s.queue.Release(t.job.Spec.Class, t.job.Spec.Team, a.cost)
	s.passNeeded = true
}
