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

// node is a simulated instance. Each start of its process gets the next
// incarnation.
type node struct {
	sim           *sim
	info          structs.InstanceInfo
	skew          time.Duration
	up            bool
	draining      bool
	incarnation   uint64
	pausedUntil   structs.Timestamp
	state         *core.State
	listedWorkers map[structs.WorkerID]bool // workers that at least one directory list contained
}

func (n *node) clock() structs.Timestamp { return n.sim.Now.Add(n.skew) }
func (n *node) name() string             { return processName(n.info.ID, n.incarnation) }

func (n *node) startProcess() {
	n.up, n.draining, n.pausedUntil = true, false, 0
	n.incarnation++
	n.listedWorkers = map[structs.WorkerID]bool{}
	n.state = core.New(core.Config{Self: n.info, Incarnation: n.incarnation, Seed: n.incarnation, TestOptions: n.sim.opts.TestOptions})
	n.reduce(settings.TreeReceived{Number: 1, Hash: n.sim.tree.Hash(), Tree: n.sim.tree})
	n.every(time.Second, n.sendHeartbeat)
	n.every(time.Second, n.readDirectory)
	n.every(50*time.Millisecond, func() { n.reduce(core.Tick{}) })
}

// every runs step at intervals of d until the process ends. The first run comes
// after a random part of d.
func (n *node) every(d time.Duration, step func()) {
	incarnation := n.incarnation
	var next func()
	next = func() {
		step()
		n.sim.After(d, func() { n.sim.deliver(n, incarnation, next) })
	}
	n.sim.After(n.sim.Random(d), func() { n.sim.deliver(n, incarnation, next) })
}

func (n *node) sendHeartbeat() {
	heartbeat := membership.HeartbeatReceived{From: n.info.ID, Incarnation: n.incarnation, At: n.clock(), Info: &n.info}
	if n.draining {
		heartbeat.Status = membership.Leaving
	}
	for _, peer := range n.sim.nodes {
		if peer != n {
			n.sim.Message(func() { n.sim.deliver(peer, peer.incarnation, func() { peer.reduce(heartbeat) }) })
		}
	}
}

// readDirectory passes a directory list to the reducer. While the directory is
// wrong, half of the entries are missing.
func (n *node) readDirectory() {
	var list core.DirectoryRead
	omitted := func() bool { return n.sim.activeFaults[directoryWrong] > 0 && n.sim.Rand.IntN(2) == 0 }
	for _, w := range n.sim.workerList {
		if !omitted() {
			n.listedWorkers[w.Info.ID] = true
			list.Workers = append(list.Workers, w.Info)
		}
	}
	for _, peer := range n.sim.nodes {
		if !omitted() {
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
		n.callStore(effect, func(kind errs.Kind) structs.Event { return ownership.RowRead{Shard: e.Shard, ErrKind: kind} })
	case ownership.WriteRow:
		n.callStore(effect, func(kind errs.Kind) structs.Event { return ownership.WriteEnded{Shard: e.Shard, ErrKind: kind} })
	case core.JournalEffect:
		n.callStore(effect, func(kind errs.Kind) structs.Event {
			return core.JournalEvent{Shard: e.Shard, Epoch: e.Epoch, Event: journalFailure(e.Effect, kind)}
		})
	case core.LoadShard:
		n.callStore(effect, func(kind errs.Kind) structs.Event {
			return core.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Err: errs.New(kind, "", "no answer")}
		})
	case core.SaveSnapshot:
		n.callStore(effect, func(kind errs.Kind) structs.Event {
			return core.SnapshotSaved{Shard: e.Snapshot.Shard, Epoch: e.Snapshot.Epoch, Err: errs.New(kind, "", "no answer")}
		})
	case core.ShardEffect:
		n.performShard(e)
	case core.NotifySuccessor:
		for _, peer := range n.sim.nodes {
			if peer.info.ID == e.To {
				n.sim.Message(func() {
					n.sim.deliver(peer, peer.incarnation, func() { peer.reduce(ownership.HandOverReceived{Shard: e.Shard}) })
				})
			}
		}
	case core.ShardChanged:
		n.sim.recordOwner(e.Shard, e.Epoch, n.name())
	}
}

func journalFailure(effect structs.Effect, kind errs.Kind) structs.Event {
	if _, ok := effect.(eventlog.ReadRow); ok {
		return eventlog.ReadBack{ErrKind: kind}
	}
	return eventlog.CommitEnded{ErrKind: kind}
}

// callStore carries out an effect at the store and reduces the result, or the
// event that failed returns for an error.
func (n *node) callStore(effect structs.Effect, failed func(errs.Kind) structs.Event) {
	incarnation := n.incarnation
	var result structs.Event
	var reads uint64
	n.sim.Call(func() {
		_, before := n.sim.store.Counts()
		result = n.execute(effect)
		_, after := n.sim.store.Counts()
		reads = after - before
	}, func(kind errs.Kind) {
		if kind != "" {
			result = failed(kind)
		}
		done := func() { n.sim.deliver(n, incarnation, func() { n.reduce(result) }) }
		if _, isLoad := result.(core.ShardLoaded); isLoad {
			n.sim.After(time.Duration(reads)*readTime, done)
			return
		}
		done()
	})
}

// readTime is the duration of each read while a shard is loaded page by page.
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
		// Check now: before the reply arrives, another process may take over
		// and acknowledge more jobs.
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

// observe records the durable task starts of a committed row and fails if the
// row was written in an epoch that has ended.
func (n *node) observe(e core.JournalEffect, ev structs.Event) {
	ended, ok := ev.(eventlog.CommitEnded)
	if !ok || ended.ErrKind != "" {
		return
	}
	row, err := eventlog.DecodeRow(e.Effect.(eventlog.CommitRow).Value)
	if epoch := n.sim.epochs[e.Shard]; err != nil || uint64(row.Epoch) != epoch {
		n.sim.fail("row %d of %s written by the owner of epoch %d during epoch %d (%v)", row.Row, e.Shard, row.Epoch, epoch, err)
	}
	for _, payload := range row.Payloads {
		for _, record := range n.sim.decode(payload) {
			if start := record.TaskStarted; start != nil {
				n.sim.durableStarts[provider.AttemptRef{Task: start.Task, Attempt: start.Attempt}] = true
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

// checkRecovery restores a separate scheduler from the loaded state and checks
// it against the replies that clients received.
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

// callWorker sends a batch to its worker and delivers the report, or a failure
// if no report arrives within a second.
func (n *node) callWorker(shard structs.ShardID, e scheduler.SendBatch) {
	s, incarnation, pending := n.sim, n.incarnation, true
	deliverResult := func(ev structs.Event) {
		s.deliver(n, incarnation, func() {
			if pending {
				pending = false
				n.reduce(core.ShardEvent{Shard: shard, Event: ev})
			}
		})
	}
	w := s.workers[e.Worker]
	if _, known := n.state.Worker(e.Worker); !known {
		if n.listedWorkers[e.Worker] {
			s.fail("%s forgot worker %s because it was missing from a directory list", n.name(), e.Worker)
		}
		return
	}
	s.Message(func() {
		if w.dead || s.Now < w.unreachableUntil {
			return
		}
		report := w.Do(s.Now.Add(w.skew), e.Batch)
		w.lastCaller = n.name()
		s.checkWorkers(w, e.Batch.Starts)
		s.Message(func() { deliverResult(scheduler.WorkerReported{Report: report}) })
	})
	s.After(time.Second, func() { deliverResult(scheduler.WorkerUnreachable{Worker: e.Worker}) })
}
