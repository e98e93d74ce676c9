package scheduler

import (
	"github.com/mangodrum/mangodrum/structs"
)

// apply changes the durable state by one record. It is the only code that
// does so, for new decisions and in replay alike. New tasks are collected in
// s.fresh and tasks that left the queue in s.dropped.
func (s *State) apply(r *Record) {
	switch {
	case r.JobAccepted != nil:
		s.applyAccepted(r.JobAccepted)
	case r.JobCancelled != nil:
		s.applyCancelled(r.JobCancelled)
	case r.JobRemoved != nil:
		s.applyRemoved(r.JobRemoved)
	case r.TaskStarted != nil:
		s.applyStarted(r.TaskStarted)
	case r.TaskEnded != nil:
		s.applyEnded(r.TaskEnded)
	case r.TaskRequeued != nil:
		s.applyRequeued(r.TaskRequeued)
	case r.WorkerDrained != nil:
		s.applyDrained(r.WorkerDrained)
	case r.WorkerQuarantined != nil:
		s.applyQuarantined(r.WorkerQuarantined)
	}
}

func (s *State) applyAccepted(r *JobAccepted) {
	j := s.jobs[r.Job.ID]
	if j == nil {
		j = &job{Spec: r.Job, Size: r.Job.Resources}
		s.jobs[r.Job.ID] = j
		s.adopt(j.addTasks(r.Job.Count, r.Job.Accepted, r.Job.NotBefore))
		return
	}
	accepted := j.Spec.Accepted
	j.Spec = r.Job
	j.Spec.Accepted = accepted
	j.Size = r.Job.Resources
	s.resize(j, r.Job.Accepted)
}

// resize brings the number of replicas to the count of an updated service.
// Replicas that wait take the new generation; those that run are replaced one
// by one.
func (s *State) resize(j *job, at structs.Timestamp) {
	active := 0
	for _, t := range j.Tasks {
		if t.Phase == phaseEnded || t.Superseded {
			continue
		}
		active++
		if t.Phase == phasePending {
			t.Generation = j.Spec.Generation
		}
	}
	if missing := j.Spec.Count - active; missing > 0 {
		s.adopt(j.addTasks(missing, at, 0))
		return
	}
	for i := len(j.Tasks) - 1; i >= 0 && active > j.Spec.Count; i-- {
		t := j.Tasks[i]
		if t.Phase == phaseEnded || t.Superseded {
			continue
		}
		active--
		if t.Phase == phasePending {
			s.end(t, structs.TaskCancelled, at, "fewer replicas are wanted")
			continue
		}
		t.Superseded = true
	}
}

// adopt makes new tasks known.
func (s *State) adopt(tasks []*task) {
	for _, t := range tasks {
		s.tasks[t.ID] = t
	}
	s.fresh = append(s.fresh, tasks...)
}

func (s *State) applyCancelled(r *JobCancelled) {
	j := s.jobs[r.Job]
	if j == nil || j.Cancelled {
		return
	}
	j.Cancelled = true
	j.Reason = r.Reason
	for _, t := range j.Tasks {
		if t.Phase == phasePending {
			s.end(t, structs.TaskCancelled, r.At, r.Reason)
		}
	}
	s.finish(j, r.At)
}

func (s *State) applyRemoved(r *JobRemoved) {
	j := s.jobs[r.Job]
	if j == nil {
		return
	}
	delete(s.jobs, r.Job)
	for _, t := range j.Tasks {
		delete(s.tasks, t.ID)
	}
}

func (s *State) applyStarted(r *TaskStarted) {
	t := s.tasks[r.Task]
	if t == nil {
		return
	}
	t.Phase = phasePlaced
	t.Attempt = r.Attempt
	t.Worker = r.Worker
	t.NotAfter = r.NotAfter
	t.Reserved = r.Resources
	t.Started = r.At
	t.NotBefore = 0
	t.Message = ""
}

func (s *State) applyEnded(r *TaskEnded) {
	t := s.tasks[r.Task]
	if t == nil || t.Phase == phaseEnded {
		return
	}
	j := t.job
	replace := j.Spec.Kind == structs.KindService && !j.Cancelled && !t.Superseded
	s.end(t, r.State, r.At, r.Message)
	if replace {
		s.adopt(j.addTasks(1, r.At, r.NotBefore))
	}
	s.finish(j, r.At)
}

// end gives the task its final state.
func (s *State) end(t *task, state structs.TaskState, at structs.Timestamp, message string) {
	if t.Phase == phasePending {
		s.dropped = append(s.dropped, t.ID)
	}
	t.Phase = phaseEnded
	t.State = state
	t.Ended = at
	t.Message = message
	t.NotAfter = 0
	t.Reserved = structs.Resources{}
	t.job.Open--
	switch state {
	case structs.TaskSucceeded:
		t.job.Done.Succeeded++
	case structs.TaskFailed:
		t.job.Done.Failed++
	default:
		t.job.Done.Cancelled++
	}
}

// finish forgets the tasks of a job that is over, and the ended replicas of a
// service once they outnumber the open ones.
func (s *State) finish(j *job, at structs.Timestamp) {
	if j.isOver() {
		j.Ended = at
		s.forgetTasks(j, 0)
		return
	}
	if j.Spec.Kind == structs.KindService && len(j.Tasks) > 2*j.Open+16 {
		s.forgetTasks(j, j.Open)
	}
}

func (s *State) forgetTasks(j *job, open int) {
	kept := make([]*task, 0, open)
	for _, t := range j.Tasks {
		if t.Phase == phaseEnded {
			delete(s.tasks, t.ID)
			continue
		}
		kept = append(kept, t)
	}
	j.Tasks = kept
}

func (s *State) applyRequeued(r *TaskRequeued) {
	t := s.tasks[r.Task]
	if t == nil || t.Phase != phasePlaced {
		return
	}
	if !r.Resources.IsZero() {
		t.job.Size = maxOf(t.job.Size, r.Resources)
	}
	if r.Replace {
		t.Superseded = true
		t.Message = r.Message
		s.adopt(t.job.addTasks(1, r.At, r.NotBefore))
		return
	}
	t.Phase = phasePending
	t.Worker = ""
	t.NotAfter = 0
	t.Reserved = structs.Resources{}
	t.NotBefore = r.NotBefore
	t.Message = r.Message
	t.Generation = t.job.Spec.Generation
	if r.Failed {
		t.Failures++
	}
}

func (s *State) applyDrained(r *WorkerDrained) {
	if r.Drain {
		s.drained[r.Worker] = true
		return
	}
	delete(s.drained, r.Worker)
}

func (s *State) applyQuarantined(r *WorkerQuarantined) {
	if r.Until == 0 {
		delete(s.quarantine, r.Worker)
		return
	}
	s.quarantine[r.Worker] = strikes{Until: r.Until, Strikes: r.Strikes}
}

// maxOf returns the larger amount of each resource.
func maxOf(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
