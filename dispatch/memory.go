package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// This file bounds the memory of all jobs together. The limits of one job leave their sum
// to the callers: sixty valid jobs of 20,000 tasks take more than an instance has, and the
// next leader, which loads what is stored, ends as the first one did.

// Estimated sizes in memory, in bytes, with the entries of maps and lists that refer to the
// object. TestJobMemoryIsNotUnderestimated compares them with the heap.
const (
	jobMemory           = 900
	occurrenceMemory    = 250
	stepMemory          = 700
	taskMemory          = 300
	advisedWorkerMemory = 160
)

const (
	// smallJobMemory is what a job of an ordinary size takes at most.
	smallJobMemory = 64 << 10
	// largeJobsShare is the share of the limit up to which larger jobs are accepted, and
	// occurrencesShare the one up to which occurrences are created, so that a few large
	// jobs leave room for many small ones.
	largeJobsShare   = 0.75
	occurrencesShare = 0.5
	// retryAfterFull is the Retry-After value while the memory for jobs is used up. Most
	// jobs end within seconds.
	retryAfterFull = 5 * time.Second
)

// specMemory returns what the specification of a job takes.
func specMemory(j *workflow.Job) int64 {
	size := int64(jobMemory + len(j.Spec))
	for n := range j.Steps {
		s := &j.Steps[n]
		size += int64(stepMemory + len(s.RequiredLabel) + len(s.DataRack) + len(s.Image) + 8*len(s.DependsOn))
	}
	return size
}

// memoryOfOccurrence returns what one occurrence of a job takes.
func memoryOfOccurrence(j *workflow.Job) int64 {
	size := int64(occurrenceMemory)
	for n := range j.Steps {
		size += stepMemory + taskMemory*int64(j.Steps[n].Tasks)
	}
	return size
}

// memory returns what the job takes now.
func (j *job) memory() int64 {
	size := specMemory(&j.spec) + advisedWorkerMemory*int64(j.advisedWorkers)
	if len(j.occurrences) > 0 {
		size += memoryOfOccurrence(&j.spec) * int64(len(j.occurrences))
	}
	return size
}

// count updates the memory of all jobs after a job has changed.
func (c *Dispatcher) count(j *job) {
	size := j.memory()
	c.jobMemory += size - j.countedMemory
	j.countedMemory = size
}

// forget removes a job.
func (c *Dispatcher) forget(id structs.JobID) {
	if j := c.jobs[id]; j != nil {
		c.jobMemory -= j.countedMemory
		j.countedMemory = 0
		delete(c.jobs, id)
	}
}

// hasMemoryFor reports whether a new job with its first occurrence is within the limit.
func (c *Dispatcher) hasMemoryFor(j *workflow.Job) bool {
	limit, size := c.maxJobMemory, specMemory(j)+memoryOfOccurrence(j)
	if size > smallJobMemory {
		limit = int64(largeJobsShare * float64(limit))
	}
	return c.maxJobMemory == 0 || c.jobMemory+size <= limit
}

// hasMemoryForOccurrence reports whether another occurrence of a job is within the limit.
// An occurrence that is not waits until others have completed.
func (c *Dispatcher) hasMemoryForOccurrence(j *job) bool {
	limit := int64(occurrencesShare * float64(c.maxJobMemory))
	return c.maxJobMemory == 0 || c.jobMemory+memoryOfOccurrence(&j.spec) <= limit
}
