package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// scene drives a cell by hand: workers answer at once, and effects are kept.
type scene struct {
	t    *testing.T
	cell *Cell
	now  structs.Timestamp
	kept []structs.Effect
}

func newScene(t *testing.T, workers int, capacity structs.Resources) *scene {
	s := &scene{t: t, now: structs.Timestamp(time.Minute)}
	s.cell = New(DefaultPolicy(), 1, s.now, s.now)
	if err := s.cell.Recover(nil, NoPreviousLeader); err != nil {
		t.Fatal(err)
	}
	s.reduce(InstancesConnected{IDs: []structs.InstanceID{"a", "b", "c", "d"}})
	for n := range workers {
		id := structs.WorkerID(fmt.Sprintf("w%d", n))
		s.reduce(WorkerSeen{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: capacity}})
		s.report(id, 0)
	}
	s.kept = nil
	return s
}

func (s *scene) reduce(event structs.Event) {
	s.kept = append(s.kept, s.cell.Reduce(s.now, event)...)
}

// report answers the renewal of a worker.
func (s *scene) report(id structs.WorkerID, clock time.Duration, ended ...workflow.EndedTask) {
	s.reduce(LeaseAnswered{
		Worker: id, SentAt: s.now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1, Clock: clock, Ended: ended},
	})
}

func (s *scene) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.reduce(Tick{})
	s.cell.Confirm(s.now)
	s.place()
}

func (s *scene) place() { s.kept = append(s.kept, s.cell.Place(s.now)...) }

func (s *scene) commit() {
	commit, err := s.cell.NextCommit(s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	s.reduce(CommitAnswered{Sequence: commit.Sequence})
	s.place()
}

// take returns the kept effects of one type and forgets all others.
func take[T structs.Effect](s *scene) []T {
	var found []T
	for _, effect := range s.kept {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}
	s.kept = nil
	return found
}

// advise answers a call for advice: every worker that was named is good.
func (s *scene) advise(call AskAdvice) {
	answer := AdviceAnswered{Step: call.Step, Workers: call.Workers, Via: call.Via, Expected: call.Expected}
	answer.Advice.Validity = 1500 * time.Millisecond
	for _, id := range call.Workers {
		answer.Advice.Good = append(answer.Advice.Good, workflow.Ticket{Worker: id, Token: "ticket"})
	}
	s.reduce(answer)
}

func batchQueue(advisor *workflow.Advisor) workflow.Queue {
	return workflow.Queue{Name: "batch", Service: "svc", Priority: 1, MaxAttempts: 4, Stretch: 2, Allowance: time.Second, Advisor: advisor}
}

// TestGangRenewsTicketsTogether guards against a gang that never starts
// because the tickets of some members lapse while those of the others are
// renewed: sadm-drum-grown quiet-1 asked 25 times for one gang.
func TestGangRenewsTicketsTogether(t *testing.T) {
	s := newScene(t, 8, structs.Resources{MilliCPU: 10_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 1300 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	step := workflow.Step{Tasks: 8, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000}}
	s.reduce(SubmitJob{Ref: 1, Job: workflow.Job{ID: "0000000000000001", Steps: []workflow.Step{step}}, Queue: batchQueue(advisor)})
	s.commit()
	first := take[AskAdvice](s)
	if len(first) != 1 {
		t.Fatalf("%d calls for advice beside the commit, want 1", len(first))
	}
	// Three workers were asked about before; their tickets are the older ones.
	first[0].Workers = []structs.WorkerID{"w0", "w1", "w2"}
	s.advise(first[0])
	s.place()
	for range 4 {
		calls := take[AskAdvice](s)
		if len(calls) != 1 {
			t.Fatalf("%d calls for advice at a time, want 1", len(calls))
		}
		s.pass(calls[0].Expected + 60*time.Millisecond)
		s.advise(calls[0])
		s.place()
		if s.cell.findStep(calls[0].Step).allStarted() {
			return
		}
	}
	t.Error("the gang has not started after four calls for advice")
}

func (s *step) allStarted() bool {
	for _, t := range s.tasks {
		if t.state != taskStarting && t.state != taskRunning {
			return false
		}
	}
	return true
}

// TestAdviceIsRationed guards against the collapse of a long queue: calls
// beyond what the advisor serves aged in its queue, failed and were repeated
// (sadm-drum trouble-1, 270 failed calls a second).
func TestAdviceIsRationed(t *testing.T) {
	s := newScene(t, 8, structs.Resources{MilliCPU: 10_000, MemoryBytes: 1 << 40})
	long := &workflow.Advisor{BaseTime: 500 * time.Millisecond, Validity: 1500 * time.Millisecond}
	short := &workflow.Advisor{BaseTime: 12 * time.Millisecond, Validity: 1500 * time.Millisecond}
	step := workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 1000}}
	for n := range 60 {
		job := workflow.Job{ID: structs.JobID(fmt.Sprintf("%016x", n)), Steps: []workflow.Step{step}}
		s.reduce(SubmitJob{Ref: Ref(n), Job: job, Queue: batchQueue(long)})
	}
	s.commit()
	if calls := take[AskAdvice](s); len(calls) != 3 {
		t.Errorf("%d long calls at a time over 4 instances, want 3: one is left for short calls", len(calls))
	}
	urgent := workflow.Job{ID: "ffffffffffffffff", Steps: []workflow.Step{step}}
	queue := batchQueue(short)
	queue.Priority = 0
	s.reduce(SubmitJob{Ref: 99, Job: urgent, Queue: queue})
	calls := take[AskAdvice](s)
	if len(calls) != 1 || calls[0].Via != "a" {
		t.Errorf("calls of an urgent job beside long ones: %v, want one by way of the instance that takes no long calls", calls)
	}
}
