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

const tasksPerWorker = 8 // as for 18,000 tasks on 2,100 workers

// loadedCell returns a cell with production timing whose workers run services.
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
	if s.violation != "" || s.startCount < workers*tasksPerWorker*9/10 {
		t.Fatalf("%d tasks run before the restart: %s", s.startCount, s.violation)
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

// restart kills all instances at once. It returns the virtual time until the
// first start on a worker, and until full service: every shard has started a
// job that was submitted after the restart, and every worker was called by its
// new owner. A time is 0 if that was not reached within limit.
func (s *sim) restart(limit time.Duration) (first, full time.Duration) {
	began, starts := s.Now, s.startCount
	served := map[structs.ShardID]bool{}
	for _, n := range s.nodes {
		s.kill(n, time.Millisecond)
	}
	probes := map[structs.JobID]structs.ShardID{}
	for s.Now.Sub(began) < limit && s.violation == "" {
		for _, shard := range s.shards {
			job := s.probe(shard)
			probes[job.ID] = shard
			s.submit(job, false)
		}
		s.runUntil(s.Now.Add(100 * time.Millisecond))
		if first == 0 && s.startCount > starts {
			first = s.Now.Sub(began)
		}
		for id, shard := range probes {
			served[shard] = served[shard] || len(s.startedOn[structs.TaskIDFor(id, 0)]) > 0
		}
		if len(served) == len(s.shards) && s.allShardsServed(served) && s.allWorkersCalled() {
			return first, s.Now.Sub(began)
		}
	}
	return first, 0
}

func (s *sim) allShardsServed(served map[structs.ShardID]bool) bool {
	for _, ok := range served {
		if !ok {
			return false
		}
	}
	return true
}

// allWorkersCalled reports whether the last call to each worker came from the
// second incarnation of an instance, which runs after the restart.
func (s *sim) allWorkersCalled() bool {
	for _, w := range s.workerList {
		if !strings.HasSuffix(w.lastCaller, "#2") {
			return false
		}
	}
	return true
}

// Guards against a restart of all instances that loses jobs, waits for anything
// but the old leases, or takes longer with more workers. The bound follows from
// the design: 7.5 s without an owner, then one poll of the workers.
func TestRestartOfEverything(t *testing.T) {
	const maxTime = 10 * time.Second
	for _, size := range []struct{ shards, workers int }{{3, 50}, {6, 2100}} {
		s := loadedCell(t, size.shards, size.workers)
		first, full := s.restart(time.Minute)
		t.Logf("%d workers, %d shards, %d starts in all: first placement after %v, full service after %v",
			size.workers, size.shards, s.startCount, first, full)
		if s.violation != "" {
			t.Fatalf("%d workers: %s", size.workers, s.violation)
		}
		if first == 0 || first > maxTime || full == 0 || full > maxTime {
			t.Errorf("%d workers: first placement after %v, full service after %v, want at most %v", size.workers, first, full, maxTime)
		}
	}
}

// BenchmarkReplay measures the cost of recovery per journal record: reading and
// decoding the record and restoring the scheduler.
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
