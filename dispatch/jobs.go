package dispatch

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// submit accepts a job, or answers a repeated submission of it.
func (c *Dispatcher) submit(e SubmitJob) {
	call := c.newPendingCall(e.Call, e.Deadline)
	call.request = e.Request
	j := c.jobs[e.Job.ID]
	if j != nil {
		if j.durable {
			c.emit(Reply{Call: e.Call, Verdict: Accepted})
			return
		}
		j.addSubmission(call)
		return
	}
	switch {
	case c.refused.contains(e.Request):
		c.refuse(e, RefusedBefore)
		return
	case !canWait(c.outages.isAway(), len(c.dirty)):
		c.refuse(e, RefusedTooManyWaiting)
		return
	case CheckSize(&e.Job, &e.Queue) != nil:
		c.refuse(e, RefusedTooLarge)
		return
	case !c.hasMemoryFor(&e.Job):
		c.refuse(e, RefusedNoMemory)
		return
	}
	j = c.newJob(e.Job, e.Queue, c.now)
	j.pendingSubmits = []pendingCall{call}
	c.updateMeanWork(j)
	c.jobs[e.Job.ID] = j
	c.markDirty(j)
	if !c.outages.isAway() {
		c.requestAdviceForNewJob(j) // tickets would expire before a commit
	}
}

// addSubmission adds a call that submits the job again. A copy of an earlier request
// waits no longer than that one.
func (j *job) addSubmission(call pendingCall) {
	for _, earlier := range j.pendingSubmits {
		if call.request != "" && earlier.request == call.request {
			call.receivedAt, call.deadline = earlier.receivedAt, earlier.deadline
			break
		}
	}
	j.pendingSubmits = append(j.pendingSubmits, call)
}

// refuse refuses a submission that was not part of any commit.
func (c *Dispatcher) refuse(e SubmitJob, reason RefusalReason) {
	verdict := c.refusalOf(e.Request)
	retryAfter := c.outages.retryAfter(c.now, e.Queue.Priority)
	if reason == RefusedNoMemory {
		retryAfter = max(retryAfter, retryAfterFull)
	}
	c.emit(Reply{Call: e.Call, Verdict: verdict, RetryAfter: retryAfter})
	c.logDecision(Decision{Event: "refuse", Job: e.Job.ID, Reason: string(reason)})
}

// refusalOf records the refusal of a request and returns the verdict for its caller.
func (c *Dispatcher) refusalOf(id RequestID) Verdict {
	if c.refused.add(id, c.now) {
		return Refused
	}
	return CommitPending
}

// newJob returns the state of a job that was accepted at the given time.
func (c *Dispatcher) newJob(spec workflow.Job, queue workflow.Queue, accepted structs.Timestamp) *job {
	j := &job{spec: spec, queue: queue, acceptedAt: accepted, visibleState: workflow.Pending}
	chain := j.spec.CriticalPath(func(step *workflow.Step) time.Duration { return c.expectStep(&j.queue, step) })
	j.objective = time.Duration(queue.StretchFactor*float64(chain)) + queue.Allowance
	if spec.Occurrences == 0 {
		c.addOccurrence(j, 0, accepted)
		j.nextDue = 1
	} else {
		c.scheduled = append(c.scheduled, j)
	}
	c.count(j)
	return j
}

// addOccurrence adds an occurrence with its steps and tasks to a job.
func (c *Dispatcher) addOccurrence(j *job, index int, due structs.Timestamp) *occurrence {
	occ := &occurrence{index: index, due: due, remainingSteps: len(j.spec.Steps)}
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		s := &step{
			job: j, occ: occ, index: n, spec: spec, name: stepName(j.spec.ID, index, n),
			expectedTime: c.expectStep(&j.queue, spec), expectedRun: c.expectRun(&j.queue, spec), remainingTasks: spec.Tasks, unplacedTasks: spec.Tasks, advice: map[structs.WorkerID]workerAdvice{}, perWorker: map[structs.WorkerID]int{},
		}
		s.tasks = make([]*task, spec.Tasks)
		for i := range s.tasks {
			s.tasks[i] = &task{step: s, index: i, name: taskName(s.name, i)}
		}
		occ.steps = append(occ.steps, s)
	}
	occ.computeChains()
	j.occurrences = append(j.occurrences, occ)
	c.count(j)
	return occ
}

