package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Action is what is done to a running task to make room, from the mildest to
// the hardest.
type Action int

// Actions.
const (
	Throttle   Action = iota // the task keeps running with less
	Checkpoint               // the task is saved and goes on later
	Stop                     // the work since the start or last checkpoint is lost
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"throttle", "checkpoint", "stop"}[a] }

// Candidate is a running task that may make room for another.
type Candidate struct {
	Task           structs.TaskID
	Worker         structs.WorkerID
	Resources      structs.Resources
	Urgency        structs.Urgency
	Cost           int64             // of stopping it, in any unit that is the same for all
	ThrottleFrees  structs.Resources // what throttling it gives back; zero if it cannot be throttled
	CanCheckpoint  bool
	CannotBeKilled bool // it may be throttled but neither checkpointed nor stopped
}

// PreemptionStep is one action on one task.
type PreemptionStep struct {
	Task   structs.TaskID
	Action Action
	Frees  structs.Resources
}

// Preemption makes room for one task on one worker.
type Preemption struct {
	Worker structs.WorkerID
	Steps  []PreemptionStep
}

// exactLimit is the number of candidates on one worker up to which every set
// is compared; above it the cheapest are taken until the task fits.
const exactLimit = 10

// ChoosePreemption returns the cheapest set of actions on one worker that
// makes room for the request, or false if there is none. Only tasks that are
// less urgent than the request are touched. A set of milder actions is chosen
// before any set with a harder one, and a set that spares tasks of normal
// urgency before one that does not. Nothing is changed.
func (x *Index) ChoosePreemption(req *Request, urgency structs.Urgency, candidates []Candidate) (Preemption, bool) {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(rank(a.Urgency), rank(b.Urgency)),
			cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Task, b.Task))
	})
	for hardest := Throttle; hardest <= Stop; hardest++ {
		var best preemptionSet
		for group := range byWorker(sorted) {
			set, ok := x.cheapestSet(req, rank(urgency), group, hardest)
			if ok && (best.items == nil || set.cost.less(best.cost)) {
				best = set
			}
		}
		if best.items != nil {
			return best.soften(), true
		}
	}
	return Preemption{}, false
}

// rank orders urgencies from 0, the least urgent.
func rank(u structs.Urgency) int {
	switch u {
	case structs.Urgent:
		return 2
	case structs.Normal:
		return 1
	}
	return 0
}

