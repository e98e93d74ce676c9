package core

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

const testStart = structs.Timestamp(1_800_000_000 * int64(time.Second))

// testCell runs one instance in virtual time with a stand-in store and stand-in
// workers that answer immediately.
type testCell struct {
	t         testing.TB
	now       structs.Timestamp
	state     *State
	store     *standin.Store
	workers   map[structs.WorkerID]*standin.Worker
	directory DirectoryRead
	tree      *settings.Tree

	reduceTime   time.Duration // wall-clock time spent in Reduce
	workerCalls  int
	workerBytes  int // worker calls and reports, encoded as JSON like in the platform's protocol
	countBytes   bool
	journalBytes int // values of committed rows
	replies      []scheduler.Reply
	waits        []time.Duration
	phases       []Phase
}

func testInfo(n int) structs.InstanceInfo {
	return structs.InstanceInfo{
		ID: structs.InstanceID(fmt.Sprintf("i-%d", n)), State: structs.Live,
		Location:    structs.Location{Region: "north", FailureDomain: "north-a"},
		PeerAddress: fmt.Sprintf("10.0.0.%d:7072", n),
	}
}

func testTree(t testing.TB, teams int) *settings.Tree {
	t.Helper()
	text := `apiVersion: mangodrum/v1
kind: Settings
classes:
  - {name: urgent, urgency: urgent, weight: 600, floor: 0.3}
  - {name: nightly, urgency: deferrable, weight: 100, floor: 0.1}
branches:
  - {path: /, set: {class: nightly}}
`
	for n := range teams {
		text += fmt.Sprintf("  - {path: /team-%d, set: {weight: 100, quota: {borrow: {cpu: 1000000, memory: 1000TiB, accelerators: 10000}}}}\n", n)
	}
	tree, err := settings.Decode("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// newTestCell returns a cell with one shard, owned by its only instance.
func newTestCell(t testing.TB, workers, teams int) *testCell {
	t.Helper()
	c := &testCell{t: t, now: testStart, store: standin.NewStore(), workers: map[structs.WorkerID]*standin.Worker{}, tree: testTree(t, teams)}
	for n := range workers {
		info := structs.Worker{
			ID: structs.WorkerID(fmt.Sprintf("w-%04d", n)), State: structs.Live,
			Location: structs.Location{
				Region: "north", FailureDomain: structs.FailureDomain(fmt.Sprintf("north-%c", 'a'+n%3)),
				Rack: structs.Rack(fmt.Sprintf("r-%d", n/8)),
			},
			Capacity: structs.Resources{MilliCPU: 32_000, MemoryBytes: 128 << 30, Accelerators: 1},
		}
		c.directory.Workers = append(c.directory.Workers, info)
		c.workers[info.ID] = standin.NewWorker(info)
	}
	c.directory.Instances = []structs.InstanceInfo{testInfo(1)}
	c.startProcess()
	return c
}

// startProcess starts a new process of the instance from the stored state and
// waits until its shard is running.
func (c *testCell) startProcess() {
	c.state = New(Config{Self: testInfo(1), Incarnation: uint64(c.now), Seed: 1})
	c.send(c.directory)
	c.send(settings.TreeReceived{Number: 1, Hash: c.tree.Hash(), Tree: c.tree})
	for range 400 {
		if _, err := c.state.Scheduler("north"); err == nil {
			return
		}
		c.tick()
	}
	c.t.Fatal("the shard did not start within 20 s of virtual time")
}

func (c *testCell) tick() {
	c.now = c.now.Add(50 * time.Millisecond)
	c.send(Tick{})
}

func (c *testCell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

// send passes an event to the reducer and executes the resulting effects.
func (c *testCell) send(ev structs.Event) {
	began := time.Now()
	effects := c.state.Reduce(c.now, ev)
	c.reduceTime += time.Since(began)
	for _, effect := range effects {
		if result := c.execute(effect); result != nil {
			c.send(result)
		}
	}
}

func (c *testCell) execute(effect structs.Effect) structs.Event {
	ctx := context.Background()
	switch e := effect.(type) {
	case ownership.ReadRow, ownership.WriteRow:
		result, _ := ownership.Execute(ctx, c.store, e)
		return result
	case JournalEffect:
		if row, ok := e.Effect.(eventlog.CommitRow); ok {
			c.journalBytes += len(row.Value)
		}
		return JournalEvent{Shard: e.Shard, Epoch: e.Epoch, Event: eventlog.Execute(ctx, c.store, e.Effect)}
	case LoadShard:
		loaded, err := eventlog.Load(ctx, c.journalStore(), e.Shard)
		return ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Loaded: loaded, Err: err}
	case SaveSnapshot:
		err := eventlog.SaveSnapshot(ctx, c.journalStore(), e.EpochCondition, e.Snapshot)
		return SnapshotSaved{Shard: e.Snapshot.Shard, Epoch: e.Snapshot.Epoch, Err: err}
	case ShardChanged:
		c.phases = append(c.phases, e.Phase)
	case ShardEffect:
		return c.executeShardEffect(e)
	}
	return nil
}

func (c *testCell) journalStore() eventlog.Store {
	return eventlog.Store{Table: c.store, Objects: c.store.Objects()}
}

func (c *testCell) executeShardEffect(e ShardEffect) structs.Event {
	switch effect := e.Effect.(type) {
	case scheduler.SendBatch:
		report := c.workers[effect.Worker].Do(c.now, effect.Batch)
		c.workerCalls++
		if c.countBytes {
			c.workerBytes += encodedSize(effect.Batch) + encodedSize(report)
		}
		return ShardEvent{Shard: e.Shard, Event: scheduler.WorkerReported{Report: report}}
	case scheduler.Reply:
		c.replies = append(c.replies, effect)
	case scheduler.WaitObserved:
		c.waits = append(c.waits, effect.Wait)
	}
	return nil
}

func encodedSize(v any) int {
	data, _ := json.Marshal(v)
	return len(data)
}

func (c *testCell) submit(id string, team, count int, command ...string) {
	job := structs.Job{
		ID: structs.JobID(id), Team: structs.TeamID(fmt.Sprintf("/team-%d", team)), Class: "urgent",
		Kind: structs.KindBatch, Count: count, Command: command, Accepted: c.now,
		Resources: structs.Resources{MilliCPU: 1000, MemoryBytes: 2 << 30},
	}
	c.send(ShardEvent{Shard: "north", Event: scheduler.SubmitJob{Call: scheduler.CallID(len(c.replies) + 1), Job: job}})
}

func (c *testCell) job(id string) scheduler.JobStatus {
	c.t.Helper()
	s, err := c.state.Scheduler("north")
	if err != nil {
		c.t.Fatal(err)
	}
	status, ok := s.Job(structs.JobID(id))
	if !ok {
		c.t.Fatalf("job %s is lost", id)
	}
	return status
}

var _ provider.Table = (*standin.Store)(nil)
