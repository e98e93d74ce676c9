package faulttest

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// node is one instance; gen numbers its processes.
type node struct {
	sim         *sim
	info        structs.InstanceInfo
	skew        time.Duration
	up          bool
	draining    bool
	gen         uint64
	pausedUntil structs.Timestamp
	state       *core.State
	seen        map[structs.WorkerID]bool // workers that a directory list had
}

func (n *node) clock() structs.Timestamp { return n.sim.Now.Add(n.skew) }
func (n *node) name() string             { return processName(n.info.ID, n.gen) }

func (n *node) boot() {
	n.up, n.draining, n.pausedUntil = true, false, 0
	n.gen++
	n.seen = map[structs.WorkerID]bool{}
	n.state = core.New(core.Config{Self: n.info, Incarnation: n.gen, Seed: n.gen, TestOptions: n.sim.opts.TestOptions})
	n.reduce(settings.TreeReceived{Number: 1, Hash: n.sim.tree.Hash(), Tree: n.sim.tree})
	n.every(time.Second, n.heartbeat)
	n.every(time.Second, n.readDirectory)
	n.every(50*time.Millisecond, func() { n.reduce(core.Tick{}) })
}

// every runs step at an interval as long as the process lives.
func (n *node) every(d time.Duration, step func()) {
	gen := n.gen
	var again func()
	again = func() {
		step()
		n.sim.After(d, func() { n.sim.deliver(n, gen, again) })
	}
	n.sim.After(n.sim.Random(d), func() { n.sim.deliver(n, gen, again) })
}

func (n *node) heartbeat() {
	beat := membership.HeartbeatReceived{From: n.info.ID, Incarnation: n.gen, At: n.clock(), Info: &n.info}
	if n.draining {
		beat.Status = membership.Leaving
	}
	for _, peer := range n.sim.nodes {
		if peer != n {
			n.sim.Message(func() { n.sim.deliver(peer, peer.gen, func() { peer.reduce(beat) }) })
		}
	}
}

func (n *node) readDirectory() {
	var list core.DirectoryRead
	absent := func() bool { return n.sim.active[directoryWrong] > 0 && n.sim.Rand.IntN(2) == 0 }
	for _, w := range n.sim.order {
		if !absent() {
			n.seen[w.Info.ID] = true
			list.Workers = append(list.Workers, w.Info)
		}
	}
	for _, peer := range n.sim.nodes {
		if !absent() {
			list.Instances = append(list.Instances, peer.info)
		}
	}
	n.reduce(list)
}

func (n *node) reduce(ev structs.Event) {
	for _, effect := range n.state.Reduce(n.clock(), ev) {
		n.perform(effect)
	}
}

func (n *node) perform(effect structs.Effect) {
	switch e := effect.(type) {
	case ownership.ReadRow:
		n.call(effect, func(kind errs.Kind) structs.Event { return ownership.RowRead{Shard: e.Shard, ErrKind: kind} })
	case ownership.WriteRow:
		n.call(effect, func(kind errs.Kind) structs.Event { return ownership.WriteEnded{Shard: e.Shard, ErrKind: kind} })
	case core.JournalEffect:
		n.call(effect, func(kind errs.Kind) structs.Event {
			return core.JournalEvent{Shard: e.Shard, Epoch: e.Epoch, Event: failedJournal(e.Effect, kind)}
		})
	case core.LoadShard:
		n.call(effect, func(kind errs.Kind) structs.Event {
			return core.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Err: errs.New(kind, "", "no answer")}
		})
	case core.SaveSnapshot:
		n.call(effect, func(kind errs.Kind) structs.Event {
			return core.SnapshotSaved{Shard: e.Snapshot.Shard, Epoch: e.Snapshot.Epoch, Err: errs.New(kind, "", "no answer")}
		})
	case core.ShardEffect:
		n.performShard(e)
	case core.NotifySuccessor:
		for _, peer := range n.sim.nodes {
			if peer.info.ID == e.To {
				n.sim.Message(func() {
					n.sim.deliver(peer, peer.gen, func() { peer.reduce(ownership.HandOverReceived{Shard: e.Shard}) })
				})
			}
		}
	case core.ShardChanged:
		n.sim.hold(e.Shard, e.Epoch, n.name())
	}
}

func failedJournal(effect structs.Effect, kind errs.Kind) structs.Event {
	if _, ok := effect.(eventlog.ReadRow); ok {
		return eventlog.ReadBack{ErrKind: kind}
	}
	return eventlog.CommitEnded{ErrKind: kind}
}

