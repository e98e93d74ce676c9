package dispatch

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

func (c *Cell) submit(e SubmitJob) {
	j := c.jobs[e.Job.ID]
	if j != nil {
		if j.durable {
			c.emit(Reply{Ref: e.Ref, Verdict: Accepted})
			return
		}
		if c.storeAway {
			c.emit(Reply{Ref: e.Ref, Verdict: Unsettled, RetryAfter: retryAfterStore})
			return
		}
		j.waiting = append(j.waiting, e.Ref)
		return
	}
	if c.storeAway {
		c.emit(Reply{Ref: e.Ref, Verdict: Refused, RetryAfter: retryAfterStore})
		c.decide(Decision{Event: "refuse", Job: e.Job.ID, Reason: "the store is away"})
		return
	}
	j = c.newJob(e.Job, e.Queue, c.now)
	j.waiting = []Ref{e.Ref}
	c.learnWork(j)
	c.jobs[e.Job.ID] = j
	c.markDirty(j)
	c.askEarly(j)
}

// newJob builds the state of a job that was accepted at the given time.
func (c *Cell) newJob(spec workflow.Job, queue workflow.Queue, accepted structs.Timestamp) *job {
	j := &job{spec: spec, queue: queue, accepted: accepted, visible: workflow.Pending}
	chain := j.spec.Chain(func(step *workflow.Step) time.Duration { return c.expectStep(&j.queue, step) })
	j.objective = time.Duration(queue.Stretch*float64(chain)) + queue.Allowance
	if spec.Occurrences == 0 {
		c.addOccurrence(j, 0, accepted)
		j.nextDue = 1
	} else {
		c.scheduled = append(c.scheduled, j)
	}
	return j
}

func (c *Cell) addOccurrence(j *job, index int, due structs.Timestamp) *occurrence {
	occ := &occurrence{index: index, due: due, left: len(j.spec.Steps)}
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		s := &step{
			job: j, occ: occ, index: n, spec: spec, name: stepName(j.spec.ID, index, n),
			expected: c.expectStep(&j.queue, spec), left: spec.Tasks, idle: spec.Tasks, advice: map[structs.WorkerID]admission{}, perWorker: map[structs.WorkerID]int{},
		}
		s.tasks = make([]*task, spec.Tasks)
		for i := range s.tasks {
			s.tasks[i] = &task{step: s, index: i, name: taskName(s.name, i)}
		}
		occ.steps = append(occ.steps, s)
	}
	j.runs = append(j.runs, occ)
	return occ
}

// startOccurrences creates the occurrences of scheduled jobs that are due.
func (c *Cell) startOccurrences() {
	c.scheduled = slices.DeleteFunc(c.scheduled, func(j *job) bool { return !j.active() })
	for _, j := range c.scheduled {
		if !j.durable {
			continue
		}
		for j.nextDue < j.spec.Occurrences {
			due := structs.Timestamp(j.spec.FirstDue + time.Duration(j.nextDue)*j.spec.Interval)
			if c.wall().Before(due) {
				break
			}
			occ := c.addOccurrence(j, j.nextDue, c.now)
			j.nextDue++
			c.queueReady(occ)
		}
	}
}

// queueReady queues the steps of an occurrence whose predecessors are done.
func (c *Cell) queueReady(occ *occurrence) {
	for _, s := range occ.steps {
		if s.queued || s.left == 0 || !occ.satisfied(s) {
			continue
		}
		s.queued = true
		s.readyAt = c.now
		c.ready = append(c.ready, s)
		c.placeAgain = true
	}
}

func (o *occurrence) satisfied(s *step) bool {
	for _, before := range s.spec.After {
		if o.steps[before].left > 0 {
			return false
		}
	}
	return true
}

