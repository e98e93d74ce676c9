package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// retryBase and retryMax bound the exponential backoff between attempts of
	// a job that fails.
	retryBase = time.Second
	retryMax  = 10 * time.Minute
	// badJobThreshold is the number of workers on which a job must fail,
	// without a success in between, to count as a bad job and back off.
	badJobThreshold = 3
	// throttleInterval is the minimum time between two throttle commands for
	// one attempt.
	throttleInterval = 2 * time.Second
)

// estimate holds the run time and usage of the tasks of a job, as observed in
// reports. It is not durable: a new owner starts without it.
type estimate struct {
	runs        int
	meanRunTime time.Duration     // moving average of run times
	peakUsage   structs.Resources // largest usage observed
}

// jobHealth records the outcomes of a job, to tell a bad job from a bad worker.
type jobHealth struct {
	failures      int                // since the last success
	successes     int                // at any time
	failedWorkers []structs.WorkerID // distinct workers it failed on since the last success, at most badJobThreshold
	excluded      []structs.WorkerID // workers excluded by its constraint, and failedWorkers
	retryAt       structs.Timestamp  // a bad job starts no task before this time
}

// need returns what is reserved for a task: for each resource the declared or
// recorded size, or the largest observed usage if that is more.
func (j *job) need() structs.Resources { return componentMax(j.Size, j.estimate.peakUsage) }

// estimatedRunTime returns the expected run time of a task, or 0 if it is not
// known.
func (s *State) estimatedRunTime(j *job) time.Duration {
	if j.estimate.runs > 0 {
		return j.estimate.meanRunTime
	}
	return j.Spec.RunTime
}

// recordOutcome updates the estimate and the health of the job and the health
// of the worker with the outcome of an attempt that is about to end.
func (s *State) recordOutcome(t *task, status provider.RunStatus) {
	j, a, w := t.job, t.live, s.workers[t.Worker]
	switch status {
	case provider.RunSucceeded:
		if a.running {
			j.estimate.addRunTime(s.now.Sub(a.runningSince))
		}
		s.recordDeclaration(j, false)
		j.health = jobHealth{successes: j.health.successes + 1}
		s.workerSucceeded(w, t)
	case provider.RunFailed:
		s.jobFailed(j, w.id)
		s.workerFailed(w, t)
	default:
		s.probeInconclusive(w, t)
	}
}

// addRunTime updates the moving average. The newest run time weighs a quarter,
// so an estimate that is wrong by a factor of ten is corrected within about
// eight runs.
func (e *estimate) addRunTime(d time.Duration) {
	e.runs++
	if e.runs == 1 {
		e.meanRunTime = d
		return
	}
	e.meanRunTime += (d - e.meanRunTime) / 4
}

func (s *State) jobFailed(j *job, id structs.WorkerID) {
	h := &j.health
	h.failures++
	if !slices.Contains(h.failedWorkers, id) && len(h.failedWorkers) < badJobThreshold {
		h.failedWorkers = append(h.failedWorkers, id)
		h.excluded = append(slices.Clone(j.Spec.Constraint.ExcludeWorkers), h.failedWorkers...)
	}
	if !h.isBad() {
		return
	}
	// The workers did not cause the failures of a bad job, so it may use them
	// again.
	h.excluded = j.Spec.Constraint.ExcludeWorkers
	h.retryAt = s.now.Add(s.retryDelay(j))
}

// isBad reports whether the job, not its workers, is the likely cause of the
// failures.
func (h *jobHealth) isBad() bool { return len(h.failedWorkers) >= badJobThreshold }

// retryDelay returns the delay before the next attempt of a job.
func (s *State) retryDelay(j *job) time.Duration {
	n := j.health.failures
	if n == 0 {
		return retryBase
	}
	return min(retryBase<<min(n-1, 16), retryMax)
}

// backoffUntil returns when the job may next start a task. A bad job runs one
// task at a time with exponential backoff until one succeeds.
func (s *State) backoffUntil(j *job) structs.Timestamp {
	h := &j.health
	if !h.isBad() {
		return 0
	}
	if j.placedTasks > 0 && j.Spec.Kind != structs.KindGang {
		return max(h.retryAt, s.now.Add(retryBase))
	}
	return h.retryAt
}

// observeUsage compares the usage of an attempt with its reservation. An
// attempt that uses more gets a larger reservation if its worker has free
// capacity. Otherwise it is throttled if it exceeds only its CPU reservation,
// and stopped and requeued with a larger size if it exceeds memory or
// accelerators.
func (s *State) observeUsage(w *worker, t *task, used structs.Resources) {
	a, j := t.live, t.job
	if used.Fits(a.reserved) {
		if s.now.Sub(a.runningSince) >= usageSettleTime {
			s.recordDeclaration(j, false)
		}
		return
	}
	s.recordDeclaration(j, true)
	j.estimate.peakUsage = componentMin(componentMax(j.estimate.peakUsage, roundUp(used)), w.info.Capacity)
	want := componentMax(a.reserved, used)
	if s.growReservation(w, t, want) {
		return
	}
	onlyCPU := used.MemoryBytes <= a.reserved.MemoryBytes && used.Accelerators <= a.reserved.Accelerators
	if onlyCPU {
		s.throttle(w, t)
		return
	}
	s.counters.Oversized++
	s.requestStop(t, stopRequeue)
}

func (s *State) growReservation(w *worker, t *task, want structs.Resources) bool {
	a := t.live
	delta := want.Sub(a.reserved)
	free, ok := s.index.Free(w.id)
	if !ok || !delta.Fits(free) {
		return false
	}
	s.index.Adopt(w.id, delta, "")
	s.quota.charge(t.job.Spec.Team, delta)
	cost := s.costUnit.cost(want)
	s.queue.Charge(t.job.Spec.Class, t.job.Spec.Team, cost-a.cost)
	a.cost = cost
	a.reserved = want
	return true
}

func (s *State) throttle(w *worker, t *task) {
	a := t.live
	if a.throttledAt != 0 && s.now.Sub(a.throttledAt) < throttleInterval {
		return
	}
	a.throttledAt = s.now
	s.counters.Throttled++
	b := s.outbox.batch(w.id)
	b.Throttles = append(b.Throttles, provider.AttemptRef{Task: t.ID, Attempt: t.Attempt})
}

// roundUp rounds an observed size up by at most an eighth, so that the size of
// a job rarely changes while its usage is observed.
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

// componentMin returns the smaller amount of each resource.
func componentMin(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
