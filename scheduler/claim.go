package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// claimedWorkersDivisor limits the workers under claims to the fleet size
	// divided by it. One claim is always allowed.
	claimedWorkersDivisor = 8
	// maxTasksPerClaim is the number of tasks of a job that start under one
	// claim before the worker is released to all jobs.
	maxTasksPerClaim = 8
	// claimTimeoutFactor times the waiting time before a claim is the longest
	// time that a claim lasts.
	claimTimeoutFactor = 6
	// belowFloorClaimDivisor divides the waiting time before a claim for a
	// class below its floor. Other classes would otherwise fill the capacity
	// that becomes free with small tasks.
	belowFloorClaimDivisor = 20
)

// claim keeps workers free for a job whose tasks have found no place for a
// long time. Tasks of other jobs that end in time are backfilled on them.
// Gangs use the reservations of package placement instead.
type claim struct {
	job           *job
	workers       []structs.WorkerID
	expectedReady structs.Timestamp // estimated time at which the workers have capacity
	createdAt     structs.Timestamp
	startedTasks  int
	preempting    bool // tasks on the workers are being preempted for it
}

// claims holds the current claims in the order of their creation.
type claims struct {
	list     []*claim
	byJob    map[*job]*claim
	byWorker map[structs.WorkerID]*claim
}

func (c *claims) init() {
	c.byWorker = map[structs.WorkerID]*claim{}
	c.byJob = map[*job]*claim{}
}

func (c *claims) forJob(j *job) *claim { return c.byJob[j] }

// release ends the claim of a job, if it has one.
func (c *claims) release(s *State, j *job) {
	cl := c.forJob(j)
	if cl == nil {
		return
	}
	delete(c.byJob, j)
	c.list = slices.DeleteFunc(c.list, func(x *claim) bool { return x == cl })
	for _, id := range cl.workers {
		delete(c.byWorker, id)
		s.updateSchedulable(s.workers[id])
	}
}

// releaseStale ends the claims of jobs that have no pending tasks, are
// infeasible or have not used their claim in time, and of jobs whose class is
// overloaded.
func (c *claims) releaseStale(s *State) {
	for _, cl := range slices.Clone(c.list) {
		unused := s.now.Sub(cl.createdAt) > claimTimeoutFactor*s.policy.Reservation.ReserveAfter
		if unused || cl.job.placedTasks >= cl.job.Open || cl.job.infeasibleReason != "" || s.queue.IsOverloaded(cl.job.Spec.Class) {
			c.release(s, cl.job)
		}
	}
}

// handleBlocked handles an item that found no place. After a wait, it records
// urgent items for preemption, collects gangs for reservations and makes a
// claim for other items. While an item has no claim, overloaded classes are
// skipped for a bounded time, so that they do not take the capacity that the
// item waits for.
func (s *State) handleBlocked(p *pass, it queue.Item, j *job) {
	waited := s.now.Sub(max(it.Enqueued, j.Spec.NotBefore))
	c, _ := s.policy.class(it.Class)
	if c.Urgency == structs.Urgent && waited >= s.policy.Preemption.MinWait {
		p.blockedUrgent = append(p.blockedUrgent, it)
	}
	if j.Spec.Kind == structs.KindGang {
		s.collectWaitingGang(p, it, j, waited)
		return
	}
	if s.claims.forJob(j) == nil && waited >= s.claimDelay(c) {
		s.claimWorkerFor(j)
	}
	if s.claims.forJob(j) == nil && waited < s.policy.Reservation.ReserveAfter && !s.queue.IsOverloaded(c.Name) {
		p.skipOverloaded = true
	}
}

// claimDelay returns how long an item of the class waits before a claim.
func (s *State) claimDelay(c ClassPolicy) time.Duration {
	if s.queue.HasFloorPriority(c.Name) {
		return s.policy.Reservation.ReserveAfter / belowFloorClaimDivisor
	}
	return s.policy.Reservation.ReserveAfter
}

// withinLimit reports whether n more workers may be claimed.
func (c *claims) withinLimit(s *State, n int) bool {
	return len(c.list) == 0 || (len(c.byWorker)+n)*claimedWorkersDivisor <= len(s.workers)
}

