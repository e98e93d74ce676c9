package placement

import (
	"math"
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
	// candidateLimit is the number of fitting workers that are scored in one
	// pass, in ascending order of the free amount of the tree's resource.
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
	scale    proportion
	surplus  int64 // least surplus of the workers of this pass
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
	s := &x.search
	if s.req.Resources.Accelerators > 0 {
		x.pass(byAccelerators, withAccelerators, anySurplus)
		return
	}
	dim := byCPU
	surplus := s.scale.surplus(byCPU, s.req.Resources)
	if surplus < 0 {
		dim, surplus = byMemory, -surplus
	}
	for class := range accelClasses {
		found := x.pass(dim, class, surplus) || x.pass(dim, class, 0) || x.pass(dim, class, anySurplus)
		if found {
			return
		}
	}
}

// anySurplus admits every worker to a pass.
const anySurplus = math.MinInt64

// pass looks through the workers of the class that have at least the given
// surplus of the resource of dim, and reports whether one fits. A task that
// takes more of a resource than of the other goes to workers with a larger
// surplus of it first, which it brings closer to balance, and among them to
// the one with the least of it.
func (x *Index) pass(dim dimension, class accelClass, surplus int64) bool {
	s := &x.search
	s.fitting = 0
	s.surplus = surplus
	t := &x.trees[dim]
	x.walk(t, t.roots[class])
	return s.best.slot != none
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
		s.surplus <= sum.surplus &&
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
