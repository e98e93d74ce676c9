package dispatch

import (
	"fmt"
	"math"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// This file stores the progress of the active jobs. A job belongs to a bucket by a hash of
// its identifier, and a bucket is written as a whole.

const (
	// progressBuckets is the number of buckets for the progress of the active jobs.
	progressBuckets = 64
	// maxCheckpointBytes limits the stored checkpoints of a job.
	maxCheckpointBytes = 24 << 10
	// maxBucketCheckpoints and maxBucketFailedRuns limit the stored checkpoints and failed
	// runs of a bucket, in bytes, so that a bucket fits into one transaction.
	maxBucketCheckpoints = 256 << 10
	maxBucketFailedRuns  = 192 << 10
	// maxPartBytes is the size of a part of a job's progress, which has to fit into a row.
	maxPartBytes = maxRowBytes * 3 / 4
	// maxListedFailedRuns is how many numbers of failed runs a task keeps. Others are
	// counted only.
	maxListedFailedRuns = 16
)

// Upper estimates of encoded sizes in bytes.
const (
	progressBytes   = 100 // of a job without occurrences
	occurrenceBytes = 16
	stepHeadBytes   = 25 // of a step without its tasks
	taskBytes       = 12 // of a task without its checkpoint and failed runs
	unlistedBytes   = 16 // of the count of failed runs that are not listed
)

// uintBytes returns the encoded size of a number.
func uintBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n <= math.MaxUint8:
		return 2
	case n <= math.MaxUint16:
		return 3
	case n <= math.MaxUint32:
		return 5
	}
	return 9
}

// storedProgress is the stored progress of an active job. A row of ProgressTable
// holds a list of them. An occurrence below Next that is not in Runs is complete.
type storedProgress struct {
	ID      structs.JobID      `cbor:"1,keyasint"`
	Next    int                `cbor:"3,keyasint,omitempty"` // next occurrence to create
	Runs    []storedOccurrence `cbor:"4,keyasint,omitempty"`
	Started bool               `cbor:"5,keyasint,omitempty"`
}

// storedOccurrence is the stored progress of one occurrence of a job.
type storedOccurrence struct {
	Index int          `cbor:"1,keyasint"`
	Steps []storedStep `cbor:"2,keyasint"`
}

// storedStep is the stored progress of one step.
type storedStep struct {
	Done       []byte       `cbor:"1,keyasint,omitempty"` // bit set of the tasks that succeeded
	Checkpoint string       `cbor:"2,keyasint,omitempty"` // of a gang, which has one checkpoint for all tasks
	Tasks      []storedTask `cbor:"3,keyasint,omitempty"` // tasks with failed runs or a checkpoint
}

// storedTask is the stored progress of a task that has not succeeded; see task.
type storedTask struct {
	Index      int      `cbor:"1,keyasint"`
	FailedRuns []uint64 `cbor:"2,keyasint,omitempty"`
	Checkpoint string   `cbor:"3,keyasint,omitempty"`
	// FailedBefore counts the failed runs that are not in FailedRuns, and FailedThrough is
	// the highest number among them.
	FailedBefore  int    `cbor:"4,keyasint,omitempty"`
	FailedThrough uint64 `cbor:"5,keyasint,omitempty"`
}

// progressSize is an upper estimate of the encoded size of progress, in bytes.
type progressSize struct {
	fixed       int // without checkpoints and failed runs
	failedRuns  int
	checkpoints int
}

func (p *progressSize) add(o progressSize) {
	p.fixed += o.fixed
	p.failedRuns += o.failedRuns
	p.checkpoints += o.checkpoints
}

// total returns the size of what is stored in a bucket.
func (p *progressSize) total() int {
	return p.fixed + min(p.failedRuns, maxBucketFailedRuns) + min(p.checkpoints, maxBucketCheckpoints)
}

// progressSize returns the size of the job's progress.
func (j *job) progressSize() progressSize {
	size, checkpoints := progressSize{fixed: progressBytes}, 0
	for _, occ := range j.occurrences {
		size.fixed += occurrenceBytes
		for _, s := range occ.steps {
			size.fixed += stepHeadBytes + len(s.tasks)/8
			checkpoints += len(s.checkpoint)
			for _, t := range s.tasks {
				size.failedRuns += t.failedRunsSize()
				if t.checkpoint != "" {
					checkpoints += len(t.checkpoint) + taskBytes
				}
			}
		}
	}
	size.checkpoints = min(checkpoints, maxCheckpointBytes)
	return size
}

// failedRunsSize returns the stored size of the task's failed runs.
func (t *task) failedRunsSize() int {
	if len(t.failedRuns) == 0 {
		return 0
	}
	size := taskBytes + failedRunsBytes(t.failedRuns)
	if t.failedBefore > 0 {
		size += unlistedBytes
	}
	return size
}

// failedRunsBytes returns the encoded size of numbers of failed runs.
func failedRunsBytes(runs []uint64) int {
	size := 0
	for _, run := range runs {
		size += uintBytes(run)
	}
	return size
}

// progressBudget is what may still be stored in a bucket, in bytes. Once it is used up, a
// new leader starts tasks from their beginning, or counts their failed runs anew.
type progressBudget struct{ checkpoints, failedRuns int }

