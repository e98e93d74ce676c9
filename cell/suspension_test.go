package cell

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestSuspendedLeaderSendsNoLateRequests guards against a request that is sent after its
// machine was suspended, between the decision and the next tick: the clock does not
// include the suspension before that, and another instance leads meanwhile.
func TestSuspendedLeaderSendsNoLateRequests(t *testing.T) {
	l, _ := newTestLeader(t, "")
	defer l.end()
	workers := &recordingWorkers{}
	l.instance.options.Workers = workers
	decidedAt := l.now()
	l.instance.clock.originBootTime -= int64(10 * time.Second) // the time since boot has advanced, the monotonic clock has not
	started := l.startTask(dispatch.StartTask{}, decidedAt)
	_, renewed := l.renewLease(dispatch.RenewLease{Order: workflow.LeaseOrder{Deadline: time.Second}}, decidedAt)
	if workers.starts != 0 || workers.renewals != 0 {
		t.Errorf("%d starts and %d renewals sent after a suspension of 10 s, want none; outcomes %s, %s", workers.starts, workers.renewals, started, renewed)
	}
}
