package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestFirstReportIsAskedForAgainSoon guards against a change of leader after which
// no old job starts for half a second because the answer of one worker was lost
// (5% of the requests on trouble-3). A worker that does not answer twice gets the
// usual time, so that a slow one is not asked too often.
func TestFirstReportIsAskedForAgainSoon(t *testing.T) {
	now := structs.Timestamp(time.Minute)
	c := New(DefaultPolicy(), 2, now, now)
	if err := c.Recover(nil, now.Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	var retrySoon []bool
	collect := func(effects []structs.Effect) {
		for _, effect := range effects {
			if e, ok := effect.(RenewLease); ok {
				retrySoon = append(retrySoon, e.RetrySoon)
			}
		}
	}
	collect(c.Reduce(now, WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker}}))
	for range 3 {
		now = now.Add(300 * time.Millisecond)
		collect(c.Reduce(now, LeaseAnswered{Worker: "w0", SentAt: now, Outcome: workflow.Unanswered}))
		now = now.Add(300 * time.Millisecond)
		collect(c.Reduce(now, Tick{}))
	}
	if len(retrySoon) < 3 || !retrySoon[0] || !retrySoon[1] || retrySoon[2] {
		t.Errorf("short timeouts of the renewals: %v, want the first two only", retrySoon)
	}
}
