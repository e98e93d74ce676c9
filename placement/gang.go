package placement

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// FindGang returns a worker for every request, in the order of the requests,
// or false if they do not all fit at once. If a single region can run all
// tasks, they are placed in one region, preferably in the region that the
// first request prefers. FindGang reserves nothing.
func (x *Index) FindGang(reqs []Request) ([]structs.WorkerID, bool) {
	if len(reqs) == 0 {
		return nil, true
	}
	order := x.largestFirst(reqs)
	placed := make([]structs.WorkerID, len(reqs))
	capacity := x.capacityByRegion(reqs)
	total := 0
	for _, region := range x.regionsFor(&reqs[0], capacity) {
		total += capacity[region]
		if capacity[region] >= len(reqs) && x.tryGang(reqs, order, placed, region) {
			return placed, true
		}
	}
	if total >= len(reqs) && x.tryGang(reqs, order, placed, "") {
		return placed, true
	}
	return nil, false
}

// largestFirst returns the indexes of the requests in descending order of their
// dominant share of the mean worker. Small tasks then fill the gaps that large
// ones leave.
func (x *Index) largestFirst(reqs []Request) []int {
	mean := x.totals.mean()
	order := make([]int, len(reqs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(reqs[b].Resources.DominantShare(mean) - reqs[a].Resources.DominantShare(mean))
	})
	return order
}

// capacityByRegion returns an upper bound of the number of the gang's tasks
// that each region can run: how many tasks with the smallest requested amount
// of each resource fit on its workers. The bound avoids attempts that would
// place most tasks before they fail.
func (x *Index) capacityByRegion(reqs []Request) map[structs.Region]int {
	smallest := reqs[0].Resources
	for i := range reqs {
		r := reqs[i].Resources
		smallest.MilliCPU = min(smallest.MilliCPU, r.MilliCPU)
		smallest.MemoryBytes = min(smallest.MemoryBytes, r.MemoryBytes)
		smallest.Accelerators = min(smallest.Accelerators, r.Accelerators)
	}
	byDomain := make([]int64, len(x.domains.list))
	for i := range x.workers {
		if rec := &x.workers[i]; rec.acceptsWork() {
			byDomain[rec.domain] += maxTasks(smallest, rec.free(), int64(len(reqs)))
		}
	}
	capacity := make(map[structs.Region]int)
	for d, n := range byDomain {
		capacity[x.domains.list[d].region] += int(n)
	}
	return capacity
}

// maxTasks returns how many tasks of size r fit into free, at most limit.
func maxTasks(r, free structs.Resources, limit int64) int64 {
	if !r.Fits(free) {
		return 0
	}
	n := limit
	if r.MilliCPU > 0 {
		n = min(n, free.MilliCPU/r.MilliCPU)
	}
	if r.MemoryBytes > 0 {
		n = min(n, free.MemoryBytes/r.MemoryBytes)
	}
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	return n
}

// regionsFor returns the regions with listed workers: the preferred one first,
// the others in descending order of capacity, then by name.
func (x *Index) regionsFor(req *Request, capacity map[structs.Region]int) []structs.Region {
	var regions []structs.Region
	for _, d := range x.Domains() {
		if !slices.Contains(regions, d.Region) {
			regions = append(regions, d.Region)
		}
	}
	slices.SortStableFunc(regions, func(a, b structs.Region) int {
		if (a == req.PreferRegion) != (b == req.PreferRegion) {
			if a == req.PreferRegion {
				return -1
			}
			return 1
		}
		return capacity[b] - capacity[a]
	})
	return regions
}

// tryGang reserves a worker for each request in turn and then releases all of
// them. It reports whether all requests fit and stores the workers in placed.
// An empty region allows every region.
func (x *Index) tryGang(reqs []Request, order []int, placed []structs.WorkerID, region structs.Region) bool {
	reserved := 0
	for _, i := range order {
		req := reqs[i]
		if region != "" {
			if !restrictToRegion(&req, region) {
				break
			}
		}
		id, ok := x.Find(&req)
		if !ok || !x.Reserve(id, req.Resources, req.SpreadKey) {
			break
		}
		placed[i] = id
		reserved++
	}
	for _, i := range order[:reserved] {
		x.Release(placed[i], reqs[i].Resources, reqs[i].SpreadKey)
	}
	return reserved == len(reqs)
}

// restrictToRegion restricts the request to the region. It returns false if the
// constraint of the request excludes that region.
func restrictToRegion(req *Request, region structs.Region) bool {
	if len(req.Constraint.Regions) > 0 && !slices.Contains(req.Constraint.Regions, region) {
		return false
	}
	req.Constraint.Regions = []structs.Region{region}
	req.PreferRegion = ""
	return true
}
