package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// Load per worker at the two-year size of docs/CAPACITY.md: 18,000 tasks on
// 2,100 workers, a fifth of them services, and a peak of 1,200 starts per second.
const (
	servicesPerWorker = 18_000.0 / 5 / 2100
	startsPerWorker   = 1200.0 / 2100 // per second
	batchRunTime      = "12s"         // 14,400 batch tasks at 1,200 starts per second
	tasksPerJob       = 10
)

// addPeakLoad submits the jobs of one second at peak load.
func (c *testCell) addPeakLoad(second int) {
	perTick := startsPerWorker * float64(len(c.workers)) / 20 / tasksPerJob
	due := 0.0
	for n := range 20 {
		for due += perTick; due >= 1; due-- {
			c.submit(fmt.Sprintf("batch-%d-%d-%f", second, n, due), n%390, tasksPerJob, "sleep", batchRunTime)
		}
		c.tick()
	}
}

// BenchmarkShardAtPeak measures one shard owner at the peak load for the given
// number of workers. cpu-% is the share of one core that the reducer uses;
// bytes and calls count the traffic between the owner and its workers.
func BenchmarkShardAtPeak(b *testing.B) {
	for _, workers := range []int{50, 175, 350, 700, 2100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			const warmUp, measured = 20, 10
			for b.Loop() {
				c := newTestCell(b, workers, 390)
				c.submit("services", 0, int(servicesPerWorker*float64(workers)), "serve")
				for second := range warmUp {
					c.addPeakLoad(second)
				}
				c.countBytes = true
				c.reduceTime, c.workerCalls, c.workerBytes, c.journalBytes = 0, 0, 0, 0
				writes, _ := c.store.Counts()
				started := len(c.waits)
				for second := range measured {
					c.addPeakLoad(warmUp + second)
				}
				after, _ := c.store.Counts()
				b.ReportMetric(100*c.reduceTime.Seconds()/measured, "cpu-%")
				b.ReportMetric(float64(len(c.waits)-started)/measured, "starts/s")
				b.ReportMetric(float64(after-writes)/measured, "store-writes/s")
				b.ReportMetric(float64(c.journalBytes)/measured, "journal-B/s")
				b.ReportMetric(float64(c.workerCalls)/measured/float64(workers), "calls/s/worker")
				b.ReportMetric(float64(c.workerBytes)/measured/float64(workers), "B/s/worker")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkShardMemory measures the heap of one shard owner per running task,
// with the number of tasks per worker at the two-year size.
func BenchmarkShardMemory(b *testing.B) {
	for _, workers := range []int{50, 350, 2100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			tasks := workers * 18_000 / 2100
			for b.Loop() {
				c := newTestCell(b, workers, 390)
				before := heapBytes()
				for n := range tasks / tasksPerJob {
					c.submit(fmt.Sprintf("job-%d", n), n%390, tasksPerJob, "serve")
				}
				c.run(10 * time.Second)
				b.ReportMetric(float64(heapBytes()-before)/float64(tasks), "B/task")
				b.ReportMetric(float64(heapBytes())/(1<<20), "MiB")
				state, _ := c.state.Scheduler("north")
				snapshot, err := state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(snapshot))/float64(tasks), "snapshot-B/task")
				c.store = nil
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRestart measures a new process that takes over a shard: the virtual
// time from the process start until the shard is running and until a new task
// starts, which follows the confirmation of all running tasks, and the
// processor time of the reducer.
func BenchmarkRestart(b *testing.B) {
	for _, workers := range []int{50, 350, 2100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				c := newTestCell(b, workers, 390)
				for n := range workers * 18_000 / 2100 / tasksPerJob {
					c.submit(fmt.Sprintf("job-%d", n), n%390, tasksPerJob, "serve")
				}
				c.run(10 * time.Second)
				c.reduceTime = 0
				began := c.now
				c.startProcess()
				b.ReportMetric(c.now.Sub(began).Seconds(), "virtual-s-to-running")
				c.waits = nil
				c.submit("first", 0, 1, "serve")
				for len(c.waits) == 0 && c.now.Sub(began) < 5*time.Minute {
					c.tick()
				}
				b.ReportMetric(c.now.Sub(began).Seconds(), "virtual-s-to-start")
				b.ReportMetric(float64(c.reduceTime.Milliseconds()), "cpu-ms")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSettingsChange measures a change of one field in a tree with the
// given number of teams: the bytes sent to a peer and the time to apply it.
func BenchmarkSettingsChange(b *testing.B) {
	for _, teams := range []int{50, 200, 390} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			old := testTree(b, teams)
			next, err := settings.Apply(old, []settings.Change{{Path: "/team-0", Field: "weight", Old: "100", New: "200"}})
			if err != nil {
				b.Fatal(err)
			}
			version := settings.Version{
				Number: 2, Base: 1, Author: "operator@example", Reason: "more weight for team 0", ChangeID: "c-1",
				Hash: next.Hash(), Diff: settings.Diff(old, next),
			}
			body, err := peer.Encode(version)
			if err != nil {
				b.Fatal(err)
			}
			cell := structs.Resources{MilliCPU: 1000, MemoryBytes: 1000, Accelerators: 10}
			for b.Loop() {
				tree, err := settings.Apply(old, version.Diff)
				if err != nil {
					b.Fatal(err)
				}
				_ = tree.Hash()
				_ = SchedulerPolicy(tree, cell, cell)
				_ = RouterPolicy(tree)
			}
			b.ReportMetric(float64(len(body)), "B/change")
			b.ReportMetric(float64(len(next.Encode())), "B/tree")
		})
	}
}

// BenchmarkHeartbeat measures the size of a heartbeat for the given number of
// shards owned by the sender.
func BenchmarkHeartbeat(b *testing.B) {
	for _, shards := range []int{0, 1, 3} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			heartbeat := peer.Heartbeat{
				Incarnation: uint64(testStart), SettingsVersion: 100_000, Status: "live", SentAt: testStart,
				Ready: true, StoreHealthy: true, Shards: map[structs.ShardID]structs.Epoch{}, RequestsInFlight: 100,
			}
			for n := range shards {
				heartbeat.Shards[structs.ShardID(fmt.Sprintf("region-%d", n))] = 1000
			}
			size := 0
			for b.Loop() {
				body, err := peer.Encode(heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "B/heartbeat")
		})
	}
}
