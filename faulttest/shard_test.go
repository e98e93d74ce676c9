package faulttest

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/journal"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// shardRun is what one process does for one shard in one epoch.
type shardRun struct {
	node    *node
	sim     *sim
	shard   structs.ShardID
	epoch   structs.Epoch
	before  structs.Timestamp // horizon of the previous owner
	until   structs.Timestamp // own horizon
	app     *scheduler.State  // nil until the journal is loaded
	journal *journal.State
	pending *journal.Snapshot // taken, but not durable up to its sequence yet
	saved   uint64            // sequence of the last snapshot
}

// snapshotEvery is the number of appends between two snapshots.
const snapshotEvery = 25

func (n *node) acquire(e ownership.Acquired) {
	r := &shardRun{node: n, sim: n.sim, shard: e.Shard, epoch: e.Epoch, before: e.PreviousHorizon}
	if n.sim.opts.skipHorizon {
		r.before = 0
	}
	n.runs[e.Shard] = r
	r.load()
}

func (r *shardRun) store() journal.Store {
	return journal.Store{Table: r.sim.store, Objects: r.sim.store.Objects()}
}

func (r *shardRun) guard() platform.Condition { return ownership.EpochCondition(r.shard, r.epoch) }

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
	r.sim.call(r.node, func(ctx context.Context) structs.Event {
		loaded, err := journal.Load(ctx, r.store(), r.shard)
		// The check is made here: while the answer travels, another process may
		// take over and acknowledge more.
		if app := r.restore(loaded, err); app != nil {
			r.sim.clients.check(r.sim, r.shard, app)
		}
		return answer{loaded, err}
	}, failedCall, func(ev structs.Event) {
		a := ev.(answer)
		switch {
		case r.node.runs[r.shard] != r:
		case a.err != nil:
			r.load()
		default:
			r.start(a.loaded)
		}
	})
}

func (r *shardRun) restore(loaded journal.Loaded, err error) *scheduler.State {
	var records []scheduler.Record
	for _, entry := range loaded.Entries {
		records = append(records, r.sim.decode(entry.Payload)...)
	}
	var app *scheduler.State
	if err == nil {
		app, err = scheduler.Restore(scheduler.Config{
			Shard: r.shard, Epoch: r.epoch, Policy: policy(), Horizon: r.until, PreviousHorizon: r.before,
		}, loaded.Snapshot, records)
	}
	if err != nil {
		r.sim.fail("recovery of %s by %s: %v", r.shard, r.node.name(), err)
		return nil
	}
	return app
}

func (s *sim) decode(payload []byte) []scheduler.Record {
	var records []scheduler.Record
	if err := cbor.Unmarshal(payload, &records); err != nil {
		s.fail("decode records: %v", err)
	}
	return records
}

func (r *shardRun) start(loaded journal.Loaded) {
	r.app = r.restore(loaded, nil)
	r.journal = journal.New(journal.Config{
		Shard: r.shard, Epoch: r.epoch, Guard: r.guard(),
		NextRow: loaded.NextRow, Seed: r.node.gen, Defects: r.sim.opts.journal,
	})
	r.node.listWorkers()
}

// working runs f for every shard that this process has loaded.
func (n *node) working(f func(*shardRun)) {
	for _, shard := range n.sim.shards {
		if r := n.runs[shard.ID]; r != nil && r.app != nil {
			f(r)
		}
	}
}

func (n *node) flush() {
	n.working(func(r *shardRun) { r.reduceJournal(journal.FlushDue{}) })
}

func (n *node) drive() {
	n.working(func(r *shardRun) {
		r.reduce(scheduler.Tick{})
		r.takeSnapshot()
	})
}

// reduce passes an event to the scheduler while this process may act.
func (r *shardRun) reduce(ev structs.Event) {
	if r.node.runs[r.shard] != r || r.app == nil || r.node.own.Standing(r.node.clock(), r.shard) == ownership.NotOwner {
		return
	}
	for _, effect := range r.app.Reduce(r.node.clock(), ev) {
		switch e := effect.(type) {
		case scheduler.Append:
			payload, err := cbor.Marshal(e.Records)
			if err != nil {
				r.sim.fail("encode records: %v", err)
			}
			r.reduceJournal(journal.Append{Sequence: e.Sequence, Payload: payload})
		case scheduler.SendBatch:
			r.callWorker(e)
		case scheduler.Reply:
			r.sim.clients.reply(e)
		}
	}
}

func (r *shardRun) reduceJournal(ev structs.Event) {
	if r.node.runs[r.shard] != r {
		return
	}
	for _, effect := range r.journal.Reduce(r.node.clock(), ev) {
		switch e := effect.(type) {
		case journal.Committed:
			r.reduce(scheduler.Committed{Sequence: e.Sequence})
			r.saveSnapshot(e)
		case journal.Fenced:
			delete(r.node.runs, r.shard)
		default:
			r.sim.call(r.node, func(ctx context.Context) structs.Event {
				ev := journal.Execute(ctx, r.sim.store, effect)
				r.observe(effect, ev)
				return ev
			}, func(kind errs.Kind) structs.Event {
				if _, ok := effect.(journal.ReadRow); ok {
					return journal.ReadBack{ErrKind: kind}
				}
				return journal.CommitEnded{ErrKind: kind}
			}, r.reduceJournal)
		}
	}
}

// observe notes durable starts, and fails if a row was written by an owner of
// an ended epoch.
func (r *shardRun) observe(effect structs.Effect, ev structs.Event) {
	ended, ok := ev.(journal.CommitEnded)
	if !ok || ended.ErrKind != "" {
		return
	}
	row, err := journal.DecodeRow(effect.(journal.CommitRow).Value)
	if epoch := r.sim.epochs[r.shard]; err != nil || uint64(row.Epoch) != epoch {
		r.sim.fail("row %d of %s written by epoch %d in epoch %d (%v)", row.Row, r.shard, row.Epoch, epoch, err)
	}
	for _, payload := range row.Payloads {
		for _, record := range r.sim.decode(payload) {
			if start := record.TaskStarted; start != nil {
				r.sim.durable[platform.AttemptRef{Task: start.Task, Attempt: start.Attempt}] = true
			}
		}
	}
}

// takeSnapshot takes a snapshot; it is saved once its last append is durable.
func (r *shardRun) takeSnapshot() {
	sequence := r.app.Sequence()
	if r.pending != nil || sequence < r.saved+snapshotEvery {
		return
	}
	state, err := r.app.Snapshot()
	if err != nil {
		r.sim.fail("snapshot: %v", err)
	}
	r.saved = sequence
	r.pending = &journal.Snapshot{Shard: r.shard, Epoch: r.epoch, Sequence: sequence, State: state}
}

func (r *shardRun) saveSnapshot(e journal.Committed) {
	if r.pending == nil || r.pending.Sequence > e.Sequence {
		return
	}
	snapshot := *r.pending
	snapshot.Row = e.Row
	r.pending = nil
	r.sim.call(r.node, func(ctx context.Context) structs.Event {
		err := journal.SaveSnapshot(ctx, r.store(), r.guard(), snapshot)
		if err == nil {
			_, err = journal.Truncate(ctx, r.sim.store, r.guard(), r.shard, 10)
		}
		return answer{err: err}
	}, failedCall, func(structs.Event) {})
}
