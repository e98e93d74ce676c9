package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// scheduleJobs submits jobs of kinds that the other schedules lack: speculative and
// long-running steps, wide gangs with few members per worker, checkpoints and
// occurrences. Some are cancelled and submitted again, before and after their end.
func (f *pairFaults) scheduleJobs(length time.Duration) {
	s := f.sim
	for n := range 30 {
		job := f.randomKind(2000 + n)
		at := time.Duration(f.rng.Int64N(int64(length)))
		s.at(at, func() { s.submit(job) })
		step := &job.job.Steps[0]
		switch {
		case step.LongRunning:
			s.at(at+f.between(5000, 30_000), func() { s.cancel(job) })
		case f.rng.IntN(6) == 0:
			s.at(at+f.between(0, 6000), func() { s.cancel(job) })
		}
		for range f.rng.IntN(4) {
			s.at(at+f.between(0, 15_000), func() {
				s.leader.reduce(SubmitJob{Call: callIDOf(job.job.ID), Job: job.job, Queue: job.queue})
			})
		}
	}
}

// randomKind draws a job.
func (f *pairFaults) randomKind(n int) *simJob {
	job := f.sim.randomJob(n)
	job.alwaysFails = false
	step := workflow.Step{Tasks: 1 + f.rng.IntN(6), Estimate: f.between(300, 6000), Resources: structs.Resources{MilliCPU: 1500, MemoryBytes: 4 << 30}}
	switch f.rng.IntN(5) {
	case 0:
		step.Speculative = true
	case 1:
		step.LongRunning, step.Estimate = true, f.between(1000, 20_000)
	case 2:
		step.Gang, step.Tasks, step.MaxPerWorker = true, 2+f.rng.IntN(3), 1
		job.queue.Advisor = nil
	case 3:
		step.Checkpoints = true
	case 4:
		step.MaxPerWorker = 1 + f.rng.IntN(2)
	}
	job.job.Steps = []workflow.Step{step}
	if !step.LongRunning && f.rng.IntN(2) == 0 {
		second := step
		second.Tasks, second.DependsOn = 1+f.rng.IntN(3), []int{0}
		if second.Gang {
			second.Tasks++
		}
		job.job.Steps = append(job.job.Steps, second)
	}
	if !step.LongRunning && f.rng.IntN(4) == 0 {
		job.job.Occurrences, job.job.FirstDue = 2+f.rng.IntN(4), time.Duration(f.sim.now)+f.between(0, 20_000)
		job.job.Interval = f.between(100, 3000)
	}
	return job
}
