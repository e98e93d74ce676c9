package faulttest

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/journal"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/structs"
)

// shardRun is what one process does for one shard in one epoch.
type shardRun struct {
	node     *node
	acquired ownership.Acquired
	app      *counter // nil until the journal is loaded
	journal  *journal.State
	until    structs.Timestamp // horizon
	pending  *journal.Snapshot // taken, but not durable up to its sequence yet
	saved    uint64            // sequence of the last snapshot
}

// snapshotEvery is the number of appends between two snapshots.
const snapshotEvery = 25

func (r *shardRun) extend(until structs.Timestamp) { r.until = until }

func (n *node) acquire(e ownership.Acquired) {
	r := &shardRun{node: n, acquired: e}
	n.runs[e.Shard] = r
	r.load()
}

func (r *shardRun) current() bool { return r.node.runs[r.acquired.Shard] == r }

func (r *shardRun) store() journal.Store {
	return journal.Store{Table: r.node.sim.store, Objects: r.node.sim.store.Objects()}
}

// answer carries the result of a call that is no reducer's event.
type answer struct {
	loaded journal.Loaded
	err    error
}

func (answer) Kind() string { return "answer" }

func failedCall(kind errs.Kind) structs.Event {
	return answer{err: errs.New(kind, "", "store call failed")}
}

func (r *shardRun) load() {
	sim := r.node.sim
	sim.call(r.node, func(ctx context.Context) structs.Event {
		loaded, err := journal.Load(ctx, r.store(), r.acquired.Shard)
		if err != nil {
			sim.fail("load of %s by %s: %v", r.acquired.Shard, r.node.name(), err)
			return answer{err: err}
		}
		// The check is made here: while the answer travels, another process may
		// take over and acknowledge more.
		sim.clients.checkRestored(sim, r.acquired.Shard, restoreCounter(loaded))
		return answer{loaded: loaded}
	}, failedCall, func(ev structs.Event) {
		if !r.current() {
			return
		}
		if a := ev.(answer); a.err == nil {
			r.start(a.loaded)
			return
		}
		r.load()
	})
}

func (r *shardRun) start(loaded journal.Loaded) {
	sim := r.node.sim
	shard, epoch := r.acquired.Shard, r.acquired.Epoch
	r.journal = journal.New(journal.Config{
		Shard: shard, Epoch: epoch, Guard: ownership.EpochCondition(shard, epoch),
		NextRow: loaded.NextRow, Seed: r.node.gen, Defects: sim.opts.journal,
	})
	r.app = restoreCounter(loaded)
}

func (n *node) flush() {
	for _, shard := range n.sim.shards {
		if r := n.runs[shard.ID]; r != nil && r.app != nil {
			r.reduceJournal(journal.FlushDue{})
		}
	}
}

func (n *node) drive() {
	for _, shard := range n.sim.shards {
		if r := n.runs[shard.ID]; r != nil && r.app != nil {
			r.snapshot()
		}
	}
}

func (r *shardRun) reduceJournal(ev structs.Event) {
	if !r.current() {
		return
	}
	for _, effect := range r.journal.Reduce(r.node.clock(), ev) {
		switch e := effect.(type) {
		case journal.Committed:
			r.committed(e)
		case journal.Fenced:
			delete(r.node.runs, r.acquired.Shard)
		default:
			r.node.sim.call(r.node, func(ctx context.Context) structs.Event {
				ev := journal.Execute(ctx, r.node.sim.store, effect)
				r.checkCommit(effect, ev)
				return ev
			}, failedJournal(effect), r.reduceJournal)
		}
	}
}

func failedJournal(effect structs.Effect) func(errs.Kind) structs.Event {
	return func(kind errs.Kind) structs.Event {
		if _, ok := effect.(journal.ReadRow); ok {
			return journal.ReadBack{ErrKind: kind}
		}
		return journal.CommitEnded{ErrKind: kind}
	}
}

// checkCommit fails if a row was written by an owner of an ended epoch.
func (r *shardRun) checkCommit(effect structs.Effect, ev structs.Event) {
	ended, ok := ev.(journal.CommitEnded)
	if !ok || ended.ErrKind != "" {
		return
	}
	row, err := journal.DecodeRow(effect.(journal.CommitRow).Value)
	if epoch := r.node.sim.epochs[r.acquired.Shard]; err != nil || uint64(row.Epoch) != epoch {
		r.node.sim.fail("row %d of %s written by epoch %d in epoch %d", row.Row, r.acquired.Shard, row.Epoch, epoch)
	}
}

