package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// quarantineThreshold is the number of jobs that must fail on a worker in a
	// row before it is quarantined. A job counts once, since repeated failures
	// of one job are its own fault, unless the job has succeeded before.
	quarantineThreshold = 3
	// quarantineBase and quarantineMax bound the exponentially growing time
	// until a probe.
	quarantineBase = 30 * time.Second
	quarantineMax  = 30 * time.Minute
	// probesToPass is the number of consecutive successful probes that end a
	// quarantine.
	probesToPass = 2
	// maxProbeWait is how long a quarantined worker that is due for a probe
	// waits for a suitable task before it is released without one. Gangs and
	// services are not used as probes, so they could otherwise wait for the
	// worker forever.
	maxProbeWait = time.Minute
	// consecutiveCountRetention is the time after the end of a quarantine in
	// which a new one counts as consecutive and lasts longer than the last.
	consecutiveCountRetention = time.Hour
)

// workerHealth holds the recent failures and probes of a worker.
type workerHealth struct {
	failedJobs           []structs.JobID // distinct jobs that failed since the last success
	probeTask            structs.TaskID  // running probe of a quarantined worker
	passedProbes         int             // consecutive probes that succeeded
	lastConsecutiveCount int             // ConsecutiveCount of the last quarantine
	releasedAt           structs.Timestamp
}

func (s *State) workerSucceeded(w *worker, t *task) {
	w.health.failedJobs = nil
	if w.health.probeTask != t.ID {
		return
	}
	w.health.probeTask = ""
	w.health.passedProbes++
	if w.health.passedProbes < probesToPass {
		return
	}
	s.liftQuarantine(w)
}

func (s *State) liftQuarantine(w *worker) {
	w.health.lastConsecutiveCount = s.quarantine[w.id].ConsecutiveCount
	w.health.releasedAt = s.now
	s.record(Record{WorkerQuarantined: &WorkerQuarantined{Worker: w.id}})
	s.updateSchedulable(w)
}

func (s *State) workerFailed(w *worker, t *task) {
	h := &w.health
	if h.probeTask == t.ID {
		h.probeTask = ""
		h.passedProbes = 0
		s.quarantineWorker(w)
		return
	}
	if t.job.health.isBad() {
		return
	}
	if !slices.Contains(h.failedJobs, t.job.Spec.ID) || t.job.health.successes > 0 {
		h.failedJobs = append(h.failedJobs, t.job.Spec.ID)
	}
	if _, already := s.quarantine[w.id]; !already && len(h.failedJobs) >= quarantineThreshold {
		s.quarantineWorker(w)
	}
}

// probeInconclusive ends a probe without a result, so that another task can
// probe the worker.
func (s *State) probeInconclusive(w *worker, t *task) {
	if w.health.probeTask == t.ID {
		w.health.probeTask = ""
	}
}

// quarantineWorker keeps new tasks away from the worker, for longer each time.
// At most half of the workers are in quarantine, since failures on more of them
// have another cause.
func (s *State) quarantineWorker(w *worker) {
	current, already := s.quarantine[w.id]
	if !already && 2*(len(s.quarantine)+1) > max(len(s.workers), 2) {
		return
	}
	n := current.ConsecutiveCount + 1
	if !already && s.now.Sub(w.health.releasedAt) < consecutiveCountRetention {
		n = w.health.lastConsecutiveCount + 1
	}
	w.health.failedJobs = nil
	s.counters.Quarantined++
	until := s.now.Add(min(quarantineBase<<min(n-1, 16), quarantineMax))
	s.record(Record{WorkerQuarantined: &WorkerQuarantined{Worker: w.id, Until: until, ConsecutiveCount: n}})
	s.updateSchedulable(w)
}

// updateProbeTargets collects the quarantined workers that are due for a probe
// and requests a pass if there are any.
func (s *State) updateProbeTargets() {
	s.probeTargets = s.probeTargets[:0]
	for id, q := range s.quarantine {
		w := s.workers[id]
		due := !q.Until.After(s.now) && w != nil && w.health.probeTask == "" && w.downSince == 0 && !s.drained[id]
		if due && w.info.State == structs.Live {
			s.probeTargets = append(s.probeTargets, id)
		}
	}
	slices.Sort(s.probeTargets)
	if len(s.probeTargets) == 0 || s.queue.Len() == 0 || s.stalled() {
		return
	}
	s.passNeeded = true
	for _, id := range s.probeTargets {
		if s.now.Sub(s.quarantine[id].Until) > maxProbeWait {
			s.liftQuarantine(s.workers[id])
		}
	}
}

// probeTarget returns a quarantined worker that a task of the job may probe.
// Only batch tasks of jobs without recent failures are used.
func (s *State) probeTarget(j *job) (structs.WorkerID, bool) {
	if len(s.probeTargets) == 0 || j.Spec.Kind != structs.KindBatch || j.health.failures > 0 {
		return "", false
	}
	for _, id := range s.probeTargets {
		if w := s.workers[id]; w.health.probeTask == "" && satisfies(&j.Spec.Constraint, &w.info) {
			return id, true
		}
	}
	return "", false
}

func (s *State) startProbe(p *pass, it queue.Item, t *task, id structs.WorkerID) bool {
	s.index.SetSchedulable(id, true)
	ok := s.start(p, it, t, id)
	w := s.workers[id]
	if ok {
		w.health.probeTask = t.ID
	}
	s.index.SetSchedulable(id, false)
	return ok
}

// satisfies reports whether the worker satisfies the constraint.
func satisfies(c *structs.Constraint, w *structs.Worker) bool {
	if len(c.Regions) > 0 && !slices.Contains(c.Regions, w.Location.Region) {
		return false
	}
	if len(c.FailureDomains) > 0 && !slices.Contains(c.FailureDomains, w.Location.FailureDomain) {
		return false
	}
	for k, v := range c.Labels {
		if w.Labels[k] != v {
			return false
		}
	}
	return !slices.Contains(c.ExcludeWorkers, w.ID)
}
