package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// fullDispatcher returns the dispatcher of a cell without free capacity and with a
// queue of steps that have advice.
func fullDispatcher(tb testing.TB, workers, steps int) *Dispatcher {
	now := structs.Timestamp(time.Minute)
	c := New(DefaultPolicy(), 1, now, now)
	if err := c.Recover(nil, NoPreviousLeader); err != nil {
		tb.Fatal(err)
	}
	for n := range workers {
		id := structs.WorkerID(fmt.Sprintf("w%04d", n))
		c.Reduce(now, WorkerListed{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: largeWorker}})
		c.Reduce(now, LeaseAnswered{Worker: id, SentAt: now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
		c.workers[id].used = structs.Resources{MilliCPU: 30_000}
	}
	queue := batchQueue(&workflow.Advisor{BaseTime: time.Millisecond, TimePerWorker: time.Microsecond, Validity: time.Hour})
	for n := range steps {
		id := structs.JobID(fmt.Sprintf("%016x", n))
		step := workflow.Step{Tasks: 8, Gang: n%3 == 0, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000}}
		c.Reduce(now, SubmitJob{Call: CallID(n), Job: workflow.Job{ID: id, Steps: []workflow.Step{step}}, Queue: queue})
		s := c.findStep(stepName(id, 0, 0))
		for k := range 12 {
			w := c.sortedWorkers[(n*7+k)%len(c.sortedWorkers)]
			s.advice[w.ID] = workerAdvice{approved: true, token: "t", expiresAt: now.Add(time.Hour), incarnation: 1}
			s.approvedWorkers = append(s.approvedWorkers, w)
		}
	}
	for c.NeedsCommit() {
		commit, err := c.NextCommit(now)
		if err != nil {
			tb.Fatal(err)
		}
		c.Reduce(now, Committed{Sequence: commit.Sequence})
	}
	return c
}

// BenchmarkPlacementPass measures a placement pass in which no step fits, the most
// expensive case during a burst.
func BenchmarkPlacementPass(b *testing.B) {
	for _, size := range []struct{ workers, steps int }{{48, 100}, {350, 100}, {350, 500}, {2100, 500}} {
		b.Run(fmt.Sprintf("workers=%d/steps=%d", size.workers, size.steps), func(b *testing.B) {
			c := fullDispatcher(b, size.workers, size.steps)
			b.ReportAllocs()
			for b.Loop() {
				c.placementNeeded = true
				c.PlaceTasks(c.now)
			}
		})
	}
}

// BenchmarkTick measures the periodic work for each worker.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 350, 2100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := fullDispatcher(b, workers, 10)
			b.ReportAllocs()
			for b.Loop() {
				c.Reduce(c.now, Tick{})
			}
		})
	}
}
