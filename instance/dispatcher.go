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
	// maxWorkerCalls bounds the concurrent calls to workers. Without a bound,
	// every unreachable worker would occupy a connection.
	maxWorkerCalls = 64
)

// workerDispatcher sends batches of commands to workers. Calls to one worker
// are made one at a time and in order; calls to different workers run
// concurrently. Batches that are queued during a call are merged into one.
type workerDispatcher struct {
	ctx       context.Context
	workers   provider.Workers
	onResult  func(structs.ShardID, structs.WorkerID, provider.WorkerReport, error)
	callSlots chan struct{}
	group     conc.WaitGroup

	mu     sync.Mutex
	queues map[structs.WorkerID]*workerQueue
}

// workerQueue is the queue of one worker. It exists while a goroutine sends
// the worker's batches.
type workerQueue struct {
	shard    structs.ShardID
	worker   structs.Worker
	batch    provider.WorkerBatch
	hasBatch bool // batch is to be sent
}

func newWorkerDispatcher(
	ctx context.Context,
	workers provider.Workers,
	onResult func(structs.ShardID, structs.WorkerID, provider.WorkerReport, error),
) *workerDispatcher {
	return &workerDispatcher{
		ctx:       ctx,
		workers:   workers,
		onResult:  onResult,
		callSlots: make(chan struct{}, maxWorkerCalls),
		queues:    map[structs.WorkerID]*workerQueue{},
	}
}

// send queues a batch for a worker and starts a goroutine that sends it, unless
// one already runs for this worker.
func (d *workerDispatcher) send(shard structs.ShardID, worker structs.Worker, batch provider.WorkerBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queues[worker.ID]
	if queue != nil {
		queue.worker = worker
		queue.batch = mergeBatches(queue.batch, batch)
		queue.hasBatch = true
		return
	}
	queue = &workerQueue{shard: shard, worker: worker, batch: batch, hasBatch: true}
	d.queues[worker.ID] = queue
	d.group.Go(func() { d.sendQueued(queue) })
}

// sendQueued sends the worker's queued batches until the queue is empty.
func (d *workerDispatcher) sendQueued(queue *workerQueue) {
	for {
		worker, batch, ok := d.nextBatch(queue)
		if !ok {
			return
		}
		d.callSlots <- struct{}{}
		ctx, cancel := context.WithTimeout(d.ctx, workerCallTimeout)
		report, err := d.workers.Do(ctx, worker, batch)
		cancel()
		<-d.callSlots
		d.onResult(queue.shard, worker.ID, report, err)
	}
}

// nextBatch takes the queued batch. If there is none or the context has ended,
// it deletes the queue and returns false.
func (d *workerDispatcher) nextBatch(queue *workerQueue) (structs.Worker, provider.WorkerBatch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !queue.hasBatch || d.ctx.Err() != nil {
		delete(d.queues, queue.worker.ID)
		return structs.Worker{}, provider.WorkerBatch{}, false
	}
	batch := queue.batch
	queue.batch, queue.hasBatch = provider.WorkerBatch{}, false
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

// wait returns when all calls have ended.
func (d *workerDispatcher) wait() { d.group.Wait() }
