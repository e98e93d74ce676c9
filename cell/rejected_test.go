package cell

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/tablestore"
)

// rejectingStore rejects every transaction as invalid and counts them.
type rejectingStore struct {
	refusingStore
	commits int
}

func (s *rejectingStore) Commit(tablestore.Tx, time.Duration) (tablestore.Page, error) {
	s.commits++
	return tablestore.Page{}, errs.New(errs.InvalidInput, "", "status 400")
}

// TestRejectedCommitEndsLeadership guards against a leader that sends a commit which the
// store rejects as invalid again and again, hundreds of times a second and for good, while
// no job is accepted and no end acknowledged.
func TestRejectedCommitEndsLeadership(t *testing.T) {
	store := &rejectingStore{}
	i := New(Options{ID: "self", StopGrace: 6 * time.Second, Logger: hclog.NewNullLogger(), Store: store})
	t.Cleanup(func() { i.cancel(); i.transport.Close() })
	l := newLeader(i, claimedRow{row: leadership.Row{Epoch: 1}})
	l.dispatcher = &panickingDispatcher{}
	l.commitSentAt = 0 // a commit is due
	i.setLeader(l, i.options.ID, 1)
	waiting := make(chan dispatch.Reply, 1)
	l.replies[1] = waiting
	ended := make(chan struct{})
	go func() { l.run(); l.end(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		l.cancel()
		<-ended
		t.Fatalf("the leader has sent %d commits in 5 s and leads on, want that it gives up", store.commits)
	}
	if store.commits != maxRejections {
		t.Errorf("%d copies of a rejected commit, want %d", store.commits, maxRejections)
	}
	if r := <-waiting; r.Verdict != dispatch.Unknown {
		t.Errorf("a waiting call got %q, want unknown, so that it is repeated at the next leader", r.Verdict)
	}
}
