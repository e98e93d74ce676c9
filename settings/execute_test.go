package settings

import (
	"context"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// runFollower runs a follower from second from to second to with the store as its
// only source.
func runFollower(f *Follower, s *Store, from, to int) {
	for second := from; second < to; second++ {
		now := structs.Timestamp(time.Duration(second) * time.Second)
		effects := f.Reduce(now, Tick{})
		for len(effects) > 0 {
			if event := s.Execute(context.Background(), effects[0]); event != nil {
				effects = append(effects, f.Reduce(now, event)...)
			}
			effects = effects[1:]
		}
	}
}

// Guards against a follower that cannot start, catch up or survive a store outage
// without peers.
func TestFollowerWithStoreOnly(t *testing.T) {
	table := standin.NewStore()
	s := newTestStore(table)
	f := NewFollower()
	runFollower(f, s, 0, 7)
	if f.Ready() {
		t.Error("ready without settings")
	}
	mustCommit(t, s, newCommit(0, "a", treeWithCost(t, 101)))
	runFollower(f, s, 7, 14)
	if !f.Ready() || f.number != 1 {
		t.Errorf("version %d, ready %v", f.number, f.Ready())
	}
	mustCommit(t, s, newCommit(1, "b", treeWithCost(t, 102)))
	mustCommit(t, s, newCommit(2, "c", treeWithCost(t, 103)))
	table.Fault = func(string) standin.Fault { return standin.Fault{Unavailable: true} }
	runFollower(f, s, 14, 21)
	if !f.Ready() || f.number != 1 {
		t.Errorf("during the outage: version %d, ready %v", f.number, f.Ready())
	}
	restarted := NewFollower()
	runFollower(restarted, s, 14, 21)
	if restarted.Ready() {
		t.Error("ready during an outage without peers")
	}
	table.Fault = nil
	runFollower(f, s, 21, 28)
	if f.number != 3 || f.tree.Hash() != treeWithCost(t, 103).Hash() {
		t.Errorf("after the outage: version %d", f.number)
	}
	runFollower(restarted, s, 21, 28)
	if restarted.number != 3 || !restarted.Ready() {
		t.Errorf("restarted: version %d", restarted.number)
	}
}
