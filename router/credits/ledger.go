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
	// Unconfirmed are all instances that may hold credits of earlier owners,
	// known to be alive or not.
	// Until each of them has acknowledged Epoch, is gone, or PreviousHorizon
	// has passed, only slots that confirmed holders declared are granted.
	Unconfirmed     []structs.InstanceID
	PreviousHorizon structs.Timestamp
	// Expiry and Horizon are as in OwnershipRenewed.
	Expiry  structs.Timestamp
	Horizon structs.Timestamp
}

// entry is what one holder may be using of one executor.
type entry struct {
	slots  int // counted: the most that the holder may use
	target int // what the newest grant allows for new attempts
	until  structs.Timestamp
}

type holder struct {
	id       structs.InstanceID
	location structs.Location
	sequence uint64
	seen     structs.Timestamp
	demands  map[string]int
	entries  map[structs.ExecutorID]*entry
	changed  bool // owes the holder a grant
}

type executor struct {
	info structs.Executor
	// declared is the sum of the slots that confirmed holders declared when
	// they acknowledged the epoch.
	declared int
}

// Ledger is the owner's reducer. It is not safe for concurrent use.
type Ledger struct {
	cfg         Config
	now         structs.Timestamp
	unconfirmed map[structs.InstanceID]bool
	listed      bool        // executors were listed
	holders     []*holder   // sorted by identifier
	executors   []*executor // in list order
	byID        map[structs.ExecutorID]*executor
	out         []structs.Effect
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
	clear(l.out)
	l.out = l.out[:0]
	l.expire()
	switch ev := ev.(type) {
	case *RequestReceived:
		l.request(&ev.Request)
	case *ExecutorsListed:
		l.list(ev.Executors)
	case *InstanceGone:
		l.gone(ev.Instance)
	case *OwnershipRenewed:
		l.cfg.Expiry = max(l.cfg.Expiry, ev.Expiry)
		l.cfg.Horizon = max(l.cfg.Horizon, ev.Horizon)
	}
	l.rebalance()
	l.sendGrants()
	return l.out
}

// request takes in what a holder declares. Grants that answer its earlier
// requests are void from now on, so the declaration is all that it can use.
func (l *Ledger) request(r *Request) {
	if r.Epoch > l.cfg.Epoch || !l.listed {
		return // a newer owner exists, or there is nothing to grant yet
	}
	h := l.holder(r.From)
	if r.Sequence <= h.sequence {
		return
	}
	h.sequence = r.Sequence
	h.location = r.Location
	h.seen = l.now
	h.changed = true
	h.demands = map[string]int{}
	for _, d := range r.Demands {
		h.demands[d.Service] = d.Slots
	}
	l.declare(h, r)
	if r.Epoch == l.cfg.Epoch && l.unconfirmed[h.id] {
		l.confirm(h)
	}
}

// declare replaces the counted slots of h. A credit that has ended is not
// counted: its slots may be granted to others already.
func (l *Ledger) declare(h *holder, r *Request) {
	old := h.entries
	h.entries = make(map[structs.ExecutorID]*entry, len(r.Holdings))
	for _, held := range r.Holdings {
		until := held.End(r.Until)
		if was := old[held.Executor]; was != nil {
			until = max(until, was.until)
		}
		if held.Slots <= 0 || l.now.After(until.Add(provider.ClockBound)) {
			continue
		}
		h.entries[held.Executor] = &entry{slots: held.Slots, target: held.Slots, until: until}
	}
}

// confirm adds what h declared to the slots that this owner knows about.
func (l *Ledger) confirm(h *holder) {
	delete(l.unconfirmed, h.id)
	for id, e := range h.entries {
		if x := l.byID[id]; x != nil {
			x.declared += e.slots
		}
	}
}

// isSettled reports whether no credit of an earlier owner can be unknown.
func (l *Ledger) isSettled() bool {
	return len(l.unconfirmed) == 0 || l.now.After(l.cfg.PreviousHorizon.Add(provider.ClockBound))
}

// isOwner reports whether no other owner can exist. Without that slots are
// never moved from one holder to another, only renewed.
func (l *Ledger) isOwner() bool { return l.now.Before(l.cfg.Expiry) }

func (l *Ledger) gone(id structs.InstanceID) {
	delete(l.unconfirmed, id)
	l.holders = slices.DeleteFunc(l.holders, func(h *holder) bool { return h.id == id })
}

func (l *Ledger) list(executors []structs.Executor) {
	old := l.byID
	l.listed = true
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
		h.changed = true
	}
}

// expire drops credits whose end has passed on every clock of the cell.
func (l *Ledger) expire() {
	for _, h := range l.holders {
		for id, e := range h.entries {
			if l.now.After(e.until.Add(provider.ClockBound)) {
				delete(h.entries, id)
			}
		}
	}
}

func (l *Ledger) holder(id structs.InstanceID) *holder {
	i, ok := slices.BinarySearchFunc(l.holders, id, func(h *holder, id structs.InstanceID) int {
		return cmp.Compare(h.id, id)
	})
	if !ok {
		l.holders = slices.Insert(l.holders, i, &holder{id: id, entries: map[structs.ExecutorID]*entry{}})
	}
	return l.holders[i]
}

// usable returns the slots of x that this owner may grant.
func (l *Ledger) usable(x *executor) int {
	if x.info.State != structs.Live {
		return 0
	}
	total := UsableSlots(x.info)
	if l.isSettled() {
		return total
	}
	return min(total, x.declared)
}

// Held returns the slots of an executor that holders may be using.
func (l *Ledger) Held(id structs.ExecutorID) int {
	total := 0
	for _, h := range l.holders {
		if e := h.entries[id]; e != nil {
			total += e.slots
		}
	}
	return total
}

// sendGrants answers the holders whose credits changed or were requested.
func (l *Ledger) sendGrants() {
	for _, h := range l.holders {
		if !h.changed || h.sequence == 0 {
			continue
		}
		h.changed = false
		l.out = append(l.out, SendGrant{l.grantFor(h)})
	}
}

func (l *Ledger) grantFor(h *holder) Grant {
	g := Grant{To: h.id, Region: l.cfg.Region, Epoch: l.cfg.Epoch, Sequence: h.sequence}
	g.Until = min(l.now.Add(Lease), l.cfg.Horizon)
	for _, x := range l.executors {
		e := h.entries[x.info.ID]
		if e == nil {
			continue
		}
		e.until = max(e.until, g.Until)
		g.Holdings = append(g.Holdings, Holding{Executor: x.info.ID, Slots: e.target, Until: e.until})
	}
	omitCommon(g.Holdings, g.Until)
	return g
}
