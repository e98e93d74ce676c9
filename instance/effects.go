package instance

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// tableTimeout leaves time to renew a shard's lease of 6 s once more.
	tableTimeout    = 2 * time.Second
	loadTimeout     = time.Minute
	snapshotTimeout = 30 * time.Second
	// truncateRows bounds how many journal rows one snapshot deletes.
	truncateRows = 1000
)

// perform carries out one effect. It never blocks: whatever waits runs in a
// goroutine of its own and posts its result.
func (i *Instance) perform(effect structs.Effect) {
	switch e := effect.(type) {
	case ownership.ReadRow, ownership.WriteRow:
		i.async(tableTimeout, func(ctx context.Context) {
			if event, ok := ownership.Execute(ctx, i.options.Table, e); ok {
				i.post(event)
			}
		})
	case core.JournalEffect:
		i.async(tableTimeout, func(ctx context.Context) {
			event := eventlog.Execute(ctx, i.options.Table, e.Effect)
			i.post(core.JournalEvent{Shard: e.Shard, Epoch: e.Epoch, Event: event})
		})
	case core.ShardEffect:
		i.performShard(e)
	case core.LoadShard:
		i.async(loadTimeout, func(ctx context.Context) { i.load(ctx, e) })
	case core.SaveSnapshot:
		i.async(snapshotTimeout, func(ctx context.Context) { i.saveSnapshot(ctx, e) })
	case core.PeersChanged:
		i.node.SetPeers(e.Peers)
	case core.NotifySuccessor:
		i.notifySuccessor(e)
	case core.SendCreditMessage:
		i.sendCredits(e)
	case core.ShardChanged:
		i.log.Info("shard changed", "shard", e.Shard, "epoch", e.Epoch, "phase", e.Phase)
	case membership.InstanceChanged:
		i.log.Info("instance changed", "instance", e.ID, "status", e.Status, "restarted", e.Restarted)
	default:
		i.performSettings(effect)
	}
}

// async runs f in a goroutine with a bounded context.
func (i *Instance) async(timeout time.Duration, f func(ctx context.Context)) {
	i.metrics.calls.Add(1)
	i.group.Go(func() {
		defer i.metrics.calls.Add(-1)
		ctx, cancel := context.WithTimeout(i.ctx, timeout)
		defer cancel()
		f(ctx)
	})
}

func (i *Instance) performShard(e core.ShardEffect) {
	switch effect := e.Effect.(type) {
	case scheduler.SendBatch:
		i.sendBatch(e.Shard, effect)
	case scheduler.Reply:
		i.replies.deliver(uint64(effect.Call), effect)
	case scheduler.WaitObserved:
		i.metrics.observeWait(effect.Team, effect.Class, effect.Wait)
		i.waits.observe(i.now(), e.Shard, effect.Class, effect.Wait)
	}
}

func (i *Instance) sendBatch(shard structs.ShardID, effect scheduler.SendBatch) {
	worker, ok := i.state.Worker(effect.Worker)
	if !ok {
		i.metrics.unknownWorkers.Inc()
		return
	}
	i.dispatcher.send(shard, worker, effect.Batch)
}

// workerAnswered posts the result of a call to a worker.
func (i *Instance) workerAnswered(
	shard structs.ShardID, worker structs.WorkerID, report provider.WorkerReport, err error,
) {
	if err != nil {
		i.metrics.workerErrors.Inc()
		i.post(core.ShardEvent{Shard: shard, Event: scheduler.WorkerUnreachable{Worker: worker}})
		return
	}
	i.reports.note(&report)
	i.post(core.ShardEvent{Shard: shard, Event: scheduler.WorkerReported{Report: report}})
}

func (i *Instance) journalStore() eventlog.Store {
	return eventlog.Store{Table: i.options.Table, Objects: i.options.Objects}
}

func (i *Instance) load(ctx context.Context, e core.LoadShard) {
	loaded, err := eventlog.Load(ctx, i.journalStore(), e.Shard)
	if err != nil && ctx.Err() == nil {
		i.log.Warn("shard cannot be loaded", "shard", e.Shard, "error", err)
	}
	for _, skipped := range loaded.SnapshotErrors {
		i.log.Warn("snapshot skipped", "shard", e.Shard, "error", skipped)
	}
	i.post(core.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Loaded: loaded, Err: err})
}

func (i *Instance) saveSnapshot(ctx context.Context, e core.SaveSnapshot) {
	err := eventlog.SaveSnapshot(ctx, i.journalStore(), e.EpochCondition, e.Snapshot)
	if err == nil {
		_, err = eventlog.Truncate(ctx, i.options.Table, e.EpochCondition, e.Snapshot.Shard, truncateRows)
		if !errs.Is(err, errs.Conflict) {
			err = nil // rows that stay are removed after the next snapshot
		}
	}
	i.post(core.SnapshotSaved{Shard: e.Snapshot.Shard, Epoch: e.Snapshot.Epoch, Err: err})
}

func (i *Instance) notifySuccessor(e core.NotifySuccessor) {
	body, err := peer.Encode(peer.HandOver{Shard: e.Shard})
	if err == nil {
		i.node.Send(e.To, peer.Message{Kind: peer.KindHandOver, Body: body})
	}
}
