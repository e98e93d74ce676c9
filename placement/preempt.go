package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Action is a way to free resources of a running task. Higher values are more
// disruptive.
type Action int

// Actions.
const (
	Throttle   Action = iota // the task keeps running with fewer resources
	Checkpoint               // the task saves its state and resumes later
	Stop                     // work since the start or the last checkpoint is lost
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"throttle", "checkpoint", "stop"}[a] }

// PreemptionCandidate is a running task that may be preempted.
type PreemptionCandidate struct {
	Task              structs.TaskID
	Worker            structs.WorkerID
	Resources         structs.Resources
	Urgency           structs.Urgency
	Cost              int64             // cost of preempting the task, in the same unit for all candidates
	FreedByThrottling structs.Resources // resources that throttling frees; zero if the task cannot be throttled
	CanCheckpoint     bool
	ThrottleOnly      bool // may be throttled but neither checkpointed nor stopped
}

// PreemptionStep is one action on one task.
type PreemptionStep struct {
	Task   structs.TaskID
	Action Action
	Freed  structs.Resources
}

// Preemption lists the actions that free resources for one task on one worker.
type Preemption struct {
	Worker structs.WorkerID
	Steps  []PreemptionStep
}

// exhaustiveLimit is the largest number of candidates on one worker for which
// all subsets are compared. Above it, the cheapest candidates are taken until
// the task fits.
const exhaustiveLimit = 10

// ChoosePreemption returns the cheapest set of actions on one worker that
// frees enough resources for the request, or false if there is none. Only tasks
// less urgent than the request are considered. A set whose most disruptive
// action is milder is always preferred, then a set with a lower cost to tasks
// of normal urgency. The index is not changed.
func (x *Index) ChoosePreemption(req *Request, urgency structs.Urgency, candidates []PreemptionCandidate) (Preemption, bool) {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b PreemptionCandidate) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(urgencyRank(a.Urgency), urgencyRank(b.Urgency)),
			cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Task, b.Task))
	})
	for maxAction := Throttle; maxAction <= Stop; maxAction++ {
		var best preemptionSet
		for group := range byWorker(sorted) {
			set, ok := x.cheapestSet(req, urgencyRank(urgency), group, maxAction)
			if ok && (best.items == nil || set.cost.less(best.cost)) {
				best = set
			}
		}
		if best.items != nil {
			return best.mildestActions(), true
		}
	}
	return Preemption{}, false
}

// urgencyRank maps an urgency to a rank; 0 is the least urgent.
func urgencyRank(u structs.Urgency) int {
	switch u {
	case structs.Urgent:
		return 2
	case structs.Normal:
		return 1
	}
	return 0
}

// byWorker yields the candidates of each worker from a list sorted by worker.
func byWorker(sorted []PreemptionCandidate) func(yield func([]PreemptionCandidate) bool) {
	return func(yield func([]PreemptionCandidate) bool) {
		for start := 0; start < len(sorted); {
			end := start
			for end < len(sorted) && sorted[end].Worker == sorted[start].Worker {
				end++
			}
			if !yield(sorted[start:end]) {
				return
			}
			start = end
		}
	}
}

// preemptionCost is the cost to tasks of normal and of deferrable urgency. The
// former is compared first.
type preemptionCost struct{ normal, deferrable int64 }

func (c preemptionCost) less(o preemptionCost) bool {
	if c.normal != o.normal {
		return c.normal < o.normal
	}
	return c.deferrable < o.deferrable
}

func (c preemptionCost) withCandidate(item *PreemptionCandidate) preemptionCost {
	cost := max(item.Cost, 1)
	if urgencyRank(item.Urgency) > 0 {
		c.normal += cost
	} else {
		c.deferrable += cost
	}
	return c
}

// preemptionSet is a set of candidates on one worker. With actions up to
// maxAction it frees at least missing.
type preemptionSet struct {
	items     []PreemptionCandidate
	maxAction Action
	missing   structs.Resources
	cost      preemptionCost
}

// cheapestSet returns the cheapest set among the candidates of one worker,
// using actions up to maxAction.
func (x *Index) cheapestSet(req *Request, urgency int, group []PreemptionCandidate, maxAction Action) (preemptionSet, bool) {
	slot, ok := x.slots[group[0].Worker]
	if !ok || !x.fitsWhenEmpty(&x.workers[slot], req) {
		return preemptionSet{}, false
	}
	set := preemptionSet{maxAction: maxAction, missing: shortage(req.Resources, x.workers[slot].free())}
	var usable []PreemptionCandidate
	for _, c := range group {
		if urgencyRank(c.Urgency) < urgency && reducesShortage(c.frees(maxAction), set.missing) {
			usable = append(usable, c)
		}
	}
	if len(usable) <= exhaustiveLimit {
		set.searchExhaustive(usable)
	} else {
		set.searchGreedy(usable)
	}
	return set, len(set.items) > 0
}

