package workflow

import (
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Limits of one job. They bound the memory and the processor time that one
// submission can use.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 10_000
	// MaxTasksPerJob limits the tasks of all steps. A task takes about 200 bytes.
	MaxTasksPerJob = 20_000
	MaxOccurrences = 1_000_000
	// MaxEstimate is far above every run time and keeps sums of estimates within
	// the range of a duration.
	MaxEstimate = 365 * 24 * time.Hour
)

// Job is a directed acyclic graph of steps.
type Job struct {
	ID    structs.JobID `cbor:"1,keyasint"`
	Spec  string        `cbor:"2,keyasint"` // passed to the workers unchanged
	Steps []Step        `cbor:"3,keyasint"`

	// Occurrences is how often a scheduled job runs; 0 means that the job runs
	// once, immediately.
	Occurrences int           `cbor:"4,keyasint,omitempty"`
	FirstDue    time.Duration `cbor:"5,keyasint,omitempty"` // first occurrence, since the Unix epoch
	Interval    time.Duration `cbor:"6,keyasint,omitempty"` // between occurrences
}

// Step is a group of identical tasks.
type Step struct {
	Tasks                int               `cbor:"1,keyasint"`
	Resources            structs.Resources `cbor:"2,keyasint"`            // of one task
	Estimate             time.Duration     `cbor:"3,keyasint"`            // estimated run time of one task
	DependsOn            []int             `cbor:"4,keyasint,omitempty"`  // indexes of the earlier steps that must succeed first
	Gang                 bool              `cbor:"5,keyasint,omitempty"`  // all tasks run at the same time or not at all
	SameRack             bool              `cbor:"6,keyasint,omitempty"`  // the gang is slow across racks
	Checkpoints          bool              `cbor:"7,keyasint,omitempty"`  // a repeated run resumes from the last checkpoint
	RequiredLabel        string            `cbor:"8,keyasint,omitempty"`  // label that the worker must have
	DataRack             structs.Rack      `cbor:"9,keyasint,omitempty"`  // rack that holds the data; tasks are slow in others
	MaxPerWorker         int               `cbor:"10,keyasint,omitempty"` // tasks of the step on one worker; 0: no limit
	Speculative          bool              `cbor:"11,keyasint,omitempty"` // a task may run on several workers at once
	LongRunning          bool              `cbor:"12,keyasint,omitempty"` // runs until cancelled
	Image                string            `cbor:"13,keyasint,omitempty"`
	TailLatencyObjective time.Duration     `cbor:"14,keyasint,omitempty"` // tail latency objective of a task that serves requests
	BestEffort           bool              `cbor:"15,keyasint,omitempty"` // uses only idle processors
	MaxUnavailable       int               `cbor:"16,keyasint,omitempty"`
}

// Queue is the policy of the queue that a job was submitted to. A job keeps
// the policy that was in force when it was accepted.
type Queue struct {
	Name          string        `cbor:"1,keyasint"`
	Service       string        `cbor:"2,keyasint"` // whose workers run the tasks
	Priority      int           `cbor:"3,keyasint"` // 0 is the highest
	MaxAttempts   int           `cbor:"4,keyasint"` // failed runs of a task before the job fails; 0: no limit
	StretchFactor float64       `cbor:"5,keyasint"` // factor of the longest chain of steps in the latency objective
	Allowance     time.Duration `cbor:"6,keyasint"` // added to the stretched chain for the latency objective
	Advisor       *Advisor      `cbor:"7,keyasint,omitempty"`
}

// Advisor describes the admission service that decides which workers the steps
// of a queue may use.
type Advisor struct {
	BaseTime      time.Duration `cbor:"1,keyasint"` // fixed time of one call
	TimePerWorker time.Duration `cbor:"2,keyasint"` // additional time for each worker in a call
	Validity      time.Duration `cbor:"3,keyasint"` // how long a ticket is valid
}