// startOccurrences creates the occurrences of scheduled jobs that are due.
func (c *Dispatcher) startOccurrences() {
	c.scheduled = slices.DeleteFunc(c.scheduled, func(j *job) bool { return !j.active() })
	for _, j := range c.scheduled {
		if !j.durable {
			continue
		}
		for j.nextDue < j.spec.Occurrences {
			due := structs.Timestamp(j.spec.FirstDue + time.Duration(j.nextDue)*j.spec.Interval)
			if c.wallTime().Before(due) || len(j.occurrences) >= maxOpenOccurrences || !c.hasMemoryForOccurrence(j) || j.openTasks() >= workflow.MaxTasksPerJob {
				break
			}
			occ := c.addOccurrence(j, j.nextDue, c.now)
			j.nextDue++
			c.queueReady(occ)
		}
	}
}

// maxOpenOccurrences limits the occurrences of a job that exist at a time, so that
// their progress fits into a row. Further ones wait for the first to complete.
const maxOpenOccurrences = 500

// createOccurrencesThrough creates the occurrences up to the given index of a job of
// the previous leader. That leader has started tasks of this occurrence, so they
// were due, whatever this instance's time of day is.
func (c *Dispatcher) createOccurrencesThrough(j *job, index int) {
	if !j.active() || !j.recovered || index >= j.spec.Occurrences {
		return
	}
	tasks := 0
	for n := range j.spec.Steps {
		tasks += j.spec.Steps[n].Tasks
	}
	if index+1-j.nextDue > maxInheritedTasks/max(tasks, 1) {
		return
	}
	for ; j.nextDue <= index; j.nextDue++ {
		c.queueReady(c.addOccurrence(j, j.nextDue, c.now))
	}
	c.markDirtyDeferred(j)
}

// maxInheritedTasks limits the tasks that a report can create, in case it names an
// occurrence that was never due. The previous leader has at most MaxTasksPerJob
// open tasks, and as many that succeeded since its last commit.
const maxInheritedTasks = 2 * workflow.MaxTasksPerJob

// openTasks returns the number of tasks of the job that have not succeeded. It
// limits how many occurrences of a job exist at a time.
func (j *job) openTasks() int {
	open := 0
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			open += s.remainingTasks
		}
	}
	return open
}

// queueReady queues the steps of an occurrence whose dependencies are done.
func (c *Dispatcher) queueReady(occ *occurrence) {
	for _, s := range occ.steps {
		if s.queued || s.remainingTasks == 0 || !occ.dependenciesDone(s) {
			continue
		}
		s.queued = true
		s.readyAt = c.now
		c.ready = append(c.ready, s)
		c.placementNeeded = true
	}
}

// dependenciesDone reports whether all steps that s depends on have succeeded.
func (o *occurrence) dependenciesDone(s *step) bool {
	for _, before := range s.spec.DependsOn {
		if o.steps[before].remainingTasks > 0 {
			return false
		}
	}
	return true
}

// cancel ends an active job. The caller is answered once the end is stored.
func (c *Dispatcher) cancel(e CancelJob) {
	j := c.jobs[e.ID]
	if j == nil {
		c.emit(Reply{Call: e.Call, Verdict: NoSuchJob})
		return
	}
	if !j.active() && j.durable && j.visibleState.IsTerminal() {
		c.emit(Reply{Call: e.Call, Verdict: Accepted})
		return
	}
	j.pendingCancels = append(j.pendingCancels, c.newPendingCall(e.Call, e.Deadline))
	if j.active() {
		c.endJob(j, jobCancelled)
	}
	c.markDirty(j)
}

// endJob ends an active job and stops its runs. Callers see the new state once
// it is stored.
func (c *Dispatcher) endJob(j *job, state jobState) {
	j.state = state
	j.endedAt = c.now
	c.logDecision(Decision{Event: "job_" + string(workflowState(j)), Job: j.spec.ID, Value: int64(c.now.Sub(j.acceptedAt) / time.Millisecond)})
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			c.endStep(s)
		}
	}
	c.markDirty(j)
	j.endVersion = j.version
}

// endStep removes a step from the queue and stops its tasks.
func (c *Dispatcher) endStep(s *step) {
	for _, t := range s.tasks {
		switch t.state {
		case taskPlaced:
			c.unplace(t)
		case taskStarting, taskRunning:
			c.stopTask(t, "job has ended")
		}
	}
	c.unqueue(s)
}

func (c *Dispatcher) unqueue(s *step) {
	if n := slices.Index(c.ready, s); n >= 0 {
		c.ready = slices.Delete(c.ready, n, n+1)
	}
}

