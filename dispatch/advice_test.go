package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// dispatcherHarness drives a Dispatcher step by step. Tests provide the answers of
// workers, the advisor and the store; the effects are collected.
type dispatcherHarness struct {
	t          *testing.T
	dispatcher *Dispatcher
	now        structs.Timestamp
	effects    []structs.Effect
}

// newDispatcherHarness returns a harness with idle workers w0, w1, and so on, which are
// stored, and four instances that can call the advisor.
func newDispatcherHarness(t *testing.T, workers int, capacity structs.Resources) *dispatcherHarness {
	s := &dispatcherHarness{t: t, now: structs.Timestamp(time.Minute)}
	s.dispatcher = New(DefaultPolicy(), 1, s.now, s.now)
	if err := s.dispatcher.Recover(nil, NoPreviousLeader); err != nil {
		t.Fatal(err)
	}
	s.reduce(InstancesConnected{IDs: []structs.InstanceID{"a", "b", "c", "d"}})
	for n := range workers {
		id := structs.WorkerID(fmt.Sprintf("w%d", n))
		s.reduce(WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: capacity}})
		s.report(id, 0)
	}
	for s.dispatcher.NeedsCommit() {
		s.commit()
	}
	s.effects = nil
	return s
}

// reduce applies an event and collects the effects.
func (s *dispatcherHarness) reduce(event structs.Event) {
	s.effects = append(s.effects, s.dispatcher.Reduce(s.now, event)...)
}

// report delivers a report of a worker, as the answer to a lease renewal.
func (s *dispatcherHarness) report(id structs.WorkerID, clock time.Duration, ended ...workflow.EndedTask) {
	s.reduce(LeaseAnswered{
		Worker: id, SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1, Clock: clock, Ended: ended},
	})
}

// advance moves the time forward, confirms the leadership and runs a tick and a
// placement pass.
func (s *dispatcherHarness) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.reduce(Tick{})
	s.dispatcher.ConfirmLeadership(s.now)
	s.place()
}

func (s *dispatcherHarness) place() { s.effects = append(s.effects, s.dispatcher.PlaceTasks(s.now)...) }

// commit completes the next commit and runs a placement pass.
func (s *dispatcherHarness) commit() {
	commit, err := s.dispatcher.NextCommit(s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	s.reduce(Committed{Sequence: commit.Sequence})
	s.place()
}

// takeEffects returns the collected effects of one type and discards all others.
func takeEffects[T structs.Effect](s *dispatcherHarness) []T {
	var found []T
	for _, effect := range s.effects {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}
	s.effects = nil
	return found
}

// answerAdvice answers a call for advice and approves every worker named in it.
func (s *dispatcherHarness) answerAdvice(call RequestAdvice) {
	answer := AdviceAnswered{Step: call.Step, Workers: call.Workers, Via: call.Via, Expected: call.Expected}
	answer.Advice.Validity = 1500 * time.Millisecond
	for _, id := range call.Workers {
		answer.Advice.Tickets = append(answer.Advice.Tickets, workflow.Ticket{Worker: id, Token: "ticket"})
	}
	s.reduce(answer)
}

// batchQueue returns a queue of priority 1 with four attempts for each task.
func batchQueue(advisor *workflow.Advisor) workflow.Queue {
	return workflow.Queue{Name: "batch", Service: "svc", Priority: 1, MaxAttempts: 4, StretchFactor: 2, Allowance: time.Second, Advisor: advisor}
}

// TestGangRenewsTicketsTogether guards against a gang that never starts because
// the tickets of some members expire while those of the others are renewed. On
// sadm-drum-grown quiet-1, 25 calls were made for one gang.
func TestGangRenewsTicketsTogether(t *testing.T) {
	s := newDispatcherHarness(t, 8, structs.Resources{MilliCPU: 10_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 1300 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	step := workflow.Step{Tasks: 8, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000}}
	s.reduce(SubmitJob{Call: 1, Job: workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, Queue: batchQueue(advisor)})
	s.commit()
	first := takeEffects[RequestAdvice](s)
	if len(first) != 1 {
		t.Fatalf("%d calls for advice during the commit, want 1", len(first))
	}
	// The call named only three workers, so their tickets are older than those of
	// the others.
	first[0].Workers = []structs.WorkerID{"w0", "w1", "w2"}
	s.answerAdvice(first[0])
	s.place()
	for range 4 {
		calls := takeEffects[RequestAdvice](s)
		if len(calls) != 1 {
			t.Fatalf("%d concurrent calls for advice, want 1", len(calls))
		}
		s.advance(calls[0].Expected + 60*time.Millisecond)
		s.answerAdvice(calls[0])
		s.place()
		if s.dispatcher.findStep(calls[0].Step).allStarted() {
			return
		}
	}
	t.Error("gang has not started after four calls for advice")
}

// allStarted reports whether all tasks of the step are starting or running.
func (s *step) allStarted() bool {
	for _, t := range s.tasks {
		if t.state != taskStarting && t.state != taskRunning {
			return false
		}
	}
	return true
}

// TestAdviceCallsAreLimited guards against overload of the advisor by a long
// queue of steps: calls beyond its throughput waited in its queue, timed out and
// were repeated (sadm-drum trouble-1, 270 failed calls a second).
func TestAdviceCallsAreLimited(t *testing.T) {
	s := newDispatcherHarness(t, 8, structs.Resources{MilliCPU: 10_000, MemoryBytes: 1 << 40})
	long := &workflow.Advisor{BaseTime: 500 * time.Millisecond, Validity: 1500 * time.Millisecond}
	short := &workflow.Advisor{BaseTime: 12 * time.Millisecond, Validity: 1500 * time.Millisecond}
	step := workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}
	for n := range 60 {
		job := workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Steps: []workflow.Step{step}}
		s.reduce(SubmitJob{Call: CallID(n), Job: job, Queue: batchQueue(long)})
	}
	s.commit()
	if calls := takeEffects[RequestAdvice](s); len(calls) != 3 {
		t.Errorf("%d concurrent long calls with 4 instances, want 3: one instance takes only short calls", len(calls))
	}
	urgent := workflow.Job{ID: "ffffffffffffffff", Steps: []workflow.Step{step}}
	queue := batchQueue(short)
	queue.Priority = 0
	s.reduce(SubmitJob{Call: 99, Job: urgent, Queue: queue})
	calls := takeEffects[RequestAdvice](s)
	if len(calls) != 1 || calls[0].Via != "a" {
		t.Errorf("calls of an urgent job during long calls: %v, want one through the instance that takes no long calls", calls)
	}
}

