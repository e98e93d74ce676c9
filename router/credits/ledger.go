package credits

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Config describes the ownership that a ledger serves.
type Config struct {
	Region structs.Region
	Epoch  structs.Epoch
	// Unconfirmed lists all instances that may hold credits of earlier owners,
	// whether or not they are known to be alive. Only slots that confirmed
	// holders declared are granted until each of them has acknowledged Epoch
	// or is gone, or PreviousHorizon has passed.
	Unconfirmed     []structs.InstanceID
	PreviousHorizon structs.Timestamp
	// Expiry and Horizon are as in OwnershipRenewed.
	Expiry  structs.Timestamp
	Horizon structs.Timestamp
}

// credit is one holder's credit for the slots of one executor.
type credit struct {
	countedSlots int // maximum that the holder may be using; counted against the executor
	targetSlots  int // slots that the newest grant allows for new attempts
	end          structs.Timestamp
}

type holder struct {
	id          structs.InstanceID
	location    structs.Location
	sequence    uint64
	lastRequest structs.Timestamp
	demands     map[string]int
	credits     map[structs.ExecutorID]*credit
	needsGrant  bool // a grant must be sent to the holder
}

type executor struct {
	info structs.Executor
	// declaredSlots is the sum of the slots that confirmed holders declared
	// when they acknowledged the epoch.
	declaredSlots int
}

// Ledger is the reducer that accounts for the credits of one shard's executors.
// It is not safe for concurrent use.
type Ledger struct {
	cfg             Config
	now             structs.Timestamp
	unconfirmed     map[structs.InstanceID]bool
	executorsListed bool        // an executor list was received
	holders         []*holder   // sorted by identifier
	executors       []*executor // in list order
	byID            map[structs.ExecutorID]*executor
	effects         []structs.Effect
}

// New returns a ledger without executors.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, unconfirmed: map[structs.InstanceID]bool{}, byID: map[structs.ExecutorID]*executor{}}
	for _, id := range cfg.Unconfirmed {
		l.unconfirmed[id] = true
	}
	return l
}

// Reduce applies an event. The returned slice is valid until the next call.
func (l *Ledger) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if now > l.now {
		l.now = now
	}
	clear(l.effects)
	l.effects = l.effects[:0]
	l.expire()
	switch ev := ev.(type) {
	case *RequestReceived:
		l.receiveRequest(&ev.Request)
	case *ExecutorsListed:
		l.setExecutors(ev.Executors)
	case *InstanceGone:
		l.removeInstance(ev.Instance)
	case *OwnershipRenewed:
		l.cfg.Expiry = max(l.cfg.Expiry, ev.Expiry)
		l.cfg.Horizon = max(l.cfg.Horizon, ev.Horizon)
	}
	l.rebalance()
	l.sendGrants()
	return l.effects
}

// receiveRequest records the holdings and demands that a holder declares. The
// holder ignores grants for its earlier requests from now on, so it can use
// nothing beyond the declaration.
func (l *Ledger) receiveRequest(r *Request) {
	if r.Epoch > l.cfg.Epoch || !l.executorsListed {
		return // a newer owner exists, or there is nothing to grant yet
	}
	h := l.holder(r.From)
	if r.Sequence <= h.sequence {
		return
	}
	h.sequence = r.Sequence
	h.location = r.Location
	h.lastRequest = l.now
	h.needsGrant = true
	h.demands = map[string]int{}
	for _, d := range r.Demands {
		h.demands[d.Service] = d.Slots
	}
	l.declare(h, r)
	if r.Epoch == l.cfg.Epoch && l.unconfirmed[h.id] {
		l.confirm(h)
	}
}

// declare replaces the credits of h by the declared ones. A credit that has
// ended is not counted, because its slots may already be granted to others.
func (l *Ledger) declare(h *holder, r *Request) {
	old := h.credits
	h.credits = make(map[structs.ExecutorID]*credit, len(r.Holdings))
	for _, held := range r.Holdings {
		end := held.End(r.Until)
		if previous := old[held.Executor]; previous != nil {
			end = max(end, previous.end)
		}
		if held.Slots <= 0 || l.now.After(end.Add(provider.ClockBound)) {
			continue
		}
		h.credits[held.Executor] = &credit{countedSlots: held.Slots, targetSlots: held.Slots, end: end}
	}
}

