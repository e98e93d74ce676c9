package instance

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"strings"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

// defaultPageSize is the number of entries of a list if the query has no limit.
const defaultPageSize = 500

// backend implements operatorapi.Backend. Calls that concern a shard are
// carried out by the instance that owns the shard.
type backend struct{ *Instance }

var _ operatorapi.Backend = (*backend)(nil)

// Version implements operatorapi.Backend.
func (b *backend) Version(context.Context) (operatorapi.VersionInfo, error) {
	info := operatorapi.VersionInfo{Version: BuildVersion(), Revision: buildRevision(), Go: runtime.Version(), Instance: b.options.Info.ID}
	b.readState(func(_ structs.Timestamp, state *core.State) { info.SettingsVersion, _ = state.Settings().Current() })
	return info, nil
}

// SubmitJob implements operatorapi.Backend.
func (b *backend) SubmitJob(ctx context.Context, job structs.Job) (operatorapi.JobStatus, error) {
	if err := operatorapi.CheckJob(job); err != nil {
		return operatorapi.JobStatus{}, err
	}
	var home structs.ShardID
	err := errStopped(b.options.Info.ID)
	b.readState(func(now structs.Timestamp, state *core.State) {
		job.Accepted = now
		home, err = state.ShardForJob(&job)
	})
	if err != nil {
		return operatorapi.JobStatus{}, err
	}
	return callShardOwner[operatorapi.JobStatus](ctx, b.Instance, home, methodSubmit, job)
}

func errStopped(id structs.InstanceID) error {
	return errs.New(errs.NotRun, "use another instance", "instance %s has stopped", id)
}

