package faulttest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

const tasksPerWorker = 8 // 18,000 tasks on 2,100 workers

// loadedCell returns a cell in production timing whose workers run services.
func loadedCell(t testing.TB, shards, workers int) *sim {
	s := newSim(1, 8, shards, workers, options{})
	s.runUntil(s.Now.Add(15 * time.Second))
	for i := range workers * tasksPerWorker / 50 {
		job := s.probe(s.shards[i%shards])
		job.Kind, job.Count, job.Command = structs.KindService, 50, []string{"serve"}
		for try := 0; try < 20 && s.clients.acked[job.ID].ID == ""; try++ {
			s.submit(job, false)
			s.runUntil(s.Now.Add(200 * time.Millisecond))
		}
	}
	s.runUntil(s.Now.Add(30 * time.Second))
	if s.broken != "" || s.starts < workers*tasksPerWorker*9/10 {
		t.Fatalf("%d tasks run before the restart: %s", s.starts, s.broken)
	}
	return s
}

// probe returns a small urgent job for a shard.
func (s *sim) probe(shard structs.ShardID) structs.Job {
	job := structs.Job{
		ID: structs.JobID(fmt.Sprintf("%s-%d", shard, len(s.clients.jobs))), Team: team, Class: "urgent",
		Kind: structs.KindBatch, Count: 1, Resources: structs.Resources{MilliCPU: 500, MemoryBytes: 1 << 30},
		RunTime: time.Second, Command: []string{"sleep", "1s"},
	}
	s.clients.jobs = append(s.clients.jobs, job)
	return job
}

// restart ends all processes at once and returns the virtual times to the
// first start on a worker and to full service: every shard has started a job
// that came after the restart, and every worker has answered its new owner.
func (s *sim) restart(limit time.Duration) (first, full time.Duration) {
	began, starts := s.Now, s.starts
	served := map[structs.ShardID]bool{}
	for _, n := range s.nodes {
		s.kill(n, time.Millisecond)
	}
	probes := map[structs.JobID]structs.ShardID{}
	for s.Now.Sub(began) < limit && s.broken == "" {
		for _, shard := range s.shards {
			job := s.probe(shard)
			probes[job.ID] = shard
			s.submit(job, false)
		}
		s.runUntil(s.Now.Add(100 * time.Millisecond))
		if first == 0 && s.starts > starts {
			first = s.Now.Sub(began)
		}
		for id, shard := range probes {
			served[shard] = served[shard] || len(s.started[structs.TaskIDFor(id, 0)]) > 0
		}
		if len(served) == len(s.shards) && s.allServed(served) && s.allHeard() {
			return first, s.Now.Sub(began)
		}
	}
	return first, 0
}

func (s *sim) allServed(served map[structs.ShardID]bool) bool {
	for _, ok := range served {
		if !ok {
			return false
		}
	}
	return true
}

func (s *sim) allHeard() bool {
	for _, w := range s.order {
		if !strings.HasSuffix(w.heard, "#2") {
			return false
		}
	}
	return true
}

// Guards against a restart of everything that loses jobs, waits for anything
// but the old leases or takes longer with more workers. The bounds come from
// the design: 7.5 s without an owner, then one poll of the workers.
func TestRestartOfEverything(t *testing.T) {
	const target = 10 * time.Second
	for _, c := range []struct{ shards, workers int }{{3, 50}, {6, 2100}} {
		s := loadedCell(t, c.shards, c.workers)
		first, full := s.restart(time.Minute)
		t.Logf("%d workers, %d shards, %d starts in all: first placement after %v, full service after %v",
			c.workers, c.shards, s.starts, first, full)
		if s.broken != "" {
			t.Fatalf("%d workers: %s", c.workers, s.broken)
		}
		if first == 0 || first > target || full == 0 || full > target {
			t.Errorf("%d workers: first placement after %v, full service after %v, want at most %v", c.workers, first, full, target)
		}
	}
}

// BenchmarkReplay gives the cost of recovery for each journal record: reading,
// decoding and restoring the scheduler.
func BenchmarkReplay(b *testing.B) {
	for _, workers := range []int{50, 2100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := loadedCell(b, 3, workers)
			store := eventlog.Store{Table: s.store, Objects: s.store.Objects()}
			records := 0
			for b.Loop() {
				records = 0
				for _, shard := range s.shards {
					loaded, err := eventlog.Load(context.Background(), store, shard)
					var all []scheduler.Record
					for _, entry := range loaded.Entries {
						all = append(all, s.decode(entry.Payload)...)
					}
					records += len(all)
					if err == nil {
						_, err = scheduler.Restore(scheduler.Config{Shard: shard, Epoch: 2}, loaded.Snapshot, all)
					}
					if err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(records), "records")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(records), "ns/record")
		})
	}
}
