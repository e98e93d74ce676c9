package dispatch

import (
	"fmt"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// randomJob draws an urgent job of one step, a batch job of two steps or a gang.
func (s *simulation) randomJob(n int) *simJob {
	id := structs.JobID(fmt.Sprintf("%016x", n+1))
	queue := workflow.Queue{Name: "urgent", Service: "svc", MaxAttempts: 2, StretchFactor: 1.5, Allowance: 600 * time.Millisecond}
	step := workflow.Step{Tasks: 1 + s.rng.IntN(4), Estimate: 800 * time.Millisecond, Resources: structs.Resources{MilliCPU: 2800, MemoryBytes: 8 << 30}}
	steps := []workflow.Step{step}
	switch s.rng.IntN(4) {
	case 0:
		queue.Name, queue.Priority, queue.MaxAttempts, queue.StretchFactor = "batch", 2, 4, 4
		step.Tasks, step.Estimate, step.MaxPerWorker = 2+s.rng.IntN(8), 2*time.Second, 2
		second := step
		second.DependsOn = []int{0}
		steps = []workflow.Step{step, second}
	case 1:
		queue.Name, queue.Priority, queue.MaxAttempts, queue.StretchFactor = "gang", 1, 4, 2.2
		step.Tasks, step.Estimate, step.Gang = 2+s.rng.IntN(6), 3*time.Second, true
		step.Resources = structs.Resources{MilliCPU: 9000, MemoryBytes: 19 << 30}
		steps = []workflow.Step{step}
	}
	if s.rng.IntN(3) > 0 {
		queue.Advisor = &workflow.Advisor{BaseTime: 40 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: ticketValidity}
	}
	return &simJob{job: workflow.Job{ID: id, Spec: "spec", Steps: steps}, queue: queue, alwaysFails: s.rng.IntN(30) == 0}
}
