package instance

import (
	"context"
	"slices"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// Settings implements operatorapi.Backend.
func (b *backend) Settings(ctx context.Context, query operatorapi.SettingsQuery) (operatorapi.SettingsResponse, error) {
	number, tree := b.currentSettings()
	if query.Version != 0 && query.Version != number {
		loaded, err := b.settingsStore.Load(ctx, query.Version)
		if err != nil {
			return operatorapi.SettingsResponse{}, err
		}
		number, tree = query.Version, loaded
	}
	if tree == nil {
		return operatorapi.SettingsResponse{}, errs.New(errs.NotRun, "try again in a few seconds", "no settings are in force yet")
	}
	reply := operatorapi.SettingsResponse{Version: b.describeVersion(ctx, number, tree)}
	if query.Path == "" {
		reply.YAML = string(tree.Encode())
		return reply, nil
	}
	reply.Path, reply.Fields = query.Path, tree.ResolveFields(query.Path)
	if reply.Fields == nil {
		return reply, errs.New(errs.NotFound, "see mangodrum settings get", "no branch %q in the settings", query.Path)
	}
	return reply, nil
}

// describeVersion returns the version's metadata without its diff. If the
// store cannot be read, author and reason are missing.
func (b *backend) describeVersion(ctx context.Context, number uint64, tree *settings.Tree) settings.Version {
	version, err := b.settingsStore.Version(ctx, number)
	if err != nil {
		return settings.Version{Number: number, Hash: tree.Hash()}
	}
	version.Diff = nil
	return version
}

func (i *Instance) currentSettings() (uint64, *settings.Tree) {
	var number uint64
	var tree *settings.Tree
	i.readState(func(_ structs.Timestamp, state *core.State) { number, tree = state.Settings().Current() })
	return number, tree
}

// ApplySettings implements operatorapi.Backend.
func (b *backend) ApplySettings(ctx context.Context, request operatorapi.ApplyRequest) (operatorapi.ApplyResponse, error) {
	tree, err := b.requestedTree(ctx, request)
	if err != nil {
		return operatorapi.ApplyResponse{}, err
	}
	number, current := b.currentSettings()
	reply := operatorapi.ApplyResponse{DryRun: request.DryRun, Impact: b.impact(ctx, current, tree)}
	if request.DryRun {
		reply.Version = settings.Version{Number: number + 1, Base: number, Hash: tree.Hash()}
		return reply, nil
	}
	reply.Version, err = b.settingsStore.Commit(ctx, settings.Commit{
		Base: request.BaseVersion, Author: request.Author, Reason: request.Reason, ChangeID: request.ChangeID, Tree: tree,
	})
	if err == nil {
		b.announceVersion(reply.Version)
	}
	return reply, err
}

func (b *backend) requestedTree(ctx context.Context, request operatorapi.ApplyRequest) (*settings.Tree, error) {
	if request.RollbackTo != 0 {
		return b.settingsStore.Load(ctx, request.RollbackTo)
	}
	return settings.Decode("settings", []byte(request.YAML))
}

// impact returns the workloads that a settings change affects. It names the shards
// whose jobs cannot be listed.
func (b *backend) impact(ctx context.Context, old, next *settings.Tree) settings.Impact {
	var jobs []structs.Job
	var unknown []structs.ShardID
	for _, shard := range b.shards() {
		list, err := callShardOwner[[]operatorapi.JobStatus](ctx, b.Instance, shard, methodJobs, nil)
		if err != nil {
			unknown = append(unknown, shard)
			continue
		}
		for _, status := range list {
			jobs = append(jobs, status.Job)
		}
	}
	impact := settings.ImpactOf(old, next, jobs)
	impact.UnknownShards = unknown
	return impact
}

// SettingsHistory implements operatorapi.Backend.
func (b *backend) SettingsHistory(ctx context.Context, query operatorapi.HistoryQuery) (operatorapi.HistoryResponse, error) {
	limit := query.Limit
	if limit <= 0 {
		limit = defaultPageSize
	}
	versions, err := b.settingsStore.History(ctx, query.BeforeVersion, limit)
	return operatorapi.HistoryResponse{Versions: versions}, err
}

// SettingsStatus implements operatorapi.Backend.
func (b *backend) SettingsStatus(ctx context.Context) (operatorapi.SettingsStatus, error) {
	var status operatorapi.SettingsStatus
	b.readState(func(_ structs.Timestamp, state *core.State) {
		status.LatestKnownVersion = state.Settings().LatestKnownVersion()
	})
	list, err := b.Instances(ctx)
	if err != nil {
		return status, err
	}
	for _, instance := range list.Instances {
		status.LatestKnownVersion = max(status.LatestKnownVersion, instance.SettingsVersion)
		status.Instances = append(status.Instances, operatorapi.InstanceSettings{
			Instance: instance.Info.ID, Version: instance.SettingsVersion, Health: instance.Health, ReportedAt: b.now(),
		})
	}
	slices.SortFunc(status.Instances, func(a, b operatorapi.InstanceSettings) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return status, nil
}