// putProgressBucket adds the progress of the active jobs of a bucket and removes
// the rows that the bucket no longer needs.
func (b *commitBuilder) putProgressBucket(n int) error {
	c := b.dispatcher
	c.buckets[n] = slices.DeleteFunc(c.buckets[n], func(j *job) bool { return !j.active() })
	rows := make([]storedProgress, 0, len(c.buckets[n]))
	budget := progressBudget{maxBucketCheckpoints, maxBucketFailedRuns}
	for _, j := range c.buckets[n] {
		rows = append(rows, splitProgress(j.progress(&budget))...)
	}
	part := 0
	err := putInRows(rows, func(_ []storedProgress, data []byte) {
		b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: ProgressTable, Key: progressKey(n, part), Value: data})
		part++
	})
	for old := part; old < c.bucketRows[n]; old++ {
		// In the same commit: a new leader merges all parts.
		b.commit.Removes = append(b.commit.Removes, tablestore.RowID{Table: ProgressTable, Key: progressKey(n, old)})
	}
	c.bucketRows[n] = part
	return err
}

// progressKey returns the key of a part of a progress bucket.
func progressKey(n, part int) string { return fmt.Sprintf("%02x-%02x", n, part) }

// progress returns the stored form of the job's progress and takes what it stores from the
// budget of its bucket.
func (j *job) progress(bucket *progressBudget) storedProgress {
	row := storedProgress{ID: j.spec.ID, Next: j.nextDue, Started: j.started}
	own := min(maxCheckpointBytes, bucket.checkpoints)
	budget := progressBudget{own, bucket.failedRuns}
	for _, occ := range j.occurrences {
		run := storedOccurrence{Index: occ.index, Steps: []storedStep{}}
		for n, s := range occ.steps {
			if s.hasProgress() {
				for len(run.Steps) < n {
					run.Steps = append(run.Steps, storedStep{})
				}
				run.Steps = append(run.Steps, s.progress(&budget))
			}
		}
		row.Runs = append(row.Runs, run)
	}
	bucket.checkpoints -= own - budget.checkpoints
	bucket.failedRuns = budget.failedRuns
	return row
}

// hasProgress reports whether the step has any progress to store.
func (s *step) hasProgress() bool {
	return s.remainingTasks < len(s.tasks) || s.checkpoint != "" ||
		slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.failedRuns) > 0 || t.checkpoint != "" })
}

// progress returns the stored form of the step's progress.
func (s *step) progress(budget *progressBudget) storedStep {
	row := storedStep{Checkpoint: budget.takeCheckpoint(s.checkpoint)}
	if s.remainingTasks < len(s.tasks) {
		row.Done = make([]byte, (len(s.tasks)+7)/8)
	}
	for n, t := range s.tasks {
		if t.state == taskDone {
			row.Done[n/8] |= 1 << (n % 8)
			continue
		}
		stored := storedTask{Index: n, Checkpoint: budget.takeCheckpoint(t.checkpoint)}
		if budget.takeFailedRuns(t) {
			stored.FailedRuns, stored.FailedBefore, stored.FailedThrough = slices.Clone(t.failedRuns), t.failedBefore, t.failedThrough
		}
		if stored.Checkpoint != "" || len(stored.FailedRuns) > 0 {
			row.Tasks = append(row.Tasks, stored)
		}
	}
	return row
}

// takeCheckpoint returns a checkpoint if it fits into the budget, and takes it from that.
func (p *progressBudget) takeCheckpoint(checkpoint string) string {
	size := len(checkpoint) + taskBytes
	if checkpoint == "" || size > p.checkpoints {
		return ""
	}
	p.checkpoints -= size
	return checkpoint
}

// takeFailedRuns reports whether a task has failed runs that fit into the budget, and takes
// them from that.
func (p *progressBudget) takeFailedRuns(t *task) bool {
	size := t.failedRunsSize()
	if size == 0 || size > p.failedRuns {
		return false
	}
	p.failedRuns -= size
	return true
}

// splitProgress splits the progress of a job so that each part fits into a row. Most
// jobs have one part. A new leader merges them.
func splitProgress(whole storedProgress) []storedProgress {
	var parts []storedProgress
	part := storedProgress{ID: whole.ID, Next: whole.Next, Started: whole.Started}
	size := progressBytes
	for _, run := range whole.Runs {
		occ := storedOccurrence{Index: run.Index, Steps: []storedStep{}}
		// cut ends the part before step n of the occurrence. Steps are known by their position.
		cut := func(n int) {
			part.Runs = append(part.Runs, occ)
			parts = append(parts, part)
			part.Runs = nil
			occ.Steps = make([]storedStep, n)
			size = progressBytes + occurrenceBytes + n*stepHeadBytes
		}
		size += occurrenceBytes
		for n, step := range run.Steps {
			head := storedStep{Done: step.Done, Checkpoint: step.Checkpoint}
			headSize := stepHeadBytes + len(step.Done) + len(step.Checkpoint)
			if size+headSize > maxPartBytes {
				cut(n)
			}
			occ.Steps = append(occ.Steps, head)
			size += headSize
			for _, task := range step.Tasks {
				taskSize := taskBytes + unlistedBytes + failedRunsBytes(task.FailedRuns) + len(task.Checkpoint)
				if size+taskSize > maxPartBytes {
					cut(n + 1)
				}
				last := &occ.Steps[n]
				last.Tasks = append(last.Tasks, task)
				size += taskSize
			}
		}
		part.Runs = append(part.Runs, occ)
	}
	return append(parts, part)
}
