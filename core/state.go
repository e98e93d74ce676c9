package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// Config identifies the process.
type Config struct {
	Self        structs.InstanceInfo
	Incarnation uint64 // grows with every process of Self
	Seed        uint64
	TestOptions TestOptions
}

// TestOptions shortens intervals and disables safety mechanisms for fault tests.
// Production code leaves it zero.
type TestOptions struct {
	Horizon       time.Duration // horizon of shard leases; the default of package ownership if zero
	SnapshotRows  uint64        // journal rows between two snapshots; 500 if zero
	Ownership     ownership.InjectedFaults
	Journal       eventlog.InjectedFaults
	IgnoreHorizon bool // a new owner does not wait until the previous owner's horizon
}

// State is the state of one instance. It is not safe for concurrent use.
type State struct {
	cfg            Config
	members        *membership.State
	shardOwnership *ownership.State // nil until the directory has listed workers
	cellShards     []ownership.Shard
	owned          map[structs.ShardID]*shard // shards that this instance owns
	lastLive       []structs.InstanceInfo     // last passed to the ownership reducer
	lastPeers      []structs.InstanceInfo     // last reported by PeersChanged
	directory      DirectoryRead
	workers        map[structs.WorkerID]structs.Worker
	follower       *settings.Follower
	tree           *settings.Tree // settings in force; nil before the first version
	draining       bool
}

// New returns the initial state of an instance, without directory or settings.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		members:  membership.New(membership.Config{Self: cfg.Self, Incarnation: cfg.Incarnation}),
		owned:    map[structs.ShardID]*shard{},
		follower: settings.NewFollower(),
	}
}

// Reduce applies ev at now and returns the resulting effects.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	switch e := ev.(type) {
	case DirectoryRead:
		return s.directoryRead(now, e)
	case ShardLoaded:
		return s.ifEpochCurrent(e.Shard, e.Epoch, func(sh *shard) []structs.Effect { return s.shardLoaded(now, sh, e) })
	case ShardEvent:
		return s.deliverToShard(now, e)
	case JournalEvent:
		return s.ifEpochCurrent(e.Shard, e.Epoch, func(sh *shard) []structs.Effect { return s.reduceJournal(now, sh, e.Event) })
	case SnapshotSaved:
		return s.ifEpochCurrent(e.Shard, e.Epoch, func(sh *shard) []structs.Effect { return sh.snapshotSaved(e) })
	case CreditMessageReceived:
		return s.creditsReceived(now, e)
	case Drain:
		return s.drain(now)
	case Tick:
		return s.tick(now)
	case ownership.RowRead, ownership.WriteEnded, ownership.HandOverReceived:
		return s.reduceOwnership(now, ev)
	case membership.HeartbeatReceived, membership.InstancesListed, membership.SelfStatusChanged:
		return s.reduceMembership(now, ev)
	}
	return s.reduceSettings(now, ev)
}

// Membership returns this instance's view of the other instances.
func (s *State) Membership() *membership.State { return s.members }

// Shards returns all shards of the cell, sorted by identifier.
func (s *State) Shards() []ownership.Shard { return s.cellShards }

// Owner returns the owner of a shard in this instance's view, or "".
func (s *State) Owner(id structs.ShardID) structs.InstanceID {
	if s.shardOwnership == nil {
		return ""
	}
	owner, _ := s.shardOwnership.Owner(id)
	return owner
}

// OwnershipStatus returns what this process may do for a shard at now.
func (s *State) OwnershipStatus(now structs.Timestamp, id structs.ShardID) ownership.Status {
	if s.shardOwnership == nil {
		return ownership.NotOwner
	}
	return s.shardOwnership.Status(now, id)
}

// OwnedEpochs returns the owned shards and their epochs.
func (s *State) OwnedEpochs() map[structs.ShardID]structs.Epoch {
	epochs := make(map[structs.ShardID]structs.Epoch, len(s.owned))
	for id, sh := range s.owned {
		epochs[id] = sh.epoch
	}
	return epochs
}

// Scheduler returns the scheduler of an owned shard that is running.
func (s *State) Scheduler(id structs.ShardID) (*scheduler.State, error) {
	sh := s.owned[id]
	if sh == nil || sh.phase != PhaseRunning {
		return nil, errNotOwner(id)
	}
	return sh.scheduler, nil
}

// Worker returns a worker that the directory lists or has listed.
func (s *State) Worker(id structs.WorkerID) (structs.Worker, bool) {
	worker, ok := s.workers[id]
	return worker, ok
}

// Directory returns the latest content of the platform's directory.
func (s *State) Directory() DirectoryRead { return s.directory }

func (s *State) reduceMembership(now structs.Timestamp, ev structs.Event) []structs.Effect {
	effects := s.members.Reduce(now, ev)
	if len(effects) > 0 {
		effects = append(effects, s.instancesGone(now, effects)...)
		effects = append(effects, s.reduceSettings(now, settings.PeersChanged{Reachable: s.reachablePeers()})...)
	}
	return append(effects, s.membersChanged(now)...)
}

