package faulttest

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/structs"
)

// Guards against leases that lapse without any fault: task starts that keep
// arriving at a worker must not delay the lease renewals of its running tasks.
func TestLeasesHoldWhileStartsArrive(t *testing.T) {
	s := newSim(1, 1, 1, 2, options{TestOptions: core.TestOptions{Horizon: horizon}}) // shorter leases than in production
	s.runUntil(s.Now.Add(15 * time.Second))
	submit := func() structs.Job {
		job := s.probe(s.shards[0])
		job.Kind, job.Command, job.Resources.MilliCPU = structs.KindService, []string{"serve"}, 200
		s.submit(job, false)
		s.runUntil(s.Now.Add(500 * time.Millisecond))
		return job
	}
	first := submit()
	for range 60 {
		submit()
	}
	app, err := s.nodes[0].state.Scheduler(s.shards[0])
	if err != nil || s.violation != "" {
		t.Fatal(err, s.violation)
	}
	status, _ := app.Job(first.ID)
	if len(status.Tasks) != 1 || status.Tasks[0].Attempt != 1 {
		t.Fatalf("tasks of the first service: %+v, want one task in its first attempt", status.Tasks)
	}
	if s.startCount != 61 {
		t.Errorf("%d task starts, want one for each of the 61 services", s.startCount)
	}
}
