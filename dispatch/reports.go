package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// applyReport applies the running and ended runs that a worker lists.
func (c *Dispatcher) applyReport(w *worker, e LeaseAnswered) {
	r := &e.Report
	if w.Incarnation != 0 && r.Incarnation != w.Incarnation {
		tokenRaised := w.reportedSinceRaise // by resetWorker
		c.incarnationEnded(w, "report of another incarnation")
		w.Incarnation = r.Incarnation
		if tokenRaised {
			// Until this incarnation has received the raised token, it carries out
			// requests that were sent to an earlier one. Its next report counts.
			c.renew(w)
			return
		}
	}
	if w.silent {
		w.silent = false
		c.logDecision(Decision{Event: "worker_back", Worker: w.ID, Value: int64(w.missedRenewals)})
	}
	c.checkLapse(w, r)
	c.reopenGrants(w)
	first := !w.known
	w.reportSentAt = e.SentAt
	w.Incarnation = r.Incarnation
	w.known, w.missedRenewals, w.nextRenewalAt = true, 0, 0
	w.clock, w.clockAt = r.Clock, c.now
	listed := make(map[string]uint64, len(r.Running)+len(r.Ended))
	for _, end := range r.Ended {
		listed[end.Task] = max(listed[end.Task], end.Run)
		c.applyEnd(w, end)
	}
	for _, running := range r.Running {
		listed[running.Task] = max(listed[running.Task], running.Run)
		c.applyRunning(w, running, first)
	}
	if !w.reportedSinceRaise {
		w.reportedSinceRaise = true
		c.countInheritedLeases(w)
	}
	w.endNumbersContinuous = true
	w.endsTruncated = r.EndsTruncated
	if !w.endsTruncated {
		c.endMissingRuns(w, listed, e.SentAt)
		c.settleCarriedOver(w)
		c.markReported(w)
	}
	c.stopPartialGangs(w)
	c.checkStalled(w)
	c.placementNeeded = true
}

// applyEnd processes a listed end unless it was processed before.
func (c *Dispatcher) applyEnd(w *worker, end workflow.EndedTask) {
	if end.Sequence <= w.processedEnd {
		return
	}
	c.checkEndNumbers(w, end)
	w.processedEnd = end.Sequence
	t := c.findReportedTask(end.Task)
	ack := pendingAck{number: end.Sequence}
	if at, ok := c.parseTaskName(end.Task); ok {
		ack.job = at.job // also of a complete occurrence, whose completion may not be stored yet
	}
	if a := w.allocations[end.Task]; a != nil && a.run == end.Run {
		if a.sends > 0 && a.openStarts > 0 {
			// A worker that forgets the run with its acknowledged end must not carry out
			// a start request of it that had no answer.
			c.raiseFencingToken(w)
		}
		c.runEnded(w, a, end)
	} else {
		c.checkLostRun(w, end.Task, end.Run, string(end.Kind))
		if t != nil {
			c.applyInheritedEnd(t, end)
		}
	}
	if ack.job != nil {
		ack.jobVersion = ack.job.version
	}
	w.pendingAcks = append(w.pendingAcks, ack)
	w.acknowledge()
}

// applyInheritedEnd processes an end of a run for which this leader has no
// allocation, such as a run of a previous leader.
func (c *Dispatcher) applyInheritedEnd(t *task, end workflow.EndedTask) {
	c.logDecision(Decision{
		Event: "run_of_previous_leader_ended", Job: t.step.job.spec.ID, Task: t.name, Run: end.Run, Reason: string(end.Kind),
	})
	if t.step.spec.LongRunning {
		t.run = max(t.run, end.Run)
		return // it is started again, however it has ended
	}
	switch end.Kind {
	case workflow.EndDone:
		if t.state != taskDone && t.step.job.active() {
			c.succeed(t)
			c.stopDuplicates(t, end.Run)
		}
	case workflow.EndFailed:
		c.fail(t, end.Run)
	}
	t.run = max(t.run, end.Run)
	c.keepCheckpoint(t, end.Checkpoint)
}

// stopDuplicates stops the other runs of a task, or of its gang, after a run has
// succeeded whose lease was assumed to have expired.
func (c *Dispatcher) stopDuplicates(t *task, run uint64) {
	for _, member := range t.step.tasks {
		if member.run != run && (member == t || t.step.spec.Gang) {
			c.stopTask(member, "another run has succeeded")
		}
	}
}

// keepCheckpoint stores the checkpoint of a run for the next run of its task or
// gang.
func (c *Dispatcher) keepCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || !t.step.spec.Checkpoints {
		return
	}
	if t.step.spec.Gang {
		t.step.checkpoint = checkpoint
		return
	}
	t.checkpoint = checkpoint
}

