package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// allot takes room on a worker for a task.
func (c *Cell) allot(t *task, w *worker) *allocation {
	a := &allocation{task: t, name: t.name, resources: t.step.spec.Size(), state: taskPlaced}
	w.allocations[t.name] = a
	w.used = w.used.Add(a.resources)
	t.state, t.at = taskPlaced, w
	t.step.idle--
	t.step.perWorker[w.ID]++
	return a
}

// release gives the room of an allocation back.
func (c *Cell) release(w *worker, a *allocation) {
	delete(w.allocations, a.name)
	w.used = w.used.Sub(a.resources)
	if a.task == nil {
		return
	}
	a.task.step.perWorker[w.ID]--
	if a.task.at == w {
		a.task.at = nil
	}
	c.placeAgain = true
}

// unplace gives up a place for which no order was sent.
func (c *Cell) unplace(t *task) {
	if t.state != taskPlaced {
		return
	}
	c.release(t.at, t.at.allocations[t.name])
	t.state = taskWaiting
	t.step.idle++
}

// nextRun returns the run number of the next start of the tasks.
func (c *Cell) nextRun(tasks []*task) uint64 {
	run := (uint64(c.epoch) - 1) * runsPerEpoch
	for _, t := range tasks {
		run = max(run, t.run)
	}
	return run + 1
}

// start sends the first order for a placed task.
func (c *Cell) start(t *task, run uint64) {
	w := t.at
	a := w.allocations[t.name]
	checkpoint := t.checkpoint
	if t.step.spec.Gang {
		checkpoint = t.step.checkpoint
	}
	t.run, t.state = run, taskStarting
	a.run, a.state, a.startedAt, a.movedAt = run, taskStarting, c.now, c.now
	a.order = workflow.StartOrder{
		Task: t.name, Run: run, Spec: t.step.job.spec.Spec, Fence: c.epoch,
		Checkpoint: checkpoint, Ticket: t.step.advice[w.ID].token,
	}
	c.sendStart(w, a)
	c.decide(Decision{
		Event: "start", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Run: run, Reason: t.step.job.queue.Name,
		Value: int64(c.now.Sub(t.step.readyAt) / time.Millisecond),
	})
}

func (c *Cell) sendStart(w *worker, a *allocation) {
	deadline := c.extendLease(w)
	if deadline == 0 {
		// The leadership is not confirmed for long enough. An order that was
		// sent before keeps its own deadline.
		a.retryAt = c.now.Add(c.policy.StartRetry)
		return
	}
	a.order.Deadline = deadline
	a.sends++
	a.retryAt = c.now.Add(c.policy.StartRetry + patience(a.sends))
	c.emit(StartTask{Worker: w.Worker, Order: a.order})
}

// patience spaces repeated orders.
func patience(sends int) time.Duration { return time.Duration(sends) * 100 * time.Millisecond }

func (c *Cell) startAnswered(e StartAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	a := w.allocations[e.Task]
	if a == nil || a.run != e.Run || a.state != taskStarting {
		return
	}
	switch e.Outcome {
	case workflow.OK:
		c.started(w, a)
	case workflow.FencedOff:
		c.emit(StepDown{Worker: w.ID})
	case workflow.RunTooOld:
		// An earlier copy of this order was carried out; the lists tell how
		// the run ended. Without one the worker knows a higher run.
		if a.sends > 1 {
			a.confirmed = c.now
			return
		}
		c.rejected(w, a, e.Outcome)
	case workflow.Unanswered:
		// sent again by retryOrder
	default:
		if a.sends > 1 {
			// An earlier copy may still be carried out.
			a.task.stopping()
			c.sendStop(w, a)
			return
		}
		c.rejected(w, a, e.Outcome)
	}
}

func (c *Cell) started(w *worker, a *allocation) {
	a.state = taskRunning
	a.confirmed, a.movedAt = c.now, c.now
	if t := a.task; t != nil && t.state != taskDone {
		t.state = taskRunning
		if !t.step.job.started {
			t.step.job.started = true
			c.emit(Observation{Name: "wait_to_start", Queue: t.step.job.queue.Name, Value: c.now.Sub(t.step.job.accepted)})
		}
		c.adviseDependents(t.step)
	}
}

// rejected handles a start that was certainly not carried out.
func (c *Cell) rejected(w *worker, a *allocation, outcome workflow.Outcome) {
	c.decide(Decision{Event: "start_rejected", Task: a.name, Worker: w.ID, Run: a.run, Reason: string(outcome)})
	t := a.task
	switch outcome {
	case workflow.TicketInvalid:
		known := t.step.advice[w.ID]
		known.until = 0
		t.step.advice[w.ID] = known
	case workflow.Unhealthy:
		w.restUntil = c.now.Add(restAfterRejection)
	case workflow.NotSent:
		c.missed(w, outcome)
		w.askAt = 0
	case workflow.NoRoom:
		w.restUntil = c.now.Add(restAfterRejection)
	case workflow.LeaseOver:
		w.known = false // its clock is not what was thought
	case workflow.OtherLife:
		c.lifeEnded(w, "another incarnation answered")
		return
	}
	c.runEnded(w, a, endLost)
}

