package instance

import (
	"context"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// Methods that instances call on each other. All but the last three concern
// one shard and are carried out by its owner.
const (
	methodSubmit      = "submit"
	methodCancel      = "cancel"
	methodJob         = "job"
	methodJobs        = "jobs"
	methodExplain     = "explain"
	methodWorkers     = "workers"
	methodActOnWorker = "act"
	methodQueues      = "queues"
	methodWaits       = "waits"
	methodVersions    = "versions"
	methodTree        = "tree"
	methodDrain       = "drain"
)

// workerActionRequest is the argument of methodAct.
type workerActionRequest struct {
	Worker structs.WorkerID         `cbor:"1,keyasint"`
	Action operatorapi.WorkerAction `cbor:"2,keyasint"`
}

// executeCall carries out a call of another instance, or of this one, and
// returns the encoded result.
func (i *Instance) executeCall(ctx context.Context, call peer.Call) ([]byte, error) {
	result, err := i.callMethod(ctx, call)
	if err != nil {
		return nil, err
	}
	return peer.Encode(result)
}

func (i *Instance) callMethod(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case methodSubmit:
		return withDecodedArgument(call, func(job structs.Job) (any, error) { return i.submit(ctx, call.Shard, job) })
	case methodCancel:
		return withDecodedArgument(call, func(id structs.JobID) (any, error) { return i.cancelJob(ctx, call.Shard, id) })
	case methodJob:
		return withDecodedArgument(call, func(id structs.JobID) (any, error) { return i.describeJob(call.Shard, id) })
	case methodJobs:
		return i.listJobs(call.Shard)
	case methodExplain:
		return withDecodedArgument(call, func(id structs.JobID) (any, error) { return i.explainJob(call.Shard, id) })
	case methodWorkers:
		return i.listWorkers(call.Shard)
	case methodActOnWorker:
		return withDecodedArgument(call, func(request workerActionRequest) (any, error) { return i.actOnWorker(ctx, call.Shard, request) })
	case methodQueues:
		return i.listQueues(call.Shard)
	case methodWaits:
		return i.listWaits(call.Shard)
	case methodVersions:
		return withDecodedArgument(call, func(after uint64) (any, error) { return i.versionsAfter(after) })
	case methodTree:
		return i.currentTree()
	case methodDrain:
		return i.drainSelf()
	}
	return nil, errs.New(errs.InvalidInput, "run the same version on all instances", "method %q does not exist", call.Method)
}

// withDecodedArgument decodes the argument of a call and passes it to run.
func withDecodedArgument[A any](call peer.Call, run func(A) (any, error)) (any, error) {
	var argument A
	if err := peer.Decode(call.Body, &argument); err != nil {
		return nil, err
	}
	return run(argument)
}

// callPeer calls a method at another instance and decodes the result.
func callPeer[T any](
	ctx context.Context, i *Instance, to structs.InstanceID, method string, shard structs.ShardID, argument any,
) (T, error) {
	var result T
	body, err := peer.Encode(argument)
	if err != nil {
		return result, err
	}
	reply, err := i.peerCalls.call(ctx, to, peer.Call{Method: method, Shard: shard, Body: body})
	if err != nil {
		return result, err
	}
	return result, peer.Decode(reply, &result)
}

// callShardOwner calls a method at the owner of a shard, which may be this
// instance.
func callShardOwner[T any](
	ctx context.Context, i *Instance, shard structs.ShardID, method string, argument any,
) (T, error) {
	var result T
	owner := i.ownerOf(shard)
	if owner == "" {
		return result, errs.New(errs.NotRun, "try again in a few seconds", "shard %q has no owner at the moment", shard)
	}
	if owner != i.options.Info.ID {
		return callPeer[T](ctx, i, owner, method, shard, argument)
	}
	body, err := peer.Encode(argument)
	if err != nil {
		return result, err
	}
	reply, err := i.executeCall(ctx, peer.Call{Method: method, Shard: shard, Body: body})
	if err != nil {
		return result, err
	}
	return result, peer.Decode(reply, &result)
}

func (i *Instance) ownerOf(shard structs.ShardID) structs.InstanceID {
	var owner structs.InstanceID
	i.readState(func(_ structs.Timestamp, state *core.State) { owner = state.Owner(shard) })
	return owner
}

// shards returns the identifiers of all shards of the cell.
func (i *Instance) shards() []structs.ShardID {
	var ids []structs.ShardID
	i.readState(func(_ structs.Timestamp, state *core.State) {
		for _, shard := range state.Shards() {
			ids = append(ids, shard.ID)
		}
	})
	return ids
}

// readScheduler runs f in the event loop with the scheduler of a shard. It
// fails if this instance does not own the shard.
func readScheduler[T any](
	i *Instance, shard structs.ShardID, f func(now structs.Timestamp, s *scheduler.State) (T, error),
) (T, error) {
	var result T
	err := errs.New(errs.NotRun, "use another instance", "instance %s has stopped", i.options.Info.ID)
	i.readState(func(now structs.Timestamp, state *core.State) {
		var s *scheduler.State
		if s, err = state.Scheduler(shard); err == nil {
			result, err = f(now, s)
		}
	})
	return result, err
}

// callScheduler sends an event to a shard's scheduler and waits until the
// resulting journal records are durable.
func (i *Instance) callScheduler(ctx context.Context, shard structs.ShardID, event func(scheduler.CallID) structs.Event) error {
	_, err := i.schedulerCalls.call(ctx, func(call scheduler.CallID) {
		i.post(core.ShardEvent{Shard: shard, Event: event(call)})
	})
	return err
}

func (i *Instance) submit(ctx context.Context, shard structs.ShardID, job structs.Job) (operatorapi.JobStatus, error) {
	err := i.callScheduler(ctx, shard, func(call scheduler.CallID) structs.Event {
		return scheduler.SubmitJob{Call: call, Job: job}
	})
	if err != nil {
		return operatorapi.JobStatus{}, err
	}
	return i.jobStatus(shard, job.ID)
}

func (i *Instance) cancelJob(ctx context.Context, shard structs.ShardID, id structs.JobID) (operatorapi.JobStatus, error) {
	err := i.callScheduler(ctx, shard, func(call scheduler.CallID) structs.Event {
		return scheduler.CancelJob{Call: call, Job: id}
	})
	if err != nil {
		return operatorapi.JobStatus{}, err
	}
	return i.jobStatus(shard, id)
}

func (i *Instance) actOnWorker(ctx context.Context, shard structs.ShardID, request workerActionRequest) (operatorapi.WorkerStatus, error) {
	err := i.callScheduler(ctx, shard, func(call scheduler.CallID) structs.Event {
		if request.Action == operatorapi.WorkerConfirmStopped {
			return scheduler.ConfirmStopped{Call: call, Worker: request.Worker}
		}
		return scheduler.DrainWorker{Call: call, Worker: request.Worker, Drain: request.Action == operatorapi.WorkerDrain}
	})
	if err != nil {
		return operatorapi.WorkerStatus{}, err
	}
	if request.Action == operatorapi.WorkerConfirmStopped {
		i.reports.removeWorker(request.Worker)
	}
	workers, err := i.listWorkers(shard)
	if err != nil {
		return operatorapi.WorkerStatus{}, err
	}
	for _, worker := range workers {
		if worker.Worker.ID == request.Worker {
			return worker, nil
		}
	}
	return operatorapi.WorkerStatus{}, errNoWorker(request.Worker)
}

func errNoWorker(id structs.WorkerID) error {
	return errs.New(errs.NotFound, "see mangodrum worker list", "worker %q does not exist", id)
}
