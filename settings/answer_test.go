package settings

import (
	"context"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// follow lets a follower act on the store alone for some seconds.
func follow(f *Follower, s *Store, from, to int) {
	for second := from; second < to; second++ {
		now := structs.Timestamp(time.Duration(second) * time.Second)
		effects := f.Reduce(now, Tick{})
		for len(effects) > 0 {
			if event := s.Answer(context.Background(), effects[0]); event != nil {
				effects = append(effects, f.Reduce(now, event)...)
			}
			effects = effects[1:]
		}
	}
}

// Guards against a follower that cannot start, catch up or survive an outage
// with the store alone.
func TestFollowTheStore(t *testing.T) {
	table := standin.NewStore()
	s := newTestStore(table)
	f := NewFollower()
	follow(f, s, 0, 7)
	if f.Ready() {
		t.Error("ready without settings")
	}
	mustCommit(t, s, change(0, "a", withCost(t, 101)))
	follow(f, s, 7, 14)
	if !f.Ready() || f.number != 1 {
		t.Errorf("version %d, ready %v", f.number, f.Ready())
	}
	mustCommit(t, s, change(1, "b", withCost(t, 102)))
	mustCommit(t, s, change(2, "c", withCost(t, 103)))
	table.Fault = func(string) standin.Fault { return standin.Fault{Unavailable: true} }
	follow(f, s, 14, 21)
	if !f.Ready() || f.number != 1 {
		t.Errorf("in the outage: version %d, ready %v", f.number, f.Ready())
	}
	restarted := NewFollower()
	follow(restarted, s, 14, 21)
	if restarted.Ready() {
		t.Error("ready in an outage without peers")
	}
	table.Fault = nil
	follow(f, s, 21, 28)
	if f.number != 3 || f.tree.Hash() != withCost(t, 103).Hash() {
		t.Errorf("after the outage: version %d", f.number)
	}
	follow(restarted, s, 21, 28)
	if restarted.number != 3 || !restarted.Ready() {
		t.Errorf("restarted: version %d", restarted.number)
	}
}