// confirm marks h as confirmed and adds its slots to the declared slots of the
// executors.
func (l *Ledger) confirm(h *holder) {
	delete(l.unconfirmed, h.id)
	for id, e := range h.credits {
		if x := l.byID[id]; x != nil {
			x.declaredSlots += e.countedSlots
		}
	}
}

// previousCreditsKnown reports whether every credit of an earlier owner that may
// still be in use has been declared.
func (l *Ledger) previousCreditsKnown() bool {
	return len(l.unconfirmed) == 0 || l.now.After(l.cfg.PreviousHorizon.Add(provider.ClockBound))
}

// isOwner reports whether the ownership is valid, so that no other owner can
// exist. Otherwise credits are only renewed, and slots are not moved between
// holders.
func (l *Ledger) isOwner() bool { return l.now.Before(l.cfg.Expiry) }

// removeInstance removes an instance that no longer exists and its credits.
func (l *Ledger) removeInstance(id structs.InstanceID) {
	delete(l.unconfirmed, id)
	l.holders = slices.DeleteFunc(l.holders, func(h *holder) bool { return h.id == id })
}

// setExecutors replaces the executors by those of the list that belong to the
// region of the ledger.
func (l *Ledger) setExecutors(executors []structs.Executor) {
	old := l.byID
	l.executorsListed = true
	l.byID = make(map[structs.ExecutorID]*executor, len(executors))
	l.executors = l.executors[:0]
	for _, info := range executors {
		if info.Location.Region != l.cfg.Region {
			continue
		}
		x := old[info.ID]
		if x == nil {
			x = &executor{}
		}
		x.info = info
		l.byID[info.ID] = x
		l.executors = append(l.executors, x)
	}
	for _, h := range l.holders {
		h.needsGrant = true
	}
}

// expire removes credits whose end has passed on every clock of the cell.
func (l *Ledger) expire() {
	for _, h := range l.holders {
		for id, e := range h.credits {
			if l.now.After(e.end.Add(provider.ClockBound)) {
				delete(h.credits, id)
			}
		}
	}
}

// holder returns the holder with the given identifier and adds it if necessary.
func (l *Ledger) holder(id structs.InstanceID) *holder {
	i, ok := slices.BinarySearchFunc(l.holders, id, func(h *holder, id structs.InstanceID) int {
		return cmp.Compare(h.id, id)
	})
	if !ok {
		l.holders = slices.Insert(l.holders, i, &holder{id: id, credits: map[structs.ExecutorID]*credit{}})
	}
	return l.holders[i]
}

// usable returns the slots of x that this owner may grant.
func (l *Ledger) usable(x *executor) int {
	if x.info.State != structs.Live {
		return 0
	}
	total := UsableSlots(x.info)
	if l.previousCreditsKnown() {
		return total
	}
	return min(total, x.declaredSlots)
}

// HeldSlots returns the slots of an executor that holders may be using.
func (l *Ledger) HeldSlots(id structs.ExecutorID) int {
	total := 0
	for _, h := range l.holders {
		if e := h.credits[id]; e != nil {
			total += e.countedSlots
		}
	}
	return total
}

// sendGrants sends grants to the holders that sent a request or whose credits
// changed.
func (l *Ledger) sendGrants() {
	for _, h := range l.holders {
		if !h.needsGrant || h.sequence == 0 {
			continue
		}
		h.needsGrant = false
		l.effects = append(l.effects, SendGrant{l.grantFor(h)})
	}
}

// grantFor returns a grant with all credits of h and extends them by the lease.
func (l *Ledger) grantFor(h *holder) Grant {
	g := Grant{To: h.id, Region: l.cfg.Region, Epoch: l.cfg.Epoch, Sequence: h.sequence}
	g.Until = min(l.now.Add(Lease), l.cfg.Horizon)
	for _, x := range l.executors {
		e := h.credits[x.info.ID]
		if e == nil {
			continue
		}
		e.end = max(e.end, g.Until)
		g.Holdings = append(g.Holdings, Holding{Executor: x.info.ID, Slots: e.targetSlots, Until: e.end})
	}
	omitCommonEnds(g.Holdings, g.Until)
	return g
}
