package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestLeaseIsNotRenewedWhileLostRunIsListed guards against a worker whose lease is renewed with its second report while
// it still runs a task that has been started elsewhere: checkLostRun forgets the run with the first report.
func TestLeaseIsNotRenewedWhileLostRunIsListed(t *testing.T) {
	h := newSilentWorker(t, true)
	h.awaitRestart()
	h.effects = nil
	for n := range 4 {
		h.now = h.now.Add(100 * time.Millisecond)
		clock := h.deadline + workerLateness + time.Second + time.Duration(n)*100*time.Millisecond
		h.reportOf("w0", workflow.Report{Incarnation: 1, Clock: clock, Running: []workflow.RunningTask{h.running()}})
		h.advance(minRenewalInterval)
		for _, sent := range takeEffects[RenewLease](h.dispatcherHarness) {
			if sent.Worker.ID == "w0" && sent.Order.Deadline != 0 {
				t.Fatalf("lease granted until %v after report %d, which lists a run whose task has been started again", sent.Order.Deadline, n+1)
			}
		}
	}
}

// TestOrdinaryEndsStartNothingWithoutProofOfLeadership guards against a replaced leader that starts a task again after an
// end which its waiting renewal has listed: the next leader has handled that end and started the task, too.
func TestOrdinaryEndsStartNothingWithoutProofOfLeadership(t *testing.T) {
	for _, kind := range []workflow.EndKind{workflow.EndFailed, workflow.EndStopped, workflow.EndGangBroken} {
		t.Run(string(kind), func(t *testing.T) {
			s, order := runOnSilentWorker(t)
			confirmedAt := s.now
			for s.now.Sub(confirmedAt) < 3*time.Second { // the next leader claims the leadership meanwhile
				s.advanceUnconfirmed(25 * time.Millisecond)
				s.answerAll(workflow.Unanswered)
			}
			s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{
				Incarnation: 1, Clock: time.Minute + 3*time.Second, Ended: []workflow.EndedTask{{Sequence: 1, Task: order.Task, Run: order.Run, Kind: kind}},
			}})
			s.place()
			for _, start := range takeEffects[StartTask](s) {
				t.Errorf("%s is started on %s %v after the last commit", order.Task, start.Worker.ID, s.now.Sub(confirmedAt))
			}
		})
	}
}

// TestRecoveryStartsNothingWithoutProofOfLeadership guards against a leader that is replaced before its recovery is
// complete and completes it by the report of a worker that has restarted: the next leader has acknowledged the end of a
// run there, which the worker has forgotten, and the task starts again on a worker that the next one has not reached.
func TestRecoveryStartsNothingWithoutProofOfLeadership(t *testing.T) {
	s := newDispatcherHarness(t, 2, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.dispatcher.workerChanged("w0")
	s.dispatcher.workerChanged("w1")
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commitTo(stored)
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	runsOn, idle := starts[0].Worker.ID, structs.WorkerID("w1")
	if runsOn == "w1" {
		idle = "w0"
	}
	s.dispatcher = s.recoverNext(stored)
	s.now = s.now.Add(time.Second)
	claimedAt := s.now
	for _, id := range []structs.WorkerID{"w0", "w1"} {
		s.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
	}
	s.reportOf(idle, workflow.Report{Incarnation: 1, Clock: time.Minute})
	for s.now.Sub(claimedAt) < 3*time.Second { // the leader after it claims the leadership and acknowledges the end
		s.advanceUnconfirmed(100 * time.Millisecond)
	}
	s.effects = nil
	s.reportOf(idle, workflow.Report{Incarnation: 1, Clock: time.Minute + 3*time.Second})
	s.reportOf(runsOn, workflow.Report{Incarnation: 2, Clock: time.Second})
	s.advanceUnconfirmed(25 * time.Millisecond)
	for _, start := range takeEffects[StartTask](s) {
		t.Errorf("%s is started on %s %v after the claim, without a commit since", start.Order.Task, start.Worker.ID, s.now.Sub(claimedAt))
	}
}

// TestLastingTaskRestartsAfterLossOfLeaderAndWorker guards against a lasting task that is away for 9 s, 6 s and 3 s more
// (rule LOST), after its worker and the leader were lost at the same moment.
func TestLastingTaskRestartsAfterLossOfLeaderAndWorker(t *testing.T) {
	s := newDispatcherHarness(t, 2, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.dispatcher.workerChanged("w0")
	s.dispatcher.workerChanged("w1")
	job := workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{{Tasks: 1, LongRunning: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}}}
	s.reduce(SubmitJob{Call: 1, Job: job, Queue: batchQueue(nil)})
	s.commitTo(stored)
	starts := takeEffects[StartTask](s)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	lost, idle := starts[0].Worker.ID, structs.WorkerID("w1")
	if lost == "w1" {
		idle = "w0"
	}
	lostAt := s.now // also the time of the last commit
	s.dispatcher = s.recoverNext(stored)
	s.now = s.now.Add(time.Second)
	for _, id := range []structs.WorkerID{"w0", "w1"} {
		s.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
	}
	for s.now.Sub(lostAt) < 20*time.Second {
		s.advance(25 * time.Millisecond) // each commit succeeds at once
		effects := s.effects
		s.effects = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case StartTask:
				if away := s.now.Sub(lostAt); away >= 9*time.Second {
					t.Errorf("started again %v after the loss, want less than 9 s", away)
				}
				return
			case RenewLease:
				if e.Worker.ID == idle {
					s.report(idle, time.Duration(s.now))
					continue
				}
				s.reduce(LeaseAnswered{Worker: lost, FencingToken: e.Order.FencingToken, SentAt: s.now, Outcome: workflow.NotSent})
			}
		}
	}
	t.Error("not started again within 20 s")
}

