package scheduler

import (
	"fmt"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/structs"
)

// costUnit converts resources to one number, the dominant share of the fleet,
// expressed in thousandths of a core of the fleet's processors.
type costUnit struct{ fleet structs.Resources }

// newCostUnit returns the unit for a fleet, or the old unit if the fleet has no
// processors.
func newCostUnit(fleet structs.Resources, old costUnit) costUnit {
	if fleet.MilliCPU <= 0 {
		return old
	}
	return costUnit{fleet}
}

func (u costUnit) cost(r structs.Resources) int64 {
	cost := float64(r.MilliCPU)
	cost = max(cost, u.scaled(r.MemoryBytes, u.fleet.MemoryBytes))
	cost = max(cost, u.scaled(r.Accelerators, u.fleet.Accelerators))
	return max(int64(cost), 1)
}

func (u costUnit) scaled(part, whole int64) float64 {
	if part <= 0 || whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole) * float64(u.fleet.MilliCPU)
}

// infeasibleReason says why a job cannot run with the current workers and
// policy. It is empty for a job that can.
type infeasibleReason string

const (
	infeasibleShape infeasibleReason = "no worker is large enough or allowed for its tasks"
	infeasibleQuota infeasibleReason = "one task, or the whole gang, is above the quota and borrow limit of its team"
)

// isFeasible reports whether the tasks of the job could be placed if the shard
// were empty.
func (s *State) isFeasible(j *job) bool { return s.findInfeasibleReason(j) == "" }

func (s *State) findInfeasibleReason(j *job) infeasibleReason {
	if !s.quota.couldAdmit(j.Spec.Team, s.itemSize(j)) {
		return infeasibleQuota
	}
	if !s.shapeFits(j) {
		return infeasibleShape
	}
	return ""
}

// itemSize returns the resources of one queue item of the job: one task, or all
// open tasks of a gang.
func (s *State) itemSize(j *job) structs.Resources {
	if j.Spec.Kind == structs.KindGang {
		return j.need().Scale(int64(j.Open))
	}
	return j.need()
}

// maxShapes bounds the cached results of shapeFits.
const maxShapes = 4096

// feasibility caches whether the tasks of a job fit any worker, for one list of
// workers and one size.
type feasibility struct {
	fleetVersion uint64
	need         structs.Resources
	gangTasks    int // number of open tasks of a gang
	fits         bool
}

// shapeFits reports whether some worker is large enough for the tasks of the
// job and satisfies their constraint. It examines every worker once per shape
// and list of workers. Workers that take no new work count too, since their
// drain or quarantine will end.
func (s *State) shapeFits(j *job) bool {
	if s.fleetVersion == 0 {
		return true
	}
	v := feasibility{fleetVersion: s.fleetVersion, need: j.need()}
	if j.Spec.Kind == structs.KindGang {
		v.gangTasks = j.Open
	}
	if j.feasibility.fleetVersion == v.fleetVersion && j.feasibility.need == v.need && j.feasibility.gangTasks == v.gangTasks {
		return j.feasibility.fits
	}
	key := fmt.Sprint(v.need, v.gangTasks, j.Spec.Constraint, j.Spec.Spread && v.gangTasks > 0)
	fits, known := s.shapeFeasible[key]
	if !known {
		req := s.request(j)
		req.Constraint = j.Spec.Constraint
		fits = someWorkerFits(s.index.Explain(&req)) && s.gangFits(j)
		if len(s.shapeFeasible) >= maxShapes {
			clear(s.shapeFeasible)
		}
		s.shapeFeasible[key] = fits
	}
	v.fits = fits
	j.feasibility = v
	return fits
}

func someWorkerFits(e placement.Explanation) bool {
	neverFitting := e.Rejected[placement.ReasonRegion] + e.Rejected[placement.ReasonDomain] + e.Rejected[placement.ReasonLabels] +
		e.Rejected[placement.ReasonExcluded] + e.Rejected[placement.ReasonTooSmall]
	return e.Workers == 0 || neverFitting < e.Workers
}

// markInfeasible removes the job from the queue until workers or policy change.
func (s *State) markInfeasible(j *job) {
	j.infeasibleReason = s.findInfeasibleReason(j)
	s.infeasibleJobs[j.Spec.ID] = j
	s.queue.Remove(gangItemID(j))
	for _, t := range j.Tasks {
		if t.Phase == phasePending {
			s.queue.Remove(t.ID)
		}
	}
}

func (s *State) clearInfeasible(j *job) {
	j.infeasibleReason = ""
	delete(s.infeasibleJobs, j.Spec.ID)
}