func (c *Cell) cancel(e CancelJob) {
	j := c.jobs[e.ID]
	if j == nil {
		c.emit(Reply{Ref: e.Ref, Verdict: NoSuchJob})
		return
	}
	if !j.active() && j.durable && j.visible.IsTerminal() {
		c.emit(Reply{Ref: e.Ref, Verdict: Accepted})
		return
	}
	j.cancels = append(j.cancels, e.Ref)
	if j.active() {
		c.endJob(j, jobCancelled)
	}
	c.markDirty(j)
}

// endJob ends an active job and stops what runs of it. The new state becomes
// visible with its commit.
func (c *Cell) endJob(j *job, state jobState) {
	j.state = state
	j.endedAt = c.now
	c.decide(Decision{Event: "job_" + string(visibleState(j)), Job: j.spec.ID, Value: int64(c.now.Sub(j.accepted) / time.Millisecond)})
	for _, occ := range j.runs {
		for _, s := range occ.steps {
			c.endStep(s)
		}
	}
	c.markDirty(j)
	j.endedIn = j.version
}

// endStep takes a step out of the queue and stops its tasks.
func (c *Cell) endStep(s *step) {
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

func (c *Cell) unqueue(s *step) {
	if n := slices.Index(c.ready, s); n >= 0 {
		c.ready = slices.Delete(c.ready, n, n+1)
	}
}

func visibleState(j *job) workflow.State {
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

// State returns what callers may be told of a job, and whether it is known.
// A terminal state is returned only once it is durable.
func (c *Cell) State(id structs.JobID) (workflow.State, bool) {
	j := c.jobs[id]
	if j == nil || !j.durable {
		return "", false
	}
	if j.active() {
		return visibleState(j), true
	}
	return j.visible, true
}

// IsPending reports whether a submission of the job waits for its commit.
func (c *Cell) IsPending(id structs.JobID) bool {
	j := c.jobs[id]
	return j != nil && !j.durable
}

// Waiting returns the number of accepted jobs of a queue that have not begun.
func (c *Cell) Waiting(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.durable && j.active() && !j.started && j.queue.Name == queue {
			n++
		}
	}
	return n
}

// succeed records the success of a task, or of a whole gang.
func (c *Cell) succeed(t *task) {
	s := t.step
	if t.state == taskDone {
		return // a member of a gang that is done already
	}
	if s.spec.Gang {
		for _, member := range s.tasks {
			c.taskSucceeded(member)
		}
	} else {
		c.taskSucceeded(t)
	}
	c.markProgress(s.job)
	if s.left > 0 || !s.job.active() {
		return
	}
	c.unqueue(s)
	s.occ.left--
	if s.occ.left > 0 {
		c.queueReady(s.occ)
		return
	}
	if s.job.isComplete() {
		c.endJob(s.job, jobDone)
	}
}

// taskSucceeded marks a task as done. The allocation of a gang member stays
// until its worker lists its own end.
func (c *Cell) taskSucceeded(t *task) {
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting || t.state == taskPlaced {
		c.unplace(t)
		t.step.idle--
	}
	t.state = taskDone
	t.step.left--
}

func (j *job) isComplete() bool {
	if j.spec.Occurrences > 0 && j.nextDue < j.spec.Occurrences {
		return false
	}
	for _, occ := range j.runs {
		if occ.left > 0 {
			return false
		}
	}
	return true
}

// fail counts a failed run and ends the job if its attempts are used up.
func (c *Cell) fail(t *task, run uint64) {
	owner := t
	if t.step.spec.Gang {
		owner = t.step.tasks[0] // the attempts of a gang are counted once
	}
	if slices.Contains(owner.failedRuns, run) {
		return // its worker listed it to the previous leader, too
	}
	owner.failedRuns = append(owner.failedRuns, run)
	j := t.step.job
	c.markProgress(j)
	limit := j.queue.MaxAttempts
	if limit > 0 && len(owner.failedRuns) >= limit && !t.step.spec.LongRunning && j.active() {
		c.endJob(j, jobFailed)
	}
}
