package cell

import (
	"testing"
	"time"
)

// TestReturnsToDirectPath guards against commits that stay relayed: in the
// scenario sierra-cambios-grown scale-2, after one lost answer the leader
// committed through an instance with a link of 10 Mbit/s for the rest of the
// day. Each commit took 0.3 s, and the score of the day fell from 0.74 to 0.34.
func TestReturnsToDirectPath(t *testing.T) {
	now := time.Unix(1000, 0)
	var p storePath
	p.directUnanswered(now)
	if direct, relay := p.choose(now); direct || !relay {
		t.Fatalf("after a lost answer: direct %v, relayed %v, want relayed calls only", direct, relay)
	}
	p.relayAnswered(0)
	for range 100 { // calls stay relayed while the direct path is not known to work
		now = now.Add(50 * time.Millisecond)
		if direct, _ := p.choose(now); direct {
			t.Fatal("a call uses the direct path before a probe succeeded")
		}
		p.relayAnswered(0)
	}
	if p.recordProbe(true) || p.recordProbe(false) || p.recordProbe(true) {
		t.Fatal("calls are direct again without two consecutive answered probes")
	}
	if !p.recordProbe(true) {
		t.Fatal("calls are not direct again after two consecutive answered probes")
	}
	if direct, _ := p.choose(now); !direct {
		t.Error("direct calls are not allowed after two consecutive answered probes")
	}
	// A relayed long poll that began before the return to the direct path is
	// answered now. In the scenario sadm-drum scale-1 such answers switched the
	// path every 0.6 s.
	if direct, _ := p.choose(now); p.relayAnswered(0) || !direct {
		t.Error("the answer to an old call makes calls relayed again")
	}
}

// TestStoreUnavailableToAll guards against an instance that makes no call at
// all when neither direct nor relayed calls work.
func TestStoreUnavailableToAll(t *testing.T) {
	now := time.Unix(1000, 0)
	var p storePath
	p.directUnanswered(now)
	p.relayFailed(now)
	if direct, relay := p.choose(now); !direct || relay {
		t.Errorf("direct %v, relayed %v, want direct calls only", direct, relay)
	}
	if _, relay := p.choose(now.Add(relayRetryDelay)); !relay {
		t.Error("relayed calls are not tried again after relayRetryDelay")
	}
}

// TestSortByCPUShare guards against relaying the calls of a busy leader through
// a small peer in another region.
func TestSortByCPUShare(t *testing.T) {
	got := sortByProcessorShare([]followerInfo{
		{id: "small-near", processorShare: 0.192, roundTrip: time.Millisecond}, {id: "large-far", processorShare: 0.8, roundTrip: 60 * time.Millisecond}, {id: "large-near", processorShare: 0.8, roundTrip: 2 * time.Millisecond},
	})
	if got[0].id != "large-near" || got[1].id != "large-far" {
		t.Errorf("order %v, want the largest share first and the shorter round trip of two equal ones", got)
	}
}
