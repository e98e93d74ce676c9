package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// rank is the first criterion of the placement order. A burst can exceed the
// capacity of the cell for several seconds. Steps that can still meet their
// objective are then placed before steps that are already late, so that one late
// job does not delay the next, and urgent steps before others that are on time.
// Within a rank, steps are ordered by value density.
type rank int

const (
	rankUrgent  rank = iota // priority 0 and can meet its objective
	rankOnTime              // can meet its objective
	rankLate                // late; its result has a part of its value
	rankExpired             // too late for its result to have any value, but accepted
)

// rankOf returns the rank of a step and its latest start: the time by which the
// step must start for the job to meet its objective.
func (c *Dispatcher) rankOf(s *step) (rank, structs.Timestamp) {
	j := s.job
	if s.spec.LongRunning {
		return urgentRank(j), s.readyAt // its value grows with the time that it runs
	}
	from := j.acceptedAt
	if j.spec.Occurrences > 0 {
		from = s.occ.due
	}
	remaining := s.chain
	latest := from.Add(j.objective - remaining)
	if s.started() {
		// Capacity that a started step already uses pays off only when the step
		// completes.
		return min(rankOnTime, urgentRank(j)), latest
	}
	if !c.now.After(latest) {
		return urgentRank(j), latest
	}
	if c.now.Before(from.Add(maxLateFactor*j.objective - remaining)) {
		return rankLate, latest
	}
	return rankExpired, latest
}

// urgentRank returns the rank of a job that can meet its objective.
func urgentRank(j *job) rank {
	if j.queue.Priority == 0 {
		return rankUrgent
	}
	return rankOnTime
}

// started reports whether any task of the step has been placed or has succeeded.
func (s *step) started() bool {
	return s.remainingTasks < len(s.tasks) || s.unplacedTasks < s.remainingTasks
}

// computeChains sets, for each step, the expected time of the longest chain of
// dependent steps that begins with it. Steps depend on earlier ones only.
func (o *occurrence) computeChains() {
	for n := len(o.steps) - 1; n >= 0; n-- {
		s := o.steps[n]
		s.chain += s.expectedTime
		for _, before := range s.spec.DependsOn {
			o.steps[before].chain = max(o.steps[before].chain, s.chain)
		}
	}
}

const (
	// fixedValueShare is the share of the value of an average job that does not
	// depend on its amount of work.
	fixedValueShare = 0.3
	// slackScale is the slack that divides the value density of a job by e,
	// compared with a job that must start now. It is about the run time of the
	// sites' batch tasks.
	slackScale = 4 * time.Second
	// meanWorkWeight is the weight of a new job in the moving average of the
	// work per job of a queue.
	meanWorkWeight = 0.03
)

// valueDensity returns the value of placing a job now per unit of its work, given
// the mean work of the jobs of its queue and the time that the job can still
// wait. It is the apparent tardiness cost (ATC) rule. During bursts that exceed
// the capacity of the cell for seconds, placement by earliest latest start would
// spend the capacity on large jobs that end up late anyway.
func valueDensity(work, meanWork float64, slack time.Duration) float64 {
	density := 1 - fixedValueShare + fixedValueShare*meanWork/max(work, 1)
	return density * math.Exp(-max(slack, 0).Seconds()/slackScale.Seconds())
}

// stepValueDensity returns the value density of the remaining work of a step's
// occurrence.
func (c *Dispatcher) stepValueDensity(s *step, latest structs.Timestamp) float64 {
	return valueDensity(s.occ.work(), c.meanWork[s.job.queue.Name], latest.Sub(c.now))
}

// work returns the expected remaining work of an occurrence, in milli-CPU
// seconds.
func (o *occurrence) work() float64 {
	work := 0.0
	for _, s := range o.steps {
		work += float64(s.remainingTasks) * float64(s.spec.Resources.MilliCPU) * s.expectedTime.Seconds()
	}
	return work
}

// updateMeanWork adds the work of a new job to the moving average of its queue.
func (c *Dispatcher) updateMeanWork(j *job) {
	work := 0.0
	for _, occ := range j.occurrences {
		work += occ.work()
	}
	mean, seen := c.meanWork[j.queue.Name]
	if !seen {
		mean = work
	}
	c.meanWork[j.queue.Name] = mean + meanWorkWeight*(work-mean)
}

// rankedStep is a step with the keys of the placement order.
type rankedStep struct {
	step         *step
	rank         rank
	valueDensity float64
	latestStart  structs.Timestamp
}

// precedes reports whether the step is placed before another.
func (r *rankedStep) precedes(other *rankedStep) bool { return compareRanked(r, other) < 0 }

// compareRanked compares two steps by the placement order.
func compareRanked(a, b *rankedStep) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank), cmp.Compare(b.valueDensity, a.valueDensity), cmp.Compare(a.latestStart, b.latestStart),
		strings.Compare(a.step.name, b.step.name),
	)
}

// ranked returns a step with the keys of the placement order.
func (c *Dispatcher) ranked(s *step) rankedStep {
	r, latest := c.rankOf(s)
	return rankedStep{s, r, c.stepValueDensity(s, latest), latest}
}

// isRecoveryProven reports whether every run of the previous leader is known or over, and
// a commit that was sent afterwards proves that this leader still led then. Before it,
// the tasks may be running on a worker that has not reported yet, or a later leader may
// have recorded their ends.
func (c *Dispatcher) isRecoveryProven() bool {
	return c.unreported == 0 && !c.leadershipConfirmedAt.Before(c.recoveredAt)
}

// rankedSteps returns the steps that have tasks to place, in placement order.
func (c *Dispatcher) rankedSteps() []rankedStep {
	list := make([]rankedStep, 0, len(c.ready))
	for _, s := range c.ready {
		if s.unplacedTasks == 0 || !s.job.durable || !s.job.active() {
			continue
		}
		if s.job.recovered && !c.isRecoveryProven() {
			continue
		}
		list = append(list, c.ranked(s))
	}
	slices.SortFunc(list, func(a, b rankedStep) int { return compareRanked(&a, &b) })
	return list
}
