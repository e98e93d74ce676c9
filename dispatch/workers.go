package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// seeWorker takes over a directory entry.
func (c *Cell) seeWorker(seen workflow.Worker) {
	w := c.workers[seen.ID]
	if w == nil {
		w = c.addWorker(seen)
	}
	if seen.Incarnation != 0 && w.Incarnation != 0 && seen.Incarnation < w.Incarnation {
		return // an entry of an earlier life that arrives late
	}
	if seen.Incarnation != w.Incarnation || seen.Address != w.Address {
		c.lifeEnded(w, "the directory shows another incarnation")
	}
	if seen.Draining != w.Draining {
		c.decide(Decision{Event: "worker_draining", Worker: w.ID, Value: int64(seen.Remaining / time.Millisecond)})
	}
	if w.Address != seen.Address || !w.listed {
		c.workerChanged(w.ID)
	}
	if w.Draining != seen.Draining || !w.listed {
		c.placeAgain = true
	}
	w.Worker = seen
	w.listed = true
	c.renew(w)
}

func (c *Cell) addWorker(seen workflow.Worker) *worker {
	w := &worker{
		Worker: seen, allocations: map[string]*allocation{}, failedJobs: map[structs.JobID]bool{},
	}
	if c.now.Before(c.oldLeasesEnd) {
		w.unheard = true
		c.unheard++
	}
	c.workers[seen.ID] = w
	at, _ := slices.BinarySearchFunc(c.order, w, func(a, b *worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
	c.order = slices.Insert(c.order, at, w)
	c.workerChanged(w.ID)
	return w
}

func (c *Cell) unlistWorker(id structs.WorkerID) {
	if w := c.workers[id]; w != nil {
		w.listed = false
		c.decide(Decision{Event: "worker_unlisted", Worker: id})
	}
}

// lifeEnded forgets everything of a life of a worker that is certainly over.
// A worker that has not been heard stays so: its next life may run tasks of
// the previous leader, too.
func (c *Cell) lifeEnded(w *worker, reason string) {
	if !w.known && len(w.allocations) == 0 {
		return
	}
	c.decide(Decision{Event: "worker_restarted", Worker: w.ID, Reason: reason, Value: int64(len(w.allocations))})
	c.loseAll(w)
	w.known = false
	w.processed, w.acknowledged, w.unacked = 0, 0, nil
	w.clock, w.clockAt, w.deadline, w.leaseEnd = 0, 0, 0, 0
	w.failures, w.restUntil = 0, 0
	clear(w.failedJobs)
}

// loseAll ends every run on a worker whose leases are certainly over.
func (c *Cell) loseAll(w *worker) {
	for _, a := range sortedAllocations(w) {
		c.runEnded(w, a, endLost)
	}
}

// endLost is the end of a run that its worker can no longer report.
var endLost = workflow.EndedTask{How: workflow.EndLost}

// sortedAllocations returns the allocations in the order of their names, so
// that the reducer stays deterministic.
func sortedAllocations(w *worker) []*allocation {
	return w.allocationsThat(func(*allocation) bool { return true })
}

// allocationsThat returns the allocations that match, in the order of their
// names. Most calls match none and allocate nothing.
func (w *worker) allocationsThat(match func(*allocation) bool) []*allocation {
	var list []*allocation
	for _, a := range w.allocations {
		if match(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *allocation) int { return strings.Compare(a.name, b.name) })
	return list
}

// renew sends a lease renewal unless one is on its way.
func (c *Cell) renew(w *worker) {
	if w.renewing || c.now.Before(w.askAt) {
		return
	}
	w.renewing = true
	order := workflow.LeaseOrder{Fence: c.epoch, Acknowledged: w.acknowledged}
	if w.known && w.misses == 0 {
		order.Deadline = c.extendLease(w)
		order.Wait = c.policy.LeaseWait
	}
	c.emit(RenewLease{Worker: w.Worker, Order: order})
}

// extendLease returns the end of a new lease on the worker's clock, or 0 if
// none may be granted.
func (c *Cell) extendLease(w *worker) time.Duration {
	granted := min(c.policy.Lease, c.confirmed.Add(c.policy.Horizon).Sub(c.now))
	if granted <= 0 || !w.known {
		return 0
	}
	if w.misses > 0 {
		// A renewal without an answer may have been carried out. Extending the
		// lease with each try would keep a dead worker's tasks for ever.
		return w.deadline
	}
	w.deadline = max(w.deadline, w.clock+c.now.Sub(w.clockAt)+granted)
	w.leaseEnd = max(w.leaseEnd, c.now.Add(time.Duration(float64(granted)/slowClock)+leaseMargin))
	return w.deadline
}

func (c *Cell) leaseAnswered(e LeaseAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.renewing = false
	switch e.Outcome {
	case workflow.OK:
		c.report(w, e)
	case workflow.FencedOff:
		c.emit(StepDown{Worker: w.ID})
		return
	case workflow.OtherLife:
		c.lifeEnded(w, "another incarnation answered")
		w.askAt = c.now.Add(renewalRetry)
		return
	default:
		c.missed(w, e.Outcome)
		return
	}
	w.askAt = c.now.Add(renewalPause)
}

// renewalPause lets ends that come close together share one renewal; each
// renewal is billed.
const renewalPause = 60 * time.Millisecond

// renewalRetry is the pause after a renewal that failed.
const renewalRetry = 250 * time.Millisecond

func (c *Cell) missed(w *worker, outcome workflow.Outcome) {
	w.misses++
	if outcome == workflow.NotSent {
		w.misses = max(w.misses, missesBeforeSilent) // nothing listens there
	}
	if w.misses >= missesBeforeSilent && !w.silent {
		w.silent = true
		c.decide(Decision{Event: "worker_silent", Worker: w.ID, Reason: string(outcome), Value: int64(len(w.allocations))})
	}
	if w.misses == 1 {
		c.renew(w) // one lost answer is common; a short renewal tells
		return
	}
	w.askAt = c.now.Add(renewalRetry)
}

// tickWorker renews leases that are due and ends runs whose lease is over.
func (c *Cell) tickWorker(w *worker) {
	if w.misses > 0 && !w.unheard && len(w.allocations) > 0 && c.now.After(w.leaseEnd) {
		c.decide(Decision{Event: "lease_over", Worker: w.ID, Value: int64(len(w.allocations))})
		c.loseAll(w)
	}
	if w.hasLeft() && len(w.allocations) > 0 {
		c.decide(Decision{Event: "worker_left", Worker: w.ID, Value: int64(len(w.allocations))})
		c.loseAll(w)
	}
	if c.isGone(w) {
		c.decide(Decision{Event: "worker_gone", Worker: w.ID})
		c.hear(w)
	}
	if !w.listed && len(w.allocations) == 0 && w.misses > 0 && !w.unheard {
		c.removeWorker(w)
		return
	}
	c.renew(w)
	for _, a := range w.allocationsThat(c.isOrderDue) {
		c.retryOrder(w, a)
	}
}

// hasLeft reports whether a worker that was draining is gone: its entry is
// removed when it leaves, and everything on it ends with it.
func (w *worker) hasLeft() bool {
	return w.Draining && !w.listed && w.misses >= missesBeforeSilent
}

// entriesBackAfter is how long after an outage of the store the entries of
// living workers may be missing from the directory, by the platform's word
// about two seconds; an entry that is missing later means a worker that is
// gone.
const entriesBackAfter = 2500 * time.Millisecond

// isGone reports whether a worker that has not been heard cannot run tasks
// of the previous leader any more.
func (c *Cell) isGone(w *worker) bool {
	return w.unheard && !w.listed && c.directoryListed && w.misses >= missesBeforeSilent &&
		c.now.Sub(c.startedAt) >= entriesBackAfter
}

func (c *Cell) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	n := slices.Index(c.order, w)
	c.order = slices.Delete(slices.Clone(c.order), n, n+1)
	c.workerChanged(w.ID)
	c.decide(Decision{Event: "worker_removed", Worker: w.ID})
}

// report takes over what a worker says that it runs and has ended.
func (c *Cell) report(w *worker, e LeaseAnswered) {
	r := &e.Report
	if w.known && w.Incarnation != 0 && r.Incarnation != w.Incarnation {
		c.lifeEnded(w, "a report of another incarnation")
	}
	if w.silent {
		w.silent = false
		c.decide(Decision{Event: "worker_back", Worker: w.ID, Value: int64(w.misses)})
	}
	first := !w.known
	w.Incarnation = r.Incarnation
	w.known, w.misses, w.askAt = true, 0, 0
	w.clock, w.clockAt = r.Clock, c.now
	listed := make(map[string]uint64, len(r.Running)+len(r.Ended))
	for _, end := range r.Ended {
		listed[end.Task] = max(listed[end.Task], end.Run)
		c.takeEnd(w, end)
	}
	for _, running := range r.Running {
		listed[running.Task] = max(listed[running.Task], running.Run)
		c.takeRunning(w, running, first)
	}
	c.endMissing(w, listed, e.SentAt)
	c.hear(w)
	c.stopPartialGangs(w)
	c.checkStalled(w)
	c.placeAgain = true
}

// takeEnd processes one listed end, once.
func (c *Cell) takeEnd(w *worker, end workflow.EndedTask) {
	if end.Number <= w.processed {
		return
	}
	w.processed = end.Number
	t := c.findTask(end.Task)
	point := ackPoint{number: end.Number}
	if t != nil {
		point.job = t.step.job
	}
	if a := w.allocations[end.Task]; a != nil && a.run == end.Run {
		c.runEnded(w, a, end)
	} else if t != nil {
		c.endElsewhere(t, end)
	}
	if point.job != nil {
		point.version = point.job.version
	}
	w.unacked = append(w.unacked, point)
	w.acknowledge()
}

// endElsewhere processes an end of a run that this leader did not start.
func (c *Cell) endElsewhere(t *task, end workflow.EndedTask) {
	c.decide(Decision{
		Event: "run_of_previous_leader_ended", Job: t.step.job.spec.ID, Task: t.name, Run: end.Run, Reason: string(end.How),
	})
	switch end.How {
	case workflow.EndDone:
		if t.state != taskDone && t.step.job.active() {
			c.succeed(t)
			c.stopCopies(t, end.Run)
		}
	case workflow.EndFailed:
		c.fail(t, end.Run)
	}
	t.run = max(t.run, end.Run)
	c.keepCheckpoint(t, end.Checkpoint)
}

// stopCopies stops the runs of a task, or of its gang, that were started
// after the lease of a run that has succeeded was taken as over.
func (c *Cell) stopCopies(t *task, run uint64) {
	for _, member := range t.step.tasks {
		if member.run != run && (member == t || t.step.spec.Gang) {
			c.stopTask(member, "an earlier run has succeeded")
		}
	}
}

func (c *Cell) keepCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || !t.step.spec.Checkpoints {
		return
	}
	if t.step.spec.Gang {
		t.step.checkpoint = checkpoint
		return
	}
	t.checkpoint = checkpoint
}