// Jobs implements operatorapi.Backend.
func (b *backend) Jobs(ctx context.Context, query operatorapi.JobQuery) (operatorapi.JobList, error) {
	all, err := collectFromShards[operatorapi.JobStatus](ctx, b.Instance, methodJobs)
	if err != nil {
		return operatorapi.JobList{}, err
	}
	all = slices.DeleteFunc(all, func(s operatorapi.JobStatus) bool { return !matchesQuery(query, s) })
	slices.SortFunc(all, func(a, b operatorapi.JobStatus) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	limit := query.Limit
	if limit <= 0 {
		limit = defaultPageSize
	}
	if len(all) <= limit {
		return operatorapi.JobList{Jobs: all}, nil
	}
	return operatorapi.JobList{Jobs: all[:limit], Next: all[limit-1].Job.ID}, nil
}

// matchesQuery reports whether a job matches all filters of the query. A team
// matches its subteams as well.
func matchesQuery(query operatorapi.JobQuery, s operatorapi.JobStatus) bool {
	switch {
	case s.Job.ID <= query.After && query.After != "":
		return false
	case query.Class != "" && s.Job.Class != query.Class:
		return false
	case query.ActiveOnly && s.Tasks.Pending+s.Tasks.Running+s.Tasks.Unknown == 0:
		return false
	}
	return query.Team == "" || s.Job.Team == query.Team ||
		strings.HasPrefix(string(s.Job.Team), strings.TrimSuffix(string(query.Team), "/")+"/")
}

// collectFromShards calls a method that returns a list at the owner of every
// shard and concatenates the lists. It fails if one of the calls fails.
func collectFromShards[T any](ctx context.Context, i *Instance, method string) ([]T, error) {
	var all []T
	for _, shard := range i.shards() {
		list, err := callShardOwner[[]T](ctx, i, shard, method, nil)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// callJobOwner carries out a method at the owner of the shard that has the
// job. It asks the owners of all shards in turn.
func callJobOwner[T any](ctx context.Context, b *backend, id structs.JobID, method string) (T, error) {
	var zero T
	err := errNoJob(id)
	for _, shard := range b.shards() {
		result, shardErr := callShardOwner[T](ctx, b.Instance, shard, method, id)
		if shardErr == nil {
			return result, nil
		}
		if !errs.Is(shardErr, errs.NotFound) {
			err = shardErr // the job may be in the shard whose call failed
		}
	}
	return zero, err
}

// Job implements operatorapi.Backend.
func (b *backend) Job(ctx context.Context, id structs.JobID) (operatorapi.JobDetail, error) {
	return callJobOwner[operatorapi.JobDetail](ctx, b, id, methodJob)
}

// CancelJob implements operatorapi.Backend.
func (b *backend) CancelJob(ctx context.Context, id structs.JobID) (operatorapi.JobStatus, error) {
	return callJobOwner[operatorapi.JobStatus](ctx, b, id, methodCancel)
}

// ExplainJob implements operatorapi.Backend.
func (b *backend) ExplainJob(ctx context.Context, id structs.JobID) (operatorapi.JobExplanation, error) {
	return callJobOwner[operatorapi.JobExplanation](ctx, b, id, methodExplain)
}

// Workers implements operatorapi.Backend.
func (b *backend) Workers(ctx context.Context) (operatorapi.WorkerList, error) {
	all, err := collectFromShards[operatorapi.WorkerStatus](ctx, b.Instance, methodWorkers)
	slices.SortFunc(all, func(a, b operatorapi.WorkerStatus) int { return cmp.Compare(a.Worker.ID, b.Worker.ID) })
	return operatorapi.WorkerList{Workers: all}, err
}

// ActOnWorker implements operatorapi.Backend.
func (b *backend) ActOnWorker(
	ctx context.Context, id structs.WorkerID, action operatorapi.WorkerAction,
) (operatorapi.WorkerStatus, error) {
	var worker structs.Worker
	found := false
	b.readState(func(_ structs.Timestamp, state *core.State) { worker, found = state.Worker(id) })
	if !found {
		return operatorapi.WorkerStatus{}, errNoWorker(id)
	}
	shard := structs.ShardID(worker.Location.Region)
	return callShardOwner[operatorapi.WorkerStatus](ctx, b.Instance, shard, methodActOnWorker, workerActionRequest{Worker: id, Action: action})
}

// Queues implements operatorapi.Backend.
func (b *backend) Queues(ctx context.Context) (operatorapi.QueueList, error) {
	all, err := collectFromShards[operatorapi.QueueStatus](ctx, b.Instance, methodQueues)
	if err != nil {
		return operatorapi.QueueList{}, err
	}
	waits, err := collectFromShards[classWaits](ctx, b.Instance, methodWaits)
	return operatorapi.QueueList{Queues: all, Classes: mergeWaits(waits), Store: b.storeStatus()}, err
}

func (b *backend) storeStatus() operatorapi.StoreHealth {
	down, since, lastErr := b.storeHealth.get()
	status := operatorapi.StoreHealth{Reachable: !down, LastError: lastErr, Since: structs.TimestampOf(since)}
	b.readState(func(_ structs.Timestamp, state *core.State) { status.PendingRecords = state.JournalBacklog() })
	return status
}

// Instances implements operatorapi.Backend.
func (b *backend) Instances(context.Context) (operatorapi.InstanceList, error) {
	var list operatorapi.InstanceList
	b.readState(func(_ structs.Timestamp, state *core.State) {
		list.Instances = append(list.Instances, b.selfStatus(state))
		for _, info := range state.Membership().Peers() {
			list.Instances = append(list.Instances, b.peerStatus(state, info))
		}
	})
	slices.SortFunc(list.Instances, func(a, b operatorapi.InstanceStatus) int { return cmp.Compare(a.Info.ID, b.Info.ID) })
	return list, nil
}

func (b *backend) selfStatus(state *core.State) operatorapi.InstanceStatus {
	version, _ := state.Settings().Current()
	status := operatorapi.InstanceStatus{
		Info: b.options.Info, Health: operatorapi.InstanceLive, Incarnation: b.incarnation,
		SettingsVersion: version, RequestsInFlight: b.gateway.Stats().Requests, Self: true, Draining: b.draining.Load(),
		Store: storeState(b.storeHealth.isHealthy()),
	}
	if status.Draining {
		status.Health = operatorapi.InstanceLeaving
	}
	for id := range state.OwnedEpochs() {
		status.Shards = append(status.Shards, id)
	}
	slices.Sort(status.Shards)
	return status
}

func (b *backend) peerStatus(state *core.State, info structs.InstanceInfo) operatorapi.InstanceStatus {
	heartbeat := b.peerHeartbeats.get(info.ID)
	status := operatorapi.InstanceStatus{
		Info: info, Health: healthOf(state.Membership().Status(info.ID)), Incarnation: heartbeat.Incarnation,
		SettingsVersion: heartbeat.SettingsVersion, RequestsInFlight: int(heartbeat.RequestsInFlight), Store: operatorapi.StoreUnknown,
	}
	if heartbeat.Incarnation != 0 {
		status.Store = storeState(heartbeat.StoreHealthy)
	}
	status.Draining = status.Health == operatorapi.InstanceLeaving
	for id := range heartbeat.Shards {
		status.Shards = append(status.Shards, id)
	}
	slices.Sort(status.Shards)
	return status
}

func storeState(healthy bool) operatorapi.StoreState {
	if healthy {
		return operatorapi.StoreReachable
	}
	return operatorapi.StoreUnreachable
}

func healthOf(status membership.Status) operatorapi.InstanceHealth {
	switch status {
	case membership.Live:
		return operatorapi.InstanceLive
	case membership.Leaving, membership.Drained:
		return operatorapi.InstanceLeaving
	case membership.Dead, membership.Gone:
		return operatorapi.InstanceDead
	}
	return operatorapi.InstanceSuspect
}

// DrainInstance implements operatorapi.Backend.
func (b *backend) DrainInstance(ctx context.Context, id structs.InstanceID) (operatorapi.InstanceStatus, error) {
	if id == b.options.Info.ID {
		return b.drainSelf()
	}
	return callPeer[operatorapi.InstanceStatus](ctx, b.Instance, id, methodDrain, "", nil)
}

// drainSelf starts the drain of this instance and returns its status.
func (i *Instance) drainSelf() (operatorapi.InstanceStatus, error) {
	i.requestStop()
	var status operatorapi.InstanceStatus
	i.readState(func(_ structs.Timestamp, state *core.State) { status = (&backend{i}).selfStatus(state) })
	status.Draining, status.Health = true, operatorapi.InstanceLeaving
	return status, nil
}