func (r *shardRun) committed(e journal.Committed) {
	for _, reply := range r.app.committed(e.Sequence) {
		r.node.sim.message(func() { r.node.sim.clients.acknowledged(reply) })
	}
	if r.pending == nil || r.pending.Sequence > e.Sequence {
		return
	}
	snapshot := *r.pending
	snapshot.Row = e.Row
	r.pending = nil
	guard := ownership.EpochCondition(r.acquired.Shard, r.acquired.Epoch)
	r.node.sim.call(r.node, func(ctx context.Context) structs.Event {
		if err := journal.SaveSnapshot(ctx, r.store(), guard, snapshot); err != nil {
			return answer{err: err}
		}
		_, err := journal.Truncate(ctx, r.node.sim.store, guard, r.acquired.Shard, 10)
		return answer{err: err}
	}, failedCall, func(structs.Event) {})
}

// snapshot takes a snapshot; it is saved once its last append is durable.
func (r *shardRun) snapshot() {
	if r.pending != nil || r.app.sequence < r.saved+snapshotEvery {
		return
	}
	r.saved = r.app.sequence
	r.pending = &journal.Snapshot{
		Shard: r.acquired.Shard, Epoch: r.acquired.Epoch, Sequence: r.app.sequence, State: r.app.snapshot(),
	}
}

// submit hands a job to the owner. The client learns the outcome by message.
func (n *node) submit(shard structs.ShardID, job string) {
	r := n.runs[shard]
	if r == nil || r.app == nil || n.own.Standing(n.clock(), shard) != ownership.Owner {
		return
	}
	if payload, isNew := r.app.submit(job); isNew {
		r.reduceJournal(journal.Append{Sequence: r.app.sequence, Payload: payload})
	}
}

// counter is a state machine that records jobs, for tests of ownership and
// journal without the scheduler.
type counter struct {
	jobs     map[string]uint64 // job to the append that recorded it; 0 if replayed
	order    []string
	sequence uint64
	durable  uint64
	waiting  []string
}

func restoreCounter(loaded journal.Loaded) *counter {
	c := &counter{jobs: map[string]uint64{}}
	for _, job := range strings.Fields(string(loaded.Snapshot)) {
		c.add(job, 0)
	}
	for _, entry := range loaded.Entries {
		c.add(string(entry.Payload), 0)
	}
	return c
}

func (c *counter) add(job string, sequence uint64) {
	c.jobs[job] = sequence
	c.order = append(c.order, job)
}

func (c *counter) snapshot() []byte { return []byte(strings.Join(c.order, " ")) }

// submit records a job, or queues the reply for one that is recorded already.
func (c *counter) submit(job string) (payload []byte, isNew bool) {
	c.waiting = append(c.waiting, job)
	if _, known := c.jobs[job]; known {
		return nil, false
	}
	c.sequence++
	c.add(job, c.sequence)
	return []byte(job), true
}

// committed returns the jobs to acknowledge.
func (c *counter) committed(sequence uint64) []string {
	c.durable = sequence
	var out, rest []string
	for _, job := range c.waiting {
		if c.jobs[job] <= sequence {
			out = append(out, job)
		} else {
			rest = append(rest, job)
		}
	}
	c.waiting = rest
	return out
}

// clients submit jobs and remember which were acknowledged.
type clients struct {
	next  int
	acked map[string]bool
}

func (s *sim) startClients(end structs.Timestamp) {
	s.clients = &clients{acked: map[string]bool{}}
	var again func()
	again = func() {
		s.submitOne()
		if s.now < end {
			s.after(50*time.Millisecond+s.random(100*time.Millisecond), again)
		}
	}
	s.after(0, again)
}

func (s *sim) submitOne() {
	shard := s.shards[s.rng.IntN(len(s.shards))].ID
	c := s.clients
	job := fmt.Sprintf("%s/%d", shard, s.rng.IntN(c.next+1)) // a repeat, usually
	if s.rng.IntN(4) > 0 {
		c.next++
		job = fmt.Sprintf("%s/%d", shard, c.next)
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if owner, _ := n.own.Owner(shard); owner != "" {
		for _, other := range s.nodes {
			if other.info.ID == owner {
				n = other
			}
		}
	}
	s.message(func() { s.deliver(n, n.gen, func() { n.submit(shard, job) }) })
}

func (c *clients) acknowledged(job string) { c.acked[job] = true }

// checkRestored fails if an acknowledged job is absent or recorded twice.
func (c *clients) checkRestored(s *sim, shard structs.ShardID, app *counter) {
	for job := range c.acked {
		if _, found := app.jobs[job]; !found && strings.HasPrefix(job, string(shard)+"/") {
			s.fail("acknowledged job %s is lost", job)
		}
	}
	if len(app.order) != len(app.jobs) {
		s.fail("%d records for %d jobs of %s", len(app.order), len(app.jobs), shard)
	}
}
