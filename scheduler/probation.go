package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const (
	// probationTasks is the number of tasks of a job on probation that may run
	// before its usage is known.
	probationTasks = 2
	// usageSettleTime is the age at which the usage of an attempt counts as
	// known, since reports lag.
	usageSettleTime = 2 * time.Second
	// maxUnderdeclaredPPM is the share of a team's recent jobs, in parts per
	// million, that may use more than declared before its next jobs are put on
	// probation.
	maxUnderdeclaredPPM = 100_000
	// underdeclaredWindow is the number of jobs over which that share is
	// averaged.
	underdeclaredWindow = 8
	ppmScale            = 1_000_000
)

// probation limits the first starts of a job whose declared size is probably
// too small, because each started task would be stopped and started again.
// Only batch jobs that are not urgent, of teams whose recent declarations were
// too small, are put on probation.
type probation struct {
	decided  bool
	active   bool
	observed bool // the usage of the job is known
}

// decideProbation puts the job on probation if its team recently declared too
// small sizes. It decides once per job.
func (s *State) decideProbation(j *job) {
	if j.probation.decided {
		return
	}
	j.probation.decided = true
	c, _ := s.policy.class(j.Spec.Class)
	j.probation.active = j.Spec.Kind == structs.KindBatch && j.Spec.Count > probationTasks &&
		c.Urgency != structs.Urgent && s.underdeclaredPPM[j.Spec.Team] > maxUnderdeclaredPPM
}

// isOnProbation reports whether the job is on probation and its usage is not
// known yet.
func (j *job) isOnProbation() bool { return j.probation.active && !j.probation.observed }

// recordDeclaration records, once per job, whether the job uses more than
// declared.
func (s *State) recordDeclaration(j *job, tooSmall bool) {
	if j.probation.observed {
		return
	}
	j.probation.observed = true
	observedPPM := 0
	if tooSmall {
		observedPPM = ppmScale
	}
	s.underdeclaredPPM[j.Spec.Team] += (observedPPM - s.underdeclaredPPM[j.Spec.Team]) / underdeclaredWindow
	s.passNeeded = true
}
