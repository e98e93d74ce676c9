package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// allocate reserves the resources of a task on a worker and marks the task as
// placed.
func (c *Dispatcher) allocate(t *task, w *worker) *allocation {
	a := &allocation{task: t, name: t.name, resources: t.step.spec.RequiredCapacity(), state: taskPlaced}
	w.allocations[t.name] = a
	w.used = w.used.Add(a.resources)
	t.state, t.worker = taskPlaced, w
	t.step.unplacedTasks--
	t.step.perWorker[w.ID]++
	return a
}

// release frees the resources of an allocation.
func (c *Dispatcher) release(w *worker, a *allocation) {
	delete(w.allocations, a.name)
	w.used = w.used.Sub(a.resources)
	if a.task == nil {
		return
	}
	a.task.step.perWorker[w.ID]--
	if a.task.worker == w {
		a.task.worker = nil
	}
	c.placementNeeded = true
}

// unplace returns a placed task, for which no start request was sent, to the
// waiting state.
func (c *Dispatcher) unplace(t *task) {
	if t.state != taskPlaced {
		return
	}
	c.release(t.worker, t.worker.allocations[t.name])
	t.state = taskWaiting
	t.step.unplacedTasks++
}

// nextRun returns the run number for the next start of the tasks. It is higher
// than all their earlier run numbers, including those of previous leaders.
func (c *Dispatcher) nextRun(tasks []*task) uint64 {
	run := (uint64(c.epoch) - 1) * runsPerEpoch
	for _, t := range tasks {
		run = max(run, t.run)
	}
	return run + 1
}

// start sends the first start request for a placed task.
func (c *Dispatcher) start(t *task, run uint64) {
	w := t.worker
	a := w.allocations[t.name]
	checkpoint := t.checkpoint
	if t.step.spec.Gang {
		checkpoint = t.step.checkpoint
	}
	if t.lostRun != nil {
		c.logDecision(Decision{Event: "run_replaced", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Run: run, Reason: t.lostRun.Reason, Earlier: t.lostRun})
		t.lostRun = nil
	}
	t.run, t.state = run, taskStarting
	a.run, a.state, a.startedAt, a.progressedAt = run, taskStarting, c.now, c.now
	a.startOrder = workflow.StartOrder{
		Task: t.name, Run: run, Spec: t.step.job.spec.Spec, Checkpoint: checkpoint, Ticket: t.step.advice[w.ID].token,
	}
	c.sendStart(w, a)
	c.logDecision(Decision{
		Event: "start", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Incarnation: w.Incarnation, Run: run, Reason: t.step.job.queue.Name,
		Value: int64(c.now.Sub(t.step.readyAt) / time.Millisecond),
	})
}

// sendStart sends a start request for the first time or again, with an extended
// lease.
func (c *Dispatcher) sendStart(w *worker, a *allocation) {
	deadline := c.extendLease(w)
	if deadline == 0 {
		// No lease can be granted because the last confirmation of the
		// leadership is too old. A request that was sent earlier keeps its
		// deadline.
		a.retryAt = c.now.Add(c.policy.StartRetryDelay)
		return
	}
	a.startOrder.Deadline, a.startOrder.FencingToken = deadline, c.fencingToken(w)
	a.sends++
	a.openStarts++
	a.sentAt = c.now
	a.retryAt = c.now.Add(c.policy.StartRetryDelay + resendBackoff(a.sends))
	c.emit(StartTask{Worker: w.Worker, Order: a.startOrder})
}

// resendBackoff returns the additional delay before the next resend of a
// request.
func resendBackoff(sends int) time.Duration { return time.Duration(sends) * 100 * time.Millisecond }

