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
	Tuning      Tuning
}

// Tuning shortens times and switches mechanisms off for tests under faults.
// Production code leaves it zero.
type Tuning struct {
	Horizon       time.Duration // of leases; the default of package ownership if zero
	SnapshotRows  uint64        // journal rows between two snapshots; 500 if zero
	Ownership     ownership.Defects
	Journal       eventlog.Defects
	IgnoreHorizon bool // a new owner does not wait for the previous horizon
}

// State is the state of one instance. It is not safe for concurrent use.
type State struct {
	cfg       Config
	members   *membership.State
	owners    *ownership.State // nil until the directory was read
	shardSet  []ownership.Shard
	shards    map[structs.ShardID]*shard // owned
	live      []structs.InstanceInfo     // last told to ownership
	peers     []structs.InstanceInfo     // last told to the shell
	directory DirectoryRead
	workers   map[structs.WorkerID]structs.Worker
	follower  *settings.Follower
	tree      *settings.Tree // in force
	draining  bool
}

// New returns the state of an instance that knows nothing yet.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		members:  membership.New(membership.Config{Self: cfg.Self, Incarnation: cfg.Incarnation}),
		shards:   map[structs.ShardID]*shard{},
		follower: settings.NewFollower(),
	}
}

// Reduce applies ev at now and returns the resulting effects.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	switch e := ev.(type) {
	case DirectoryRead:
		return s.directoryRead(now, e)
	case ShardLoaded:
		return s.onEpoch(e.Shard, e.Epoch, func(x *shard) []structs.Effect { return s.loaded(now, x, e) })
	case ToShard:
		return s.toShard(now, e)
	case ToJournal:
		return s.onEpoch(e.Shard, e.Epoch, func(x *shard) []structs.Effect { return s.journal(now, x, e.Event) })
	case SnapshotSaved:
		return s.onEpoch(e.Shard, e.Epoch, func(x *shard) []structs.Effect { return x.snapshotSaved(e) })
	case CreditsReceived:
		return s.creditsReceived(now, e)
	case Drain:
		return s.drain(now)
	case Tick:
		return s.tick(now)
	case ownership.RowRead, ownership.WriteEnded, ownership.HandOverReceived:
		return s.ownership(now, ev)
	case membership.HeartbeatReceived, membership.DirectoryListed, membership.SelfPhase:
		return s.membership(now, ev)
	}
	return s.follow(now, ev)
}

// Members returns this instance's view of the others.
func (s *State) Members() *membership.State { return s.members }

// Shards returns all shards of the cell in order.
func (s *State) Shards() []ownership.Shard { return s.shardSet }

// Owner returns the owner of a shard in this instance's view, or "".
func (s *State) Owner(id structs.ShardID) structs.InstanceID {
	if s.owners == nil {
		return ""
	}
	owner, _ := s.owners.Owner(id)
	return owner
}

// Standing tells what this process may do for a shard at now.
func (s *State) Standing(now structs.Timestamp, id structs.ShardID) ownership.Standing {
	if s.owners == nil {
		return ownership.NotOwner
	}
	return s.owners.Standing(now, id)
}

// OwnedEpochs returns the owned shards and their epochs.
func (s *State) OwnedEpochs() map[structs.ShardID]structs.Epoch {
	epochs := make(map[structs.ShardID]structs.Epoch, len(s.shards))
	for id, x := range s.shards {
		epochs[id] = x.epoch
	}
	return epochs
}

// Scheduler returns the scheduler of an owned shard that is running.
func (s *State) Scheduler(id structs.ShardID) (*scheduler.State, error) {
	x := s.shards[id]
	if x == nil || x.phase != PhaseRunning {
		return nil, errNotOwner(id)
	}
	return x.scheduler, nil
}

// Worker returns a worker of the directory.
func (s *State) Worker(id structs.WorkerID) (structs.Worker, bool) {
	worker, ok := s.workers[id]
	return worker, ok
}

// Directory returns the newest lists of the platform.
func (s *State) Directory() DirectoryRead { return s.directory }

func (s *State) membership(now structs.Timestamp, ev structs.Event) []structs.Effect {
	effects := s.members.Reduce(now, ev)
	if len(effects) > 0 {
		effects = append(effects, s.instancesGone(now, effects)...)
		effects = append(effects, s.follow(now, settings.PeersChanged{Reachable: s.reachablePeers()})...)
	}
	return append(effects, s.membersChanged(now)...)
}

