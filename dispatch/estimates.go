package dispatch

import (
	"math"
	"time"

	"github.com/mangodrum/mangodrum/workflow"
)

// runTimeModel predicts the run times of a queue's tasks from their estimates.
// Some estimates are off by several times. Without correction, a job with too
// short an estimate would be ranked as expired while it could still finish on
// time, and one with too long an estimate would be placed last.
//
// The model is a linear regression of the logarithm of the run time on the
// logarithm of the estimate. If estimates are uninformative, it predicts the
// typical run time of the queue.
type runTimeModel struct {
	weight                                  float64
	estimate, run, estimateSquared, product float64 // exponentially weighted sums over the logarithms
}

const (
	// modelMemory is the time constant of the decay of observations, in steps;
	// about half a minute of a busy queue.
	modelMemory = 100
	// minObservedSteps is how many steps must have been observed before the
	// model is used.
	minObservedSteps = 10
)

// add records one run of a task. The step of the task has the given number of
// tasks; together they have the weight of one observation.
func (r *runTimeModel) add(estimate, run time.Duration, tasks int) {
	if estimate <= 0 || run <= 0 {
		return
	}
	w := 1 / float64(max(tasks, 1))
	x, y := math.Log(estimate.Seconds()), math.Log(run.Seconds())
	decay := 1 - w/modelMemory
	r.weight = r.weight*decay + w
	r.estimate = r.estimate*decay + w*x
	r.run = r.run*decay + w*y
	r.estimateSquared = r.estimateSquared*decay + w*x*x
	r.product = r.product*decay + w*x*y
}

// expect returns the expected run time of a task with the given estimate.
func (r *runTimeModel) expect(estimate time.Duration) time.Duration {
	if r == nil || r.weight < minObservedSteps || estimate <= 0 {
		return estimate
	}
	meanX, meanY := r.estimate/r.weight, r.run/r.weight
	variance := r.estimateSquared/r.weight - meanX*meanX
	slope := 1.0
	if variance > 0 {
		slope = min(max((r.product/r.weight-meanX*meanY)/variance, 0), 1)
	}
	return time.Duration(math.Exp(meanY+slope*(math.Log(estimate.Seconds())-meanX)) * float64(time.Second))
}

// usualAdvisedWorkers is how many workers a call for advice usually names. The
// objective of a job includes the time of one such call for each step.
const usualAdvisedWorkers = 30

// expectStep returns the expected time of a step once its dependencies are done:
// one call for advice and one run.
func (c *Dispatcher) expectStep(queue *workflow.Queue, spec *workflow.Step) time.Duration {
	expected := c.expectRun(queue, spec)
	if queue.Advisor != nil {
		expected += queue.Advisor.CallTime(usualAdvisedWorkers)
	}
	return expected
}

// expectRun returns the expected run time of a task of a step.
func (c *Dispatcher) expectRun(queue *workflow.Queue, spec *workflow.Step) time.Duration {
	return c.runTimeModels[queue.Name].expect(spec.Estimate)
}

// learnRunTime adds a completed run to the model of its queue. It skips runs
// that a previous leader started and runs that resumed from a checkpoint.
func (c *Dispatcher) learnRunTime(t *task, a *allocation) {
	if a.startOrder.Task == "" || a.startOrder.Checkpoint != "" {
		return
	}
	r := c.runTimeModels[t.step.job.queue.Name]
	if r == nil {
		r = &runTimeModel{}
		c.runTimeModels[t.step.job.queue.Name] = r
	}
	r.add(t.step.spec.Estimate, c.now.Sub(a.startedAt), len(t.step.tasks))
}
