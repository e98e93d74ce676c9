package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

// preemptEvery is the least time between two searches for victims, which look
// at every running task.
const preemptEvery = 250 * time.Millisecond

// preemptFor takes back borrowed capacity for urgent items without a place.
func (s *State) preemptFor(p *pass) {
	s.continuePreemptions()
	if s.policy.Preemption.Disabled || len(p.blocked) == 0 || s.now.Sub(s.preempted) < preemptEvery {
		return
	}
	s.preempted = s.now
	for _, it := range p.blocked {
		j := s.jobs[it.Job]
		if j == nil || j.Spec.Kind == structs.KindGang || s.claims.of(j) != nil {
			continue
		}
		if s.quota.isGuaranteed(it.Team, j.need()) && s.claims.hasRoom(s, 1) {
			s.preempt(it, j)
		}
	}
}

// victimSet is what must end on one worker to make room.
type victimSet struct {
	worker *worker
	tasks  []*task
	cost   int64
}

// preempt makes room on the worker where that costs least. The worker is kept
// free for the item meanwhile.
func (s *State) preempt(it queue.Item, j *job) {
	var best victimSet
	for _, w := range s.sortedWorkers() {
		if !s.isClaimable(w) || !allows(&j.Spec.Constraint, &w.info) {
			continue
		}
		set, ok := s.victimsOn(w, j)
		if ok && (best.worker == nil || set.cost < best.cost) {
			best = set
		}
	}
	if best.worker == nil {
		return
	}
	s.claimWorkers(&claim{job: j, workers: []structs.WorkerID{best.worker.id}})
	for _, t := range best.tasks {
		s.beginPreemption(best.worker, t)
	}
}

// victimsOn returns the cheapest tasks of borrowing teams that make room for
// the job on the worker.
func (s *State) victimsOn(w *worker, j *job) (victimSet, bool) {
	set := victimSet{worker: w}
	free, ok := s.index.Free(w.id)
	if !ok || !j.need().Fits(w.info.Capacity) {
		return set, false
	}
	candidates := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		switch {
		case t.live.stop != stopNone || t.live.preempt != 0:
			free = free.Add(t.live.reserved) // ends soon
		case s.mayPreempt(t):
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(cmp.Compare(s.lossOf(a), s.lossOf(b)), cmp.Compare(a.ID, b.ID))
	})
	for _, t := range candidates {
		if j.need().Fits(free) {
			break
		}
		free = free.Add(t.live.reserved)
		set.tasks = append(set.tasks, t)
		set.cost += s.lossOf(t)
	}
	return set, j.need().Fits(free)
}

// mayPreempt reports whether the task runs on borrowed capacity and can be
// run again: services and gangs are never preempted, nor is urgent work.
func (s *State) mayPreempt(t *task) bool {
	if t.job.Spec.Kind != structs.KindBatch || !t.live.running {
		return false
	}
	c, ok := s.policy.class(t.job.Spec.Class)
	return ok && c.Urgency != structs.Urgent && s.quota.isBorrowing(t.job.Spec.Team)
}

// lossOf is the work that a stop loses: the capacity of the attempt times the
// milliseconds since it started. A checkpoint keeps most of that work.
func (s *State) lossOf(t *task) int64 {
	loss := t.live.cost * (1 + s.now.Sub(t.live.since).Milliseconds())
	if t.live.saved {
		return loss / 10
	}
	return loss
}

// beginPreemption throttles the victim and asks for a checkpoint; it is
// stopped once the checkpoint exists or its time is over.
func (s *State) beginPreemption(w *worker, t *task) {
	s.counts.Preempted++
	t.live.preempt = s.now
	s.victims = append(s.victims, t)
	ref := platform.AttemptRef{Task: t.ID, Attempt: t.Attempt}
	b := s.outbox.batch(w.id)
	b.Throttles = append(b.Throttles, ref)
	b.Checkpoints = append(b.Checkpoints, ref)
	s.callAt(w, s.now.Add(fastPoll))
}

// continuePreemptions stops victims that are saved or out of time.
func (s *State) continuePreemptions() {
	kept := s.victims[:0]
	for _, t := range s.victims {
		if t.Phase != phasePlaced || t.live == nil || t.live.preempt == 0 {
			continue
		}
		if !t.live.saved && s.now.Sub(t.live.preempt) < s.policy.Preemption.CheckpointWait {
			kept = append(kept, t)
			continue
		}
		s.stop(t, stopRequeue)
	}
	clear(s.victims[len(kept):])
	s.victims = kept
}

// sortedWorkers returns the workers in the order of their identifiers.
func (s *State) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return out
}