// takeRunning processes one listed run.
func (c *Cell) takeRunning(w *worker, r workflow.RunningTask, first bool) {
	a := w.allocations[r.Task]
	if a == nil {
		a = c.adopt(w, r)
	}
	if a.run != r.Run {
		return
	}
	if a.state == taskStarting {
		c.started(w, a)
	}
	a.confirmed = max(a.confirmed, c.now)
	if r.Percent != a.percent || first {
		a.percent = r.Percent
		a.movedAt = c.now
	}
	if a.task != nil {
		c.keepCheckpoint(a.task, r.Checkpoint)
	}
}

// adopt accounts for a run that this leader did not start. It keeps the run
// if the task still waits, and stops it otherwise.
func (c *Cell) adopt(w *worker, r workflow.RunningTask) *allocation {
	t := c.findTask(r.Task)
	a := &allocation{name: r.Task, run: r.Run, state: taskRunning, confirmed: c.now, startedAt: c.now, movedAt: c.now}
	a.resources = w.Capacity // the size is no longer stored once a job has ended
	if t != nil {
		a.resources = t.step.spec.Size()
	}
	w.allocations[r.Task] = a
	w.used = w.used.Add(a.resources)
	if t != nil && t.state == taskWaiting && t.step.job.active() && (!t.step.spec.Gang || t.step.gangRun <= r.Run) {
		a.task = t
		t.state, t.at, t.run = taskRunning, w, r.Run
		t.step.gangRun = r.Run
		t.step.idle--
		t.step.perWorker[w.ID]++
		t.step.job.started = true
		return a
	}
	c.decide(Decision{Event: "stop_unknown", Task: r.Task, Worker: w.ID, Run: r.Run})
	c.sendStop(w, a)
	return a
}

