package scheduler

import (
	"slices"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

func (s *State) drainWorker(e DrainWorker) {
	w := s.workers[e.Worker]
	if w == nil {
		s.replyError(e.Call, errs.New(errs.NotFound, "list the workers of the shard", "worker %q does not exist", e.Worker))
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
			s.trackServicesOn(w)
		}
	}
	s.replyAfter(s.lastSequence(), Reply{Call: e.Call})
}

// changePolicy replaces the policy. Pending tasks stay in the queue.
func (s *State) changePolicy(p Policy) {
	s.policy = p.withDefaults()
	s.cfg.Policy = s.policy
	s.quota.configure(s.policy.Teams)
	s.queue.Configure(s.policy.queueConfig())
	s.recheckInfeasible()
	s.passNeeded = true
}

// recheckInfeasible queues infeasible jobs that have become feasible.
func (s *State) recheckInfeasible() {
	ids := make([]structs.JobID, 0, len(s.infeasibleJobs))
	for id := range s.infeasibleJobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := s.infeasibleJobs[id]
		j.infeasibleReason = s.findInfeasibleReason(j)
		if j.infeasibleReason != "" {
			continue
		}
		s.clearInfeasible(j)
		s.requeuePending(j)
	}
}

// markIfInfeasible marks a blocked job as infeasible if no worker can run its
// tasks any more. It reports whether it did so.
func (s *State) markIfInfeasible(j *job) bool {
	if s.shapeFits(j) {
		return false
	}
	s.markInfeasible(j)
	return true
}
