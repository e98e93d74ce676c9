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
	// runs no task of the spread key yet. It keeps such a search within a
	// tenth of a full scan at 2,100 workers.
	spreadLimit = 192
	// largeService is the number of tasks of a spread key in a domain from
	// which domains are searched one by one.
	largeService = 16
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
	level    int32   // tasks of the spread key in each allowed domain
	scale    proportion
	cells    [buckets]uint64 // of the lines of this pass, without those searched
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
	s.level = none
	for x.allowNext() {
		x.searchAllowed()
		if s.best.slot != none {
			break
		}
	}
	return s.best
}

// allowNext allows the eligible domains that have the fewest tasks of the
// spread key and were not searched yet. It returns false if there are none.
// Domains with many tasks are searched one by one, which leaves fewer workers
// to look through for one without a task.
func (x *Index) allowNext() bool {
	s := &x.search
	previous := none
	if s.level >= largeService {
		previous = s.allowed[0]
	}
	if previous == none || !x.allowLevel(s.level, previous) {
		next := x.nextLevel()
		return next != none && x.allowLevel(next, none)
	}
	return true
}

// nextLevel returns the smallest number of tasks of the spread key above the
// current level in any eligible domain, or none.
func (x *Index) nextLevel() int32 {
	s := &x.search
	next := none
	for i, ok := range s.eligible {
		if n := x.tasksInDomain(int32(i)); ok && n > s.level && (next == none || n < next) {
			next = n
		}
	}
	return next
}

// allowLevel allows the eligible domains of the level, or one of them if the
// level is that of a large service: the first after the previous one.
func (x *Index) allowLevel(level, previous int32) bool {
	s := &x.search
	s.level = level
	s.allowed = s.allowed[:0]
	reached := previous == none
	for _, i := range x.domains.order {
		if reached && s.eligible[i] && x.tasksInDomain(i) == level {
			s.allowed = append(s.allowed, i)
			if level >= largeService {
				break
			}
		}
		reached = reached || i == previous
	}
	return len(s.allowed) > 0
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