// CallTime returns how long the advisor takes for a call with n workers.
func (a *Advisor) CallTime(n int) time.Duration { return a.BaseTime + time.Duration(n)*a.TimePerWorker }

// MaxWorkersPerCall returns how many workers a call can include so that they add
// at most the given share of its fixed time.
func (a *Advisor) MaxWorkersPerCall(share float64) int {
	if a.TimePerWorker <= 0 {
		return 0
	}
	return int(share * float64(a.BaseTime) / float64(a.TimePerWorker))
}

// State is the state of a job as shown to callers.
type State string

// Job states.
const (
	Pending   State = "pending"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsTerminal reports whether a job in this state never changes again.
func (s State) IsTerminal() bool { return s == Done || s == Failed || s == Cancelled }

// Check returns an error for the first invalid property of a job.
func (j *Job) Check() error {
	if j.ID == "" {
		return errs.New(errs.InvalidInput, "set the job identifier", "the job has no identifier")
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errs.New(errs.InvalidInput, "submit 1 to 64 steps", "job %s has %d steps", j.ID, len(j.Steps))
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.Interval < 0 {
		return errs.New(errs.InvalidInput, "run it up to 1000000 times, with an interval of 0 or more", "job %s has %d occurrences with an interval of %s", j.ID, j.Occurrences, j.Interval)
	}
	tasks := 0
	for n := range j.Steps {
		if err := j.checkStep(n); err != nil {
			return err
		}
		tasks += j.Steps[n].Tasks
	}
	if tasks > MaxTasksPerJob {
		return errs.New(errs.InvalidInput, "split the job", "job %s has %d tasks, at most %d are possible", j.ID, tasks, MaxTasksPerJob)
	}
	return nil
}

func (j *Job) checkStep(n int) error {
	step := &j.Steps[n]
	if step.Tasks < 1 || step.Tasks > MaxTasksPerStep {
		return errs.New(errs.InvalidInput, "set 1 to 10000 tasks", "step %d of job %s has %d tasks", n, j.ID, step.Tasks)
	}
	if step.Resources.IsNegative() {
		return errs.New(errs.InvalidInput, "set resources of 0 or more", "step %d of job %s requests a negative amount of a resource", n, j.ID)
	}
	if step.Estimate < 0 || step.Estimate > MaxEstimate {
		return errs.New(errs.InvalidInput, "set an estimate of 0 to a year", "step %d of job %s has an estimate of %s", n, j.ID, step.Estimate)
	}
	if step.MaxPerWorker < 0 || step.MaxUnavailable < 0 {
		return errs.New(errs.InvalidInput, "set limits of 0 or more", "step %d of job %s has a negative limit", n, j.ID)
	}
	if len(step.DependsOn) > MaxSteps {
		return errs.New(errs.InvalidInput, "name each earlier step once", "step %d of job %s names %d steps", n, j.ID, len(step.DependsOn))
	}
	for _, dependency := range step.DependsOn {
		if dependency < 0 || dependency >= n {
			return errs.New(errs.InvalidInput, "depend only on earlier steps", "step %d of job %s depends on step %d", n, j.ID, dependency)
		}
	}
	return nil
}

// RequiredCapacity returns the worker capacity that one task takes up. A
// best-effort task uses only idle processors, so its processor share is not
// counted.
func (s *Step) RequiredCapacity() structs.Resources {
	size := s.Resources
	if s.BestEffort {
		size.MilliCPU = 0
	}
	return size
}

// CriticalPath returns the duration of the longest chain of dependent steps,
// given the time that each step takes.
func (j *Job) CriticalPath(stepTime func(*Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for n := range j.Steps {
		for _, dependency := range j.Steps[n].DependsOn {
			ends[n] = max(ends[n], ends[dependency])
		}
		ends[n] += stepTime(&j.Steps[n])
		longest = max(longest, ends[n])
	}
	return longest
}
