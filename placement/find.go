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
	// candidateLimit is the number of fitting workers that are scored, in
	// ascending order of the free amount of the scarcest resource.
	candidateLimit = 8
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
	allowed  []bool // domains of the current pass; a subset of eligible
	domains  uint64 // bits of the allowed domains
	scale    structs.Resources
	best     choice
	fitting  int
	visits   int // nodes visited by the last Find
}

func (s *search) grow(domains int) {
	for len(s.allowed) < domains {
		s.allowed = append(s.allowed, false)
		s.eligible = append(s.eligible, false)
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
	s.scale = x.meanCapacity()
	s.visits = 0
}

func (x *Index) meanCapacity() structs.Resources {
	n := int64(max(x.totals.Workers, 1))
	c := x.totals.Capacity
	return structs.Resources{MilliCPU: c.MilliCPU / n, MemoryBytes: c.MemoryBytes / n, Accelerators: c.Accelerators / n}
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
	s.domains = 0
	for i, ok := range s.eligible {
		s.allowed[i] = ok && x.tasksInDomain(int32(i)) == next
		if s.allowed[i] {
			s.domains |= domainBit(int32(i))
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

// searchAllowed looks through the allowed domains. Workers with accelerators
// are considered for a task that needs none only if no other worker fits.
func (x *Index) searchAllowed() {
	dim := x.scarcest()
	first := withoutAccelerators
	if x.search.req.Resources.Accelerators > 0 {
		first = withAccelerators
	}
	for class := first; class < accelClasses; class++ {
		x.search.fitting = 0
		x.walk(&x.trees[dim], x.trees[dim].roots[class])
		if x.search.best.slot != none {
			return
		}
	}
}

// scarcest returns the resource of which the task takes the largest part of
// what is free in the whole index.
func (x *Index) scarcest() dimension {
	r := x.search.req.Resources
	if r.Accelerators > 0 {
		return byAccelerators
	}
	free := x.totals.Capacity.Sub(x.totals.Reserved)
	if share(r.MemoryBytes, free.MemoryBytes) > share(r.MilliCPU, free.MilliCPU) {
		return byMemory
	}
	return byCPU
}

// walk visits the fitting workers below root in ascending order of the tree's
// free resource. It returns true when enough were seen.
func (x *Index) walk(t *tree, root int32) bool {
	if root == none {
		return false
	}
	s := &x.search
	s.visits++
	p := &t.nodes[root]
	if !s.mayContain(&p.subtree) {
		return false
	}
	need, _ := t.keys(s.req.Resources)
	if p.first >= need {
		if x.walk(t, p.left) {
			return true
		}
		if x.consider(root, &p.own) {
			return true
		}
	}
	return x.walk(t, p.right)
}

func (s *search) mayContain(sum *summary) bool {
	return s.req.Resources.Fits(sum.free) &&
		s.domains&sum.domains != 0 &&
		s.labels&sum.labels == s.labels
}

// consider scores the worker if it fits and returns true when enough workers
// were seen.
func (x *Index) consider(n int32, own *summary) bool {
	s := &x.search
	if !s.mayContain(own) || !x.matches(n) {
		return false
	}
	s.fitting++
	rec := &x.workers[n]
	c := choice{slot: n, tasks: rec.onWorker(s.key), score: s.score(rec)}
	if s.best.slot == none || c.tasks < s.best.tasks || (c.tasks == s.best.tasks && c.score > s.best.score) {
		s.best = c
	}
	return s.fitting >= spreadLimit || (s.fitting >= candidateLimit && s.best.tasks == 0)
}

// matches confirms what the bits of a summary only suggest.
func (x *Index) matches(n int32) bool {
	rec := &x.workers[n]
	return x.search.allowed[rec.domain] && allowsWorker(&x.search.req.Constraint, rec)
}

func allowsWorker(c *structs.Constraint, rec *worker) bool {
	for key, value := range c.Labels {
		if got, ok := rec.Labels[key]; !ok || got != value {
			return false
		}
	}
	return !slices.Contains(c.ExcludeWorkers, rec.ID)
}