// membersChanged passes a changed set of instances on.
func (s *State) membersChanged(now structs.Timestamp) []structs.Effect {
	var effects []structs.Effect
	if peers := s.members.Peers(); !slices.Equal(peers, s.peers) {
		s.peers = peers
		effects = append(effects, PeersChanged{Peers: peers})
	}
	if live := s.members.Live(); s.owners != nil && !slices.Equal(live, s.live) {
		s.live = live
		effects = append(effects, s.ownership(now, ownership.LiveChanged{Instances: live})...)
	}
	return effects
}

func (s *State) directoryRead(now structs.Timestamp, e DirectoryRead) []structs.Effect {
	e.Workers = s.keepAbsent(e.Workers)
	s.directory = e
	effects := s.membership(now, membership.DirectoryListed{Instances: e.Instances})
	if s.owners == nil && len(e.Workers) > 0 {
		s.shardSet = shardsOf(e.Workers)
		s.owners = ownership.New(ownership.Config{
			Self: s.cfg.Self, Incarnation: s.cfg.Incarnation, Shards: s.shardSet,
			Horizon: s.cfg.Tuning.Horizon, Defects: s.cfg.Tuning.Ownership,
		})
		effects = append(effects, s.membersChanged(now)...)
	} else if shards := shardsOf(e.Workers); len(shards) > len(s.shardSet) {
		// The first list lacked all workers of a region.
		s.shardSet = shards
		effects = append(effects, s.ownership(now, ownership.ShardsListed{Shards: shards})...)
	}
	for _, id := range s.ownedShards() {
		effects = append(effects, s.listWorkers(now, s.shards[id])...)
		effects = append(effects, s.listExecutors(now, s.shards[id])...)
	}
	return effects
}

// keepAbsent returns the listed workers and those that an earlier list had.
// A list can be wrong, and without an address the leases of the tasks on an
// absent worker could not be renewed; only the state gone ends a worker.
func (s *State) keepAbsent(listed []structs.Worker) []structs.Worker {
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

// shardsOf returns one shard for each region that has workers.
func shardsOf(workers []structs.Worker) []ownership.Shard {
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
	effects := s.membership(now, membership.Tick{})
	effects = append(effects, s.ownership(now, ownership.Tick{})...)
	effects = append(effects, s.follow(now, settings.Tick{})...)
	for _, id := range s.ownedShards() {
		effects = append(effects, s.tickShard(now, s.shards[id])...)
	}
	return effects
}

// drain hands all shards over once their journals are flushed; tickShard does
// the rest.
func (s *State) drain(now structs.Timestamp) []structs.Effect {
	s.draining = true
	return s.membership(now, membership.SelfPhase{Phase: membership.Leaving})
}

// IsDrained reports whether a drain has handed over all shards.
func (s *State) IsDrained() bool { return s.draining && len(s.shards) == 0 }

func (s *State) ownedShards() []structs.ShardID {
	ids := make([]structs.ShardID, 0, len(s.shards))
	for id := range s.shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// onEpoch calls f with the owned shard unless its epoch has ended.
func (s *State) onEpoch(id structs.ShardID, epoch structs.Epoch, f func(*shard) []structs.Effect) []structs.Effect {
	x := s.shards[id]
	if x == nil || x.epoch != epoch {
		return nil
	}
	return f(x)
}

func errNotOwner(id structs.ShardID) error {
	return errs.New(errs.NotRun, "try again in a few seconds", "this instance does not own shard %q", id)
}

// CheckServing returns an error that names a shard without an owner in this
// instance's view, or a shard that it owns and has not loaded; nil if there is
// none.
func (s *State) CheckServing() error {
	if len(s.shardSet) == 0 {
		return errs.New(errs.NotRun, "wait for the platform's directory", "instance %s knows no shards yet", s.cfg.Self.ID)
	}
	for _, listed := range s.shardSet {
		if s.Owner(listed.ID) == "" {
			return errs.New(errs.NotRun, "wait a few seconds", "instance %s knows no owner of shard %q", s.cfg.Self.ID, listed.ID)
		}
	}
	for id, x := range s.shards {
		if x.phase != PhaseRunning {
			return errs.New(errs.NotRun, "wait a few seconds", "shard %q is %s at instance %s", id, x.phase, s.cfg.Self.ID)
		}
	}
	return nil
}
