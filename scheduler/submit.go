package scheduler

import (
	"bytes"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// maxCount bounds the tasks of one job. Callers split larger arrays.
	maxCount = 100_000
	// maxEndedJobs bounds the ended jobs kept for repeated submissions, about
	// 1 KB each.
	maxEndedJobs = 20_000
	// maxRemoved bounds the removals of one tick.
	maxRemoved = 500
)

func (s *State) submit(e SubmitJob) {
	if err := s.validate(&e.Job); err != nil {
		s.replyError(e.Call, err)
		return
	}
	if j := s.jobs[e.Job.ID]; j != nil {
		s.resubmit(e, j)
		return
	}
	if err := s.admissible(&e.Job); err != nil {
		s.replyError(e.Call, err)
		return
	}
	s.accept(e)
}

func (s *State) accept(e SubmitJob) {
	e.Job.Accepted = s.now
	s.record(Record{JobAccepted: &JobAccepted{Job: e.Job}})
	j := s.jobs[e.Job.ID]
	j.seq = s.nextSequence()
	s.replyAfter(j.seq, Reply{Call: e.Call, Job: j.Spec})
	s.trackRolling(j)
}

// admissible returns an error if a valid job cannot be accepted now.
func (s *State) admissible(j *structs.Job) error {
	if s.stalled() {
		return errStalled(s.cfg.Shard)
	}
	c, _ := s.policy.class(j.Class)
	if c.MaxDepth <= 0 || c.Urgency == structs.Deferrable {
		return nil
	}
	if depth := s.queue.Depth(j.Class); depth+j.Count > c.MaxDepth {
		return errs.New(errs.NotRun, "send it again later, or raise the depth of the class",
			"class %s has %d of %d pending tasks and the job brings %d", j.Class, depth, c.MaxDepth, j.Count)
	}
	return nil
}

// resubmit handles a job whose identifier exists: a repeated submission, the
// update of a service, or a conflict.
func (s *State) resubmit(e SubmitJob, j *job) {
	if sameJob(e.Job, j.Spec) {
		s.replyAfter(j.seq, Reply{Call: e.Call, Job: j.Spec})
		return
	}
	isUpdate := j.Spec.Kind == structs.KindService && e.Job.Kind == structs.KindService && !j.Cancelled
	if !isUpdate || e.Job.Generation <= j.Spec.Generation || e.Job.Team != j.Spec.Team || e.Job.Class != j.Spec.Class {
		s.replyError(e.Call, errs.New(errs.Conflict,
			"use a new identifier, or for a service a generation above the current one with the same team and class",
			"job %q exists with other contents (generation %d)", j.Spec.ID, j.Spec.Generation))
		return
	}
	if s.stalled() {
		s.replyError(e.Call, errStalled(s.cfg.Shard))
		return
	}
	s.clearInfeasible(j)
	s.accept(e)
	s.requeuePending(j)
}