// call carries out an effect at the store.
func (n *node) call(effect structs.Effect, failed func(errs.Kind) structs.Event) {
	gen := n.gen
	var answer structs.Event
	var reads uint64
	n.sim.Call(func() {
		_, before := n.sim.store.Counts()
		answer = n.execute(effect)
		_, after := n.sim.store.Counts()
		reads = after - before
	}, func(kind errs.Kind) {
		if kind != "" {
			answer = failed(kind)
		}
		done := func() { n.sim.deliver(n, gen, func() { n.reduce(answer) }) }
		if _, isLoad := answer.(core.ShardLoaded); isLoad {
			n.sim.After(time.Duration(reads)*readTime, done)
			return
		}
		done()
	})
}

// readTime is the time of one read when a shard is loaded page by page.
const readTime = 5 * time.Millisecond

func (n *node) execute(effect structs.Effect) structs.Event {
	ctx, s := context.Background(), n.sim
	store := eventlog.Store{Table: s.store, Objects: s.store.Objects()}
	switch e := effect.(type) {
	case core.JournalEffect:
		ev := eventlog.Execute(ctx, s.store, e.Effect)
		n.observe(e, ev)
		return core.JournalEvent{Shard: e.Shard, Epoch: e.Epoch, Event: ev}
	case core.LoadShard:
		loaded, err := eventlog.Load(ctx, store, e.Shard)
		// The check is made here: while the answer travels, another process may
		// take over and acknowledge more.
		s.checkRecovery(e.Shard, loaded, err)
		return core.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Loaded: loaded, Err: err}
	case core.SaveSnapshot:
		err := eventlog.SaveSnapshot(ctx, store, e.EpochCondition, e.Snapshot)
		if err == nil {
			_, err = eventlog.Truncate(ctx, s.store, e.EpochCondition, e.Snapshot.Shard, 10)
		}
		return core.SnapshotSaved{Shard: e.Snapshot.Shard, Epoch: e.Snapshot.Epoch, Err: err}
	}
	ev, _ := ownership.Execute(ctx, s.store, effect)
	s.checkStore()
	return ev
}

// observe notes durable starts, and fails if a row was written by an owner of
// an ended epoch.
func (n *node) observe(e core.JournalEffect, ev structs.Event) {
	ended, ok := ev.(eventlog.CommitEnded)
	if !ok || ended.ErrKind != "" {
		return
	}
	row, err := eventlog.DecodeRow(e.Effect.(eventlog.CommitRow).Value)
	if epoch := n.sim.epochs[e.Shard]; err != nil || uint64(row.Epoch) != epoch {
		n.sim.fail("row %d of %s written by epoch %d in epoch %d (%v)", row.Row, e.Shard, row.Epoch, epoch, err)
	}
	for _, payload := range row.Payloads {
		for _, record := range n.sim.decode(payload) {
			if start := record.TaskStarted; start != nil {
				n.sim.durable[provider.AttemptRef{Task: start.Task, Attempt: start.Attempt}] = true
			}
		}
	}
}

func (s *sim) decode(payload []byte) []scheduler.Record {
	var records []scheduler.Record
	if err := cbor.Unmarshal(payload, &records); err != nil {
		s.fail("decode records: %v", err)
	}
	return records
}

// checkRecovery restores a scheduler of its own and checks what clients know.
func (s *sim) checkRecovery(shard structs.ShardID, loaded eventlog.Loaded, err error) {
	var records []scheduler.Record
	for _, entry := range loaded.Entries {
		records = append(records, s.decode(entry.Payload)...)
	}
	var app *scheduler.State
	if err == nil {
		app, err = scheduler.Restore(scheduler.Config{Shard: shard, Epoch: 1}, loaded.Snapshot, records)
	}
	if err != nil {
		s.fail("recovery of %s: %v", shard, err)
		return
	}
	s.clients.check(s, shard, app)
}

func (n *node) performShard(e core.ShardEffect) {
	switch effect := e.Effect.(type) {
	case scheduler.SendBatch:
		n.callWorker(e.Shard, effect)
	case scheduler.Reply:
		n.sim.clients.reply(effect)
	}
}

// callWorker carries a batch to its worker and the report back.
func (n *node) callWorker(shard structs.ShardID, e scheduler.SendBatch) {
	s, gen, open := n.sim, n.gen, true
	finish := func(ev structs.Event) {
		s.deliver(n, gen, func() {
			if open {
				open = false
				n.reduce(core.ShardEvent{Shard: shard, Event: ev})
			}
		})
	}
	w := s.workers[e.Worker]
	if _, known := n.state.Worker(e.Worker); !known {
		if n.seen[e.Worker] {
			s.fail("%s forgot worker %s because a list lacked it", n.name(), e.Worker)
		}
		return
	}
	s.Message(func() {
		if w.dead || s.Now < w.cutUntil {
			return
		}
		report := w.Do(s.Now.Add(w.skew), e.Batch)
		w.heard = n.name()
		s.checkWorkers(w, e.Batch.Starts)
		s.Message(func() { finish(scheduler.WorkerReported{Report: report}) })
	})
	s.After(time.Second, func() { finish(scheduler.WorkerUnreachable{Worker: e.Worker}) })
}
