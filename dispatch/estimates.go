package dispatch

import (
	"math"
	"time"

	"github.com/mangodrum/mangodrum/workflow"
)

// runTimes learns how the run times of a queue's tasks follow from their
// estimates. It answers the load of jobs whose estimates are off by several
// times: taken at their word, a job with a short estimate counts as hopeless
// while it could be in time, and one with a long estimate goes last.
//
// It is a linear regression of the logarithm of the run time on that of the
// estimate. Where estimates say little, it expects the usual run time of the
// queue.
type runTimes struct {
	weight                             float64
	estimate, run, estimateSq, product float64 // weighted sums of logarithms
}

const (
	// runTimesMemory is how many steps an observation stays of weight for;
	// about half a minute of a busy queue.
	runTimesMemory = 100
	// runTimesLeast is how many steps must have been seen before they count.
	runTimesLeast = 10
)

// add takes over one run of a step with the given number of tasks; all tasks
// of a step together weigh as much as one step.
func (r *runTimes) add(estimate, run time.Duration, tasks int) {
	if estimate <= 0 || run <= 0 {
		return
	}
	w := 1 / float64(max(tasks, 1))
	x, y := math.Log(estimate.Seconds()), math.Log(run.Seconds())
	keep := 1 - w/runTimesMemory
	r.weight = r.weight*keep + w
	r.estimate = r.estimate*keep + w*x
	r.run = r.run*keep + w*y
	r.estimateSq = r.estimateSq*keep + w*x*x
	r.product = r.product*keep + w*x*y
}

// expect returns the expected run time of a task with the given estimate.
func (r *runTimes) expect(estimate time.Duration) time.Duration {
	if r == nil || r.weight < runTimesLeast || estimate <= 0 {
		return estimate
	}
	meanX, meanY := r.estimate/r.weight, r.run/r.weight
	variance := r.estimateSq/r.weight - meanX*meanX
	slope := 1.0
	if variance > 0 {
		slope = min(max((r.product/r.weight-meanX*meanY)/variance, 0), 1)
	}
	return time.Duration(math.Exp(meanY+slope*(math.Log(estimate.Seconds())-meanX)) * float64(time.Second))
}

// advisedInChain is how many workers a call for advice names in the usual
// course of a step; the objective of a job allows for one such call a step.
const advisedInChain = 30

// expectStep returns the time that a step is expected to take once it may
// begin: one call for advice and one run.
func (c *Cell) expectStep(queue *workflow.Queue, spec *workflow.Step) time.Duration {
	expected := c.runTimes[queue.Name].expect(spec.Estimate)
	if queue.Advisor != nil {
		expected += queue.Advisor.CallTime(advisedInChain)
	}
	return expected
}

// learnRunTime takes over a run that this leader has started from the
// beginning of the task.
func (c *Cell) learnRunTime(t *task, a *allocation) {
	if a.order.Task == "" || a.order.Checkpoint != "" {
		return
	}
	r := c.runTimes[t.step.job.queue.Name]
	if r == nil {
		r = &runTimes{}
		c.runTimes[t.step.job.queue.Name] = r
	}
	r.add(t.step.spec.Estimate, c.now.Sub(a.startedAt), len(t.step.tasks))
}
