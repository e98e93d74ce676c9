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
	PreferRegion structs.Region     // region of the data or callers; workers in other regions are scored lower by AffinityCost
	AffinityCost int64              // percentage by which the score of a worker in another region is reduced
}

const (
	// candidateLimit is the number of fitting workers after which the search
	// of a cell stops, if the best one runs no task with the spread key.
	candidateLimit = 4
	// spreadLimit is the number of fitting workers that are compared in search
	// of one that runs no task with the spread key. It keeps such a search
	// within a tenth of a full scan at 2,100 workers.
	spreadLimit = 192
	// largeServiceTasks is the number of tasks with a spread key in a failure
	// domain from which domains are searched one at a time.
	largeServiceTasks = 16
)

// choice is the best worker found so far.
type choice struct {
	slot  int32
	tasks int32 // tasks with the spread key on the worker
	score int64 // in parts per million; higher is better
}

// search is the state of one Find call. The index reuses it, so that Find does
// not allocate.
type search struct {
	req         *Request
	labelBits   uint64
	key         int32 // index of the spread key, or noIndex
	eligible    []bool
	selected    []int32 // eligible domains that are searched together
	domainTasks int32   // tasks with the spread key in each selected domain
	reference   referenceCapacity
	unsearched  [numBuckets]uint64 // per line, the cells that searchGrids has not searched yet
	best        choice
	fitting     int
	visits      int // lines and workers examined by the last Find
}

func (s *search) growDomains(domains int) {
	for len(s.eligible) < domains {
		s.eligible = append(s.eligible, false)
		s.selected = append(s.selected, noIndex)
	}
}

// Find returns the best worker for the task, or false if no worker that
// accepts new work fits it. It reserves nothing and does not allocate.
func (x *Index) Find(req *Request) (structs.WorkerID, bool) {
	slot := x.find(req)
	if slot == noIndex {
		return "", false
	}
	return x.workers[slot].ID, true
}

func (x *Index) find(req *Request) int32 {
	if req.Resources.IsNegative() {
		return noIndex
	}
	x.initSearch(req)
	defer func() { x.search.req = nil }()
	if req.PreferRegion == "" {
		x.markEligible(func(domainKey) bool { return true })
		return x.bestEligible().slot
	}
	x.markEligible(func(d domainKey) bool { return d.region == req.PreferRegion })
	preferred := x.bestEligible()
	if preferred.slot != noIndex && req.AffinityCost >= 100 {
		return preferred.slot
	}
	x.markEligible(func(d domainKey) bool { return d.region != req.PreferRegion })
	other := x.bestEligible()
	if preferred.slot == noIndex {
		return other.slot
	}
	if other.slot == noIndex || preferred.score >= other.score/100*(100-max(req.AffinityCost, 0)) {
		return preferred.slot
	}
	return other.slot
}

func (x *Index) initSearch(req *Request) {
	s := &x.search
	s.req = req
	s.labelBits = labelBits(req.Constraint.Labels)
	s.key = x.spreads.lookup(req.SpreadKey)
	s.reference = x.reference
	s.visits = 0
}

// markEligible marks the domains that the task's constraint and the filter
// allow.
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

// bestEligible returns the best worker of the eligible domains. Domains with
// fewer tasks with the spread key are searched first.
func (x *Index) bestEligible() choice {
	s := &x.search
	s.best = choice{slot: noIndex}
	s.domainTasks = noIndex
	for x.selectNextDomains() {
		x.searchSelected()
		if s.best.slot != noIndex {
			break
		}
	}
	return s.best
}

// selectNextDomains selects, among the eligible domains that were not searched
// yet, those with the fewest tasks with the spread key. It returns false if
// there are none. Domains with many such tasks are searched one at a time, so
// that fewer workers are examined to find one without such a task.
func (x *Index) selectNextDomains() bool {
	s := &x.search
	previous := noIndex
	if s.domainTasks >= largeServiceTasks {
		previous = s.selected[0]
	}
	if previous == noIndex || !x.selectDomainsWith(s.domainTasks, previous) {
		next := x.nextTaskCount()
		return next != noIndex && x.selectDomainsWith(next, noIndex)
	}
	return true
}

// nextTaskCount returns the smallest number of tasks with the spread key, above
// that of the selected domains, in any eligible domain, or noIndex.
func (x *Index) nextTaskCount() int32 {
	s := &x.search
	next := noIndex
	for i, ok := range s.eligible {
		if n := x.tasksInDomain(int32(i)); ok && n > s.domainTasks && (next == noIndex || n < next) {
			next = n
		}
	}
	return next
}

// selectDomainsWith selects the eligible domains that have the given number of
// tasks with the spread key. For a large service it selects only one of them:
// the first after the previous one. It reports whether any was selected.
func (x *Index) selectDomainsWith(tasks, previous int32) bool {
	s := &x.search
	s.domainTasks = tasks
	s.selected = s.selected[:0]
	reached := previous == noIndex
	for _, i := range x.domains.order {
		if reached && s.eligible[i] && x.tasksInDomain(i) == tasks {
			s.selected = append(s.selected, i)
			if tasks >= largeServiceTasks {
				break
			}
		}
		reached = reached || i == previous
	}
	return len(s.selected) > 0
}

func (x *Index) tasksInDomain(domain int32) int32 {
	if x.search.key == noIndex {
		return 0
	}
	return x.spreads.list[x.search.key].inDomain(domain)
}

func allowsWorker(c *structs.Constraint, rec *workerRecord) bool {
	for key, value := range c.Labels {
		if got, ok := rec.Labels[key]; !ok || got != value {
			return false
		}
	}
	return !slices.Contains(c.ExcludeWorkers, rec.ID)
}
