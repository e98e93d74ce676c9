package cell

import (
	"testing"
	"time"
)

// TestReturnsToTheDirectWay guards against commits that stay with a peer:
// after one lost answer the leader of sierra-cambios-grown scale-2 committed
// by way of an instance with a link of 10 Mbit/s for the rest of the day, 0.3 s
// each time, and the day's worth fell from 0.74 to 0.34.
func TestReturnsToTheDirectWay(t *testing.T) {
	now := time.Unix(1000, 0)
	var w way
	w.directUnanswered(now)
	if direct, assist := w.choose(now); direct || !assist {
		t.Fatalf("after a lost answer: direct %v, assisted %v", direct, assist)
	}
	w.assistAnswered(0)
	for range 100 { // assisted calls go on while the direct way is not known to work
		now = now.Add(50 * time.Millisecond)
		if direct, _ := w.choose(now); direct {
			t.Fatal("a call waits for the direct way without a probe")
		}
		w.assistAnswered(0)
	}
	if w.probed(true) || w.probed(false) || w.probed(true) {
		t.Fatal("calls are direct again after single answers")
	}
	if !w.probed(true) {
		t.Fatal("calls are not direct again after two answers in a row")
	}
	if direct, _ := w.choose(now); !direct {
		t.Error("no direct call after the probes")
	}
	// A long poll that began before is answered now; sadm-drum scale-1 changed
	// its way every 0.6 s for that.
	if direct, _ := w.choose(now); w.assistAnswered(0) || !direct {
		t.Error("an old call's answer makes calls assisted again")
	}
}

// TestStoreAwayForAll guards against an instance that makes no call at all
// when neither way works.
func TestStoreAwayForAll(t *testing.T) {
	now := time.Unix(1000, 0)
	var w way
	w.directUnanswered(now)
	w.assistFailed(now)
	if direct, assist := w.choose(now); !direct || assist {
		t.Errorf("direct %v, assisted %v, want direct calls only", direct, assist)
	}
	if _, assist := w.choose(now.Add(assistPause)); !assist {
		t.Error("assisted calls are not tried again")
	}
}

// TestStrongHelpersFirst guards against a weak and far peer making the calls
// of a busy leader.
func TestStrongHelpersFirst(t *testing.T) {
	got := byStrength([]helper{
		{"weak-near", 0.192, time.Millisecond}, {"strong-far", 0.8, 60 * time.Millisecond}, {"strong-near", 0.8, 2 * time.Millisecond},
	})
	if got[0].id != "strong-near" || got[1].id != "strong-far" {
		t.Errorf("order %v, want the strongest first and the nearer of two", got)
	}
}
