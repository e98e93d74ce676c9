package cell

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/workflow"
)

// recordingWorkers counts the requests that it gets and accepts each of them.
type recordingWorkers struct{ starts, renewals int }

func (w *recordingWorkers) Start(*workflow.Worker, workflow.StartOrder, time.Duration) workflow.Outcome {
	w.starts++
	return workflow.OK
}

func (w *recordingWorkers) Stop(*workflow.Worker, workflow.StartOrder, time.Duration) workflow.Outcome {
	return workflow.OK
}

func (w *recordingWorkers) Lease(*workflow.Worker, workflow.LeaseOrder, time.Duration) (workflow.Report, workflow.Outcome) {
	w.renewals++
	return workflow.Report{}, workflow.OK
}

func (w *recordingWorkers) CloseIdleConnections(string) {}

// TestPausedLeaderSendsNoLateRequests guards against two runs of a task: a leader was
// paused between its decision and the request, another instance took over, and a worker
// that had restarted in the meantime, and had received no fencing token, carried the
// request out. A leader that is no longer one sends nothing either.
func TestPausedLeaderSendsNoLateRequests(t *testing.T) {
	l, _ := newTestLeader(t, "")
	defer l.end()
	workers := &recordingWorkers{}
	l.instance.options.Workers = workers
	send := func(order workflow.LeaseOrder) (workflow.Outcome, workflow.Outcome) {
		decidedAt := l.now()
		l.instance.clock.suspended.Add(int64(10 * time.Second)) // the process is paused
		started := l.startTask(dispatch.StartTask{}, decidedAt)
		_, renewed := l.renewLease(dispatch.RenewLease{Order: order}, decidedAt)
		return started, renewed
	}
	for _, order := range []workflow.LeaseOrder{{Deadline: time.Second}, {AcknowledgedThrough: 1}} {
		if started, renewed := send(order); started != workflow.Dropped || renewed != workflow.Unanswered {
			t.Errorf("outcomes of requests after a pause: %s and %s, want dropped and unanswered", started, renewed)
		}
	}
	if workers.starts != 0 || workers.renewals != 0 {
		t.Errorf("%d starts and %d renewals sent after a pause, want none", workers.starts, workers.renewals)
	}
	if _, asked := send(workflow.LeaseOrder{}); asked != workflow.OK || workers.renewals != 1 {
		t.Error("a renewal that grants nothing and acknowledges nothing is not sent after a pause")
	}
	now := l.now()
	if l.startTask(dispatch.StartTask{}, now) != workflow.OK || workers.starts != 1 {
		t.Error("a start request is not sent without a pause")
	}
	l.cancel()
	if l.startTask(dispatch.StartTask{}, l.now()) != workflow.Dropped || workers.starts != 1 {
		t.Error("a start request is sent after the end of the leadership")
	}
}
