package credits

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const start = structs.Timestamp(time.Hour)

// newTestLedger returns a ledger with one executor that has 8 slots and 64
// connections.
func newTestLedger(cfg Config) *Ledger {
	cfg.Region = "r"
	l := New(cfg)
	l.Reduce(start, &ExecutorsListed{Executors: []structs.Executor{{
		ID: "e", Service: "svc", Location: structs.Location{Region: "r"}, Slots: 8, Connections: 64, State: structs.Live,
	}}})
	return l
}

// requestSlots sends a request and returns the slots in the grant to the sender.
func requestSlots(l *Ledger, now structs.Timestamp, r Request) int {
	r.Location.Region = "r"
	for _, effect := range l.Reduce(now, &RequestReceived{Request: r}) {
		grant := effect.(SendGrant).Grant
		if grant.To != r.From || len(grant.Holdings) == 0 {
			continue
		}
		return grant.Holdings[0].Slots
	}
	return 0
}

func demand(slots int) []Demand { return []Demand{{Service: "svc", Slots: slots}} }

// longOwnership is a configuration whose ownership and horizon outlast the test.
var longOwnership = Config{Epoch: 2, Expiry: start.Add(time.Hour), Horizon: start.Add(time.Hour)}

// Guards against granting slots again too early: on the clock of a holder that
// sends nothing any more, the end of the credit may not have passed yet.
func TestCreditCountsUntilItsEndOnEveryClock(t *testing.T) {
	l := newTestLedger(longOwnership)
	if got := requestSlots(l, start, Request{From: "a", Epoch: 2, Sequence: 1, Demands: demand(8)}); got != 8 {
		t.Fatalf("a got %d slots, want 8", got)
	}
	end := start.Add(Lease + provider.ClockBound)
	if got := requestSlots(l, end, Request{From: "b", Epoch: 2, Sequence: 1, Demands: demand(8)}); got != 0 {
		t.Errorf("b got %d slots before a's credit ended on every clock", got)
	}
	if got := requestSlots(l, end+1, Request{From: "b", Epoch: 2, Sequence: 2, Demands: demand(8)}); got != 8 {
		t.Errorf("b got %d slots after a's credit ended, want 8", got)
	}
}

// Guards against not counting a declared credit that ended at most the clock
// bound ago. On the holder's clock it may still be valid and in use.
func TestDeclaredCreditCountsWithinTheClockBound(t *testing.T) {
	cfg := longOwnership
	cfg.Expiry = start // nothing is granted, so only the declaration counts
	l := newTestLedger(cfg)
	declared := Request{From: "a", Epoch: 2, Sequence: 1, Holdings: []Holding{{Executor: "e", Slots: 8}}, Until: start.Add(-provider.ClockBound)}
	requestSlots(l, start, declared)
	if got := l.HeldSlots("e"); got != 8 {
		t.Errorf("%d slots counted, want 8", got)
	}
}

// Guards against moving slots between holders after the ownership may have
// ended: another owner may exist that has granted them differently.
func TestSlotsDoNotMoveWithoutOwnership(t *testing.T) {
	cfg := longOwnership
	cfg.Expiry = start.Add(time.Second)
	l := newTestLedger(cfg)
	requestSlots(l, start, Request{From: "a", Epoch: 2, Sequence: 1, Demands: demand(4)})
	l.Reduce(start, &InstanceGone{Instance: "a"})
	if got := requestSlots(l, start.Add(time.Second), Request{From: "b", Epoch: 2, Sequence: 1, Demands: demand(4)}); got != 0 {
		t.Errorf("b got %d slots after the ownership ended", got)
	}
	l.Reduce(start.Add(time.Second), &OwnershipRenewed{Expiry: start.Add(time.Minute)})
	if got := requestSlots(l, start.Add(time.Second), Request{From: "b", Epoch: 2, Sequence: 2, Demands: demand(4)}); got == 0 {
		t.Error("b got no slot after the ownership was renewed")
	}
}

// Guards against granting slots that instances may still hold from the earlier
// owner. The new owner waits until each instance has acknowledged its epoch or
// is gone, or until the horizon of the earlier owner has passed.
func TestNewOwnerWaitsForUnconfirmedInstances(t *testing.T) {
	ends := map[string]func(l *Ledger) structs.Timestamp{
		"acknowledged": func(l *Ledger) structs.Timestamp {
			requestSlots(l, start, Request{From: "a", Epoch: 2, Sequence: 2})
			return start
		},
		"gone": func(l *Ledger) structs.Timestamp {
			l.Reduce(start, &InstanceGone{Instance: "a"})
			return start
		},
		"horizon": func(*Ledger) structs.Timestamp { return start.Add(time.Minute + provider.ClockBound + 1) },
	}
	for name, end := range ends {
		cfg := longOwnership
		cfg.Unconfirmed = []structs.InstanceID{"a", "b"}
		cfg.PreviousHorizon = start.Add(time.Minute)
		l := newTestLedger(cfg)
		requestSlots(l, start, Request{From: "a", Epoch: 1, Sequence: 1})
		if got := requestSlots(l, start, Request{From: "b", Epoch: 2, Sequence: 1, Demands: demand(4)}); got != 0 {
			t.Errorf("%s: b got %d slots before a was confirmed", name, got)
		}
		if got := requestSlots(l, end(l), Request{From: "b", Epoch: 2, Sequence: 2, Demands: demand(4)}); got < 4 {
			t.Errorf("%s: b got %d slots afterwards, want at least 4", name, got)
		}
	}
}