// restAfterRejection keeps new tasks from a worker that refused one.
const restAfterRejection = 500 * time.Millisecond

// runEnded releases a run that is certainly over and decides what follows.
func (c *Cell) runEnded(w *worker, a *allocation, end workflow.EndedTask) {
	c.release(w, a)
	t := a.task
	if t == nil {
		return
	}
	c.keepCheckpoint(t, end.Checkpoint)
	if end.Number != 0 {
		t.step.job.started = true // the end may arrive before the answer to the start
	}
	switch end.How {
	case workflow.EndDone:
		w.noteSuccess()
		c.observeRun(t, a)
		c.learnRunTime(t, a)
		c.succeed(t)
	case workflow.EndFailed:
		t.avoid = w.ID
		c.noteFailure(w, t.step.job.spec.ID)
		c.fail(t, a.run)
	}
	if end.How != workflow.EndDone {
		c.decide(Decision{Event: "run_ended", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Run: a.run, Reason: string(end.How), Value: int64(len(t.failedRuns))})
	}
	if t.state == taskDone {
		return
	}
	t.state = taskWaiting
	t.step.idle++
	if t.step.spec.Gang && t.step.job.active() {
		c.breakGang(t.step, a.run)
	}
}

func (c *Cell) observeRun(t *task, a *allocation) {
	c.emit(Observation{Name: "run", Queue: t.step.job.queue.Name, Value: c.now.Sub(a.startedAt)})
}

// breakGang stops the members of a run that lost one of them, so that their
// room is free for the next run.
func (c *Cell) breakGang(s *step, run uint64) {
	if s.brokenRun != run {
		s.brokenRun = run
		c.renewForRestart(s)
	}
	for _, t := range s.tasks {
		if t.run != run {
			continue
		}
		switch t.state {
		case taskPlaced:
			c.unplace(t)
		case taskStarting, taskRunning:
			c.stopTask(t, "the gang has lost a member")
		}
	}
}

// stopTask orders the stop of a started task.
func (c *Cell) stopTask(t *task, reason string) {
	w := t.at
	if w == nil {
		return
	}
	a := w.allocations[t.name]
	if a == nil || a.state == taskStopping {
		return
	}
	t.stopping()
	c.decide(Decision{Event: "stop", Job: t.step.job.spec.ID, Task: t.name, Worker: w.ID, Run: a.run, Reason: reason, Value: int64(a.percent)})
	c.sendStop(w, a)
}

// stopping notes that a run of the task is being stopped. A task that has
// succeeded in another run stays so.
func (t *task) stopping() {
	if t != nil && t.state != taskDone {
		t.state = taskStopping
	}
}

func (c *Cell) sendStop(w *worker, a *allocation) {
	if a.state != taskStopping {
		a.state = taskStopping
		a.sends = 0
		a.confirmed = 0
	}
	a.sends++
	a.retryAt = c.now.Add(c.policy.StartRetry + patience(a.sends))
	c.emit(StopTask{Worker: w.Worker, Order: workflow.StartOrder{Task: a.name, Run: a.run, Fence: c.epoch}})
}

func (c *Cell) stopAnswered(e StopAnswered) {
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
		// The end is listed; a run that never began is not, and a report
		// sent after the longest time of a stop without it shows that.
		a.confirmed = c.now.Add(c.policy.StopTime)
		a.retryAt = c.now.Add(c.policy.StopTime + stopGrace)
	case workflow.FencedOff:
		c.emit(StepDown{Worker: w.ID})
	case workflow.OtherLife:
		c.lifeEnded(w, "another incarnation answered")
	}
}

// stopGrace is added to the longest time of a stop before the order is
// repeated.
const stopGrace = 1500 * time.Millisecond

// isOrderDue reports whether an order without an answer has to be repeated.
func (c *Cell) isOrderDue(a *allocation) bool {
	return (a.state == taskStarting || a.state == taskStopping) && a.retryAt != 0 && !c.now.Before(a.retryAt)
}

// retryOrder repeats an order without an answer.
func (c *Cell) retryOrder(w *worker, a *allocation) {
	switch a.state {
	case taskStarting:
		if a.sends >= startsBeforeStop || (w.misses > 0 && a.sends > 0) {
			c.decide(Decision{Event: "start_unanswered", Task: a.name, Worker: w.ID, Run: a.run, Value: int64(a.sends)})
			a.task.stopping()
			c.sendStop(w, a)
			return
		}
		c.sendStart(w, a)
	case taskStopping:
		confirmed := a.confirmed
		c.sendStop(w, a)
		a.confirmed = confirmed
	}
}

// wall returns the time of day, for scheduled jobs.
func (c *Cell) wall() structs.Timestamp { return c.now.Add(c.wallOffset) }
