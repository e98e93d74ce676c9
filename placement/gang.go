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
	for _, region := range x.regionsFor(&reqs[0]) {
		if x.tryGang(reqs, order, placed, region) {
			return placed, true
		}
	}
	if x.tryGang(reqs, order, placed, "") {
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

// regionsFor returns the regions that the request allows, the preferred one
// first and the others by falling free capacity.
func (x *Index) regionsFor(req *Request) []structs.Region {
	free := make(map[structs.Region]int64)
	var regions []structs.Region
	for _, d := range x.Domains() {
		if !allowsDomain(&req.Constraint, domainKey{d.Region, d.FailureDomain}) {
			continue
		}
		if !slices.Contains(regions, d.Region) {
			regions = append(regions, d.Region)
		}
		free[d.Region] += share(d.Capacity.MilliCPU-d.Reserved.MilliCPU, x.totals.Capacity.MilliCPU)
		free[d.Region] += share(d.Capacity.Accelerators-d.Reserved.Accelerators, x.totals.Capacity.Accelerators)
	}
	slices.SortStableFunc(regions, func(a, b structs.Region) int {
		if (a == req.Prefer) != (b == req.Prefer) {
			if a == req.Prefer {
				return -1
			}
			return 1
		}
		return int(free[b] - free[a])
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
