package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	workerCallTimeout = 2 * time.Second
	// maxWorkerCalls bounds the calls to workers at one time, so that many
	// unreachable workers do not hold a connection each.
	maxWorkerCalls = 64
)

// dispatcher sends batches to workers: one call at a time for each worker, in
// order, and several workers at once. Batches that wait are merged.
type dispatcher struct {
	ctx     context.Context
	workers provider.Workers
	done    func(structs.ShardID, structs.WorkerID, provider.WorkerReport, error)
	slots   chan struct{}
	group   conc.WaitGroup

	mu      sync.Mutex
	pending map[structs.WorkerID]*workerQueue
}

type workerQueue struct {
	shard  structs.ShardID
	worker structs.Worker
	batch  provider.WorkerBatch
	queued bool // batch holds something to send
}

func newDispatcher(
	ctx context.Context,
	workers provider.Workers,
	done func(structs.ShardID, structs.WorkerID, provider.WorkerReport, error),
) *dispatcher {
	return &dispatcher{
		ctx:     ctx,
		workers: workers,
		done:    done,
		slots:   make(chan struct{}, maxWorkerCalls),
		pending: map[structs.WorkerID]*workerQueue{},
	}
}

// send queues batch for worker.
func (d *dispatcher) send(shard structs.ShardID, worker structs.Worker, batch provider.WorkerBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.pending[worker.ID]
	if queue != nil {
		queue.worker = worker
		queue.batch = mergeBatches(queue.batch, batch)
		queue.queued = true
		return
	}
	queue = &workerQueue{shard: shard, worker: worker, batch: batch, queued: true}
	d.pending[worker.ID] = queue
	d.group.Go(func() { d.drain(queue) })
}

// drain sends the worker's batches until none is queued.
func (d *dispatcher) drain(queue *workerQueue) {
	for {
		worker, batch, ok := d.take(queue)
		if !ok {
			return
		}
		d.slots <- struct{}{}
		ctx, cancel := context.WithTimeout(d.ctx, workerCallTimeout)
		report, err := d.workers.Do(ctx, worker, batch)
		cancel()
		<-d.slots
		d.done(queue.shard, worker.ID, report, err)
	}
}

func (d *dispatcher) take(queue *workerQueue) (structs.Worker, provider.WorkerBatch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !queue.queued || d.ctx.Err() != nil {
		delete(d.pending, queue.worker.ID)
		return structs.Worker{}, provider.WorkerBatch{}, false
	}
	batch := queue.batch
	queue.batch, queue.queued = provider.WorkerBatch{}, false
	return queue.worker, batch, true
}

func mergeBatches(a, b provider.WorkerBatch) provider.WorkerBatch {
	return provider.WorkerBatch{
		Starts:      append(a.Starts, b.Starts...),
		Renewals:    append(a.Renewals, b.Renewals...),
		Stops:       append(a.Stops, b.Stops...),
		Throttles:   append(a.Throttles, b.Throttles...),
		Checkpoints: append(a.Checkpoints, b.Checkpoints...),
		Acks:        append(a.Acks, b.Acks...),
	}
}

// wait returns when no call runs.
func (d *dispatcher) wait() { d.group.Wait() }
