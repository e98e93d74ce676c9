package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// quarantineJobs is the number of jobs that must fail on a worker in a
	// row. One job alone is the job's fault unless it succeeded elsewhere.
	quarantineJobs = 3
	// quarantineBase and quarantineMax bound the growing time until a probe.
	quarantineBase = 30 * time.Second
	quarantineMax  = 30 * time.Minute
	// probesToPass is the number of probes in a row that end a quarantine.
	probesToPass = 2
	// probeWait is how long a worker that is due waits for a task that may
	// probe it. Gangs and services do not probe, so without a limit they could
	// wait for the worker without end.
	probeWait = time.Minute
	// strikeMemory is how long the last quarantine makes the next one longer.
	strikeMemory = time.Hour
)

// workerHealth is the recent record of a worker.
type workerHealth struct {
	failed   []structs.JobID // distinct jobs that failed since the last success
	probe    structs.TaskID  // running probe of a quarantined worker
	passed   int             // probes in a row that succeeded
	strikes  int             // of the last quarantine
	released structs.Timestamp
}

func (s *State) workerSucceeded(w *worker, t *task) {
	w.health.failed = nil
	if w.health.probe != t.ID {
		return
	}
	w.health.probe = ""
	w.health.passed++
	if w.health.passed < probesToPass {
		return
	}
	s.liftQuarantine(w)
}

func (s *State) liftQuarantine(w *worker) {
	w.health.strikes = s.quarantine[w.id].Strikes
	w.health.released = s.now
	s.record(Record{WorkerQuarantined: &WorkerQuarantined{Worker: w.id}})
	s.updateSchedulable(w)
}

func (s *State) workerFailed(w *worker, t *task) {
	h := &w.health
	if h.probe == t.ID {
		h.probe = ""
		h.passed = 0
		s.quarantineWorker(w)
		return
	}
	if t.job.health.isBad() {
		return
	}
	if !slices.Contains(h.failed, t.job.Spec.ID) || t.job.health.successes > 0 {
		h.failed = append(h.failed, t.job.Spec.ID)
	}
	if _, already := s.quarantine[w.id]; !already && len(h.failed) >= quarantineJobs {
		s.quarantineWorker(w)
	}
}

// probeInconclusive lets another task probe the worker.
func (s *State) probeInconclusive(w *worker, t *task) {
	if w.health.probe == t.ID {
		w.health.probe = ""
	}
}

// quarantineWorker keeps work away from the worker, each time for longer. At
// most half of the workers are in quarantine: failures everywhere have another
// cause.
func (s *State) quarantineWorker(w *worker) {
	current, already := s.quarantine[w.id]
	if !already && 2*(len(s.quarantine)+1) > max(len(s.workers), 2) {
		return
	}
	n := current.Strikes + 1
	if !already && s.now.Sub(w.health.released) < strikeMemory {
		n = w.health.strikes + 1
	}
	w.health.failed = nil
	s.counts.Quarantined++
	until := s.now.Add(min(quarantineBase<<min(n-1, 16), quarantineMax))
	s.record(Record{WorkerQuarantined: &WorkerQuarantined{Worker: w.id, Until: until, Strikes: n}})
	s.updateSchedulable(w)
}

// probeQuarantined asks for a pass when a quarantined worker is due for a
// probe.
func (s *State) probeQuarantined() {
	s.probes = s.probes[:0]
	for id, q := range s.quarantine {
		w := s.workers[id]
		due := !q.Until.After(s.now) && w != nil && w.health.probe == "" && w.down == 0 && !s.drained[id]
		if due && w.info.State == structs.Live {
			s.probes = append(s.probes, id)
		}
	}
	slices.Sort(s.probes)
	if len(s.probes) == 0 || s.queue.Len() == 0 || s.stalled() {
		return
	}
	s.dirty = true
	for _, id := range s.probes {
		if s.now.Sub(s.quarantine[id].Until) > probeWait {
			s.liftQuarantine(s.workers[id])
		}
	}
}

// probeTarget returns a quarantined worker that a task of the job may probe.
// Only batch tasks of jobs that are not suspect themselves are used.
func (s *State) probeTarget(j *job) (structs.WorkerID, bool) {
	if len(s.probes) == 0 || j.Spec.Kind != structs.KindBatch || j.health.failures > 0 {
		return "", false
	}
	for _, id := range s.probes {
		if w := s.workers[id]; w.health.probe == "" && allows(&j.Spec.Constraint, &w.info) {
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
		w.health.probe = t.ID
	}
	s.index.SetSchedulable(id, false)
	return ok
}

// allows reports whether the constraint permits the worker.
func allows(c *structs.Constraint, w *structs.Worker) bool {
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