// TestApprovedWorkersComeBack guards against a step that never starts although its
// approved workers are idle: they were cut off for long enough to be removed, and had
// come back (gangs of sadm-drum-grown trouble-1 and others).
func TestApprovedWorkersComeBack(t *testing.T) {
	s := newDispatcherHarness(t, 2, largeWorker)
	advisor := &workflow.Advisor{BaseTime: 10 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	step := workflow.Step{Tasks: 4, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 15_000}}
	s.reduce(SubmitJob{Call: 1, Job: workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, Queue: batchQueue(advisor)})
	var entries []workflow.Worker
	for _, w := range s.dispatcher.sortedWorkers {
		entries = append(entries, w.Worker)
		w.pausedUntil = s.now.Add(time.Hour)
	}
	for _, call := range takeEffects[RequestAdvice](s) {
		s.answerAdvice(call)
	}
	s.commit()
	for _, entry := range entries {
		s.reduce(WorkerUnlisted{ID: entry.ID})
	}
	for len(s.dispatcher.workers) > 0 {
		s.advance(time.Second)
		for _, sent := range takeEffects[RenewLease](s) {
			s.reduce(LeaseAnswered{Worker: sent.Worker.ID, SentAt: s.now, Outcome: workflow.Unanswered})
		}
	}
	for _, entry := range entries {
		s.reduce(WorkerListed{Worker: entry})
		s.report(entry.ID, time.Minute)
	}
	s.commit()
	var starts []StartTask
	for range 40 {
		for _, effect := range s.effects {
			if start, ok := effect.(StartTask); ok {
				starts = append(starts, start)
			}
		}
		if len(starts) > 0 {
			break
		}
		for _, call := range takeEffects[RequestAdvice](s) {
			s.answerAdvice(call)
		}
		s.advance(50 * time.Millisecond)
		for _, entry := range entries {
			s.report(entry.ID, time.Minute)
		}
	}
	if len(starts) != 4 {
		t.Errorf("%d starts within 2 s after the workers have come back, want 4", len(starts))
	}
}

// TestTicketOfFormerIncarnationIsNotUsed guards against a start that the worker rejects
// for its ticket: the worker has restarted between the call for advice and its answer, and
// the ticket may be for the incarnation before.
func TestTicketOfFormerIncarnationIsNotUsed(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	advisor := &workflow.Advisor{BaseTime: 300 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	s.reduce(SubmitJob{Call: 1, Job: arrayJob(1, false), Queue: batchQueue(advisor)})
	s.commit()
	calls := takeEffects[RequestAdvice](s)
	if len(calls) != 1 {
		t.Fatalf("%d calls for advice, want 1", len(calls))
	}
	s.now = s.now.Add(100 * time.Millisecond)
	s.reduce(WorkerListed{Worker: workflow.Worker{ID: "w0", Incarnation: 2, Service: "svc", Address: "w0", Capacity: largeWorker}})
	s.now = s.now.Add(20 * time.Millisecond)
	s.reportOf("w0", workflow.Report{Incarnation: 2, Clock: time.Minute})
	s.commit()
	s.now = s.now.Add(200 * time.Millisecond)
	s.answerAdvice(calls[0])
	s.advance(50 * time.Millisecond)
	var again []RequestAdvice
	for _, effect := range s.effects {
		switch e := effect.(type) {
		case StartTask:
			t.Fatalf("%s is started with a ticket that was asked for before the restart", e.Order.Task)
		case RequestAdvice:
			again = append(again, e)
		}
	}
	if len(again) != 1 {
		t.Fatalf("%d calls for a ticket of the new incarnation, want 1", len(again))
	}
	s.effects = nil
	s.answerAdvice(again[0])
	if starts := takeEffects[StartTask](s); len(starts) != 1 {
		t.Errorf("%d starts with the new ticket, want 1", len(starts))
	}
}
