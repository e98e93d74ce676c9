package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// laterEpoch is the epoch of a second leader. The space below it leaves room for
// fencing tokens that rise within an epoch.
const laterEpoch = structs.Epoch(1 << 20)

// lateRequestTest drives a dispatcher and simulated workers with fixed latencies. It
// can hold requests back and carry them out late, as the platform may with each
// request that has no answer.
type lateRequestTest struct {
	*simulation
	dispatcher *Dispatcher
	cutOff     map[structs.WorkerID]bool // workers that requests do not reach
	holdBack   bool                      // holds the next renewal that grants a lease
	held       *workflow.LeaseOrder      // the renewal that was held back
}

// newLateRequestTest returns a test with a leader and two workers that have reported.
// The clocks of the workers are 100 s ahead of those of their next incarnations.
func newLateRequestTest(t *testing.T) *lateRequestTest {
	s := &lateRequestTest{simulation: newSimulation(t, 1, 2), cutOff: map[structs.WorkerID]bool{}}
	for _, w := range s.workers {
		w.startedAt, w.clockRate = s.now.Add(-100*time.Second), 1
	}
	s.lead(1)
	s.tick()
	s.advance(time.Second)
	return s
}

// lead replaces the leader by one that recovers from the stored rows.
func (s *lateRequestTest) lead(epoch structs.Epoch) {
	var rows []tablestore.Row
	for key, value := range s.rows {
		rows = append(rows, tablestore.Row{Table: key[0], Key: key[1], Value: value})
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Table+a.Key, b.Table+b.Key) })
	s.dispatcher = New(s.policy, epoch, s.now, s.now)
	if err := s.dispatcher.Recover(rows, s.lastCommitAt); err != nil {
		s.t.Fatal(err)
	}
	for _, w := range s.workers {
		s.reduce(WorkerListed{Worker: w.directoryEntry()})
	}
}

// tick runs the periodic work of the leader, stores a commit, and schedules the next
// tick.
func (s *lateRequestTest) tick() {
	s.reduce(Tick{})
	commit, err := s.dispatcher.NextCommit(s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, p := range commit.Puts {
		s.rows[[2]string{p.Table, p.Key}] = p.Value
		s.recordStored(p)
	}
	for _, r := range commit.Removes {
		delete(s.rows, [2]string{r.Table, r.Key})
	}
	s.lastCommitAt = s.now
	s.dispatcher.ConfirmLeadership(s.now)
	s.reduce(Committed{Sequence: commit.Sequence})
	s.execute(slices.Clone(s.dispatcher.PlaceTasks(s.now)))
	s.at(25*time.Millisecond, s.tick)
}

func (s *lateRequestTest) reduce(event structs.Event) {
	s.execute(slices.Clone(s.dispatcher.Reduce(s.now, event)))
}

// execute sends the requests of the leader.
func (s *lateRequestTest) execute(effects []structs.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartTask:
			s.send(e.Worker.ID, func(w *fakeWorker) workflow.Outcome { return w.start(e.Order) }, func(o workflow.Outcome) structs.Event {
				return StartAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: o}
			})
		case StopTask:
			s.send(e.Worker.ID, func(w *fakeWorker) workflow.Outcome { return w.stop(e.Order) }, func(o workflow.Outcome) structs.Event {
				return StopAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: o}
			})
		case RenewLease:
			s.renew(e)
		case StepDown:
			s.t.Errorf("%v: the leader steps down because %s has rejected a request", s.now, e.Worker)
		case Decision:
			s.t.Logf("%v: %s %s %s run %d %s", s.now, e.Event, e.Task, e.Worker, e.Run, e.Reason)
		}
	}
}

// renew sends a renewal, which the worker answers after 300 ms at most, or holds it
// back.
func (s *lateRequestTest) renew(e RenewLease) {
	if s.holdBack && e.Order.Deadline != 0 && e.Worker.ID == "w00" {
		s.holdBack, s.held = false, &e.Order
		return // the worker restarts before a timeout matters
	}
	sentAt := s.now
	var report workflow.Report
	s.at(min(e.Order.Wait, 300*time.Millisecond), func() {
		s.send(e.Worker.ID, func(w *fakeWorker) (o workflow.Outcome) { report, o = w.renewLease(e.Order); return o }, func(o workflow.Outcome) structs.Event {
			return LeaseAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, SentAt: sentAt, Report: report, Outcome: o}
		})
	})
}

// send carries out a request after 5 ms and answers it after another 5 ms.
func (s *lateRequestTest) send(id structs.WorkerID, do func(*fakeWorker) workflow.Outcome, answer func(workflow.Outcome) structs.Event) {
	leader := s.dispatcher
	reply := func(after time.Duration, o workflow.Outcome) {
		s.at(after, func() {
			if s.dispatcher == leader {
				s.reduce(answer(o))
			}
		})
	}
	s.at(5*time.Millisecond, func() {
		if s.cutOff[id] {
			reply(400*time.Millisecond, workflow.Unanswered)
			return
		}
		reply(5*time.Millisecond, do(s.worker(id)))
	})
}

func (s *lateRequestTest) advance(d time.Duration) { s.run(s.now.Add(d)) }