// membersChanged reports changes of the set of peers and of the set of live
// instances.
func (s *State) membersChanged(now structs.Timestamp) []structs.Effect {
	var effects []structs.Effect
	if peers := s.members.Peers(); !slices.Equal(peers, s.lastPeers) {
		s.lastPeers = peers
		effects = append(effects, PeersChanged{Peers: peers})
	}
	if live := s.members.Live(); s.shardOwnership != nil && !slices.Equal(live, s.lastLive) {
		s.lastLive = live
		effects = append(effects, s.reduceOwnership(now, ownership.LiveChanged{Instances: live})...)
	}
	return effects
}

func (s *State) directoryRead(now structs.Timestamp, e DirectoryRead) []structs.Effect {
	e.Workers = s.mergeListedWorkers(e.Workers)
	s.directory = e
	effects := s.reduceMembership(now, membership.InstancesListed{Instances: e.Instances})
	if s.shardOwnership == nil && len(e.Workers) > 0 {
		s.cellShards = shardsForWorkers(e.Workers)
		s.shardOwnership = ownership.New(ownership.Config{
			Self: s.cfg.Self, Incarnation: s.cfg.Incarnation, Shards: s.cellShards,
			Horizon: s.cfg.TestOptions.Horizon, InjectedFaults: s.cfg.TestOptions.Ownership,
		})
		effects = append(effects, s.membersChanged(now)...)
	} else if shards := shardsForWorkers(e.Workers); len(shards) > len(s.cellShards) {
		// Earlier lists contained no worker of some region.
		s.cellShards = shards
		effects = append(effects, s.reduceOwnership(now, ownership.ShardsListed{Shards: shards})...)
	}
	for _, id := range s.ownedShardIDs() {
		effects = append(effects, s.listWorkers(now, s.owned[id])...)
		effects = append(effects, s.listExecutors(now, s.owned[id])...)
	}
	return effects
}

// mergeListedWorkers returns the listed workers and those of earlier lists. A
// list can be incomplete, and the leases of the tasks on an absent worker can
// be renewed only if its address is kept. Only structs.Gone ends a worker.
func (s *State) mergeListedWorkers(listed []structs.Worker) []structs.Worker {
	if s.workers == nil {
		s.workers = make(map[structs.WorkerID]structs.Worker, len(listed))
	}
	for _, worker := range listed {
		s.workers[worker.ID] = worker
	}
	if len(s.workers) == len(listed) {
		return listed
	}
	all := make([]structs.Worker, 0, len(s.workers))
	for _, worker := range s.workers {
		all = append(all, worker)
	}
	slices.SortFunc(all, func(a, b structs.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// shardsForWorkers returns one shard for each region that has workers.
func shardsForWorkers(workers []structs.Worker) []ownership.Shard {
	seen := map[structs.Region]bool{}
	var shards []ownership.Shard
	for _, worker := range workers {
		region := worker.Location.Region
		if !seen[region] {
			seen[region] = true
			shards = append(shards, ownership.Shard{ID: structs.ShardID(region), Region: region})
		}
	}
	slices.SortFunc(shards, func(a, b ownership.Shard) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return shards
}

func (s *State) tick(now structs.Timestamp) []structs.Effect {
	effects := s.reduceMembership(now, membership.Tick{})
	effects = append(effects, s.reduceOwnership(now, ownership.Tick{})...)
	effects = append(effects, s.reduceSettings(now, settings.Tick{})...)
	for _, id := range s.ownedShardIDs() {
		effects = append(effects, s.tickShard(now, s.owned[id])...)
	}
	return effects
}

// drain marks this instance as leaving. From then on tickShard hands over each
// shard once its journal is flushed.
func (s *State) drain(now structs.Timestamp) []structs.Effect {
	s.draining = true
	return s.reduceMembership(now, membership.SelfStatusChanged{Status: membership.Leaving})
}

// IsDrained reports whether a drain has handed over all shards.
func (s *State) IsDrained() bool { return s.draining && len(s.owned) == 0 }

func (s *State) ownedShardIDs() []structs.ShardID {
	ids := make([]structs.ShardID, 0, len(s.owned))
	for id := range s.owned {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ifEpochCurrent calls f with the shard if this instance still owns it in epoch.
func (s *State) ifEpochCurrent(id structs.ShardID, epoch structs.Epoch, f func(*shard) []structs.Effect) []structs.Effect {
	sh := s.owned[id]
	if sh == nil || sh.epoch != epoch {
		return nil
	}
	return f(sh)
}

func errNotOwner(id structs.ShardID) error {
	return errs.New(errs.NotRun, "try again in a few seconds", "this instance does not own shard %q", id)
}

// CheckServing returns nil if every shard has an owner in this instance's view
// and all its own shards are running. Otherwise the error names a shard.
func (s *State) CheckServing() error {
	if len(s.cellShards) == 0 {
		return errs.New(errs.NotRun, "wait for the platform's directory", "instance %s has not received the list of shards yet", s.cfg.Self.ID)
	}
	for _, listed := range s.cellShards {
		if s.Owner(listed.ID) == "" {
			return errs.New(errs.NotRun, "wait a few seconds", "instance %s sees no owner of shard %q", s.cfg.Self.ID, listed.ID)
		}
	}
	for id, sh := range s.owned {
		if sh.phase != PhaseRunning {
			return errs.New(errs.NotRun, "wait a few seconds", "shard %q is %s at instance %s", id, sh.phase, s.cfg.Self.ID)
		}
	}
	return nil
}
