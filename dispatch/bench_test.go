package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// waitingCell returns a full cell with a queue of advised steps.
func waitingCell(tb testing.TB, workers, steps int) *Cell {
	now := structs.Timestamp(time.Minute)
	c := New(DefaultPolicy(), 1, now, now)
	if err := c.Recover(nil, NoPreviousLeader); err != nil {
		tb.Fatal(err)
	}
	for n := range workers {
		id := structs.WorkerID(fmt.Sprintf("w%04d", n))
		c.Reduce(now, WorkerSeen{Worker: workflow.Worker{ID: id, Incarnation: 1, Service: "svc", Address: string(id), Capacity: roomy}})
		c.Reduce(now, LeaseAnswered{Worker: id, SentAt: now, Outcome: workflow.OK, Report: workflow.Report{Incarnation: 1}})
		c.workers[id].used = structs.Resources{MilliCPU: 30_000}
	}
	queue := batchQueue(&workflow.Advisor{BaseTime: time.Millisecond, TimePerWorker: time.Microsecond, Validity: time.Hour})
	for n := range steps {
		id := structs.JobID(fmt.Sprintf("%016x", n))
		step := workflow.Step{Tasks: 8, Gang: n%3 == 0, Estimate: time.Second, Resources: structs.Resources{MilliCPU: 9000}}
		c.Reduce(now, SubmitJob{Ref: Ref(n), Job: workflow.Job{ID: id, Steps: []workflow.Step{step}}, Queue: queue})
		s := c.findStep(stepName(id, 0, 0))
		for k := range 12 {
			w := c.order[(n*7+k)%len(c.order)]
			s.advice[w.ID] = admission{good: true, token: "t", until: now.Add(time.Hour), life: 1}
			s.good = append(s.good, w)
		}
	}
	for range 2*steps/maxEntries + 1 {
		commit, err := c.NextCommit(now)
		if err != nil {
			tb.Fatal(err)
		}
		c.Reduce(now, CommitAnswered{Sequence: commit.Sequence})
	}
	return c
}

// BenchmarkPlacementPass measures a pass over a queue that finds no room, the
// costliest case of a burst.
func BenchmarkPlacementPass(b *testing.B) {
	for _, size := range []struct{ workers, steps int }{{48, 100}, {350, 100}, {350, 500}, {2100, 500}} {
		b.Run(fmt.Sprintf("workers=%d/steps=%d", size.workers, size.steps), func(b *testing.B) {
			c := waitingCell(b, size.workers, size.steps)
			b.ReportAllocs()
			for b.Loop() {
				c.placeAgain = true
				c.Place(c.now)
			}
		})
	}
}

// BenchmarkTick measures the regular work for each worker.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 350, 2100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := waitingCell(b, workers, 10)
			b.ReportAllocs()
			for b.Loop() {
				c.Reduce(c.now, Tick{})
			}
		})
	}
}
