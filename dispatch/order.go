package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// rank orders the steps that compete for room. A burst makes the cell too
// small for seconds at a time: work that can still meet its objective goes
// before work that is late already, so that one late job does not make the
// next one late, and urgent work before other work of the same kind. Within a
// rank the worth decides.
type rank int

const (
	rankUrgent   rank = iota // priority 0, can meet its objective
	rankOnTime               // can meet its objective
	rankLate                 // worth a part of its value
	rankHopeless             // worth nothing, but accepted
)

// rankOf returns the rank of a step and the time by which its remaining chain
// has to begin.
func (c *Cell) rankOf(s *step) (rank, structs.Timestamp) {
	j := s.job
	if s.spec.LongRunning {
		return urgentRank(j), s.readyAt // it earns for as long as it runs
	}
	from := j.accepted
	if j.spec.Occurrences > 0 {
		from = s.occ.due
	}
	tail := s.tail()
	latest := from.Add(j.objective - tail)
	if s.started() {
		// Room already taken by a step is worth most when the step completes.
		return min(rankOnTime, urgentRank(j)), latest
	}
	if !c.now.After(latest) {
		return urgentRank(j), latest
	}
	if c.now.Before(from.Add(lateFactor*j.objective - tail)) {
		return rankLate, latest
	}
	return rankHopeless, latest
}

func urgentRank(j *job) rank {
	if j.queue.Priority == 0 {
		return rankUrgent
	}
	return rankOnTime
}

func (s *step) started() bool { return s.left < len(s.tasks) || s.idle < s.left }

// tail returns the expected length of the longest chain from the step on.
func (s *step) tail() time.Duration {
	var behind time.Duration
	for _, next := range s.occ.steps[s.index+1:] {
		if slices.Contains(next.spec.After, s.index) {
			behind = max(behind, next.tail())
		}
	}
	return s.expected + behind
}

const (
	// fixedWorth is the part of a usual job's worth to its caller that does not
	// grow with its work.
	fixedWorth = 0.3
	// worthHorizon is the slack at which a job counts e times less than one
	// that has to begin now; about the run time of the sites' batch tasks.
	worthHorizon = 4 * time.Second
	// meanWorkWeight of a new job in the moving average of a queue's work.
	meanWorkWeight = 0.03
)

// worth returns what placing a job now is worth for each unit of its work,
// given the usual work of its queue and how long it could still wait. It is
// the rule of apparent tardiness cost. It answers bursts that exceed the cell
// for seconds: the earliest latest start first spends the room on large jobs
// that are late anyway, one after the other.
func worth(work, usual float64, slack time.Duration) float64 {
	density := 1 - fixedWorth + fixedWorth*usual/max(work, 1)
	return density * math.Exp(-max(slack, 0).Seconds()/worthHorizon.Seconds())
}

// worthOf returns the worth of a step by the remaining work of its occurrence.
func (c *Cell) worthOf(s *step, latest structs.Timestamp) float64 {
	return worth(s.occ.work(), c.meanWork[s.job.queue.Name], latest.Sub(c.now))
}

// work returns the expected remaining work of an occurrence, in thousandths
// of a core times seconds.
func (o *occurrence) work() float64 {
	work := 0.0
	for _, s := range o.steps {
		work += float64(s.left) * float64(s.spec.Resources.MilliCPU) * s.expected.Seconds()
	}
	return work
}

// learnWork takes the work of a new job into the average of its queue.
func (c *Cell) learnWork(j *job) {
	work := 0.0
	for _, occ := range j.runs {
		work += occ.work()
	}
	usual, seen := c.meanWork[j.queue.Name]
	if !seen {
		usual = work
	}
	c.meanWork[j.queue.Name] = usual + meanWorkWeight*(work-usual)
}

type contender struct {
	step   *step
	rank   rank
	worth  float64
	latest structs.Timestamp
}

// contenders returns the steps with tasks to place in the order of placement.
func (c *Cell) contenders() []contender {
	list := make([]contender, 0, len(c.ready))
	for _, s := range c.ready {
		if s.idle == 0 || !s.job.durable || !s.job.active() {
			continue
		}
		if c.unheard > 0 && s.job.recovered {
			continue // a task may run on a worker that has not answered yet
		}
		r, latest := c.rankOf(s)
		list = append(list, contender{s, r, c.worthOf(s, latest), latest})
	}
	slices.SortFunc(list, func(a, b contender) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank), cmp.Compare(b.worth, a.worth), cmp.Compare(a.latest, b.latest),
			strings.Compare(a.step.name, b.step.name),
		)
	})
	return list
}