// workflowState converts the state of a job to the one shown to callers.
func workflowState(j *job) workflow.State {
	switch j.state {
	case jobDone:
		return workflow.Done
	case jobFailed:
		return workflow.Failed
	case jobCancelled:
		return workflow.Cancelled
	}
	if j.started {
		return workflow.Running
	}
	return workflow.Pending
}

// State returns the state of a job to show to callers, and whether the job is
// known. It returns a terminal state only once that state is durable.
func (c *Dispatcher) State(id structs.JobID) (workflow.State, bool) {
	j := c.jobs[id]
	if j == nil || !j.durable {
		return "", false
	}
	if j.active() {
		return workflowState(j), true
	}
	return j.visibleState, true
}

// IsPending reports whether the job was submitted but is not stored yet.
func (c *Dispatcher) IsPending(id structs.JobID) bool {
	j := c.jobs[id]
	return j != nil && !j.durable
}

// WaitingJobs returns the number of accepted jobs of a queue that have not started.
func (c *Dispatcher) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.durable && j.active() && !j.started && j.queue.Name == queue {
			n++
		}
	}
	return n
}

// succeed records the success of a task, or of a whole gang.
func (c *Dispatcher) succeed(t *task) {
	s := t.step
	if t.state == taskDone {
		return // another member has already completed the gang
	}
	if s.spec.Gang {
		for _, member := range s.tasks {
			c.taskSucceeded(member)
		}
	} else {
		c.taskSucceeded(t)
	}
	c.markDirtyDeferred(s.job)
	if s.remainingTasks > 0 || !s.job.active() {
		return
	}
	c.unqueue(s)
	s.occ.remainingSteps--
	if s.occ.remainingSteps > 0 {
		c.queueReady(s.occ)
		return
	}
	c.dropOccurrence(s.job, s.occ)
	if s.job.isComplete() {
		c.endJob(s.job, jobDone)
	}
}

// dropOccurrence forgets a completed occurrence of a scheduled job. An occurrence
// below nextDue that the job does not have is complete.
func (c *Dispatcher) dropOccurrence(j *job, occ *occurrence) {
	if j.spec.Occurrences == 0 {
		return
	}
	if n := slices.Index(j.occurrences, occ); n >= 0 {
		j.occurrences = slices.Delete(j.occurrences, n, n+1)
		c.count(j)
	}
}

// taskSucceeded marks a task as done. The allocation of a gang member remains
// until the worker lists the end of that member.
func (c *Dispatcher) taskSucceeded(t *task) {
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting || t.state == taskPlaced {
		c.unplace(t)
		t.step.unplacedTasks--
	}
	t.state = taskDone
	t.step.remainingTasks--
}

// isComplete reports whether all occurrences have been created and succeeded.
func (j *job) isComplete() bool {
	if j.spec.Occurrences > 0 && j.nextDue < j.spec.Occurrences {
		return false
	}
	for _, occ := range j.occurrences {
		if occ.remainingSteps > 0 {
			return false
		}
	}
	return true
}

// fail counts a failed run and ends the job if no attempts are left.
func (c *Dispatcher) fail(t *task, run uint64) {
	owner := t
	if t.step.spec.Gang {
		owner = t.step.tasks[0] // failed runs of a gang are counted on its first task
	}
	if run <= owner.failedThrough || slices.Contains(owner.failedRuns, run) {
		return // already counted from an earlier report
	}
	owner.addFailedRun(run)
	j := t.step.job
	c.markDirtyDeferred(j)
	limit := j.queue.MaxAttempts
	if limit > 0 && owner.failures() >= limit && !t.step.spec.LongRunning && j.active() {
		c.endJob(j, jobFailed)
	}
}

// failures returns the number of failed runs of a task.
func (t *task) failures() int { return t.failedBefore + len(t.failedRuns) }

// addFailedRun adds a failed run, and no longer lists the lowest one if there are too many.
func (t *task) addFailedRun(run uint64) {
	t.failedRuns = append(t.failedRuns, run)
	if len(t.failedRuns) <= maxListedFailedRuns {
		return
	}
	lowest := slices.Min(t.failedRuns)
	t.failedRuns = slices.DeleteFunc(t.failedRuns, func(r uint64) bool { return r == lowest })
	t.failedBefore, t.failedThrough = t.failedBefore+1, max(t.failedThrough, lowest)
}
