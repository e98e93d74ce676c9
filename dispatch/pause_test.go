package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/workflow"
)

// TestPausedLeaderStartsNothing guards against a leader that was paused and replaced, and
// that decides after it has resumed: it started a task on a worker that had restarted
// meanwhile and had received no token of the next leader.
func TestPausedLeaderStartsNothing(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.advance(25 * time.Millisecond)
	s.now = s.now.Add(3 * time.Second) // paused
	s.reduce(Tick{})
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Minute})
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.dispatcher.ConfirmLeadership(s.now.Add(-time.Second)) // of a commit from before
	s.commit()
	s.now = s.now.Add(100 * time.Millisecond)
	s.reduce(Tick{})
	s.place()
	for _, effect := range s.effects {
		switch e := effect.(type) {
		case StartTask:
			t.Errorf("%s is started before a commit proves the leadership", e.Order.Task)
		case RenewLease:
			if e.Order.Deadline != 0 || e.Order.AcknowledgedThrough != 0 {
				t.Errorf("renewal before a commit proves the leadership: %+v", e.Order)
			}
		}
	}
	s.effects = nil
	s.advance(25 * time.Millisecond) // confirms the leadership
	if starts := takeEffects[StartTask](s); len(starts) != 1 {
		t.Errorf("%d starts once the leadership is confirmed, want 1", len(starts))
	}
}