func (c *Dispatcher) startAnswered(e StartAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	a := w.allocations[e.Task]
	if a == nil || a.run != e.Run {
		return
	}
	if e.Outcome != workflow.Unanswered {
		a.openStarts--
		a.startAnsweredAt = c.now
	}
	if a.state != taskStarting {
		return
	}
	if e.Outcome == workflow.OtherIncarnation {
		w.askAgain()
	}
	switch e.Outcome {
	case workflow.OK:
		c.started(w, a)
	case workflow.Fenced:
		c.requestFenced(w, e.FencingToken)
	case workflow.RunTooOld:
		// If the request was sent before, an earlier copy was carried out, and
		// the worker's reports tell how the run ended. Otherwise the worker knows
		// a higher run number.
		if a.sends > 1 {
			a.confirmedAt = c.now
			return
		}
		c.startRejected(w, a, e.Outcome)
	case workflow.Unanswered, workflow.Dropped:
		// resent by resend
	default:
		if a.sends > 1 {
			// An earlier copy of the request may still be carried out.
			a.task.markStopping()
			c.sendStop(w, a)
			return
		}
		c.startRejected(w, a, e.Outcome)
	}
}

// started records that a run is running on its worker.
func (c *Dispatcher) started(w *worker, a *allocation) {
	a.state = taskRunning
	a.confirmedAt, a.progressedAt = c.now, c.now
	if t := a.task; t != nil && t.state != taskDone {
		t.state = taskRunning
		if !t.step.job.started {
			t.step.job.started = true
			c.emit(Observation{Name: "wait_to_start", Queue: t.step.job.queue.Name, Value: c.now.Sub(t.step.job.acceptedAt)})
		}
		c.requestAdviceForDependents(t.step)
	}
}

// startRejected handles a start request that was certainly not carried out.
func (c *Dispatcher) startRejected(w *worker, a *allocation, outcome workflow.Outcome) {
	c.logDecision(Decision{Event: "start_rejected", Task: a.name, Worker: w.ID, Run: a.run, Reason: string(outcome)})
	t := a.task
	switch outcome {
	case workflow.TicketInvalid:
		known := t.step.advice[w.ID]
		known.expiresAt = 0
		t.step.advice[w.ID] = known
	case workflow.Unhealthy:
		w.pausedUntil = c.now.Add(pauseAfterRejection)
	case workflow.NotSent:
		c.renewalMissed(w, outcome)
		w.nextRenewalAt = 0
	case workflow.InsufficientCapacity:
		w.pausedUntil = c.now.Add(pauseAfterRejection)
	case workflow.LeaseExpired:
		w.known = false // its clock differs from the assumed one
	}
	c.runLost(w, a, lossRejected)
}

// pauseAfterRejection is how long a worker gets no new tasks after it rejected
// one.
const pauseAfterRejection = 500 * time.Millisecond

// runEnded releases the allocation of a run that is certainly over and updates
// the task, its worker and its job.
func (c *Dispatcher) runEnded(w *worker, a *allocation, end workflow.EndedTask) {
	c.release(w, a)
	t := a.task
	if t == nil {
		return
	}
	c.keepCheckpoint(t, end.Checkpoint)
	if end.Sequence != 0 {
		t.step.job.started = true // the end may arrive before the answer to the start request
		t.endedAt = c.now
	}
	switch {
	case t.step.spec.LongRunning:
		c.lastingRunEnded(w, a, end)
	case end.Kind == workflow.EndDone:
		w.recordSuccess()
		c.observeRun(t, a)
		c.learnRunTime(t, a)
		c.succeed(t)
	case end.Kind == workflow.EndFailed:
		t.avoidWorker = w.ID
		c.recordFailure(w, t.step.job.spec.ID)
		c.fail(t, a.run)
	}
	if end.Kind != workflow.EndDone && end.Kind != workflow.EndLost {
		c.logDecision(Decision{Event: "run_ended", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Run: a.run, Reason: string(end.Kind), Value: int64(t.failures())})
	}
	if t.state == taskDone {
		return
	}
	t.state = taskWaiting
	t.step.unplacedTasks++
	if t.step.spec.Gang && t.step.job.active() {
		c.breakGang(t.step, a.run)
	}
}

// observeRun reports the run time of a successful run.
func (c *Dispatcher) observeRun(t *task, a *allocation) {
	c.emit(Observation{Name: "run", Queue: t.step.job.queue.Name, Value: c.now.Sub(a.startedAt)})
}

