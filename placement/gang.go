package placement

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// FindGang returns a worker for every request, in the order of the requests,
// or false if they do not all fit at once. All tasks go into one region if
// any region can take them, the preferred one first. It reserves nothing.
func (x *Index) FindGang(reqs []Request) ([]structs.WorkerID, bool) {
	if len(reqs) == 0 {
		return nil, true
	}
	order := x.largestFirst(reqs)
	placed := make([]structs.WorkerID, len(reqs))
	room := x.roomByRegion(reqs)
	total := 0
	for _, region := range x.regionsFor(&reqs[0], room) {
		total += room[region]
		if room[region] >= len(reqs) && x.tryGang(reqs, order, placed, region) {
			return placed, true
		}
	}
	if total >= len(reqs) && x.tryGang(reqs, order, placed, "") {
		return placed, true
	}
	return nil, false
}

// largestFirst returns the indexes of the requests by falling share of the
// mean worker; small tasks fill what large ones leave.
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

// roomByRegion returns an upper bound of the number of the gang's tasks that
// each region can take: how often its smallest amounts fit on the workers. It
// saves attempts that would place most tasks before they fail.
func (x *Index) roomByRegion(reqs []Request) map[structs.Region]int {
	least := reqs[0].Resources
	for i := range reqs {
		r := reqs[i].Resources
		least.MilliCPU = min(least.MilliCPU, r.MilliCPU)
		least.MemoryBytes = min(least.MemoryBytes, r.MemoryBytes)
		least.Accelerators = min(least.Accelerators, r.Accelerators)
	}
	byDomain := make([]int64, len(x.domains.list))
	for i := range x.workers {
		if rec := &x.workers[i]; rec.takesWork() {
			byDomain[rec.domain] += timesThatFit(least, rec.free(), int64(len(reqs)))
		}
	}
	room := make(map[structs.Region]int)
	for d, n := range byDomain {
		room[x.domains.list[d].region] += int(n)
	}
	return room
}

// timesThatFit returns how often r fits into free, at most limit.
func timesThatFit(r, free structs.Resources, limit int64) int64 {
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

// regionsFor returns the regions in which workers are listed, the preferred
// one first and the others by falling room, then by name.
func (x *Index) regionsFor(req *Request, room map[structs.Region]int) []structs.Region {
	var regions []structs.Region
	for _, d := range x.Domains() {
		if !slices.Contains(regions, d.Region) {
			regions = append(regions, d.Region)
		}
	}
	slices.SortStableFunc(regions, func(a, b structs.Region) int {
		if (a == req.Prefer) != (b == req.Prefer) {
			if a == req.Prefer {
				return -1
			}
			return 1
		}
		return room[b] - room[a]
	})
	return regions
}

// tryGang places the requests one by one, each seeing the ones before it, and
// undoes all of them. An empty region allows every region.
func (x *Index) tryGang(reqs []Request, order []int, placed []structs.WorkerID, region structs.Region) bool {
	done := 0
	for _, i := range order {
		req := reqs[i]
		if region != "" {
			if !narrowTo(&req, region) {
				break
			}
		}
		id, ok := x.Find(&req)
		if !ok || !x.Reserve(id, req.Resources, req.SpreadKey) {
			break
		}
		placed[i] = id
		done++
	}
	for _, i := range order[:done] {
		x.Release(placed[i], reqs[i].Resources, reqs[i].SpreadKey)
	}
	return done == len(reqs)
}

// narrowTo limits the request to the region, or returns false if its
// constraint excludes the region.
func narrowTo(req *Request, region structs.Region) bool {
	if len(req.Constraint.Regions) > 0 && !slices.Contains(req.Constraint.Regions, region) {
		return false
	}
	req.Constraint.Regions = []structs.Region{region}
	req.Prefer = ""
	return true
}
