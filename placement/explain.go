package placement

import (
	"fmt"
	"strings"

	"github.com/mangodrum/mangodrum/structs"
)

// Reason says why a worker cannot take a task now.
type Reason string

// Reasons in the order in which they are checked. Each worker is counted under
// the first one that applies.
const (
	ReasonRegion        Reason = "other region"
	ReasonDomain        Reason = "other failure domain"
	ReasonLabels        Reason = "labels differ"
	ReasonExcluded      Reason = "excluded by the task"
	ReasonUnschedulable Reason = "takes no new work"
	ReasonTooSmall      Reason = "too small even when empty"
	ReasonCPU           Reason = "not enough free processors"
	ReasonMemory        Reason = "not enough free memory"
	ReasonAccelerators  Reason = "not enough free accelerators"
)

// reasonOrder is the order in which String lists the reasons.
var reasonOrder = []Reason{
	ReasonRegion, ReasonDomain, ReasonLabels, ReasonExcluded, ReasonUnschedulable,
	ReasonTooSmall, ReasonCPU, ReasonMemory, ReasonAccelerators,
}

// Explanation describes why a task cannot be placed, and what would allow it.
type Explanation struct {
	Workers     int               // number of listed workers
	Fitting     int               // number of workers that can run the task now
	Rejected    map[Reason]int    // rejected workers by the first reason that applies
	LargestFree structs.Resources // largest free amount of each resource on any single worker that the constraints allow
	Remedy      string            // what would allow the task to run
}

// String formats the explanation in one line.
func (e Explanation) String() string {
	parts := make([]string, 0, len(e.Rejected))
	for _, reason := range reasonOrder {
		if n := e.Rejected[reason]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, reason))
		}
	}
	return fmt.Sprintf("%d of %d workers fit (%s); %s", e.Fitting, e.Workers, strings.Join(parts, ", "), e.Remedy)
}

// Explain checks every listed worker and counts why each cannot run the task.
func (x *Index) Explain(req *Request) Explanation {
	e := Explanation{Rejected: make(map[Reason]int)}
	for i := range x.workers {
		rec := &x.workers[i]
		if !rec.listed {
			continue
		}
		e.Workers++
		reason := x.rejectReason(rec, req)
		if reason == "" {
			e.Fitting++
		} else {
			e.Rejected[reason]++
		}
		if isResourceReason(reason) {
			largest := gridCell{free: e.LargestFree}
			largest.include(rec)
			e.LargestFree = largest.free
		}
	}
	e.Remedy = remedyFor(&e, req)
	return e
}

// rejectReason returns the first reason why the worker cannot run the task, or
// an empty reason if it can.
func (x *Index) rejectReason(rec *workerRecord, req *Request) Reason {
	c := &req.Constraint
	key := x.domains.list[rec.domain].domainKey
	if !allowsDomain(&structs.Constraint{Regions: c.Regions}, key) {
		return ReasonRegion
	}
	if !allowsDomain(c, key) {
		return ReasonDomain
	}
	if !allowsWorker(&structs.Constraint{Labels: c.Labels}, rec) {
		return ReasonLabels
	}
	if !allowsWorker(c, rec) {
		return ReasonExcluded
	}
	if !rec.acceptsWork() {
		return ReasonUnschedulable
	}
	if !req.Resources.Fits(rec.Capacity) {
		return ReasonTooSmall
	}
	return shortageReason(req.Resources, rec.free())
}

func shortageReason(r, free structs.Resources) Reason {
	if r.Accelerators > free.Accelerators {
		return ReasonAccelerators
	}
	if r.MilliCPU > free.MilliCPU {
		return ReasonCPU
	}
	if r.MemoryBytes > free.MemoryBytes {
		return ReasonMemory
	}
	return ""
}

// isResourceReason reports whether the worker was not rejected, or was rejected
// only for lack of resources.
func isResourceReason(reason Reason) bool {
	switch reason {
	case "", ReasonTooSmall, ReasonCPU, ReasonMemory, ReasonAccelerators:
		return true
	}
	return false
}

func remedyFor(e *Explanation, req *Request) string {
	withoutRoom := e.Rejected[ReasonCPU] + e.Rejected[ReasonMemory] + e.Rejected[ReasonAccelerators]
	switch {
	case e.Fitting > 0:
		return "the task can be placed now"
	case e.Workers == 0:
		return "no worker is listed; wait for the directory"
	case withoutRoom > 0:
		return fmt.Sprintf("wait until %s are free on one worker; the largest free amounts are %s", req.Resources, e.LargestFree)
	case e.Rejected[ReasonTooSmall] > 0:
		return fmt.Sprintf("ask for less than %s, or add a larger worker", req.Resources)
	case e.Rejected[ReasonUnschedulable] > 0:
		return "end the drain or quarantine of a worker that matches"
	case e.Rejected[ReasonExcluded] > 0:
		return "exclude fewer workers"
	}
	return "relax the regions, failure domains or labels of the task"
}
