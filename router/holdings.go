package router

import (
	"maps"
	"math"
	"slices"

	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// minRenewedLease is the least remaining lease of a credit that is renewed in
// time.
const minRenewedLease = credits.Lease - 2*credits.RequestInterval

// noExpiry is the end of credits that no owner grants; see Config.Standalone.
const noExpiry = structs.Timestamp(math.MaxInt64)

// creditState is the state of the slot credits that this instance holds.
type creditState struct {
	sequence uint64
	regions  map[structs.Region]*regionCredit
}

// regionCredit is the state of the exchange with the owner of one region's
// executors.
type regionCredit struct {
	epoch           structs.Epoch
	sequence        uint64 // number of the last request
	requestedAt     structs.Timestamp
	sentDemands     map[string]int // demands in the last request
	holdingsChanged bool           // holdings changed since the last request
}

func (c *creditState) init(cfg Config) {
	c.sequence = cfg.FirstSequence
	c.regions = map[structs.Region]*regionCredit{}
}

// demand tracks the number of slots that a service can use: those in use plus
// the queued requests.
type demand struct {
	average int64 // smoothed, in thousandths
}

// demandSmoothing is the weight of the past in the average, in ticks. It evens
// out the gaps between the requests of a steady load.
const demandSmoothing = 16

// updateDemand updates the average once per tick.
func (svc *service) updateDemand() {
	current := int64(svc.inflight+svc.queuedTotal()) * 1000
	svc.demand.average += (current - svc.demand.average) / demandSmoothing
}

// neededSlots returns the number of slots that the service can use now.
func (svc *service) neededSlots() int {
	return max(int(svc.demand.average+999)/1000, svc.inflight+svc.queuedTotal())
}

// applyStandalone gives this instance all slots if it requests no credits.
func (s *State) applyStandalone() {
	if !s.cfg.Standalone {
		return
	}
	for _, e := range s.executorList {
		s.setHolding(e, min(e.info.Slots, e.info.Connections), noExpiry)
	}
}

// setHolding sets the slots of the credit for e and the connections that come
// with the slots in use.
func (s *State) setHolding(e *executor, slots int, until structs.Timestamp) {
	if !e.isLive() {
		slots = 0
	}
	e.heldSlots = slots
	e.creditEnd = until
	inUse := max(slots, e.inflight)
	allowed := credits.ConnectionsFor(e.info, inUse)
	if allowed != e.connections {
		e.connections = allowed
		s.emit(ConnectionsChanged{Executor: e.info.ID, Address: e.info.Address, Connections: allowed, Slots: inUse})
	}
}

// recountHeldSlots sums the held slots at the live executors of each service.
func (s *State) recountHeldSlots() {
	for _, svc := range s.services {
		svc.heldSlots = 0
		for _, e := range svc.executors {
			if e.isLive() {
				svc.heldSlots += e.heldSlots
			}
		}
	}
}

// grantReceived applies a grant. A grant is ignored if its epoch is older
// than the newest acknowledged epoch or if it replies to an earlier request,
// because the owner counts only the newest request and the grants for it.
func (s *State) grantReceived(g *credits.Grant) {
	region := s.credit.regions[g.Region]
	if region == nil || g.To != s.cfg.Instance || g.Epoch < region.epoch || g.Sequence != region.sequence {
		return
	}
	if g.Epoch > region.epoch {
		region.epoch = g.Epoch
		region.holdingsChanged = true
	}
	granted := make(map[structs.ExecutorID]credits.Holding, len(g.Holdings))
	for _, h := range g.Holdings {
		granted[h.Executor] = h
	}
	for _, e := range s.executorList {
		if e.info.Location.Region != g.Region {
			continue
		}
		h, ok := granted[e.info.ID]
		until := h.End(g.Until)
		if !ok {
			until = e.creditEnd // running attempts keep the end with which they were started
		}
		if h.Slots < e.heldSlots {
			region.holdingsChanged = true
		}
		s.setHolding(e, h.Slots, until)
	}
	s.extendAttempts()
	s.recountHeldSlots()
	s.dispatchAll()
	s.requestCredits()
}

// extendAttempts updates the deadlines of attempts that end with their credits.
func (s *State) extendAttempts() {
	if len(s.creditBound) == 0 {
		return
	}
	for _, ref := range slices.Sorted(maps.Keys(s.creditBound)) {
		r := s.requests[ref]
		for _, running := range r.activeAttempts {
			s.emit(ExtendAttempt{Ref: ref, Attempt: running.attempt, Deadline: s.attemptDeadline(r, running.executor)})
		}
	}
}

// markHoldingsChanged makes a request to every owner due within MinReturnInterval.
func (s *State) markHoldingsChanged() {
	for _, rc := range s.credit.regions {
		rc.holdingsChanged = true
	}
}

// markSlotReturnable makes a request to the owner due within MinReturnInterval,
// because a slot that the owner reclaimed is no longer in use.
func (s *State) markSlotReturnable(e *executor) {
	if rc := s.credit.regions[e.info.Location.Region]; rc != nil {
		rc.holdingsChanged = true
	}
}

// expireCredits removes credits whose end has passed.
func (s *State) expireCredits() {
	dropped := false
	for _, e := range s.executorList {
		if e.heldSlots > 0 && s.now >= e.creditEnd {
			s.counts.ExpiredCreditSlots += uint64(e.heldSlots)
			s.setHolding(e, 0, e.creditEnd)
			dropped = true
		}
	}
	if dropped {
		s.markHoldingsChanged()
		s.recountHeldSlots()
	}
}

// requestCredits sends the credit requests that are due: at regular intervals,
// and sooner if the demand or the holdings changed.
func (s *State) requestCredits() {
	if s.cfg.Standalone {
		return
	}
	for _, region := range s.executorRegions() {
		rc := s.credit.regions[region]
		if rc == nil {
			rc = &regionCredit{}
			s.credit.regions[region] = rc
		}
		demands := s.demandsFor(region)
		if s.requestDue(rc, demands) {
			s.sendCreditRequest(region, rc, demands)
		}
	}
}

func (s *State) requestDue(rc *regionCredit, demands []credits.Demand) bool {
	age := s.now.Sub(rc.requestedAt)
	switch {
	case rc.sequence == 0 || age >= credits.RequestInterval:
		return true
	case rc.holdingsChanged && age >= credits.MinReturnInterval:
		return true
	case age < credits.MinRequestInterval:
		return false
	}
	for _, d := range demands {
		previous := rc.sentDemands[d.Service]
		margin := max(demandMargin, previous/demandMargin)
		if d.Slots > previous+margin || d.Slots < previous-margin {
			return true
		}
	}
	return false
}

// demandMargin is the change of demand above which a request is sent before the
// next regular one: more than 4 slots and more than a quarter.
const demandMargin = 4

func (s *State) sendCreditRequest(region structs.Region, rc *regionCredit, demands []credits.Demand) {
	s.credit.sequence++
	rc.sequence = s.credit.sequence
	rc.requestedAt = s.now
	rc.holdingsChanged = false
	rc.sentDemands = make(map[string]int, len(demands))
	for _, d := range demands {
		rc.sentDemands[d.Service] = d.Slots
	}
	req := credits.Request{
		From: s.cfg.Instance, Location: s.cfg.Location,
		Epoch: rc.epoch, Sequence: rc.sequence, Demands: demands,
	}
	var holdings []credits.Holding
	for _, e := range s.executorList {
		slots := max(e.heldSlots, e.inflight)
		if e.info.Location.Region != region || slots == 0 {
			continue
		}
		s.setHolding(e, e.heldSlots, e.creditEnd) // closes idle connections beyond what is declared
		holdings = append(holdings, credits.Holding{Executor: e.info.ID, Slots: slots, Until: e.creditEnd})
	}
	req.SetHoldings(holdings)
	s.emit(RequestCredits{Region: region, Request: req})
}

// executorRegions lists the regions of all executors in list order.
func (s *State) executorRegions() []structs.Region {
	var regions []structs.Region
	seen := map[structs.Region]bool{}
	for _, e := range s.executorList {
		region := e.info.Location.Region
		if !seen[region] {
			seen[region] = true
			regions = append(regions, region)
		}
	}
	return regions
}

// demandsFor returns the number of slots of a region's executors that this
// instance can use, by service.
func (s *State) demandsFor(region structs.Region) []credits.Demand {
	var demands []credits.Demand
	for _, svc := range s.sortedServices() {
		if !svc.hasRegion(region) {
			continue
		}
		slots := s.demandIn(svc, region)
		demands = append(demands, credits.Demand{Service: svc.name, Slots: slots})
	}
	return demands
}

// demandIn returns the number of slots of a service that this instance can use
// in a region. For another region, it includes queued requests only if the wait
// in this region exceeds the cost of leaving it or this region has no executor.
func (s *State) demandIn(svc *service, region structs.Region) int {
	running := 0
	for _, e := range svc.executors {
		if e.info.Location.Region == region {
			running += e.inflight
		}
	}
	if region == s.cfg.Location.Region {
		return svc.neededSlots()
	}
	queued := svc.queuedTotal()
	hasLocalExecutors := svc.hasRegion(s.cfg.Location.Region)
	hypothetical := request{arrived: s.now}
	if queued > 0 && s.shouldLeaveRegion(svc, &hypothetical) {
		return running + queued
	}
	if !hasLocalExecutors {
		return svc.neededSlots()
	}
	return running
}

func (svc *service) hasRegion(region structs.Region) bool {
	for _, e := range svc.executors {
		if e.isLive() && e.info.Location.Region == region {
			return true
		}
	}
	return false
}
