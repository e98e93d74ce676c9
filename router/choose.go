package router

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// tier orders executors by distance.
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

// choose returns the executor for r, or nil if none may take it now. Nearer
// tiers come first; inside a tier the executor with the lowest expected
// latency under its load wins, and a random one among equals.
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
		if slices.Contains(r.tried, e.info.ID) {
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
	if bestTier == otherRegion && !s.worthLeaving(svc, r) {
		return nil
	}
	return best
}

// score is the load after one more attempt times the smoothed latency. A
// probe that is due comes first, so that executors are restored under any
// load.
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

// worthLeaving reports whether the expected wait in this region exceeds the
// cost of sending r to another one.
func (s *State) worthLeaving(svc *service, r *request) bool {
	return s.waitHere(svc, r) > s.policy.CrossRegionCost
}

// waitHere estimates the further wait of r for an executor of this region.
func (s *State) waitHere(svc *service, r *request) time.Duration {
	held, open, usable := 0, 0, 0
	for _, e := range svc.executors {
		if !e.isOpen() || e.info.Location.Region != s.cfg.Location.Region {
			continue
		}
		open++
		held += e.capacity()
		if e.health == Healthy && !slices.Contains(r.tried, e.info.ID) {
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

// leaseCovers reports whether a credit that ends at until covers an attempt
// with the given deadline. Requests with deadlines beyond the credit lease
// rely on renewal: they need a fresh credit and are closed at its end.
func leaseCovers(now, until, deadline structs.Timestamp) bool {
	return deadline <= until || until.Sub(now) >= freshCredit
}
