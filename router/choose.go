package router

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// tier is the distance of an executor. Lower tiers are nearer.
type tier int

const (
	sameDomain tier = iota
	sameRegion
	otherRegion
)

func (s *State) tierOf(e *executor) tier {
	here := s.cfg.Location
	switch {
	case e.info.Location.Region != here.Region:
		return otherRegion
	case e.info.Location.FailureDomain != here.FailureDomain:
		return sameRegion
	}
	return sameDomain
}

// choose returns the executor for r, or nil if no executor can take it now.
// Nearer tiers come first. Within a tier it chooses the executor with the
// lowest score, and a random one among equal scores.
func (s *State) choose(svc *service, r *request) *executor {
	var best *executor
	var bestTier tier
	var bestScore int64
	ties := uint64(0)
	for _, e := range svc.executors {
		t := s.tierOf(e)
		if best != nil && t > bestTier || !e.accepts(s.now, r) {
			continue
		}
		if slices.Contains(r.triedExecutors, e.info.ID) {
			continue
		}
		score := e.score(svc)
		switch {
		case best == nil || t < bestTier || score < bestScore:
			best, bestTier, bestScore, ties = e, t, score, 1
		case score == bestScore:
			ties++
			if s.random()%ties == 0 {
				best = e
			}
		}
	}
	if bestTier == otherRegion && !s.shouldLeaveRegion(svc, r) {
		return nil
	}
	return best
}

// score returns the load after one more attempt multiplied by the smoothed
// latency. An executor that is due for a probe has the lowest score, so that it
// is restored under any load.
func (e *executor) score(svc *service) int64 {
	if e.health != Healthy {
		return -1
	}
	latency := e.latency
	if latency == 0 {
		latency = svc.latency
	}
	const scale = 1024
	load := int64(e.inflight+1) * scale / int64(max(e.capacity(), 1))
	return load * (int64(latency/time.Microsecond/64) + 1)
}

// shouldLeaveRegion reports whether the expected wait in this region exceeds
// the cost of sending r to another region.
func (s *State) shouldLeaveRegion(svc *service, r *request) bool {
	return s.localWait(svc, r) > s.policy.CrossRegionCost
}

// localWait estimates how long r will still wait for an executor of this region.
func (s *State) localWait(svc *service, r *request) time.Duration {
	held, open, usable := 0, 0, 0
	for _, e := range svc.executors {
		if !e.isLive() || e.info.Location.Region != s.cfg.Location.Region {
			continue
		}
		open++
		held += e.capacity()
		if e.health == Healthy && !slices.Contains(r.triedExecutors, e.info.ID) {
			usable++
		}
	}
	const never = time.Hour
	if open == 0 || usable == 0 {
		return never
	}
	waited := s.now.Sub(r.arrived)
	if held == 0 {
		return max(waited, 0)
	}
	queued := svc.queuedTotal()
	return time.Duration(queued) * svc.runTime / time.Duration(held)
}

// creditCovers reports whether a credit that ends at until covers an attempt
// with the given deadline. Attempts with deadlines beyond the credit lease rely
// on renewal: they need a recently renewed credit and end with it if it is not
// renewed again.
func creditCovers(now, until, deadline structs.Timestamp) bool {
	return deadline <= until || until.Sub(now) >= minRenewedLease
}
