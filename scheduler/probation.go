package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const (
	// probationTasks is how many tasks of a job on probation run until its
	// usage is known.
	probationTasks = 2
	// usageLag is the age at which the usage of an attempt counts as known;
	// reports lag.
	usageLag = 2 * time.Second
	// distrustLimit is the part of a team's recent jobs, in parts per million,
	// that must have used more than declared to put its next ones on probation.
	distrustLimit = 100_000
	// distrustMemory is the number of jobs over which that part is averaged.
	distrustMemory = 8
	million        = 1_000_000
)

// probation keeps the tasks of a job from starting all at once with a size
// that is probably wrong: each would be stopped and started again. Only batch
// jobs that are not urgent, of teams whose recent declarations were too small,
// are put on probation.
type probation struct {
	decided  bool
	active   bool
	observed bool // the usage of the job is known
}

// decideProbation puts the job on probation if its team is not trusted.
func (s *State) decideProbation(j *job) {
	if j.probation.decided {
		return
	}
	j.probation.decided = true
	c, _ := s.policy.class(j.Spec.Class)
	j.probation.active = j.Spec.Kind == structs.KindBatch && j.Spec.Count > probationTasks &&
		c.Urgency != structs.Urgent && s.distrust[j.Spec.Team] > distrustLimit
}

// isOnProbation reports whether the job waits for its usage to be known.
func (j *job) isOnProbation() bool { return j.probation.active && !j.probation.observed }

// observeDeclaration learns once per job whether it uses more than declared.
func (s *State) observeDeclaration(j *job, tooSmall bool) {
	if j.probation.observed {
		return
	}
	j.probation.observed = true
	seen := 0
	if tooSmall {
		seen = million
	}
	s.distrust[j.Spec.Team] += (seen - s.distrust[j.Spec.Team]) / distrustMemory
	s.dirty = true
}
