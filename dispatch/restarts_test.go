package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestNextLeaderWaitsForLongestLease guards against a new leader that starts tasks of a
// silent worker elsewhere when the leases that its predecessor granted have ended. The
// worker had restarted and holds the longest lease, from a late renewal that was sent to
// its earlier incarnation, and its tasks ran twice.
func TestNextLeaderWaitsForLongestLease(t *testing.T) {
	s := newLateRequestTest(t)
	s.holdRenewal()
	s.restart()
	s.carryOutHeld()
	s.waitFor("a report of the new incarnation", s.isKnown)
	s.startLongTask()
	s.lead(laterEpoch)
	s.cutOff["w00"] = true
	s.advance(15 * time.Second) // checkStart fails if the task starts on w01 while it runs on w00
	if len(s.workers[1].running) != 1 {
		t.Errorf("%d runs on w01 after all leases of w00 have ended, want 1", len(s.workers[1].running))
	}
}

// TestRepeatedStartAtNextIncarnation guards against starting a task on another worker
// while it runs on one that has restarted: a report of the ended incarnation lists the
// run, and every start request has an answer, but the last one was answered after that
// report was requested and carried out by the next incarnation.
func TestRepeatedStartAtNextIncarnation(t *testing.T) {
	for _, news := range []string{"directory entry", "report"} {
		s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
		order := starts[0].Order
		s.advance(600 * time.Millisecond)
		if again := takeEffects[StartTask](s); len(again) != 1 {
			t.Fatalf("%s: %d repeated start requests, want 1", news, len(again))
		}
		s.reduce(StartAnswered{Worker: "w0", FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
		running := []workflow.RunningTask{{Task: order.Task, Run: order.Run}}
		s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Second, Running: running})
		s.now = s.now.Add(100 * time.Millisecond)
		s.reduce(StartAnswered{Worker: "w0", FencingToken: order.FencingToken, Task: order.Task, Run: order.Run, Outcome: workflow.OK})
		if news == "report" {
			s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 2, Running: running}})
		} else {
			s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
		}
		s.advance(100 * time.Millisecond)
		if task := s.dispatcher.findTask(order.Task); task.state == taskWaiting || task.worker == nil || task.worker.ID != structs.WorkerID("w0") {
			t.Errorf("%s: state of a task whose start the new incarnation has carried out: %d, want that it stays on w0", news, task.state)
		}
		if again := takeEffects[StartTask](s); len(again) != 0 {
			t.Errorf("%s: %d starts before the new incarnation has reported, want 0", news, len(again))
		}
	}
}
