package cell

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// turnedAway is a store that refuses every call and counts them.
type turnedAway struct{ calls int }

func (s *turnedAway) refuse() (tablestore.Page, error) {
	s.calls++
	return tablestore.Page{}, errs.New(errs.NotRun, "", "status 503")
}

func (s *turnedAway) Commit(tablestore.Tx, time.Duration) (tablestore.Page, error) { return s.refuse() }

func (s *turnedAway) Scan(tablestore.Range, time.Duration) (tablestore.Page, error) {
	return s.refuse()
}

func (s *turnedAway) Follow(string, uint64, time.Duration, time.Duration) (tablestore.Page, error) {
	return s.refuse()
}

// TestFollowersDoNotAskTheLeaderForTheStore guards against the calls of many
// followers that are cut from the store taking the leader's connections to it
// (sadm-drum-grown scale-2: commits took 0.9 s while 16 followers were cut).
func TestFollowersDoNotAskTheLeaderForTheStore(t *testing.T) {
	direct := &turnedAway{}
	i := New(Options{ID: "me", Store: direct, Logger: hclog.NewNullLogger()})
	defer i.node.Close()
	i.setLeader(nil, "leader", 1)
	started := time.Now()
	if _, err := i.store.Scan(tablestore.Range{}, time.Second); !errs.Is(err, errs.NotRun) {
		t.Errorf("error %v, want the store's refusal", err)
	}
	if direct.calls != 1 || time.Since(started) > 500*time.Millisecond {
		t.Errorf("%d direct calls in %s, want one and none by way of the leader", direct.calls, time.Since(started))
	}
}

// silentFeeds is a store whose feeds do not answer while its calls do.
type silentFeeds struct{ turnedAway }

func (s *silentFeeds) Commit(tablestore.Tx, time.Duration) (tablestore.Page, error) {
	s.calls++
	return tablestore.Page{}, nil
}

func (s *silentFeeds) Follow(string, uint64, time.Duration, time.Duration) (tablestore.Page, error) {
	return tablestore.Page{}, errs.New(errs.OutcomeUnknown, "", "timeout")
}

// TestSilentFeedsLeaveCallsAlone guards against commits by way of a far and
// weak peer while only the feeds are disturbed (sadm-drum-grown scale-1: for
// 12 s after the store had dropped its history).
func TestSilentFeedsLeaveCallsAlone(t *testing.T) {
	direct := &silentFeeds{}
	i := New(Options{ID: "me", Store: direct, Logger: hclog.NewNullLogger()})
	defer i.node.Close()
	for n := range 5 {
		if _, err := i.store.Follow("op", 0, 0, time.Second); err == nil {
			t.Fatal("the feed answers")
		}
		if _, err := i.store.Commit(tablestore.Tx{}, time.Second); err != nil || direct.calls != n+1 {
			t.Errorf("commit %d: error %v, %d direct calls", n, err, direct.calls)
		}
	}
}

// TestWithoutPeersEveryCallIsDirect guards against a follower that refuses its
// own calls for a second after one without an answer.
func TestWithoutPeersEveryCallIsDirect(t *testing.T) {
	direct := &silentFeeds{}
	i := New(Options{ID: "me", Store: direct, Logger: hclog.NewNullLogger()})
	defer i.node.Close()
	for range 3 {
		if _, err := i.store.Follow("op", 0, 0, time.Second); !errs.Is(err, errs.OutcomeUnknown) {
			t.Errorf("error %v, want that of a direct call", err)
		}
	}
}
