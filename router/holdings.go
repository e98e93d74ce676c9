package router

import (
	"maps"
	"math"
	"slices"

	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// freshCredit is the remaining lease of a credit that was renewed in time.
const freshCredit = credits.Lease - 2*credits.RequestInterval

// forever is the end of credits that need no owner.
const forever = structs.Timestamp(math.MaxInt64)

// creditState is the holder's side of the slot credits.
type creditState struct {
	sequence uint64
	regions  map[structs.Region]*regionCredit
}

// regionCredit is the state towards the owner of one region's executors.
type regionCredit struct {
	epoch       structs.Epoch
	sequence    uint64 // of the last request
	requestedAt structs.Timestamp
	sent        map[string]int // demands in the last request
	changed     bool           // holdings changed since the last request
}

func (c *creditState) init(cfg Config) {
	c.sequence = cfg.FirstSequence
	c.regions = map[structs.Region]*regionCredit{}
}

// demand follows the slots that a service can use: those in use plus the
// queued requests.
type demand struct {
	average int64 // smoothed, in thousandths
}

// demandSmoothing is the weight of the past in the average, in ticks; it
// bridges the gaps between the requests of a steady load.
const demandSmoothing = 16

// noteDemand updates the average once per tick.
func (svc *service) noteDemand() {
	current := int64(svc.inflight+svc.queuedTotal()) * 1000
	svc.demand.average += (current - svc.demand.average) / demandSmoothing
}

// need returns the slots that the service can use now.
func (svc *service) need() int {
	return max(int(svc.demand.average+999)/1000, svc.inflight+svc.queuedTotal())
}

// applyAlone gives this instance the full slots when it asks nobody.
func (s *State) applyAlone() {
	if !s.cfg.Alone {
		return
	}
	for _, e := range s.order {
		s.setHolding(e, min(e.info.Slots, e.info.Connections), forever)
	}
}

// setHolding changes the slots that new attempts may use.
func (s *State) setHolding(e *executor, slots int, until structs.Timestamp) {
	if !e.isOpen() {
		slots = 0
	}
	e.held = slots
	e.until = until
	inUse := max(slots, e.inflight)
	allowed := credits.ConnectionsFor(e.info, inUse)
	if allowed != e.connections {
		e.connections = allowed
		s.emit(ConnectionsChanged{Executor: e.info.ID, Address: e.info.Address, Connections: allowed, Slots: inUse})
	}
}

// recountHeld sums the slots held at open executors.
func (s *State) recountHeld() {
	for _, svc := range s.services {
		svc.held = 0
		for _, e := range svc.executors {
			if e.isOpen() {
				svc.held += e.held
			}
		}
	}
}

// creditsDelivered applies a grant. It is ignored if its epoch is older than
// one that was acknowledged, or if it answers an earlier request: the owner
// counts only what the newest request and its answers say.
func (s *State) creditsDelivered(g *credits.Grant) {
	region := s.credit.regions[g.Region]
	if region == nil || g.To != s.cfg.Instance || g.Epoch < region.epoch || g.Sequence != region.sequence {
		return
	}
	if g.Epoch > region.epoch {
		region.epoch = g.Epoch
		region.changed = true
	}
	granted := make(map[structs.ExecutorID]credits.Holding, len(g.Holdings))
	for _, h := range g.Holdings {
		granted[h.Executor] = h
	}
	for _, e := range s.order {
		if e.info.Location.Region != g.Region {
			continue
		}
		h, ok := granted[e.info.ID]
		until := h.End(g.Until)
		if !ok {
			until = e.until // what runs keeps the end that it was started with
		}
		if h.Slots < e.held {
			region.changed = true
		}
		s.setHolding(e, h.Slots, until)
	}
	s.extendAttempts()
	s.recountHeld()
	s.dispatchAll()
	s.requestCredits()
}

// extendAttempts moves the ends of attempts that outlast their credits.
func (s *State) extendAttempts() {
	if len(s.long) == 0 {
		return
	}
	for _, ref := range slices.Sorted(maps.Keys(s.long)) {
		r := s.requests[ref]
		for _, running := range r.runs {
			s.emit(ExtendAttempt{Ref: ref, Attempt: running.attempt, Deadline: s.attemptDeadline(r, running.executor)})
		}
	}
}

// holdingsChanged makes the next request to every owner due soon.
func (s *State) holdingsChanged() {
	for _, rc := range s.credit.regions {
		rc.changed = true
	}
}

// slotReturnable notes that a slot which the owner asked back is not used any
// more.
func (s *State) slotReturnable(e *executor) {
	if rc := s.credit.regions[e.info.Location.Region]; rc != nil {
		rc.changed = true
	}
}

// expireCredits drops credits whose end has passed.
func (s *State) expireCredits() {
	dropped := false
	for _, e := range s.order {
		if e.held > 0 && s.now >= e.until {
			s.counts.CreditsLapsed += uint64(e.held)
			s.setHolding(e, 0, e.until)
			dropped = true
		}
	}
	if dropped {
		s.holdingsChanged()
		s.recountHeld()
	}
}

// requestCredits reports to the owners when it is due: regularly, and sooner
// when the demand or the holdings changed.
func (s *State) requestCredits() {
	if s.cfg.Alone {
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
	case rc.changed && age >= credits.ReturnMinGap:
		return true
	case age < credits.RequestMinGap:
		return false
	}
	for _, d := range demands {
		was := rc.sent[d.Service]
		margin := max(demandMargin, was/demandMargin)
		if d.Slots > was+margin || d.Slots < was-margin {
			return true
		}
	}
	return false
}

// demandMargin is the change of demand, in slots and as a fraction, that is
// reported before the next regular request.
const demandMargin = 4

func (s *State) sendCreditRequest(region structs.Region, rc *regionCredit, demands []credits.Demand) {
	s.credit.sequence++
	rc.sequence = s.credit.sequence
	rc.requestedAt = s.now
	rc.changed = false
	rc.sent = make(map[string]int, len(demands))
	for _, d := range demands {
		rc.sent[d.Service] = d.Slots
	}
	req := credits.Request{
		From: s.cfg.Instance, Location: s.cfg.Location,
		Epoch: rc.epoch, Sequence: rc.sequence, Demands: demands,
	}
	var holdings []credits.Holding
	for _, e := range s.order {
		slots := max(e.held, e.inflight)
		if e.info.Location.Region != region || slots == 0 {
			continue
		}
		s.setHolding(e, e.held, e.until) // closes idle connections beyond what is declared
		holdings = append(holdings, credits.Holding{Executor: e.info.ID, Slots: slots, Until: e.until})
	}
	req.SetHoldings(holdings)
	s.emit(RequestCredits{Region: region, Request: req})
}

// executorRegions lists the regions of all executors in list order.
func (s *State) executorRegions() []structs.Region {
	var regions []structs.Region
	seen := map[structs.Region]bool{}
	for _, e := range s.order {
		region := e.info.Location.Region
		if !seen[region] {
			seen[region] = true
			regions = append(regions, region)
		}
	}
	return regions
}

// demandsFor returns what this instance can use of a region's executors. It
// asks other regions only when the wait here exceeds the cost of leaving.
func (s *State) demandsFor(region structs.Region) []credits.Demand {
	var demands []credits.Demand
	for _, svc := range s.sortedServices() {
		if !svc.hasRegion(region) {
			continue
		}
		want := s.demandIn(svc, region)
		demands = append(demands, credits.Demand{Service: svc.name, Slots: want})
	}
	return demands
}

func (s *State) demandIn(svc *service, region structs.Region) int {
	running := 0
	for _, e := range svc.executors {
		if e.info.Location.Region == region {
			running += e.inflight
		}
	}
	if region == s.cfg.Location.Region {
		return svc.need()
	}
	queued := svc.queuedTotal()
	home := svc.hasRegion(s.cfg.Location.Region)
	probe := request{arrived: s.now}
	if queued > 0 && s.worthLeaving(svc, &probe) {
		return running + queued
	}
	if !home {
		return svc.need()
	}
	return running
}

func (svc *service) hasRegion(region structs.Region) bool {
	for _, e := range svc.executors {
		if e.isOpen() && e.info.Location.Region == region {
			return true
		}
	}
	return false
}
