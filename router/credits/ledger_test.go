package credits

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const start = structs.Timestamp(time.Hour)

// newTestLedger has one executor with 8 slots and 64 connections.
func newTestLedger(cfg Config) *Ledger {
	cfg.Region = "r"
	l := New(cfg)
	l.Reduce(start, &ExecutorsListed{Executors: []structs.Executor{{
		ID: "e", Service: "svc", Location: structs.Location{Region: "r"}, Slots: 8, Connections: 64, State: structs.Live,
	}}})
	return l
}

// ask sends a request and returns the slots of the grant to the sender.
func ask(l *Ledger, now structs.Timestamp, r Request) int {
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

// owned is a configuration whose ownership and horizon outlast the test.
var owned = Config{Epoch: 2, Expiry: start.Add(time.Hour), Horizon: start.Add(time.Hour)}

// Guards against slots that are granted again while the clock of a holder
// that is not heard any more may still be before the credit's end.
func TestCreditCountsUntilItsEndOnEveryClock(t *testing.T) {
	l := newTestLedger(owned)
	if got := ask(l, start, Request{From: "a", Epoch: 2, Sequence: 1, Demands: demand(8)}); got != 8 {
		t.Fatalf("a got %d slots, want 8", got)
	}
	end := start.Add(Lease + provider.ClockBound)
	if got := ask(l, end, Request{From: "b", Epoch: 2, Sequence: 1, Demands: demand(8)}); got != 0 {
		t.Errorf("b got %d slots before a's credit ended on every clock", got)
	}
	if got := ask(l, end+1, Request{From: "b", Epoch: 2, Sequence: 2, Demands: demand(8)}); got != 8 {
		t.Errorf("b got %d slots after a's credit ended, want 8", got)
	}
}

// Guards against a declaration of a credit that ended on the holder's clock
// only a moment ago and is not counted although it may still be in use.
func TestDeclaredCreditCountsWithinTheClockBound(t *testing.T) {
	cfg := owned
	cfg.Expiry = start // nothing is granted, so only the declaration counts
	l := newTestLedger(cfg)
	declared := Request{From: "a", Epoch: 2, Sequence: 1, Holdings: []Holding{{Executor: "e", Slots: 8}}, Until: start.Add(-provider.ClockBound)}
	ask(l, start, declared)
	if got := l.Held("e"); got != 8 {
		t.Errorf("%d slots counted, want 8", got)
	}
}

// Guards against slots that move after the ownership may have ended: another
// owner may exist that counts them elsewhere.
func TestSlotsDoNotMoveWithoutOwnership(t *testing.T) {
	cfg := owned
	cfg.Expiry = start.Add(time.Second)
	l := newTestLedger(cfg)
	ask(l, start, Request{From: "a", Epoch: 2, Sequence: 1, Demands: demand(4)})
	l.Reduce(start, &InstanceGone{Instance: "a"})
	if got := ask(l, start.Add(time.Second), Request{From: "b", Epoch: 2, Sequence: 1, Demands: demand(4)}); got != 0 {
		t.Errorf("b got %d slots after the ownership ended", got)
	}
	l.Reduce(start.Add(time.Second), &OwnershipRenewed{Expiry: start.Add(time.Minute)})
	if got := ask(l, start.Add(time.Second), Request{From: "b", Epoch: 2, Sequence: 2, Demands: demand(4)}); got == 0 {
		t.Error("b got no slot after the ownership was renewed")
	}
}

// Guards against grants from slots that instances may hold from the earlier
// owner: the wait-out ends with acknowledgement, "gone" or the horizon.
func TestNewOwnerWaitsForUnconfirmedInstances(t *testing.T) {
	ends := map[string]func(l *Ledger) structs.Timestamp{
		"acknowledged": func(l *Ledger) structs.Timestamp {
			ask(l, start, Request{From: "a", Epoch: 2, Sequence: 2})
			return start
		},
		"gone": func(l *Ledger) structs.Timestamp {
			l.Reduce(start, &InstanceGone{Instance: "a"})
			return start
		},
		"horizon": func(*Ledger) structs.Timestamp { return start.Add(time.Minute + provider.ClockBound + 1) },
	}
	for name, end := range ends {
		cfg := owned
		cfg.Unconfirmed = []structs.InstanceID{"a", "b"}
		cfg.PreviousHorizon = start.Add(time.Minute)
		l := newTestLedger(cfg)
		ask(l, start, Request{From: "a", Epoch: 1, Sequence: 1})
		if got := ask(l, start, Request{From: "b", Epoch: 2, Sequence: 1, Demands: demand(4)}); got != 0 {
			t.Errorf("%s: b got %d slots before a was confirmed", name, got)
		}
		if got := ask(l, end(l), Request{From: "b", Epoch: 2, Sequence: 2, Demands: demand(4)}); got < 4 {
			t.Errorf("%s: b got %d slots afterwards, want at least 4", name, got)
		}
	}
}
