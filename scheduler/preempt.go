package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// preemptInterval is the minimum time between two searches for victims, since a
// search examines every running task.
const preemptInterval = 250 * time.Millisecond

// preemptClaimedDivisor stops further preemption while the claimed workers
// exceed the number of workers divided by it.
const preemptClaimedDivisor = 4

// maxPreemptTasks bounds the tasks of one job for which others are preempted at
// a time.
const maxPreemptTasks = 8

// preemptFor preempts tasks on borrowed capacity for urgent items without a
// place.
func (s *State) preemptFor(p *pass) {
	s.continuePreemptions()
	if s.policy.Preemption.Disabled || len(p.blockedUrgent) == 0 || s.now.Sub(s.lastPreemption) < preemptInterval {
		return
	}
	s.lastPreemption = s.now
	for _, it := range p.blockedUrgent {
		j := s.jobs[it.Job]
		if j == nil || j.Spec.Kind == structs.KindGang || s.isPreempting(j) {
			continue
		}
		// An urgent class with a backlog above its floor must not preempt once
		// it occupies half its floor, since that would violate the floors of
		// the other classes.
		if !s.queue.MayPreempt(it.Class) {
			return
		}
		claimed := len(s.claims.byWorker)
		if own := s.claims.forJob(j); own != nil {
			claimed -= len(own.workers)
		}
		if preemptClaimedDivisor*claimed > len(s.workers) {
			return
		}
		if s.quota.isGuaranteed(it.Team, j.need()) {
			s.preempt(j)
		}
	}
}

// preempt frees capacity at the least cost, for up to maxPreemptTasks tasks of
// the job on as many workers, and claims these workers for the job.
func (s *State) preempt(j *job) {
	c, _ := s.policy.class(j.Spec.Class)
	s.claims.release(s, j)
	req := s.request(j)
	cl := &claim{job: j, preempting: true}
	candidates := s.preemptionCandidates(j)
	var steps []placement.PreemptionStep
	for len(cl.workers) < min(maxPreemptTasks, j.Open-j.placedTasks) {
		choice, ok := s.index.ChoosePreemption(&req, c.Urgency, candidates)
		if !ok {
			break
		}
		cl.workers = append(cl.workers, choice.Worker)
		steps = append(steps, choice.Steps...)
		candidates = slices.DeleteFunc(candidates, func(x placement.PreemptionCandidate) bool { return x.Worker == choice.Worker })
	}
	if len(cl.workers) == 0 {
		return
	}
	s.addClaim(cl)
	for _, step := range steps {
		t := s.tasks[step.Task]
		s.beginPreemption(s.workers[t.Worker], t)
	}
}

// isPreempting reports whether tasks are being preempted for the job.
func (s *State) isPreempting(j *job) bool {
	cl := s.claims.forJob(j)
	return cl != nil && cl.preempting
}

// preemptionCandidates returns the tasks that may be preempted for the job. The
// platform's workers check starts against declared sizes, so a throttled task
// keeps its reservation and throttling alone frees nothing.
func (s *State) preemptionCandidates(j *job) []placement.PreemptionCandidate {
	var out []placement.PreemptionCandidate
	for _, w := range s.workers {
		if !s.isClaimable(w) || !satisfies(&j.Spec.Constraint, &w.info) {
			continue
		}
		for _, t := range w.tasks {
			if !s.mayPreempt(t) {
				continue
			}
			c, _ := s.policy.class(t.job.Spec.Class)
			out = append(out, placement.PreemptionCandidate{
				Task: t.ID, Worker: w.id, Resources: t.live.reserved, Urgency: c.Urgency,
				Cost: s.preemptionCost(t), CanCheckpoint: true,
			})
		}
	}
	return out
}

// mayPreempt reports whether the task may be preempted: a running batch task,
// not urgent, of a team that borrows capacity. Services and gangs are never
// preempted.
func (s *State) mayPreempt(t *task) bool {
	if t.job.Spec.Kind != structs.KindBatch || !t.live.running || t.live.stopReason != stopNone || t.live.preemptedAt != 0 {
		return false
	}
	c, ok := s.policy.class(t.job.Spec.Class)
	return ok && c.Urgency != structs.Urgent && s.quota.isBorrowing(t.job.Spec.Team)
}

// preemptionCost returns the work that a stop loses: the capacity of the
// attempt times the milliseconds since it started. With a checkpoint, a tenth
// of that counts as lost.
func (s *State) preemptionCost(t *task) int64 {
	loss := t.live.cost * (1 + s.now.Sub(t.live.runningSince).Milliseconds())
	if t.live.checkpointed {
		return loss / 10
	}
	return loss
}

// beginPreemption throttles the victim and requests a checkpoint. The victim is
// stopped once the checkpoint exists or CheckpointWait has passed.
func (s *State) beginPreemption(w *worker, t *task) {
	s.counters.Preempted++
	t.live.preemptedAt = s.now
	s.victims = append(s.victims, t)
	ref := provider.AttemptRef{Task: t.ID, Attempt: t.Attempt}
	b := s.outbox.batch(w.id)
	b.Throttles = append(b.Throttles, ref)
	b.Checkpoints = append(b.Checkpoints, ref)
	s.callAt(w, s.now.Add(fastPollInterval))
}

// continuePreemptions stops victims that have a checkpoint or whose
// CheckpointWait has passed.
func (s *State) continuePreemptions() {
	kept := s.victims[:0]
	for _, t := range s.victims {
		if t.Phase != phasePlaced || t.live == nil || t.live.preemptedAt == 0 {
			continue
		}
		if !t.live.checkpointed && s.now.Sub(t.live.preemptedAt) < s.policy.Preemption.CheckpointWait {
			kept = append(kept, t)
			continue
		}
		s.requestStop(t, stopRequeue)
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