// applyRunning processes a listed running run. first is true for the first report
// of an incarnation.
func (c *Dispatcher) applyRunning(w *worker, r workflow.RunningTask, first bool) {
	a := w.allocations[r.Task]
	if a == nil || a.run != r.Run {
		c.checkLostRun(w, r.Task, r.Run, stateRunning)
	}
	if a == nil {
		a = c.adoptRun(w, r)
	}
	if a.run != r.Run {
		return
	}
	if a.state == taskStarting {
		c.started(w, a)
	}
	a.reportedAt, a.reportSentAt, a.carriedOver = c.now, w.reportSentAt, false
	a.confirmedAt = max(a.confirmedAt, c.now)
	if a.firstProgressAt == 0 {
		a.firstPercent, a.firstProgressAt = r.Percent, c.now
	}
	if r.Percent != a.percent || first {
		a.percent = r.Percent
		a.progressedAt = c.now
	}
	if a.task != nil {
		c.keepCheckpoint(a.task, r.Checkpoint)
	}
}

// adoptRun adds an allocation for a run that this leader did not start. It keeps
// the run if the task is waiting, and stops it otherwise.
func (c *Dispatcher) adoptRun(w *worker, r workflow.RunningTask) *allocation {
	t := c.findReportedTask(r.Task)
	// Start requests of the leader that started it may have no answer.
	a := &allocation{name: r.Task, run: r.Run, state: taskRunning, openStarts: 1, confirmedAt: c.now, startedAt: c.now, progressedAt: c.now}
	a.resources = w.Capacity // the size is no longer stored once a job has ended
	if t != nil {
		a.resources = t.step.spec.RequiredCapacity()
	}
	w.allocations[r.Task] = a
	w.used = w.used.Add(a.resources)
	if t != nil && t.state == taskWaiting && t.step.job.active() && (!t.step.spec.Gang || t.step.gangRun <= r.Run) {
		a.task = t
		delete(c.lostRuns, r.Task)
		t.state, t.worker, t.run = taskRunning, w, r.Run
		t.step.gangRun = r.Run
		t.step.unplacedTasks--
		t.step.perWorker[w.ID]++
		t.step.job.started = true
		return a
	}
	c.logDecision(Decision{Event: "stop_unknown", Task: r.Task, Worker: w.ID, Run: r.Run})
	c.sendStop(w, a)
	return a
}

// endMissingRuns ends runs that the worker had confirmed before the report was
// requested and that the report, which lists all ends, does not contain.
func (c *Dispatcher) endMissingRuns(w *worker, listed map[string]uint64, sentAt structs.Timestamp) {
	missing := w.matchingAllocations(func(a *allocation) bool {
		return !a.carriedOver && listed[a.name] < a.run && a.confirmedAt != 0 && a.confirmedAt.Before(sentAt) && a.state != taskPlaced
	})
	for _, a := range missing {
		c.runLost(w, a, lossMissing)
	}
}

// stopPartialGangs stops the members of gangs of a previous leader that have lost
// other members. breakGang handles gangs that this leader started.
func (c *Dispatcher) stopPartialGangs(w *worker) {
	if c.unreported > 0 {
		return // the other members may run on unreported workers
	}
	partial := w.matchingAllocations(func(a *allocation) bool {
		return a.state == taskRunning && a.task != nil && a.task.step.spec.Gang && a.task.step.unplacedTasks > 0
	})
	for _, a := range partial {
		c.stopTask(a.task, "gang is incomplete")
	}
}

// stallTimeout is the time without progress after which a run is considered
// stalled. The slowest tasks progress by a percent in less than a second.
const stallTimeout = 2200 * time.Millisecond

// checkStalled stops the listed runs that are stalled and gives their worker no new
// tasks for a while.
func (c *Dispatcher) checkStalled(w *worker) {
	stalled := w.matchingAllocations(func(a *allocation) bool {
		return a.task != nil && a.state == taskRunning && a.reportedAt == c.now && !a.task.step.spec.LongRunning && c.now.Sub(a.progressedAt) >= stallTimeout
	})
	for _, a := range stalled {
		if a.task.step.spec.Gang && (a.percent >= fullProgress || !a.task.step.allRunning()) {
			a.progressedAt = c.now // it is waiting for the other members
			continue
		}
		c.logDecision(Decision{Event: "task_stalled", Job: a.task.step.job.spec.ID, Task: a.name, Worker: w.ID, Run: a.run, Value: int64(a.percent)})
		w.pausedUntil = c.now.Add(c.policy.QuarantineDuration)
		a.task.avoidWorker = w.ID
		c.stopTask(a.task, "no progress")
	}
}

// fullProgress is the percentage of a gang member that has completed its own
// work.
const fullProgress = 100

// allRunning reports whether all tasks of the step are running.
func (s *step) allRunning() bool {
	for _, t := range s.tasks {
		if t.state != taskRunning {
			return false
		}
	}
	return true
}