// TestOutcomesExpireAcrossChangesOfLeader guards against outcomes that are kept for ever: each change of leader counts
// their retention from the last commit of the leader before.
func TestOutcomesExpireAcrossChangesOfLeader(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.reduce(SubmitJob{Call: 1, Job: smallJob(1), Queue: batchQueue(nil)})
	s.commitTo(stored)
	order := takeEffects[StartTask](s)[0].Order
	s.report("w0", time.Second, workflow.EndedTask{Sequence: 1, Task: order.Task, Run: order.Run, Kind: workflow.EndDone})
	s.advance(500 * time.Millisecond)
	s.commitTo(stored)
	endedAt := s.now
	for range 4 {
		for range 100 {
			s.advance(time.Second)
			s.commitTo(stored)
		}
		s.nextLeader(stored)
	}
	if _, known := s.dispatcher.State(smallJob(1).ID); known {
		t.Errorf("an ended job is still stored %v after its end, with a retention of %v", s.now.Sub(endedAt), s.dispatcher.policy.Retention)
	}
}

// TestGangIsNotRestartedWithoutProofOfLeadership guards against a gang that runs twice: a replaced leader takes the
// report of a worker that has restarted for the end of its members. No other test plays the loss of a gang.
func TestGangIsNotRestartedWithoutProofOfLeadership(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(2, true), batchQueue(nil))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	s.addWorkerW1()
	var running []workflow.RunningTask
	for _, start := range starts {
		s.reduce(StartAnswered{Worker: "w0", FencingToken: start.Order.FencingToken, Task: start.Order.Task, Run: start.Order.Run, Outcome: workflow.OK})
		running = append(running, workflow.RunningTask{Task: start.Order.Task, Run: start.Order.Run})
	}
	s.now = s.now.Add(10 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Minute, Running: running})
	s.dispatcher.ConfirmLeadership(s.now)
	confirmedAt := s.now
	s.effects = nil
	for s.now.Sub(confirmedAt) < 3*time.Second {
		s.advanceUnconfirmed(25 * time.Millisecond)
		s.answerAll(workflow.Unanswered)
	}
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: time.Second})
	s.place()
	for s.now.Sub(confirmedAt) < s.dispatcher.policy.Horizon {
		s.advanceUnconfirmed(25 * time.Millisecond)
		if again, _ := s.answerAll(workflow.Unanswered); len(again) > 0 {
			t.Fatalf("%s is started on %s %v after the last commit", again[0].Order.Task, again[0].Worker.ID, s.now.Sub(confirmedAt))
		}
	}
	for begun := s.now; ; {
		s.advance(25 * time.Millisecond)
		if again, _ := s.answerAll(workflow.Unanswered); len(again) > 0 {
			return
		}
		if s.now.Sub(begun) > time.Second {
			t.Fatal("the gang is not started again once commits succeed")
		}
	}
}

// TestWorkersAreNotGoneAfterLateClaim guards against a leader that claimed seconds after the last commit before it, was
// replaced and counts a silent worker as gone while it may still grant leases. TestWorkersAreNotGoneWithoutProofOfLeadership
// claims 1 s after that commit, and ends before these leases do.
func TestWorkersAreNotGoneAfterLateClaim(t *testing.T) {
	s := newDispatcherHarness(t, 2, largeWorker)
	stored := map[tablestore.RowID][]byte{}
	s.dispatcher.workerChanged("w0")
	s.dispatcher.workerChanged("w1")
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(nil)})
	s.commitTo(stored)
	runsOn := takeEffects[StartTask](s)[0].Worker.ID
	lastCommit := s.now
	s.now = s.now.Add(5 * time.Second)
	claimedAt := s.now
	next := New(DefaultPolicy(), s.dispatcher.epoch+1, s.now, s.now)
	var rows []tablestore.Row
	for id, value := range stored {
		rows = append(rows, tablestore.Row{Table: id.Table, Key: id.Key, Value: value})
	}
	if err := next.Recover(rows, lastCommit); err != nil {
		t.Fatal(err)
	}
	s.dispatcher, s.effects = next, nil
	for _, id := range []structs.WorkerID{"w0", "w1"} {
		s.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
	}
	for s.now.Sub(claimedAt) < s.dispatcher.policy.Horizon {
		s.advanceUnconfirmed(25 * time.Millisecond)
		effects := s.effects
		s.effects = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case StartTask:
				t.Fatalf("%s is started on %s %v after the claim, without a commit since", e.Order.Task, e.Worker.ID, s.now.Sub(claimedAt))
			case RenewLease:
				if e.Worker.ID != runsOn {
					s.report(e.Worker.ID, time.Duration(s.now))
					continue
				}
				s.reduce(LeaseAnswered{Worker: runsOn, FencingToken: e.Order.FencingToken, SentAt: s.now, Outcome: workflow.Unanswered})
			}
		}
	}
}

// TestPausedLeaderGrantsNoLeaseWithItsFirstEvent guards against a leader that was paused and replaced, and that renews a
// lease with its first event afterwards, before its next tick or placement notices the pause.
func TestPausedLeaderGrantsNoLeaseWithItsFirstEvent(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.advance(100 * time.Millisecond)
	s.report("w0", time.Minute)
	s.now = s.now.Add(3 * time.Second)
	s.effects = nil
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker}})
	sent := takeEffects[RenewLease](s)
	if len(sent) != 1 {
		t.Fatalf("%d renewals, want 1", len(sent))
	}
	if sent[0].Order.Deadline != 0 {
		t.Errorf("lease granted until %v after a pause of 3 s", sent[0].Order.Deadline)
	}
}
