package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// Guards against acknowledging a job before its record is durable.
func TestJobIsAcknowledgedWhenDurable(t *testing.T) {
	c := newTestCell(t, 10, 1)
	c.store.Fault = func(op string) standin.Fault { return standin.Fault{Unavailable: op == "commit"} }
	c.submit("j", 0, 3, "sleep", "1s")
	c.run(time.Second)
	if len(c.replies) != 0 {
		t.Fatalf("replied %+v while the store was down", c.replies)
	}
	c.store.Fault = nil
	c.run(3 * time.Second)
	if len(c.replies) != 1 || c.replies[0].Err != nil {
		t.Fatalf("replies after the outage: %+v", c.replies)
	}
}

// Guards against losing jobs or tasks when the process restarts. Covers replay
// of the journal alone and of a snapshot followed by the rest of the journal.
func TestRestartKeepsJobsAndTasks(t *testing.T) {
	for _, rows := range []int{1, defaultSnapshotRows + 100} {
		t.Run(fmt.Sprintf("%d rows", rows), func(t *testing.T) {
			c := newTestCell(t, 10, 1)
			for n := range rows {
				c.submit(fmt.Sprintf("short-%d", n), 0, 1, "sleep", "10ms")
				c.tick()
			}
			c.submit("long", 0, 20, "sleep", "60s")
			c.run(5 * time.Second)
			c.startProcess()
			if running := c.job("long").Placed; running != 20 {
				t.Errorf("%d tasks placed after the restart, want 20", running)
			}
			c.run(70 * time.Second)
			if done := c.job("long").Succeeded; done != 20 {
				t.Errorf("%d tasks succeeded, want 20", done)
			}
			c.checkNoOvercommit()
		})
	}
}

// checkNoOvercommit fails the test if a task was started on a worker without
// enough free capacity.
func (c *testCell) checkNoOvercommit() {
	c.t.Helper()
	for id, worker := range c.workers {
		if n := worker.OversizedStarts(); n != 0 {
			c.t.Errorf("%d starts exceeded the capacity of worker %s", n, id)
		}
	}
}

// Guards against stopping tasks during a store outage of an hour: their leases
// must be renewed without the store.
func TestTasksOutliveStoreOutage(t *testing.T) {
	c := newTestCell(t, 10, 1)
	c.submit("long", 0, 20, "serve")
	c.run(2 * time.Second)
	c.store.Fault = func(string) standin.Fault { return standin.Fault{Unavailable: true} }
	c.run(time.Hour)
	running := 0
	for _, worker := range c.workers {
		running += len(worker.Running(c.now))
	}
	if running != 20 {
		t.Errorf("%d tasks run after an hour without the store, want 20", running)
	}
	c.submit("refused", 0, 1)
	if n := len(c.replies); n != 2 || !errs.Is(c.replies[n-1].Err, errs.NotRun) {
		t.Errorf("a job during the outage: %+v, want not-run", c.replies)
	}
	c.store.Fault = nil
	c.run(10 * time.Second)
	c.submit("later", 0, 1, "sleep", "1s")
	c.run(5 * time.Second)
	if done := c.job("later").Succeeded; done != 1 {
		t.Errorf("the job after the outage did not run: %+v", c.job("later"))
	}
}

// Guards against a shard that never moves to an instance in its region, and
// against one that moves before moveDelay has passed.
func TestShardMovesToItsRegion(t *testing.T) {
	c := newTestCell(t, 10, 1)
	c.state = New(Config{Self: func() structs.InstanceInfo {
		info := testInfo(2)
		info.Location.Region = "south"
		return info
	}(), Incarnation: uint64(c.now), Seed: 1})
	c.send(c.directory)
	c.run(15 * time.Second)
	if owned := c.state.OwnedEpochs(); len(owned) != 1 {
		t.Fatalf("owned shards: %v, want the one without a living owner", owned)
	}
	sendHeartbeat := func() {
		info := testInfo(1)
		c.send(membership.HeartbeatReceived{From: info.ID, Incarnation: 1, At: c.now, Info: &info})
	}
	moved := structs.Timestamp(0)
	began := c.now
	for c.now.Sub(began) < 30*time.Second && moved == 0 {
		sendHeartbeat()
		c.run(500 * time.Millisecond)
		if len(c.state.OwnedEpochs()) == 0 {
			moved = c.now
		}
	}
	if wait := moved.Sub(began); moved == 0 || wait < moveDelay {
		t.Errorf("the shard moved after %v, want at least %v and under 30 s", wait, moveDelay)
	}
	row, err := c.store.Get(t.Context(), ownership.RowKey("north"))
	if err != nil {
		t.Fatal(err)
	}
	if stored, err := ownership.DecodeRow(row.Value); err != nil || stored.Successor != "i-1" {
		t.Errorf("successor in the row: %+v, %v", stored, err)
	}
}

// Guards against routing a job to a different shard when it is submitted again
// through another instance.
func TestHomeShardIsStable(t *testing.T) {
	c := newTestCell(t, 9, 1)
	for n := range c.directory.Workers {
		c.directory.Workers[n].Location.Region = structs.Region(fmt.Sprintf("region-%d", n%3))
	}
	a, b := New(Config{Self: testInfo(1)}), New(Config{Self: testInfo(2)})
	a.Reduce(c.now, c.directory)
	b.Reduce(c.now.Add(time.Hour), c.directory)
	seen := map[structs.ShardID]bool{}
	for n := range 50 {
		job := structs.Job{ID: structs.JobID(fmt.Sprintf("j-%d", n)), Resources: structs.Resources{MilliCPU: 1000}}
		first, errA := a.ShardForJob(&job)
		second, errB := b.ShardForJob(&job)
		if errA != nil || errB != nil || first != second {
			t.Fatalf("job %s: %q and %q, errors %v and %v", job.ID, first, second, errA, errB)
		}
		seen[first] = true
	}
	if len(seen) != 3 {
		t.Errorf("50 jobs use %d of 3 shards", len(seen))
	}
}
