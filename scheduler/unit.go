package scheduler

import (
	"fmt"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/structs"
)

// unit converts resources to one number: the processors that the dominant
// resource corresponds to in the shard as a whole, in thousandths of a core.
type unit struct{ fleet structs.Resources }

// unitOf returns the unit for a fleet; an empty fleet keeps the old unit.
func unitOf(fleet structs.Resources, old unit) unit {
	if fleet.MilliCPU <= 0 {
		return old
	}
	return unit{fleet}
}

func (u unit) cost(r structs.Resources) int64 {
	cost := float64(r.MilliCPU)
	cost = max(cost, u.scaled(r.MemoryBytes, u.fleet.MemoryBytes))
	cost = max(cost, u.scaled(r.Accelerators, u.fleet.Accelerators))
	return max(int64(cost), 1)
}

func (u unit) scaled(part, whole int64) float64 {
	if part <= 0 || whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole) * float64(u.fleet.MilliCPU)
}

// holdReason says why a job is kept apart from the queue.
type holdReason string

const (
	holdShape holdReason = "no worker is large enough or allowed for its tasks"
	holdQuota holdReason = "one task, or the whole gang, is above the quota and borrow limit of its team"
)

// canEverRun reports whether the tasks of the job could be placed if the shard
// were empty.
func (s *State) canEverRun(j *job) bool { return s.whyNever(j) == "" }

func (s *State) whyNever(j *job) holdReason {
	if !s.quota.couldAdmit(j.Spec.Team, s.itemSize(j)) {
		return holdQuota
	}
	if !s.shapeFits(j) {
		return holdShape
	}
	return ""
}

// itemSize is what one item of the queue needs: a task, or all open tasks of
// a gang.
func (s *State) itemSize(j *job) structs.Resources {
	if j.Spec.Kind == structs.KindGang {
		return j.need().Scale(int64(j.Open))
	}
	return j.need()
}

// maxShapes bounds the remembered shapes of tasks.
const maxShapes = 4096

// verdict is whether the shape of a job fits any worker, for one list of
// workers and one size.
type verdict struct {
	fleet uint64
	need  structs.Resources
	open  int // tasks of a gang
	fits  bool
}

// shapeFits reports whether some worker is large enough and allowed for the
// tasks of the job. It looks at every worker once per shape and list of
// workers. Workers that take no new work count as possible: their drain or
// quarantine ends.
func (s *State) shapeFits(j *job) bool {
	if s.fleet == 0 {
		return true
	}
	v := verdict{fleet: s.fleet, need: j.need()}
	if j.Spec.Kind == structs.KindGang {
		v.open = j.Open
	}
	if j.verdict.fleet == v.fleet && j.verdict.need == v.need && j.verdict.open == v.open {
		return j.verdict.fits
	}
	key := fmt.Sprint(v.need, v.open, j.Spec.Constraint, j.Spec.Spread && v.open > 0)
	fits, known := s.shapes[key]
	if !known {
		req := s.request(j)
		req.Constraint = j.Spec.Constraint
		fits = possible(s.index.Explain(&req)) && s.gangFits(j)
		if len(s.shapes) >= maxShapes {
			clear(s.shapes)
		}
		s.shapes[key] = fits
	}
	v.fits = fits
	j.verdict = v
	return fits
}

func possible(e placement.Explanation) bool {
	never := e.Counts[placement.ReasonRegion] + e.Counts[placement.ReasonDomain] + e.Counts[placement.ReasonLabels] +
		e.Counts[placement.ReasonExcluded] + e.Counts[placement.ReasonTooSmall]
	return e.Workers == 0 || never < e.Workers
}

// hold keeps the job apart from the queue until workers or policy change.
func (s *State) hold(j *job) {
	j.held = s.whyNever(j)
	s.held[j.Spec.ID] = j
	s.queue.Remove(gangItemID(j))
	for _, t := range j.Tasks {
		if t.Phase == phasePending {
			s.queue.Remove(t.ID)
		}
	}
}

func (s *State) unhold(j *job) {
	j.held = ""
	delete(s.held, j.Spec.ID)
}