// breakGang stops the remaining members of a gang run that lost a member, so that
// their capacity becomes free for the next run.
func (c *Dispatcher) breakGang(s *step, run uint64) {
	if s.brokenRun != run {
		s.brokenRun = run
		c.renewBrokenGangTickets(s)
	}
	for _, t := range s.tasks {
		if t.run != run {
			continue
		}
		switch t.state {
		case taskPlaced:
			c.unplace(t)
		case taskStarting, taskRunning:
			c.stopTask(t, "gang lost a member")
		}
	}
}

// stopTask stops a started task.
func (c *Dispatcher) stopTask(t *task, reason string) {
	w := t.worker
	if w == nil {
		return
	}
	a := w.allocations[t.name]
	if a == nil || a.state == taskStopping {
		return
	}
	t.markStopping()
	c.logDecision(Decision{Event: "stop", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Run: a.run, Reason: reason, Value: int64(a.percent)})
	c.sendStop(w, a)
}

// markStopping records that a run of the task is being stopped. A task that has
// succeeded in another run remains done. The task may be nil.
func (t *task) markStopping() {
	if t != nil && t.state != taskDone {
		t.state = taskStopping
	}
}

// sendStop sends a stop request for the first time or again.
func (c *Dispatcher) sendStop(w *worker, a *allocation) {
	if a.state != taskStopping {
		a.state = taskStopping
		a.sends = 0
		a.confirmedAt = 0
	}
	a.sends++
	a.retryAt = c.now.Add(c.policy.StartRetryDelay + resendBackoff(a.sends))
	c.emit(StopTask{Worker: w.Worker, Order: workflow.StartOrder{Task: a.name, Run: a.run, FencingToken: c.fencingToken(w)}})
}

func (c *Dispatcher) stopAnswered(e StopAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	a := w.allocations[e.Task]
	if a == nil || a.run != e.Run || a.state != taskStopping {
		return
	}
	switch e.Outcome {
	case workflow.OK:
		// The worker will list the end of the run. If the run never started,
		// the worker does not list it; this is known from a report requested
		// after the longest time that a stop can take.
		a.confirmedAt = c.now.Add(c.policy.MaxStopTime)
		a.retryAt = c.now.Add(c.policy.MaxStopTime + stopGrace)
	case workflow.Fenced:
		c.requestFenced(w, e.FencingToken)
	case workflow.OtherIncarnation:
		w.askAgain()
	}
}

// askAgain makes a renewal due, whose answer shows whether the worker is still at
// its address. Until then it gets no new tasks.
func (w *worker) askAgain() { w.known, w.nextRenewalAt = false, 0 }

// stopGrace is added to the longest time that a stop can take before the stop
// request is sent again.
const stopGrace = 1500 * time.Millisecond

// isResendDue reports whether an unanswered request has to be sent again. A request of
// a run that is carried over is not: settleCarriedOver decides on the run.
func (c *Dispatcher) isResendDue(a *allocation) bool {
	return !a.carriedOver && (a.state == taskStarting || a.state == taskStopping) && a.retryAt != 0 && !c.now.Before(a.retryAt)
}

// resend sends an unanswered request again. After maxStartSends start requests,
// or if the worker misses renewals, it stops the run instead.
func (c *Dispatcher) resend(w *worker, a *allocation) {
	switch a.state {
	case taskStarting:
		if a.sends >= maxStartSends || (w.missedRenewals > 0 && a.sends > 0) {
			c.logDecision(Decision{Event: "start_unanswered", Task: a.name, Worker: w.ID, Run: a.run, Value: int64(a.sends)})
			a.task.markStopping()
			c.sendStop(w, a)
			return
		}
		c.sendStart(w, a)
	case taskStopping:
		confirmed := a.confirmedAt
		c.sendStop(w, a)
		a.confirmedAt = confirmed
	}
}

// wallTime returns the time of day, for scheduled jobs.
func (c *Dispatcher) wallTime() structs.Timestamp { return c.now.Add(c.wallOffset) }