// submitTask submits a job with one task of the given estimate.
func (s *lateRequestTest) submitTask(n int, estimate time.Duration) string {
	job := s.randomJob(n)
	job.queue = batchQueue(nil)
	job.alwaysFails = false
	job.job.Steps = []workflow.Step{{Tasks: 1, Estimate: estimate, Resources: structs.Resources{MilliCPU: 1000}}}
	s.jobs[job.job.ID] = job
	s.reduce(SubmitJob{Call: callIDOf(job.job.ID), Job: job.job, Queue: job.queue})
	return taskName(stepName(job.job.ID, 0, 0), 0)
}

// waitFor advances by milliseconds until a condition holds.
func (s *lateRequestTest) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for range 20_000 {
		if condition() {
			return
		}
		s.advance(time.Millisecond)
	}
	s.t.Fatalf("%v: waited in vain for %s", s.now, what)
}

// holdRenewal makes w00 end five runs, whose ends are acknowledged, and holds back the
// next renewal.
func (s *lateRequestTest) holdRenewal() {
	s.t.Helper()
	w := s.workers[0]
	s.cutOff["w01"] = true // all five runs are on w00
	s.advance(2 * time.Second)
	for n := range 5 {
		s.submitTask(n, 100*time.Millisecond)
	}
	s.waitFor("acknowledged ends", func() bool { return w.lastEndNumber == 5 && len(w.ended) == 0 })
	s.cutOff["w01"] = false
	s.advance(2 * time.Second)
	s.holdBack = true
	s.waitFor("a renewal", func() bool { return s.held != nil })
}

// restart restarts w00 under its identifier. Its directory entry follows.
func (s *lateRequestTest) restart() {
	w := s.workers[0]
	w.crash()
	w.restart()
	s.reduce(WorkerListed{Worker: w.directoryEntry()})
}

// isKnown reports whether the leader has a report of the present incarnation of w00.
func (s *lateRequestTest) isKnown() bool {
	w := s.dispatcher.workers["w00"]
	return w != nil && w.known && w.Incarnation == s.workers[0].Incarnation
}

// carryOutHeld carries out the renewal that was held back.
func (s *lateRequestTest) carryOutHeld() {
	if _, outcome := s.workers[0].renewLease(*s.held); outcome != workflow.OK && outcome != workflow.Fenced {
		s.t.Fatalf("%v: outcome of the late renewal: %s", s.now, outcome)
	}
}

// TestLateRenewalOfEndedIncarnationForgetsNoEnds guards against a renewal that was sent
// to an ended incarnation of a worker and is carried out by the next one: its
// acknowledged end, a number of the ended incarnation, makes the worker forget ends
// that no leader has processed. Their tasks started again although they were done.
func TestLateRenewalOfEndedIncarnationForgetsNoEnds(t *testing.T) {
	s := newLateRequestTest(t)
	w := s.workers[0]
	s.holdRenewal()
	s.restart()
	s.waitFor("a report of the new incarnation", s.isKnown)
	s.cutOff["w01"] = true
	s.advance(2 * time.Second)
	task := s.submitTask(10, time.Second)
	s.waitFor("the end of the task", func() bool { return len(w.ended) == 1 })
	s.cutOff["w01"] = false
	s.carryOutHeld()
	s.advance(10 * time.Second) // checkStart fails if the task starts again
	if s.done[task] == 0 {
		t.Errorf("task %s is not done", task)
	}
}

// TestLateRenewalOfEndedIncarnationExtendsNoLease guards against a renewal that was sent
// to an ended incarnation of a worker and is carried out by the next one: its deadline,
// on the older clock, grants the longest lease. Once the worker is cut off, its tasks
// started elsewhere when the leader's shorter lease had ended, and ran twice.
func TestLateRenewalOfEndedIncarnationExtendsNoLease(t *testing.T) {
	tests := map[string]func(s *lateRequestTest){
		"after the first report": func(s *lateRequestTest) {
			s.restart()
			s.waitFor("a report of the new incarnation", s.isKnown)
			s.startLongTask()
			s.carryOutHeld()
		},
		// The worker holds the longest lease before this leader has reached it.
		"before the first report": func(s *lateRequestTest) {
			s.restart()
			s.carryOutHeld()
			s.waitFor("a report of the new incarnation", s.isKnown)
			s.startLongTask()
		},
		// The late renewal is that of the previous leader.
		"before the first report to the next leader": func(s *lateRequestTest) {
			w := s.workers[0]
			w.crash()
			w.restart()
			s.carryOutHeld()
			s.lead(laterEpoch)
			s.waitFor("a report of the new incarnation", s.isKnown)
			s.startLongTask()
		},
	}
	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLateRequestTest(t)
			s.holdRenewal()
			arrange(s)
			s.cutOff["w00"] = true
			s.advance(15 * time.Second) // checkStart fails if the task starts on w01 while it runs on w00
			if len(s.workers[1].running) != 1 {
				t.Errorf("%d runs on w01 after all leases of w00 have ended, want 1", len(s.workers[1].running))
			}
		})
	}
}

// startLongTask starts a task on w00 that runs for longer than each lease.
func (s *lateRequestTest) startLongTask() {
	s.t.Helper()
	w := s.workers[0]
	s.cutOff["w01"] = true
	s.waitFor("silence of w01", func() bool { return s.dispatcher.workers["w01"].missedRenewals > 0 })
	s.submitTask(11, 60*time.Second)
	s.waitFor("the start of the task", func() bool { return len(w.running) == 1 })
	s.cutOff["w01"] = false
	s.advance(500 * time.Millisecond) // the answer and a report that lists the run arrive
}
