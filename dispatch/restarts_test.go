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

// TestRestartedWorkerWaitsForItsEntry guards against starting a task on a worker that has
// come back as another kind: its report shows the new incarnation before the directory
// entry that says what this one is, and the leader went by the entry of the former one.
func TestRestartedWorkerWaitsForItsEntry(t *testing.T) {
	former := workflow.Worker{ID: "w0", Incarnation: 1, Service: "svc", Address: "w0", Capacity: largeWorker, Labels: []string{"a"}}
	step := workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}, RequiredLabel: "a"}
	for name, change := range map[string]func(*workflow.Worker){
		"label":    func(w *workflow.Worker) { w.Labels = []string{"b"} },
		"service":  func(w *workflow.Worker) { w.Service = "other" },
		"capacity": func(w *workflow.Worker) { w.Capacity = structs.Resources{MilliCPU: 500, MemoryBytes: 1 << 30} },
		"draining": func(w *workflow.Worker) { w.Draining = true },
		"nothing":  func(*workflow.Worker) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDispatcherHarness(t, 0, largeWorker)
			s.reduce(WorkerListed{Worker: former})
			s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: time.Hour})
			for s.dispatcher.NeedsCommit() {
				s.commit()
			}
			s.now = s.now.Add(time.Second)
			s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: 50 * time.Millisecond})
			s.reduce(SubmitJob{Call: 1, Job: workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, Queue: batchQueue(nil)})
			for s.dispatcher.NeedsCommit() {
				s.commit()
			}
			s.advance(100 * time.Millisecond)
			if early := takeEffects[StartTask](s); len(early) != 0 {
				t.Fatalf("%d starts at an incarnation whose directory entry has not been read, want 0", len(early))
			}
			present := former
			present.Incarnation = 2
			change(&present)
			s.reduce(WorkerListed{Worker: present})
			s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: 200 * time.Millisecond})
			s.advance(100 * time.Millisecond)
			want := 0
			if name == "nothing" {
				want = 1
			}
			if starts := takeEffects[StartTask](s); len(starts) != want {
				t.Errorf("%d starts once its entry has been read, want %d", len(starts), want)
			}
		})
	}
}
