package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// oneCore is the size of a task that shares a worker with others.
var oneCore = structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}

// submit hands a job of one step in and returns the step.
func (s *scene) submit(id structs.JobID, queue workflow.Queue, step workflow.Step) *step {
	s.reduce(SubmitJob{Ref: 1, Job: workflow.Job{ID: id, Steps: []workflow.Step{step}}, Queue: queue})
	return s.cell.findStep(stepName(id, 0, 0))
}

// fill takes the given room on all workers.
func (s *scene) fill(room structs.Resources) {
	for _, w := range s.cell.order {
		w.used = w.used.Add(room)
	}
}

// TestGangHoldsNoRoomForTickets guards against room that stands idle while a
// gang's tickets are renewed: on sadm-drum-grown quiet-1 a tenth of the cell
// was placed and waited, while other gangs had valid tickets.
func TestGangHoldsNoRoomForTickets(t *testing.T) {
	s := newScene(t, 4, structs.Resources{MilliCPU: 10_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 700 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	s.fill(structs.Resources{MilliCPU: 9000})
	gang := s.submit("0000000000000001", batchQueue(advisor), workflow.Step{
		Tasks: 4, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000},
	})
	s.commit()
	s.advise(take[AskAdvice](s)[0])
	s.pass(2 * time.Second) // the tickets have lapsed
	take[AskAdvice](s)
	s.fill(structs.Resources{MilliCPU: -9000})
	s.pass(10 * time.Millisecond)
	calls := take[AskAdvice](s)
	if len(calls) != 1 || len(calls[0].Workers) != 4 {
		t.Fatalf("calls for advice once there is room: %v, want one for 4 workers", calls)
	}
	for _, task := range gang.tasks {
		if task.state != taskWaiting {
			t.Fatal("a member is placed without a ticket")
		}
	}
	// Urgent work may use the room meanwhile.
	urgent := batchQueue(nil)
	urgent.Priority = 0
	s.submit("0000000000000002", urgent, workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 2000}})
	s.commit()
	if starts := take[StartTask](s); len(starts) != 1 {
		t.Errorf("%d urgent starts during the call, want 1", len(starts))
	}
	s.advise(calls[0])
	s.place()
	if gang.allStarted() {
		t.Error("the gang starts on room that an urgent task has taken")
	}
	s.fill(structs.Resources{MilliCPU: -2000}) // the urgent task ends
	s.pass(10 * time.Millisecond)
	if !gang.allStarted() {
		t.Error("the gang does not start with valid tickets and room")
	}
}

// TestFirstCallNamesEnoughWorkers guards against several calls for one gang,
// of which each costs most of a second whatever it names: on
// sierra-cambios-grown scale-1 gangs made four calls each, and all instances
// were busy with them.
func TestFirstCallNamesEnoughWorkers(t *testing.T) {
	s := newScene(t, 200, structs.Resources{MilliCPU: 16_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 572 * time.Millisecond, TimePerWorker: 8 * time.Millisecond, Validity: 2500 * time.Millisecond}
	s.cell.goodShare["batch"] = 0.25
	s.submit("0000000000000001", batchQueue(advisor), workflow.Step{
		Tasks: 20, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 4500},
	})
	s.commit()
	calls := take[AskAdvice](s)
	if len(calls) != 1 {
		t.Fatalf("%d calls, want 1", len(calls))
	}
	if slots := float64(3*len(calls[0].Workers)) * 0.25; slots < 40 {
		t.Errorf("%d workers named have %.0f good slots to expect, want twice the 20 members", len(calls[0].Workers), slots)
	}
}

// TestNoAdviceForRoomThatIsTaken guards against calls that cannot help: on
// sierra-cambios-grown scale-1 steps of small tasks made 885 calls about
// workers without room.
func TestNoAdviceForRoomThatIsTaken(t *testing.T) {
	s := newScene(t, 120, structs.Resources{MilliCPU: 16_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 130 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, Validity: 2500 * time.Millisecond}
	s.submit("0000000000000001", batchQueue(advisor), workflow.Step{Tasks: 25, Estimate: time.Second, Resources: oneCore})
	s.commit()
	first := take[AskAdvice](s)
	if len(first) != 1 || len(first[0].Workers) >= 120 {
		t.Fatalf("first calls: %v, want one about a part of the workers", first)
	}
	s.fill(structs.Resources{MilliCPU: 16_000})
	s.advise(first[0])
	for range 20 {
		s.pass(100 * time.Millisecond)
	}
	if calls := take[AskAdvice](s); len(calls) != 0 {
		t.Errorf("%d calls while no worker has room, want none", len(calls))
	}
	s.fill(structs.Resources{MilliCPU: -16_000})
	s.pass(100 * time.Millisecond)
	if starts, calls := len(take[StartTask](s)), s.cell.findStep("0000000000000001.0.0").asking; starts == 0 && calls == 0 {
		t.Error("neither a start nor a renewal once there is room")
	}
}
