package scheduler

import (
	"github.com/mangodrum/mangodrum/structs"
)

// apply changes the durable state by one record. All changes of the durable
// state, for new decisions and during replay, go through it. It collects new
// tasks in s.newTasks and pending tasks that ended in s.dequeued.
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
		s.addNewTasks(j.addTasks(r.Job.Count, r.Job.Accepted, r.Job.NotBefore))
		return
	}
	accepted := j.Spec.Accepted
	j.Spec = r.Job
	j.Spec.Accepted = accepted
	j.Size = r.Job.Resources
	s.resizeService(j, r.Job.Accepted)
}

// resizeService adds or ends replicas until their number is the count of the
// updated service. Pending replicas take the new generation at once; placed
// ones are replaced step by step by rollServices.
func (s *State) resizeService(j *job, at structs.Timestamp) {
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
		s.addNewTasks(j.addTasks(missing, at, 0))
		return
	}
	for i := len(j.Tasks) - 1; i >= 0 && active > j.Spec.Count; i-- {
		t := j.Tasks[i]
		if t.Phase == phaseEnded || t.Superseded {
			continue
		}
		active--
		if t.Phase == phasePending {
			s.setFinalState(t, structs.TaskCancelled, at, "fewer replicas are wanted")
			continue
		}
		t.Superseded = true
	}
}

// addNewTasks adds tasks to the index by identifier and marks them as new.
func (s *State) addNewTasks(tasks []*task) {
	for _, t := range tasks {
		s.tasks[t.ID] = t
	}
	s.newTasks = append(s.newTasks, tasks...)
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
			s.setFinalState(t, structs.TaskCancelled, r.At, r.Reason)
		}
	}
	s.pruneTasks(j, r.At)
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
	s.setFinalState(t, r.State, r.At, r.Message)
	if replace {
		s.addNewTasks(j.addTasks(1, r.At, r.NotBefore))
	}
	s.pruneTasks(j, r.At)
}

// setFinalState ends the task in the given state and updates the counts of
// its job.
func (s *State) setFinalState(t *task, state structs.TaskState, at structs.Timestamp, message string) {
	if t.Phase == phasePending {
		s.dequeued = append(s.dequeued, t.ID)
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

// pruneTasks removes the tasks of a job that is over. For a service it removes
// the ended replicas once they outnumber the open ones.
func (s *State) pruneTasks(j *job, at structs.Timestamp) {
	if j.isOver() {
		j.Ended = at
		s.removeEndedTasks(j, 0)
		return
	}
	if j.Spec.Kind == structs.KindService && len(j.Tasks) > 2*j.Open+16 {
		s.removeEndedTasks(j, j.Open)
	}
}

func (s *State) removeEndedTasks(j *job, open int) {
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
		t.job.Size = componentMax(t.job.Size, r.Resources)
	}
	if r.Replace {
		t.Superseded = true
		t.Message = r.Message
		s.addNewTasks(t.job.addTasks(1, r.At, r.NotBefore))
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
	s.quarantine[r.Worker] = quarantineState{Until: r.Until, ConsecutiveCount: r.ConsecutiveCount}
}

// componentMax returns the larger amount of each resource.
func componentMax(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
