package scheduler

import (
	"slices"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

func (s *State) drainWorker(e DrainWorker) {
	w := s.workers[e.Worker]
	if w == nil {
		s.replyError(e.Call, errs.New(errs.NotFound, "list the workers of the shard", "there is no worker %q", e.Worker))
		return
	}
	if s.stalled() {
		s.replyError(e.Call, errStalled(s.cfg.Shard))
		return
	}
	if s.drained[w.id] != e.Drain {
		s.record(Record{WorkerDrained: &WorkerDrained{Worker: w.id, Drain: e.Drain}})
		s.updateSchedulable(w)
		if e.Drain {
			s.moveReplicas(w)
		}
	}
	s.replyAfter(s.lastSequence(), Reply{Call: e.Call})
}

// changePolicy replaces the policy. Pending work keeps its place.
func (s *State) changePolicy(p Policy) {
	s.policy = p.withDefaults()
	s.cfg.Policy = s.policy
	s.quota.configure(s.policy.Teams)
	s.queue.Configure(s.policy.queueConfig())
	s.reconsiderHeld()
	s.dirty = true
}

// reconsiderHeld queues held jobs that can run now.
func (s *State) reconsiderHeld() {
	ids := make([]structs.JobID, 0, len(s.held))
	for id := range s.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := s.held[id]
		j.held = s.whyNever(j)
		if j.held != "" {
			continue
		}
		s.unhold(j)
		s.requeuePending(j)
	}
}

// checkStillPossible holds a blocked job that no worker can run any more. It
// reports whether the job was held.
func (s *State) checkStillPossible(j *job) bool {
	if s.shapeFits(j) {
		return false
	}
	s.hold(j)
	return true
}
