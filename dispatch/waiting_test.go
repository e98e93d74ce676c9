package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// oneCore is the size of a small task.
var oneCore = structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}

// submit submits a job of one step and returns the step.
func (s *dispatcherHarness) submit(id structs.JobID, queue workflow.Queue, step workflow.Step) *step {
	s.reduce(SubmitJob{Call: 1, Job: workflow.Job{ID: id, Steps: []workflow.Step{step}}, Queue: queue})
	return s.dispatcher.findStep(stepName(id, 0, 0))
}

// useCapacity adds the given resources to the used capacity of all workers.
func (s *dispatcherHarness) useCapacity(resources structs.Resources) {
	for _, w := range s.dispatcher.sortedWorkers {
		w.used = w.used.Add(resources)
	}
}

// TestGangHoldsNoCapacityForTickets guards against capacity that is idle while a
// gang's tickets are renewed. On sadm-drum-grown quiet-1, a tenth of the capacity
// was held by gangs that waited for tickets, while others had valid ones.
func TestGangHoldsNoCapacityForTickets(t *testing.T) {
	s := newDispatcherHarness(t, 4, structs.Resources{MilliCPU: 10_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 700 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	s.useCapacity(structs.Resources{MilliCPU: 9000})
	gang := s.submit("0000000000000001", batchQueue(advisor), workflow.Step{
		Tasks: 4, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000},
	})
	s.commit()
	s.answerAdvice(takeEffects[RequestAdvice](s)[0])
	s.advance(2 * time.Second) // the tickets have expired
	takeEffects[RequestAdvice](s)
	s.useCapacity(structs.Resources{MilliCPU: -9000})
	s.advance(reservationInterval)
	calls := takeEffects[RequestAdvice](s)
	if len(calls) != 1 || len(calls[0].Workers) != 4 {
		t.Fatalf("calls for advice once capacity is free: %v, want one for 4 workers", calls)
	}
	for _, task := range gang.tasks {
		if task.state != taskWaiting {
			t.Fatal("member is placed without a valid ticket")
		}
	}
	// Urgent tasks may use the capacity in the meantime.
	urgent := batchQueue(nil)
	urgent.Priority = 0
	s.submit("0000000000000002", urgent, workflow.Step{Tasks: 1, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 2000}})
	s.commit()
	if starts := takeEffects[StartTask](s); len(starts) != 1 {
		t.Errorf("%d urgent starts during the call, want 1", len(starts))
	}
	s.answerAdvice(calls[0])
	s.place()
	if gang.allStarted() {
		t.Error("gang started on capacity that an urgent task uses")
	}
	s.useCapacity(structs.Resources{MilliCPU: -2000}) // the urgent task ends
	s.advance(10 * time.Millisecond)
	if !gang.allStarted() {
		t.Error("gang did not start with valid tickets and free capacity")
	}
}

// TestFirstCallNamesEnoughWorkers guards against several calls for one gang. Each
// call takes most of a second however many workers it names. On
// sierra-cambios-grown scale-1, gangs made four calls each and kept all instances
// busy.
func TestFirstCallNamesEnoughWorkers(t *testing.T) {
	s := newDispatcherHarness(t, 200, structs.Resources{MilliCPU: 16_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 572 * time.Millisecond, TimePerWorker: 8 * time.Millisecond, Validity: 2500 * time.Millisecond}
	s.dispatcher.approvalRates["batch"] = 0.25
	s.submit("0000000000000001", batchQueue(advisor), workflow.Step{
		Tasks: 20, Gang: true, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 4500},
	})
	s.commit()
	calls := takeEffects[RequestAdvice](s)
	if len(calls) != 1 {
		t.Fatalf("%d calls, want 1", len(calls))
	}
	if slots := float64(3*len(calls[0].Workers)) * 0.25; slots < 40 {
		t.Errorf("%d named workers can be expected to hold %.0f members, want twice the 20 members", len(calls[0].Workers), slots)
	}
}

// TestNoAdviceForFullWorkers guards against useless calls for advice. On
// sierra-cambios-grown scale-1, steps of small tasks made 885 calls about full
// workers.
func TestNoAdviceForFullWorkers(t *testing.T) {
	s := newDispatcherHarness(t, 120, structs.Resources{MilliCPU: 16_000, MemoryBytes: 1 << 40})
	advisor := &workflow.Advisor{BaseTime: 130 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, Validity: 2500 * time.Millisecond}
	s.submit("0000000000000001", batchQueue(advisor), workflow.Step{Tasks: 25, Estimate: time.Second, Resources: oneCore})
	s.commit()
	first := takeEffects[RequestAdvice](s)
	if len(first) != 1 || len(first[0].Workers) >= 120 {
		t.Fatalf("first calls: %v, want one about some of the workers", first)
	}
	s.useCapacity(structs.Resources{MilliCPU: 16_000})
	s.answerAdvice(first[0])
	for range 20 {
		s.advance(100 * time.Millisecond)
	}
	if calls := takeEffects[RequestAdvice](s); len(calls) != 0 {
		t.Errorf("%d calls while all workers are full, want none", len(calls))
	}
	s.useCapacity(structs.Resources{MilliCPU: -16_000})
	s.advance(100 * time.Millisecond)
	if starts, calls := len(takeEffects[StartTask](s)), s.dispatcher.findStep("0000000000000001.0.0").pendingAdviceCalls; starts == 0 && calls == 0 {
		t.Error("neither a start nor a ticket renewal once capacity is free")
	}
}