// byWorker yields the runs of candidates of one worker in a sorted list.
func byWorker(sorted []Candidate) func(yield func([]Candidate) bool) {
	return func(yield func([]Candidate) bool) {
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

// preemptionCost compares by the cost to tasks of normal urgency first.
type preemptionCost struct{ normal, deferrable int64 }

func (c preemptionCost) less(o preemptionCost) bool {
	if c.normal != o.normal {
		return c.normal < o.normal
	}
	return c.deferrable < o.deferrable
}

func (c preemptionCost) plus(item *Candidate) preemptionCost {
	cost := max(item.Cost, 1)
	if rank(item.Urgency) > 0 {
		c.normal += cost
	} else {
		c.deferrable += cost
	}
	return c
}

// preemptionSet is a set of candidates of one worker whose hardest allowed
// actions free at least missing.
type preemptionSet struct {
	items   []Candidate
	hardest Action
	missing structs.Resources
	cost    preemptionCost
}

// cheapestSet returns the cheapest set on the worker of the group, using
// actions up to hardest.
func (x *Index) cheapestSet(req *Request, urgency int, group []Candidate, hardest Action) (preemptionSet, bool) {
	n, ok := x.slots[group[0].Worker]
	if !ok || !x.mayHost(&x.workers[n], req) {
		return preemptionSet{}, false
	}
	set := preemptionSet{hardest: hardest, missing: shortage(req.Resources, x.workers[n].free())}
	var usable []Candidate
	for _, c := range group {
		if rank(c.Urgency) < urgency && helps(c.frees(hardest), set.missing) {
			usable = append(usable, c)
		}
	}
	if len(usable) <= exactLimit {
		set.searchExact(usable)
	} else {
		set.searchGreedy(usable)
	}
	return set, len(set.items) > 0
}

// mayHost reports whether the worker could run the task if it were empty.
func (x *Index) mayHost(rec *worker, req *Request) bool {
	return rec.takesWork() && req.Resources.Fits(rec.Capacity) &&
		allowsDomain(&req.Constraint, x.domains.list[rec.domain].domainKey) && allowsWorker(&req.Constraint, rec)
}

// frees returns what the hardest possible action up to the limit gives back.
func (c *Candidate) frees(limit Action) structs.Resources {
	if limit == Throttle || c.CannotBeKilled || limit == Checkpoint && !c.CanCheckpoint {
		return c.ThrottleFrees
	}
	return c.Resources
}

func helps(frees, missing structs.Resources) bool {
	return frees.MilliCPU > 0 && missing.MilliCPU > 0 ||
		frees.MemoryBytes > 0 && missing.MemoryBytes > 0 ||
		frees.Accelerators > 0 && missing.Accelerators > 0
}

func shortage(need, free structs.Resources) structs.Resources {
	d := need.Sub(free)
	return structs.Resources{MilliCPU: max(d.MilliCPU, 0), MemoryBytes: max(d.MemoryBytes, 0), Accelerators: max(d.Accelerators, 0)}
}

// searchExact compares all subsets; a subset is a set of bits.
func (s *preemptionSet) searchExact(usable []Candidate) {
	found := 0
	for bits := 1; bits < 1<<len(usable); bits++ {
		var cost preemptionCost
		var freed structs.Resources
		for i := range usable {
			if bits&(1<<i) != 0 {
				cost = cost.plus(&usable[i])
				freed = freed.Add(usable[i].frees(s.hardest))
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

// searchGreedy takes candidates in order until the task fits, and then drops
// those that turn out not to be needed, the dearest first.
func (s *preemptionSet) searchGreedy(usable []Candidate) {
	left := s.missing
	for i := 0; i < len(usable) && !left.IsZero(); i++ {
		s.items = append(s.items, usable[i])
		left = shortage(left, usable[i].frees(s.hardest))
	}
	if !left.IsZero() {
		s.items = nil
		return
	}
	for i := len(s.items) - 1; i >= 0; i-- {
		without := slices.Delete(slices.Clone(s.items), i, i+1)
		if s.missing.Fits(freedBy(without, s.hardest)) {
			s.items = without
		}
	}
	for i := range s.items {
		s.cost = s.cost.plus(&s.items[i])
	}
}

func freedBy(items []Candidate, limit Action) structs.Resources {
	var sum structs.Resources
	for i := range items {
		sum = sum.Add(items[i].frees(limit))
	}
	return sum
}

// soften gives every task the mildest action with which the set still frees
// enough, the dearest task first.
func (s *preemptionSet) soften() Preemption {
	p := Preemption{Worker: s.items[0].Worker}
	total := freedBy(s.items, s.hardest)
	for i := len(s.items) - 1; i >= 0; i-- {
		item := &s.items[i]
		others := total.Sub(item.frees(s.hardest))
		for action := Throttle; action <= s.hardest; action++ {
			if frees := item.frees(action); s.missing.Fits(others.Add(frees)) {
				total = others.Add(frees)
				p.Steps = append(p.Steps, PreemptionStep{Task: item.Task, Action: item.actionFor(action), Frees: frees})
				break
			}
		}
	}
	slices.SortFunc(p.Steps, func(a, b PreemptionStep) int {
		return cmp.Or(cmp.Compare(a.Action, b.Action), cmp.Compare(a.Task, b.Task))
	})
	return p
}

// actionFor returns the action that frees(limit) stands for.
func (c *Candidate) actionFor(limit Action) Action {
	switch {
	case limit == Throttle || c.CannotBeKilled:
		return Throttle
	case limit == Checkpoint && !c.CanCheckpoint:
		return Throttle
	case limit == Stop && c.CanCheckpoint:
		return Checkpoint
	}
	return limit
}
