package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// retryBase and retryMax bound the growing delay between attempts of a job
	// that fails.
	retryBase = time.Second
	retryMax  = 10 * time.Minute
	// badJobWorkers is the number of workers on which a job must fail, without
	// a success in between, to be held as a bad job.
	badJobWorkers = 3
	// throttleEvery is the time between two throttles of one attempt.
	throttleEvery = 2 * time.Second
)

// estimate is what reports taught about the tasks of a job. It is not
// durable: a new owner learns again.
type estimate struct {
	runs int
	mean time.Duration     // moving average of run times
	peak structs.Resources // largest usage seen
}

// jobHealth tells a bad job from a bad worker.
type jobHealth struct {
	failures  int                // since the last success
	successes int                // at any time
	workers   []structs.WorkerID // distinct workers it failed on since the last success, at most badJobWorkers
	exclude   []structs.WorkerID // of its constraint, and workers
	until     structs.Timestamp  // a bad job starts nothing before
}

// need is what is reserved for a task: the declared or recorded size, or the
// largest usage seen if that is more.
func (j *job) need() structs.Resources { return maxOf(j.Size, j.estimate.peak) }

// runTimeOf estimates the run time of a task; 0 means that it is not known.
func (s *State) runTimeOf(j *job) time.Duration {
	if j.estimate.runs > 0 {
		return j.estimate.mean
	}
	return j.Spec.RunTime
}

// learn takes over the outcome of an attempt that is about to be settled.
func (s *State) learn(t *task, status provider.RunStatus) {
	j, a, w := t.job, t.live, s.workers[t.Worker]
	switch status {
	case provider.RunSucceeded:
		if a.running {
			j.estimate.observe(s.now.Sub(a.since))
		}
		s.observeDeclaration(j, false)
		j.health = jobHealth{successes: j.health.successes + 1}
		s.workerSucceeded(w, t)
	case provider.RunFailed:
		s.jobFailed(j, w.id)
		s.workerFailed(w, t)
	default:
		s.probeInconclusive(w, t)
	}
}

// observe adds a run time. The newest one weighs a quarter, so an estimate
// that is off by ten times is corrected within about eight runs.
func (e *estimate) observe(d time.Duration) {
	e.runs++
	if e.runs == 1 {
		e.mean = d
		return
	}
	e.mean += (d - e.mean) / 4
}

func (s *State) jobFailed(j *job, id structs.WorkerID) {
	h := &j.health
	h.failures++
	if !slices.Contains(h.workers, id) && len(h.workers) < badJobWorkers {
		h.workers = append(h.workers, id)
		h.exclude = append(slices.Clone(j.Spec.Constraint.ExcludeWorkers), h.workers...)
	}
	if !h.isBad() {
		return
	}
	// A bad job may run anywhere again: its workers are not to blame.
	h.exclude = j.Spec.Constraint.ExcludeWorkers
	h.until = s.now.Add(s.retryDelay(j))
}

// isBad reports whether the job, not its workers, is the likely cause of the
// failures.
func (h *jobHealth) isBad() bool { return len(h.workers) >= badJobWorkers }

// retryDelay is the delay before the next attempt of a job.
func (s *State) retryDelay(j *job) time.Duration {
	n := j.health.failures
	if n == 0 {
		return retryBase
	}
	return min(retryBase<<min(n-1, 16), retryMax)
}

// heldBackUntil returns when the job may next start a task. A bad job runs one
// task at a time with a growing delay until one succeeds.
func (s *State) heldBackUntil(j *job) structs.Timestamp {
	h := &j.health
	if !h.isBad() {
		return 0
	}
	if j.placed > 0 && j.Spec.Kind != structs.KindGang {
		return max(h.until, s.now.Add(retryBase))
	}
	return h.until
}

// observeUsage compares what an attempt uses with what is reserved for it. The
// reservation grows if its worker has room; otherwise the attempt is throttled
// if it exceeds processors only, and stopped and requeued with a larger size
// if it exceeds memory or accelerators.
func (s *State) observeUsage(w *worker, t *task, used structs.Resources) {
	a, j := t.live, t.job
	if used.Fits(a.reserved) {
		if s.now.Sub(a.since) >= usageLag {
			s.observeDeclaration(j, false)
		}
		return
	}
	s.observeDeclaration(j, true)
	j.estimate.peak = atMost(maxOf(j.estimate.peak, roundUp(used)), w.info.Capacity)
	want := maxOf(a.reserved, used)
	if s.growReservation(w, t, want) {
		return
	}
	onlyCPU := used.MemoryBytes <= a.reserved.MemoryBytes && used.Accelerators <= a.reserved.Accelerators
	if onlyCPU {
		s.throttle(w, t)
		return
	}
	s.counts.Oversized++
	s.stop(t, stopRequeue)
}

func (s *State) growReservation(w *worker, t *task, want structs.Resources) bool {
	a := t.live
	delta := want.Sub(a.reserved)
	free, ok := s.index.Free(w.id)
	if !ok || !delta.Fits(free) {
		return false
	}
	s.index.Adopt(w.id, delta, "")
	s.quota.take(t.job.Spec.Team, delta)
	cost := s.unit.cost(want)
	s.queue.Charge(t.job.Spec.Class, t.job.Spec.Team, cost-a.cost)
	a.cost = cost
	a.reserved = want
	return true
}

func (s *State) throttle(w *worker, t *task) {
	a := t.live
	if a.throttled != 0 && s.now.Sub(a.throttled) < throttleEvery {
		return
	}
	a.throttled = s.now
	s.counts.Throttled++
	b := s.outbox.batch(w.id)
	b.Throttles = append(b.Throttles, provider.AttemptRef{Task: t.ID, Attempt: t.Attempt})
}

// roundUp rounds a learned size up by at most an eighth, so that the size of a
// job changes rarely while its usage is learned.
func roundUp(r structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: roundUpEighth(r.MilliCPU), MemoryBytes: roundUpEighth(r.MemoryBytes), Accelerators: r.Accelerators,
	}
}

func roundUpEighth(n int64) int64 {
	step := int64(1)
	for step*16 <= n {
		step *= 2
	}
	return (n + step - 1) / step * step
}

// atMost returns the smaller amount of each resource.
func atMost(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
