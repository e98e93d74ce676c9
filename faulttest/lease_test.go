package faulttest

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/structs"
)

// Guards against leases that lapse without any fault: starts that keep arriving
// at a worker must not put off the renewals of the tasks that run there.
func TestLeasesHoldWhileStartsArrive(t *testing.T) {
	s := newSim(1, 1, 1, 2, options{TestOptions: core.TestOptions{Horizon: horizon}}) // short leases
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
	if err != nil || s.broken != "" {
		t.Fatal(err, s.broken)
	}
	status, _ := app.Job(first.ID)
	if len(status.Tasks) != 1 || status.Tasks[0].Attempt != 1 {
		t.Fatalf("the first service has the tasks %+v, want one in its first attempt", status.Tasks)
	}
	if s.starts != 61 {
		t.Errorf("%d starts for 61 services", s.starts)
	}
}
