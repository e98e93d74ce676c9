package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestManyDependenciesTakeNoTime guards against one job that stops every leader:
// with 64 steps that each depend on all earlier ones, the longest chain was searched
// for along each of 2^62 paths.
func TestManyDependenciesTakeNoTime(t *testing.T) {
	s := newDispatcherHarness(t, 2, largeWorker)
	job := workflow.Job{ID: "0000000000000001"}
	for n := range workflow.MaxSteps {
		step := workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 100}}
		for before := range n {
			step.DependsOn = append(step.DependsOn, before)
		}
		job.Steps = append(job.Steps, step)
	}
	if err := job.Check(); err != nil {
		t.Fatal(err)
	}
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commit()
	first := s.dispatcher.findStep(stepName(job.ID, 0, 0))
	if first.chain != workflow.MaxSteps*time.Second {
		t.Errorf("longest chain %s, want 64s", first.chain)
	}
	if starts := takeEffects[StartTask](s); len(starts) != 1 {
		t.Errorf("%d starts, want that of the first step", len(starts))
	}
}

// TestOccurrencesAreBounded guards against one job that uses up the memory of every
// leader: a million occurrences that were due at once were created in one tick.
func TestOccurrencesAreBounded(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	job := workflow.Job{ID: "0000000000000001", Occurrences: workflow.MaxOccurrences, Steps: []workflow.Step{{
		Tasks: 100, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000},
	}}}
	if err := job.Check(); err != nil {
		t.Fatal(err)
	}
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commit()
	s.advance(time.Second)
	if open := s.dispatcher.jobs[job.ID].openTasks(); open > workflow.MaxTasksPerJob+100 {
		t.Errorf("%d open tasks, want at most %d and one occurrence", open, workflow.MaxTasksPerJob)
	}
}