// endMissing ends runs that the worker had confirmed and no longer lists.
func (c *Cell) endMissing(w *worker, listed map[string]uint64, sentAt structs.Timestamp) {
	missing := w.allocationsThat(func(a *allocation) bool {
		return listed[a.name] < a.run && a.confirmed != 0 && a.confirmed.Before(sentAt) && a.state != taskPlaced
	})
	for _, a := range missing {
		c.decide(Decision{Event: "run_missing", Task: a.name, Worker: w.ID, Run: a.run})
		c.runEnded(w, a, endLost)
	}
}

// stopPartialGangs stops members of a gang that a previous leader started and
// that lost others since. Gangs of this leader are broken up at once.
func (c *Cell) stopPartialGangs(w *worker) {
	if c.unheard > 0 {
		return // the other members may run on workers that have not answered
	}
	partial := w.allocationsThat(func(a *allocation) bool {
		return a.state == taskRunning && a.task != nil && a.task.step.spec.Gang && a.task.step.idle > 0
	})
	for _, a := range partial {
		c.stopTask(a.task, "the gang is incomplete")
	}
}

// stalledAfter is the time without progress after which a task is taken as
// hanging: the slowest tasks move by a percent in less than a second.
const stalledAfter = 2200 * time.Millisecond

// checkStalled stops tasks that make no progress and lets the worker rest.
func (c *Cell) checkStalled(w *worker) {
	stalled := w.allocationsThat(func(a *allocation) bool {
		return a.task != nil && a.state == taskRunning && !a.task.step.spec.LongRunning && c.now.Sub(a.movedAt) >= stalledAfter
	})
	for _, a := range stalled {
		if a.task.step.spec.Gang && (a.percent >= complete || !a.task.step.allRunning()) {
			a.movedAt = c.now // it waits for the other members
			continue
		}
		c.decide(Decision{Event: "task_stalled", Job: a.task.step.job.spec.ID, Task: a.name, Worker: w.ID, Run: a.run, Value: int64(a.percent)})
		w.restUntil = c.now.Add(c.policy.QuarantineFor)
		a.task.avoid = w.ID
		c.stopTask(a.task, "no progress")
	}
}

// complete is the progress of a gang member whose own work is done.
const complete = 100

func (s *step) allRunning() bool {
	for _, t := range s.tasks {
		if t.state != taskRunning {
			return false
		}
	}
	return true
}

// noteFailure counts a failed run against its worker; failures of two jobs
// without a success between them point to the worker.
func (c *Cell) noteFailure(w *worker, id structs.JobID) {
	w.failures++
	w.failedJobs[id] = true
	const jobsThatPointToWorker = 2
	if len(w.failedJobs) >= jobsThatPointToWorker && !c.now.Before(w.restUntil) {
		w.restUntil = c.now.Add(c.policy.QuarantineFor)
		c.decide(Decision{Event: "quarantine", Worker: w.ID, Value: int64(w.failures)})
	}
}

func (w *worker) noteSuccess() {
	w.failures = 0
	clear(w.failedJobs)
}