// fitsWhenEmpty reports whether the worker could run the task if no other task
// ran there.
func (x *Index) fitsWhenEmpty(rec *workerRecord, req *Request) bool {
	return rec.acceptsWork() && req.Resources.Fits(rec.Capacity) &&
		allowsDomain(&req.Constraint, x.domains.list[rec.domain].domainKey) && allowsWorker(&req.Constraint, rec)
}

// frees returns the resources that the most disruptive action possible for the
// task, up to limit, frees.
func (c *PreemptionCandidate) frees(limit Action) structs.Resources {
	if limit == Throttle || c.ThrottleOnly || limit == Checkpoint && !c.CanCheckpoint {
		return c.FreedByThrottling
	}
	return c.Resources
}

func reducesShortage(frees, missing structs.Resources) bool {
	return frees.MilliCPU > 0 && missing.MilliCPU > 0 ||
		frees.MemoryBytes > 0 && missing.MemoryBytes > 0 ||
		frees.Accelerators > 0 && missing.Accelerators > 0
}

func shortage(need, free structs.Resources) structs.Resources {
	d := need.Sub(free)
	return structs.Resources{MilliCPU: max(d.MilliCPU, 0), MemoryBytes: max(d.MemoryBytes, 0), Accelerators: max(d.Accelerators, 0)}
}

// searchExhaustive compares all subsets. Each subset is a bit mask.
func (s *preemptionSet) searchExhaustive(usable []PreemptionCandidate) {
	found := 0
	for bits := 1; bits < 1<<len(usable); bits++ {
		var cost preemptionCost
		var freed structs.Resources
		for i := range usable {
			if bits&(1<<i) != 0 {
				cost = cost.withCandidate(&usable[i])
				freed = freed.Add(usable[i].frees(s.maxAction))
			}
		}
		if s.missing.Fits(freed) && (found == 0 || cost.less(s.cost)) {
			found, s.cost = bits, cost
		}
	}
	for i := range usable {
		if found&(1<<i) != 0 {
			s.items = append(s.items, usable[i])
		}
	}
}

// searchGreedy takes candidates in order until the task fits. It then drops
// those that are not needed, starting with the most expensive.
func (s *preemptionSet) searchGreedy(usable []PreemptionCandidate) {
	remaining := s.missing
	for i := 0; i < len(usable) && !remaining.IsZero(); i++ {
		s.items = append(s.items, usable[i])
		remaining = shortage(remaining, usable[i].frees(s.maxAction))
	}
	if !remaining.IsZero() {
		s.items = nil
		return
	}
	for i := len(s.items) - 1; i >= 0; i-- {
		without := slices.Delete(slices.Clone(s.items), i, i+1)
		if s.missing.Fits(freedBy(without, s.maxAction)) {
			s.items = without
		}
	}
	for i := range s.items {
		s.cost = s.cost.withCandidate(&s.items[i])
	}
}

func freedBy(items []PreemptionCandidate, limit Action) structs.Resources {
	var sum structs.Resources
	for i := range items {
		sum = sum.Add(items[i].frees(limit))
	}
	return sum
}

// mildestActions gives each task the mildest action with which the set still
// frees enough, starting with the most expensive task.
func (s *preemptionSet) mildestActions() Preemption {
	p := Preemption{Worker: s.items[0].Worker}
	total := freedBy(s.items, s.maxAction)
	for i := len(s.items) - 1; i >= 0; i-- {
		item := &s.items[i]
		others := total.Sub(item.frees(s.maxAction))
		for action := Throttle; action <= s.maxAction; action++ {
			if frees := item.frees(action); s.missing.Fits(others.Add(frees)) {
				total = others.Add(frees)
				p.Steps = append(p.Steps, PreemptionStep{Task: item.Task, Action: item.actionFor(action), Freed: frees})
				break
			}
		}
	}
	slices.SortFunc(p.Steps, func(a, b PreemptionStep) int {
		return cmp.Or(cmp.Compare(a.Action, b.Action), cmp.Compare(a.Task, b.Task))
	})
	return p
}

// actionFor returns the action that frees(limit) assumes.
func (c *PreemptionCandidate) actionFor(limit Action) Action {
	switch {
	case limit == Throttle || c.ThrottleOnly:
		return Throttle
	case limit == Checkpoint && !c.CanCheckpoint:
		return Throttle
	case limit == Stop && c.CanCheckpoint:
		return Checkpoint
	}
	return limit
}