// sameJob reports whether two jobs are equal apart from the acceptance time. It
// compares their encodings, in which an empty list equals an absent one,
// because a restored job has been encoded and decoded.
func sameJob(a, b structs.Job) bool {
	a.Accepted, b.Accepted = 0, 0
	x, errX := canonicalEncoding.Marshal(a)
	y, errY := canonicalEncoding.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func (s *State) validate(j *structs.Job) error {
	switch {
	case j.ID == "":
		return errs.New(errs.InvalidInput, "set an identifier", "the job has no identifier")
	case j.Count < 1 || j.Count > maxCount:
		return errs.New(errs.InvalidInput, "set count between 1 and 100000", "job %q has count %d", j.ID, j.Count)
	case j.Resources.IsNegative():
		return errs.New(errs.InvalidInput, "set each resource to 0 or more", "job %q has negative resources: %s", j.ID, j.Resources)
	case j.Resources.IsZero():
		return errs.New(errs.InvalidInput, "set milli_cpu, memory_bytes or accelerators", "job %q needs no resources", j.ID)
	case j.Kind != structs.KindService && j.Kind != structs.KindBatch && j.Kind != structs.KindGang:
		return errs.New(errs.InvalidInput, "set kind to service, batch or gang", "job %q has kind %q", j.ID, j.Kind)
	case j.MinAvailable < 0 || j.MinAvailable > j.Count:
		return errs.New(errs.InvalidInput, "set min_available between 0 and count", "job %q has min_available %d of %d", j.ID, j.MinAvailable, j.Count)
	case j.RunTime < 0 || j.MaxAttempts < 0 || j.NotBefore < 0:
		return errs.New(errs.InvalidInput, "set run_time, max_attempts and not_before to 0 or more", "job %q has a negative field", j.ID)
	}
	if _, ok := s.policy.Teams[j.Team]; !ok {
		return errs.New(errs.InvalidInput, "add the team to the settings, or correct its name", "job %q has the unknown team %q", j.ID, j.Team)
	}
	if _, ok := s.policy.class(j.Class); !ok {
		return errs.New(errs.InvalidInput, "declare the class in the settings, or correct its name", "job %q has the unknown class %q", j.ID, j.Class)
	}
	return nil
}

func (s *State) cancel(e CancelJob) {
	j := s.jobs[e.Job]
	if j == nil {
		s.replyError(e.Call, errs.New(errs.NotFound, "list the jobs of the shard", "job %q does not exist", e.Job))
		return
	}
	if !j.Cancelled && j.Ended == 0 {
		if s.stalled() {
			s.replyError(e.Call, errStalled(s.cfg.Shard))
			return
		}
		s.cancelJob(j, "cancelled by its owner")
	}
	// The end of the job's last task may be recorded but not durable yet, and a
	// new owner would then find the job still open.
	s.replyAfter(max(j.seq, s.lastSequence()), Reply{Call: e.Call, Job: j.Spec})
}

// cancelJob ends the pending tasks of the job and stops the others. Its cost
// is linear in the number of tasks.
func (s *State) cancelJob(j *job, reason string) {
	s.clearInfeasible(j)
	s.queue.Remove(gangItemID(j))
	s.claims.release(s, j)
	s.record(Record{JobCancelled: &JobCancelled{Job: j.Spec.ID, At: s.now, Reason: reason}})
	j.seq = s.nextSequence()
	delete(s.rolling, j.Spec.ID)
	for _, t := range j.Tasks {
		if t.Phase == phasePlaced {
			s.requestStop(t, stopFinal)
		}
	}
	s.trackEnded(j)
	s.passNeeded = true
}

// enqueue adds a pending task to the queue, as part of its gang for a gang. If
// the job is infeasible, it marks the job instead.
func (s *State) enqueue(t *task) {
	j := t.job
	if t.Phase != phasePending {
		return
	}
	if j.infeasibleReason == "" && !s.isFeasible(j) {
		s.markInfeasible(j)
	}
	if j.infeasibleReason != "" {
		return
	}
	s.decideProbation(j)
	if j.Spec.Kind == structs.KindGang {
		s.enqueueGang(j)
		return
	}
	s.push(queue.Item{
		ID: t.ID, Job: j.Spec.ID, PlacementKey: j.placementKey(), Team: j.Spec.Team, Class: j.Spec.Class, Resources: j.need(),
		Enqueued: t.Enqueued, NotBefore: t.NotBefore, Cost: s.costUnit.cost(j.need()),
	})
}

// push adds an item to the queue. The depth limit of the class is not checked
// again, since it was checked when the job was accepted. A class that
// the policy no longer has keeps its configuration in the queue.
func (s *State) push(it queue.Item) {
	if !it.NotBefore.After(s.now) {
		it.NotBefore = 0
	}
	s.queue.PushAdmitted(it)
	s.passNeeded = true
}

// requeuePending pushes all pending tasks of the job again after its size,
// constraint or state changed.
func (s *State) requeuePending(j *job) {
	for _, t := range j.Tasks {
		s.enqueue(t)
	}
}

// trackEnded adds a job that has ended to the list for removal after the
// retention.
func (s *State) trackEnded(j *job) {
	if j.Ended != 0 {
		s.ended = append(s.ended, endedJob{j.Spec.ID, j.Ended})
		delete(s.rolling, j.Spec.ID)
	}
}

// removeEndedJobs removes ended jobs after the retention, and the oldest ones
// earlier if there are more than maxEndedJobs.
func (s *State) removeEndedJobs() {
	for n := 0; n < maxRemoved && len(s.ended) > 0 && !s.stalled(); n++ {
		first := s.ended[0]
		if s.now.Sub(first.at) <= s.policy.Retention && len(s.ended) <= maxEndedJobs {
			return
		}
		s.ended = s.ended[1:]
		if s.jobs[first.id] != nil {
			s.record(Record{JobRemoved: &JobRemoved{Job: first.id}})
		}
	}
}