// claimWorkerFor claims the worker that lacks the least capacity for a task of
// the job.
func (s *State) claimWorkerFor(j *job) {
	if !s.claims.withinLimit(s, 1) {
		return
	}
	need := j.need()
	var best *worker
	var leastMissing int64
	for _, w := range s.workers {
		if !s.isClaimable(w) || !need.Fits(w.info.Capacity) || !satisfies(&j.Spec.Constraint, &w.info) {
			continue
		}
		free, _ := s.index.Free(w.id)
		missing := s.costUnit.cost(need.Sub(free))
		if best == nil || missing < leastMissing || missing == leastMissing && w.id < best.id {
			best, leastMissing = w, missing
		}
	}
	if best != nil {
		s.addClaim(&claim{job: j, workers: []structs.WorkerID{best.id}})
	}
}

// isClaimable reports whether the worker takes new work, is not claimed and is
// not part of a gang's reservation.
func (s *State) isClaimable(w *worker) bool {
	return s.claims.byWorker[w.id] == nil && !s.gangWorkers[w.id] && s.isUsable(w)
}

func (s *State) addClaim(cl *claim) {
	cl.expectedReady = s.now
	cl.createdAt = s.now
	s.claims.list = append(s.claims.list, cl)
	s.claims.byJob[cl.job] = cl
	for _, id := range cl.workers {
		w := s.workers[id]
		s.claims.byWorker[id] = cl
		s.updateSchedulable(w)
		for _, t := range w.tasks {
			if t.job.Spec.Kind != structs.KindService {
				cl.expectedReady = max(cl.expectedReady, t.live.runningSince.Add(s.estimatedRunTime(t.job)))
			}
		}
	}
}

// isUsable reports whether the worker takes new work, regardless of claims.
func (s *State) isUsable(w *worker) bool {
	_, quarantined := s.quarantine[w.id]
	return w.listed && w.downSince == 0 && !s.drained[w.id] && !quarantined && w.info.State == structs.Live
}

// exposeClaimedWorkers makes the workers claimed for the job schedulable in
// the index until the returned function is called.
func (s *State) exposeClaimedWorkers(j *job) func() {
	cl := s.claims.forJob(j)
	if cl == nil {
		return func() {}
	}
	for _, id := range cl.workers {
		s.index.SetSchedulable(id, s.isUsable(s.workers[id]))
	}
	return func() {
		for _, id := range cl.workers {
			s.index.SetSchedulable(id, false)
		}
	}
}

// startOnClaimedWorker starts a task on a worker claimed for its job, if one
// has capacity for it.
func (s *State) startOnClaimedWorker(p *pass, it queue.Item, t *task) bool {
	cl := s.claims.forJob(t.job)
	if cl == nil {
		return false
	}
	restore := s.exposeClaimedWorkers(t.job)
	placed := false
	for _, id := range cl.workers {
		if satisfies(&t.job.Spec.Constraint, &s.workers[id].info) && s.start(p, it, t, id) {
			placed = true
			break
		}
	}
	restore()
	if !placed {
		return false
	}
	cl.startedTasks++
	if cl.startedTasks >= maxTasksPerClaim || cl.preempting && cl.startedTasks >= len(cl.workers) {
		s.claims.release(s, t.job)
	}
	return true
}

// backfill starts a task on a claimed or reserved worker, if the task ends
// before the work for which the worker is kept free is expected to start.
func (s *State) backfill(p *pass, it queue.Item, t *task) bool {
	estimate := s.estimatedRunTime(t.job)
	if estimate <= 0 {
		return false
	}
	req := s.request(t.job)
	if id, ok := s.reservations.Backfill(s.now, &req, estimate); ok {
		s.startReserved(p, it, t, id)
		return true
	}
	for _, cl := range s.claims.list {
		if cl.job == t.job || s.now.Add(estimate).After(cl.expectedReady) {
			continue
		}
		if s.backfillClaimed(cl, p, it, t) {
			return true
		}
	}
	return false
}

func (s *State) backfillClaimed(cl *claim, p *pass, it queue.Item, t *task) bool {
	for _, id := range cl.workers {
		w := s.workers[id]
		free, ok := s.index.Free(id)
		if !ok || !t.job.need().Fits(free) || !s.isUsable(w) || !satisfies(&t.job.Spec.Constraint, &w.info) {
			continue
		}
		s.index.SetSchedulable(id, true)
		placed := s.start(p, it, t, id)
		s.index.SetSchedulable(id, false)
		if placed {
			return true
		}
	}
	return false
}
