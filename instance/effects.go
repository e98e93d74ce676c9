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
	// tableTimeout leaves time for a second attempt to renew a shard's lease,
	// which lasts 6 s.
	tableTimeout    = 2 * time.Second
	loadTimeout     = time.Minute
	snapshotTimeout = 30 * time.Second
	// maxTruncatedRows bounds the journal rows that are deleted after one
	// snapshot.
	maxTruncatedRows = 1000
)

// performEffect carries out one effect of the reducer. It never blocks: an
// operation that can wait runs in its own goroutine and posts its result as an
// event.
func (i *Instance) performEffect(effect structs.Effect) {
	switch e := effect.(type) {
	case ownership.ReadRow, ownership.WriteRow:
		i.runAsync(tableTimeout, func(ctx context.Context) {
			if event, ok := ownership.Execute(ctx, i.options.Table, e); ok {
				i.post(event)
			}
		})
	case core.JournalEffect:
		i.runAsync(tableTimeout, func(ctx context.Context) {
			event := eventlog.Execute(ctx, i.options.Table, e.Effect)
			i.post(core.JournalEvent{Shard: e.Shard, Epoch: e.Epoch, Event: event})
		})
	case core.ShardEffect:
		i.performShardEffect(e)
	case core.LoadShard:
		i.runAsync(loadTimeout, func(ctx context.Context) { i.loadShard(ctx, e) })
	case core.SaveSnapshot:
		i.runAsync(snapshotTimeout, func(ctx context.Context) { i.saveSnapshot(ctx, e) })
	case core.PeersChanged:
		i.peerNode.SetPeers(e.Peers)
	case core.NotifySuccessor:
		i.notifySuccessor(e)
	case core.SendCreditMessage:
		i.sendCredits(e)
	case core.ShardChanged:
		i.log.Info("shard changed", "shard", e.Shard, "epoch", e.Epoch, "phase", e.Phase)
	case membership.InstanceChanged:
		i.log.Info("instance changed", "instance", e.ID, "status", e.Status, "restarted", e.Restarted)
	default:
		i.performSettingsEffect(effect)
	}
}

// runAsync runs f in a goroutine, with a context that ends after timeout or
// when the instance stops.
func (i *Instance) runAsync(timeout time.Duration, f func(ctx context.Context)) {
	i.metrics.effectsRunning.Add(1)
	i.group.Go(func() {
		defer i.metrics.effectsRunning.Add(-1)
		ctx, cancel := context.WithTimeout(i.ctx, timeout)
		defer cancel()
		f(ctx)
	})
}

// performShardEffect carries out an effect of a shard's scheduler.
func (i *Instance) performShardEffect(e core.ShardEffect) {
	switch effect := e.Effect.(type) {
	case scheduler.SendBatch:
		i.sendBatch(e.Shard, effect)
	case scheduler.Reply:
		i.schedulerCalls.deliver(uint64(effect.Call), effect)
	case scheduler.WaitObserved:
		i.metrics.observeWait(effect.Team, effect.Class, effect.Wait)
		i.waitTimes.observe(i.now(), e.Shard, effect.Class, effect.Wait)
	}
}

func (i *Instance) sendBatch(shard structs.ShardID, effect scheduler.SendBatch) {
	worker, ok := i.state.Worker(effect.Worker)
	if !ok {
		i.metrics.unknownWorkerBatches.Inc()
		return
	}
	i.dispatcher.send(shard, worker, effect.Batch)
}

// postWorkerResult passes the result of a call to a worker to the shard's
// scheduler.
func (i *Instance) postWorkerResult(
	shard structs.ShardID, worker structs.WorkerID, report provider.WorkerReport, err error,
) {
	if err != nil {
		i.metrics.workerCallErrors.Inc()
		i.post(core.ShardEvent{Shard: shard, Event: scheduler.WorkerUnreachable{Worker: worker}})
		return
	}
	i.reports.record(&report)
	i.post(core.ShardEvent{Shard: shard, Event: scheduler.WorkerReported{Report: report}})
}

func (i *Instance) journalStore() eventlog.Store {
	return eventlog.Store{Table: i.options.Table, Objects: i.options.Objects}
}

// loadShard reads a shard's state from the newest usable snapshot and the
// journal, and posts the result.
func (i *Instance) loadShard(ctx context.Context, e core.LoadShard) {
	loaded, err := eventlog.Load(ctx, i.journalStore(), e.Shard)
	if err != nil && ctx.Err() == nil {
		i.log.Warn("failed to load shard", "shard", e.Shard, "error", err)
	}
	for _, skipped := range loaded.SnapshotErrors {
		i.log.Warn("snapshot skipped", "shard", e.Shard, "error", skipped)
	}
	i.post(core.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Loaded: loaded, Err: err})
}

// saveSnapshot stores a snapshot of a shard and deletes the journal rows that
// it replaces.
func (i *Instance) saveSnapshot(ctx context.Context, e core.SaveSnapshot) {
	err := eventlog.SaveSnapshot(ctx, i.journalStore(), e.EpochCondition, e.Snapshot)
	if err == nil {
		_, err = eventlog.Truncate(ctx, i.options.Table, e.EpochCondition, e.Snapshot.Shard, maxTruncatedRows)
		if !errs.Is(err, errs.Conflict) {
			err = nil // remaining rows are deleted after the next snapshot
		}
	}
	i.post(core.SnapshotSaved{Shard: e.Snapshot.Shard, Epoch: e.Snapshot.Epoch, Err: err})
}

// notifySuccessor tells the next owner of a shard that it was handed over.
func (i *Instance) notifySuccessor(e core.NotifySuccessor) {
	body, err := peer.Encode(peer.HandOver{Shard: e.Shard})
	if err == nil {
		i.peerNode.Send(e.To, peer.Message{Kind: peer.KindHandOver, Body: body})
	}
}
