package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// preemptEvery is the least time between two searches for victims, which look
// at every running task.
const preemptEvery = 250 * time.Millisecond

// preemptedPart is the part of the workers, as a divisor, above which claims
// stop further preemption.
const preemptedPart = 4

// maxPreempted bounds the tasks of one job for which room is made at a time.
const maxPreempted = 8

// preemptFor takes back borrowed capacity for urgent items without a place.
func (s *State) preemptFor(p *pass) {
	s.continuePreemptions()
	if s.policy.Preemption.Disabled || len(p.blocked) == 0 || s.now.Sub(s.preempted) < preemptEvery {
		return
	}
	s.preempted = s.now
	for _, it := range p.blocked {
		j := s.jobs[it.Job]
		if j == nil || j.Spec.Kind == structs.KindGang || s.isPreempting(j) {
			continue
		}
		// A flood of urgent work above half its floor takes nothing back, since
		// that would break the floors of the other classes.
		if !s.queue.IsShort(it.Class) {
			return
		}
		claimed := len(s.claims.byWorker)
		if own := s.claims.of(j); own != nil {
			claimed -= len(own.workers)
		}
		if preemptedPart*claimed > len(s.workers) {
			return
		}
		if s.quota.isGuaranteed(it.Team, j.need()) {
			s.preempt(j)
		}
	}
}

// preempt makes room where that costs least, for up to maxPreempted tasks of
// the job on as many workers. The workers are kept free for the job meanwhile.
func (s *State) preempt(j *job) {
	c, _ := s.policy.class(j.Spec.Class)
	s.claims.drop(s, j)
	req := s.request(j)
	cl := &claim{job: j, preempts: true}
	candidates := s.candidates(j)
	var steps []placement.PreemptionStep
	for len(cl.workers) < min(maxPreempted, j.Open-j.placed) {
		choice, ok := s.index.ChoosePreemption(&req, c.Urgency, candidates)
		if !ok {
			break
		}
		cl.workers = append(cl.workers, choice.Worker)
		steps = append(steps, choice.Steps...)
		candidates = slices.DeleteFunc(candidates, func(x placement.Candidate) bool { return x.Worker == choice.Worker })
	}
	if len(cl.workers) == 0 {
		return
	}
	s.claimWorkers(cl)
	for _, step := range steps {
		t := s.tasks[step.Task]
		s.beginPreemption(s.workers[t.Worker], t)
	}
}

// isPreempting reports whether room is being made for the job.
func (s *State) isPreempting(j *job) bool {
	cl := s.claims.of(j)
	return cl != nil && cl.preempts
}

// candidates returns the tasks that may make room for the job. A throttled
// task keeps its reservation, since the platform's workers check starts
// against declared sizes; throttling alone therefore frees nothing.
func (s *State) candidates(j *job) []placement.Candidate {
	var out []placement.Candidate
	for _, w := range s.workers {
		if !s.isClaimable(w) || !allows(&j.Spec.Constraint, &w.info) {
			continue
		}
		for _, t := range w.tasks {
			if !s.mayPreempt(t) {
				continue
			}
			c, _ := s.policy.class(t.job.Spec.Class)
			out = append(out, placement.Candidate{
				Task: t.ID, Worker: w.id, Resources: t.live.reserved, Urgency: c.Urgency,
				Cost: s.lossOf(t), CanCheckpoint: true,
			})
		}
	}
	return out
}

// mayPreempt reports whether the task runs on borrowed capacity and can be
// run again: services and gangs are never preempted, nor is urgent work.
func (s *State) mayPreempt(t *task) bool {
	if t.job.Spec.Kind != structs.KindBatch || !t.live.running || t.live.stop != stopNone || t.live.preempt != 0 {
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
	ref := provider.AttemptRef{Task: t.ID, Attempt: t.Attempt}
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
