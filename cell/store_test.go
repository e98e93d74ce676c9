package cell

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// refusingStore refuses every call and counts the calls.
type refusingStore struct{ calls int }

func (s *refusingStore) refuse() (tablestore.Page, error) {
	s.calls++
	return tablestore.Page{}, errs.New(errs.NotRun, "", "status 503")
}

func (s *refusingStore) Commit(tablestore.Tx, time.Duration) (tablestore.Page, error) {
	return s.refuse()
}

func (s *refusingStore) Scan(tablestore.Range, time.Duration) (tablestore.Page, error) {
	return s.refuse()
}

func (s *refusingStore) Follow(string, uint64, time.Duration, time.Duration) (tablestore.Page, error) {
	return s.refuse()
}

// TestFollowersDoNotRelayThroughLeader guards against followers that are cut
// off from the store and use up the leader's connections to it. In the scenario
// sadm-drum-grown scale-2, commits took 0.9 s while 16 followers were cut off.
func TestFollowersDoNotRelayThroughLeader(t *testing.T) {
	direct := &refusingStore{}
	i := New(Options{ID: "self", Store: direct, Logger: hclog.NewNullLogger()})
	defer i.transport.Close()
	i.setLeader(nil, "leader", 1)
	started := time.Now()
	if _, err := i.store.Scan(tablestore.Range{}, time.Second); !errs.Is(err, errs.NotRun) {
		t.Errorf("error %v, want the store's NotRun", err)
	}
	if direct.calls != 1 || time.Since(started) > 500*time.Millisecond {
		t.Errorf("%d direct calls in %s, want one direct call and none relayed by the leader", direct.calls, time.Since(started))
	}
}

// unansweredFeedStore does not answer feeds, but answers other calls.
type unansweredFeedStore struct{ refusingStore }

func (s *unansweredFeedStore) Commit(tablestore.Tx, time.Duration) (tablestore.Page, error) {
	s.calls++
	return tablestore.Page{}, nil
}

func (s *unansweredFeedStore) Follow(string, uint64, time.Duration, time.Duration) (tablestore.Page, error) {
	return tablestore.Page{}, errs.New(errs.OutcomeUnknown, "", "timeout")
}

// TestUnansweredFeedsDoNotRelayCalls guards against commits that are relayed by
// a small peer in another region while only feeds have no answer. In the
// scenario sadm-drum-grown scale-1, this lasted 12 s after the store had dropped
// its change history.
func TestUnansweredFeedsDoNotRelayCalls(t *testing.T) {
	direct := &unansweredFeedStore{}
	i := New(Options{ID: "self", Store: direct, Logger: hclog.NewNullLogger()})
	defer i.transport.Close()
	for n := range 5 {
		if _, err := i.store.Follow("op", 0, 0, time.Second); err == nil {
			t.Fatal("the feed call succeeded, want an error")
		}
		if _, err := i.store.Commit(tablestore.Tx{}, time.Second); err != nil || direct.calls != n+1 {
			t.Errorf("commit %d: error %v, %d direct calls", n, err, direct.calls)
		}
	}
}

// TestCallsAreDirectWithoutPeers guards against a follower that makes no calls
// for a second after one call without an answer.
func TestCallsAreDirectWithoutPeers(t *testing.T) {
	direct := &unansweredFeedStore{}
	i := New(Options{ID: "self", Store: direct, Logger: hclog.NewNullLogger()})
	defer i.transport.Close()
	for range 3 {
		if _, err := i.store.Follow("op", 0, 0, time.Second); !errs.Is(err, errs.OutcomeUnknown) {
			t.Errorf("error %v, want the OutcomeUnknown of a direct call", err)
		}
	}
}
