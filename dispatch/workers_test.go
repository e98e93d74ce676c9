package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// newRecoveringDispatcher returns the dispatcher of a new leader that has asked a
// number of workers for their first reports, and the renewals that it sent.
func newRecoveringDispatcher(t *testing.T, workers int) (*Dispatcher, []RenewLease) {
	t.Helper()
	now := structs.Timestamp(time.Minute)
	c := New(DefaultPolicy(), 2, now, now)
	if err := c.Recover(nil, now.Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	var sent []RenewLease
	for n := range workers {
		id := structs.WorkerID(fmt.Sprintf("w%02d", n))
		sent = append(sent, renewals(c.Reduce(now, WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}}))...)
	}
	return c, sent
}

func renewals(effects []structs.Effect) []RenewLease {
	var list []RenewLease
	for _, effect := range effects {
		if e, ok := effect.(RenewLease); ok {
			list = append(list, e)
		}
	}
	return list
}

// TestLastFirstReportsAreHedged guards against a change of leader after which no old
// job starts for half a second because the answer of one worker was lost (5% of the
// requests on trouble-3). It also guards against asking all workers again while a
// weak leader is still opening connections, which delayed it by a second
// (shalpata-drum-grown trouble-1).
func TestLastFirstReportsAreHedged(t *testing.T) {
	const workers = 20
	c, first := newRecoveringDispatcher(t, workers)
	sentAt := c.now
	if len(first) != workers {
		t.Fatalf("%d renewals, want %d", len(first), workers)
	}
	if again := renewals(c.Reduce(sentAt.Add(300*time.Millisecond), Tick{})); len(again) != 0 {
		t.Errorf("%d renewals while no worker has reported, want none", len(again))
	}
	for _, e := range first[1:] {
		c.Reduce(sentAt.Add(310*time.Millisecond), LeaseAnswered{Worker: e.Worker.ID, SentAt: sentAt, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
	}
	hedges := 0
	for _, e := range renewals(c.Reduce(sentAt.Add(320*time.Millisecond), Tick{})) {
		if e.Worker.ID == first[0].Worker.ID {
			hedges++
		}
	}
	if hedges != 1 {
		t.Errorf("%d renewals to the last worker, want 1", hedges)
	}
	answered := LeaseAnswered{Worker: first[0].Worker.ID, SentAt: sentAt.Add(320 * time.Millisecond), Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}}
	c.Reduce(sentAt.Add(350*time.Millisecond), answered)
	if c.unreported != 0 {
		t.Errorf("%d unreported workers, want none", c.unreported)
	}
	c.Reduce(sentAt.Add(500*time.Millisecond), LeaseAnswered{Worker: first[0].Worker.ID, SentAt: sentAt, Outcome: workflow.Unanswered})
	if w := c.workers[first[0].Worker.ID]; w.missedRenewals != 0 {
		t.Error("the first request's lack of an answer counts although the second was answered")
	}
}

// TestOvertakenReportIsIgnored guards against starting a task again that has ended:
// a report that was overtaken by a later one lists it as running.
func TestOvertakenReportIsIgnored(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	earlier := s.now
	s.now = s.now.Add(time.Second)
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndFailed})
	before := len(s.dispatcher.workers["w0"].allocations)
	s.reduce(LeaseAnswered{Worker: "w0", SentAt: earlier, Outcome: workflow.OK, Report: workflow.Report{
		Incarnation: 1, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run, Percent: 90}},
	}})
	if after := len(s.dispatcher.workers["w0"].allocations); after != before {
		t.Errorf("%d allocations after an overtaken report, want %d", after, before)
	}
}
