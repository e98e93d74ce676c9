package placement

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Request describes one task to place.
type Request struct {
	Resources    structs.Resources
	Constraint   structs.Constraint // regions, failure domains, required labels, excluded workers
	SpreadKey    string             // tasks with the same key are spread over failure domains and workers
	Prefer       structs.Region     // where the data or callers are; other regions cost AffinityCost
	AffinityCost int64              // percentage of a worker's score given up before another region is chosen
}

const (
	// candidateLimit is the number of fitting workers of a cell that are
	// compared.
	candidateLimit = 4
	// spreadLimit is the number of fitting workers looked at for one that
	// runs no task of the spread key yet.
	spreadLimit = 64
)

// choice is the best worker found so far.
type choice struct {
	slot  int32
	tasks int32 // of the spread key on the worker
	score int64 // parts per million, larger is better
}

// search is the state of one Find, kept in the index so that Find does not
// allocate.
type search struct {
	req      *Request
	labels   uint64
	key      int32 // number of the spread key, or none
	eligible []bool
	allowed  []int32 // domains of the current pass, all of them eligible
	scale    proportion
	best     choice
	fitting  int
	visits   int // lines of cells and workers looked at by the last Find
}

func (s *search) grow(domains int) {
	for len(s.eligible) < domains {
		s.eligible = append(s.eligible, false)
		s.allowed = append(s.allowed, none)
	}
}

// Find returns the worker that suits the task best, or false if no worker
// that may take new work fits it. It reserves nothing and does not allocate.
func (x *Index) Find(req *Request) (structs.WorkerID, bool) {
	n := x.find(req)
	if n == none {
		return "", false
	}
	return x.workers[n].ID, true
}

func (x *Index) find(req *Request) int32 {
	if req.Resources.IsNegative() {
		return none
	}
	x.begin(req)
	defer func() { x.search.req = nil }()
	if req.Prefer == "" {
		x.markEligible(func(domainKey) bool { return true })
		return x.bestEligible().slot
	}
	x.markEligible(func(d domainKey) bool { return d.region == req.Prefer })
	near := x.bestEligible()
	if near.slot != none && req.AffinityCost >= 100 {
		return near.slot
	}
	x.markEligible(func(d domainKey) bool { return d.region != req.Prefer })
	far := x.bestEligible()
	if near.slot == none {
		return far.slot
	}
	if far.slot == none || near.score >= far.score/100*(100-max(req.AffinityCost, 0)) {
		return near.slot
	}
	return far.slot
}

func (x *Index) begin(req *Request) {
	s := &x.search
	s.req = req
	s.labels = labelBits(req.Constraint.Labels)
	s.key = x.spreads.lookup(req.SpreadKey)
	s.scale = x.scale
	s.visits = 0
}

// markEligible selects the domains that the constraint and the filter allow.
func (x *Index) markEligible(filter func(domainKey) bool) {
	s := &x.search
	for i := range x.domains.list {
		d := &x.domains.list[i]
		s.eligible[i] = d.usage.Workers > 0 && filter(d.domainKey) && allowsDomain(&s.req.Constraint, d.domainKey)
	}
}

func allowsDomain(c *structs.Constraint, d domainKey) bool {
	if len(c.Regions) > 0 && !slices.Contains(c.Regions, d.region) {
		return false
	}
	return len(c.FailureDomains) == 0 || slices.Contains(c.FailureDomains, d.domain)
}

// bestEligible returns the best worker of the eligible domains, taking those
// with the fewest tasks of the spread key first.
func (x *Index) bestEligible() choice {
	s := &x.search
	s.best = choice{slot: none}
	level := int32(-1)
	for {
		var ok bool
		level, ok = x.allowNextLevel(level)
		if !ok {
			return s.best
		}
		x.searchAllowed()
		if s.best.slot != none {
			return s.best
		}
	}
}

// allowNextLevel allows the eligible domains whose number of tasks of the
// spread key is the smallest above level.
func (x *Index) allowNextLevel(level int32) (int32, bool) {
	s := &x.search
	next := int32(-1)
	for i, ok := range s.eligible {
		if n := x.tasksInDomain(int32(i)); ok && n > level && (next < 0 || n < next) {
			next = n
		}
	}
	if next < 0 {
		return level, false
	}
	s.allowed = s.allowed[:0]
	for i, ok := range s.eligible {
		if ok && x.tasksInDomain(int32(i)) == next {
			s.allowed = append(s.allowed, int32(i))
		}
	}
	return next, true
}

func (x *Index) tasksInDomain(domain int32) int32 {
	if x.search.key == none {
		return 0
	}
	return x.spreads.list[x.search.key].inDomain(domain)
}

func allowsWorker(c *structs.Constraint, rec *worker) bool {
	for key, value := range c.Labels {
		if got, ok := rec.Labels[key]; !ok || got != value {
			return false
		}
	}
	return !slices.Contains(c.ExcludeWorkers, rec.ID)
}
