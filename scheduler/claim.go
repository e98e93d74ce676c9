package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// claimedPart is the largest part of the workers kept free, as a divisor;
	// at least one claim is always allowed.
	claimedPart = 8
	// claimUses is how many tasks of a job one claim serves before the worker
	// returns to all.
	claimUses = 8
	// claimTurns is how many times the waiting time before a claim the claim
	// itself lasts.
	claimTurns = 6
	// claimSooner divides the waiting time before a claim for a class that
	// goes first, whose room other classes would fill with small tasks.
	claimSooner = 20
)

// claim keeps a worker free for a task that found no place for long. Other
// work that ends in time is backfilled on it. Gangs have reservations instead.
type claim struct {
	job      *job
	workers  []structs.WorkerID
	ready    structs.Timestamp // estimated time at which the workers have room
	made     structs.Timestamp
	uses     int
	preempts bool // tasks on the workers were asked to make room
}

// claims holds the current claims in the order in which they were made.
type claims struct {
	list     []*claim
	byJob    map[*job]*claim
	byWorker map[structs.WorkerID]*claim
}

func (c *claims) init() {
	c.byWorker = map[structs.WorkerID]*claim{}
	c.byJob = map[*job]*claim{}
}

func (c *claims) of(j *job) *claim { return c.byJob[j] }

// drop ends the claim of a job, if it has one.
func (c *claims) drop(s *State, j *job) {
	cl := c.of(j)
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

// dropIdle ends the claims of jobs that wait for nothing, that are not served
// because their class is in a flood, or that have not used their claim in time.
func (c *claims) dropIdle(s *State) {
	for _, cl := range slices.Clone(c.list) {
		unused := s.now.Sub(cl.made) > claimTurns*s.policy.Gang.ReserveAfter
		if unused || cl.job.placed >= cl.job.Open || cl.job.held != "" || s.queue.IsFlooded(cl.job.Spec.Class) {
			c.drop(s, cl.job)
		}
	}
}

// noteBlocked makes a claim for an item that has waited for long, and notes
// urgent items for preemption. Without a claim, a flood does not fill the room
// that the item waits for, for a bounded time.
func (s *State) noteBlocked(p *pass, it queue.Item, j *job) {
	waited := s.now.Sub(max(it.Enqueued, j.Spec.NotBefore))
	c, _ := s.policy.class(it.Class)
	if c.Urgency == structs.Urgent && waited >= s.policy.Preemption.After {
		p.blocked = append(p.blocked, it)
	}
	if j.Spec.Kind == structs.KindGang {
		s.noteWaitingGang(p, it, j, waited)
		return
	}
	if s.claims.of(j) == nil && waited >= s.claimAfter(c) {
		s.claimForTask(j)
	}
	if s.claims.of(j) == nil && waited < s.policy.Gang.ReserveAfter && !s.queue.IsFlooded(c.Name) {
		p.holdFloods = true
	}
}

// claimAfter is how long an item of the class waits before a claim.
func (s *State) claimAfter(c ClassPolicy) time.Duration {
	if s.queue.GoesFirst(c.Name) {
		return s.policy.Gang.ReserveAfter / claimSooner
	}
	return s.policy.Gang.ReserveAfter
}

// hasRoom reports whether n more workers may be kept free.
func (c *claims) hasRoom(s *State, n int) bool {
	return len(c.list) == 0 || (len(c.byWorker)+n)*claimedPart <= len(s.workers)
}

// claimForTask keeps the worker free that lacks least for a task of the job.
func (s *State) claimForTask(j *job) {
	if !s.claims.hasRoom(s, 1) {
		return
	}
	need := j.need()
	var best *worker
	var bestLack int64
	for _, w := range s.workers {
		if !s.isClaimable(w) || !need.Fits(w.info.Capacity) || !allows(&j.Spec.Constraint, &w.info) {
			continue
		}
		free, _ := s.index.Free(w.id)
		lack := s.unit.cost(need.Sub(free))
		if best == nil || lack < bestLack || lack == bestLack && w.id < best.id {
			best, bestLack = w, lack
		}
	}
	if best != nil {
		s.claimWorkers(&claim{job: j, workers: []structs.WorkerID{best.id}})
	}
}

// isClaimable reports whether the worker takes new work, is not claimed and
// has no part in the reservation of a gang.
func (s *State) isClaimable(w *worker) bool {
	return s.claims.byWorker[w.id] == nil && !s.plannedOn[w.id] && s.isUsable(w)
}

func (s *State) claimWorkers(cl *claim) {
	cl.ready = s.now
	cl.made = s.now
	s.claims.list = append(s.claims.list, cl)
	s.claims.byJob[cl.job] = cl
	for _, id := range cl.workers {
		w := s.workers[id]
		s.claims.byWorker[id] = cl
		s.updateSchedulable(w)
		for _, t := range w.tasks {
			if t.job.Spec.Kind != structs.KindService {
				cl.ready = max(cl.ready, t.live.since.Add(s.runTimeOf(t.job)))
			}
		}
	}
}

// isUsable reports whether the worker takes new work, apart from claims.
func (s *State) isUsable(w *worker) bool {
	_, quarantined := s.quarantine[w.id]
	return w.listed && w.down == 0 && !s.drained[w.id] && !quarantined && w.info.State == structs.Live
}

// openClaim lets the index see the workers claimed for the job, until the
// returned function is called.
func (s *State) openClaim(j *job) func() {
	cl := s.claims.of(j)
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

// useClaim starts a task on the worker claimed for its job, once it has room.
func (s *State) useClaim(p *pass, it queue.Item, t *task) bool {
	cl := s.claims.of(t.job)
	if cl == nil {
		return false
	}
	restore := s.openClaim(t.job)
	placed := false
	for _, id := range cl.workers {
		if allows(&t.job.Spec.Constraint, &s.workers[id].info) && s.start(p, it, t, id) {
			placed = true
			break
		}
	}
	restore()
	if !placed {
		return false
	}
	cl.uses++
	if cl.uses >= claimUses || cl.preempts && cl.uses >= len(cl.workers) {
		s.claims.drop(s, t.job)
	}
	return true
}

// backfill starts a task on a worker that is kept free, if the task ends
// before the worker is expected to have room.
func (s *State) backfill(p *pass, it queue.Item, t *task) bool {
	estimate := s.runTimeOf(t.job)
	if estimate <= 0 {
		return false
	}
	req := s.request(t.job)
	if id, ok := s.reservations.Backfill(s.now, &req, estimate); ok {
		s.startReserved(p, it, t, id)
		return true
	}
	for _, cl := range s.claims.list {
		if cl.job == t.job || s.now.Add(estimate).After(cl.ready) {
			continue
		}
		if s.backfillOn(cl, p, it, t) {
			return true
		}
	}
	return false
}

func (s *State) backfillOn(cl *claim, p *pass, it queue.Item, t *task) bool {
	for _, id := range cl.workers {
		w := s.workers[id]
		free, ok := s.index.Free(id)
		if !ok || !t.job.need().Fits(free) || !s.isUsable(w) || !allows(&t.job.Spec.Constraint, &w.info) {
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
