package core

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// defaultSnapshotRows is the number of journal rows between two snapshots.
// Replaying that many rows takes well under a second.
const defaultSnapshotRows = 500

// moveDelay is how long another instance must be the preferred owner before the
// shard moves to it. It exceeds the time until a dead instance is detected, so
// that an instance in a restart loop receives no shards.
const moveDelay = 10 * time.Second

// handOverFlushTimeout is how long a hand-over waits until the journal is
// flushed. It is well below the duration of a task lease.
const handOverFlushTimeout = 5 * time.Second

// Phase is the lifecycle phase of a shard at an instance.
type Phase string

// Phases of a shard.
const (
	PhaseLoading Phase = "loading" // owned; its journal is being read
	PhaseRunning Phase = "running"
	PhaseFenced  Phase = "fenced" // another epoch owns the shard; no events are processed
	PhaseLost    Phase = "lost"
)

// shard is the state of a shard that this instance owns.
type shard struct {
	id              structs.ShardID
	region          structs.Region
	epoch           structs.Epoch
	phase           Phase
	previousHorizon structs.Timestamp
	horizon         structs.Timestamp
	retryLoad       bool // the last load failed; repeat it at the next tick

	scheduler *scheduler.State
	journal   *eventlog.State
	ledger    *credits.Ledger

	// preferredOwner is another instance that should own the shard, and
	// preferredSince the time since when; empty if this instance should own it.
	preferredOwner structs.InstanceID
	preferredSince structs.Timestamp
	handOverSince  structs.Timestamp // start of a hand-over; 0 if there is none

	snapshotRows    uint64
	lastSnapshotRow uint64
	pendingSnapshot *eventlog.Snapshot // taken but not stored; waits until its records are committed
	savingSnapshot  bool
}

// reduceOwnership passes an event to the ownership reducer and handles the
// effects that concern the state of shards.
func (s *State) reduceOwnership(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if s.shardOwnership == nil {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range s.shardOwnership.Reduce(now, ev) {
		switch e := effect.(type) {
		case ownership.Acquired:
			effects = append(effects, s.shardAcquired(e)...)
		case ownership.Lost:
			effects = append(effects, s.shardLost(e)...)
		case ownership.HorizonExtended:
			effects = append(effects, s.horizonExtended(now, e)...)
		default:
			effects = append(effects, effect)
		}
	}
	return effects
}

func (s *State) shardAcquired(e ownership.Acquired) []structs.Effect {
	sh := &shard{id: e.Shard, epoch: e.Epoch, phase: PhaseLoading, previousHorizon: e.PreviousHorizon, snapshotRows: defaultSnapshotRows}
	if s.cfg.TestOptions.SnapshotRows > 0 {
		sh.snapshotRows = s.cfg.TestOptions.SnapshotRows
	}
	if s.cfg.TestOptions.IgnoreHorizon {
		sh.previousHorizon = 0
	}
	for _, listed := range s.cellShards {
		if listed.ID == e.Shard {
			sh.region = listed.Region
		}
	}
	s.owned[e.Shard] = sh
	return []structs.Effect{
		ShardChanged{Shard: e.Shard, Epoch: e.Epoch, Phase: PhaseLoading},
		LoadShard{Shard: e.Shard, Epoch: e.Epoch},
	}
}

func (s *State) shardLost(e ownership.Lost) []structs.Effect {
	if sh := s.owned[e.Shard]; sh == nil || sh.epoch != e.Epoch {
		return nil
	}
	delete(s.owned, e.Shard)
	return []structs.Effect{ShardChanged{Shard: e.Shard, Epoch: e.Epoch, Phase: PhaseLost}}
}

func (s *State) horizonExtended(now structs.Timestamp, e ownership.HorizonExtended) []structs.Effect {
	sh := s.owned[e.Shard]
	if sh == nil {
		return nil
	}
	sh.horizon = e.Until
	return s.reduceScheduler(now, sh, scheduler.HorizonExtended{Until: e.Until})
}

// shardLoaded starts the scheduler, journal and ledger of an acquired shard from
// its durable state. After an error the load is repeated.
func (s *State) shardLoaded(now structs.Timestamp, sh *shard, e ShardLoaded) []structs.Effect {
	if sh.phase != PhaseLoading {
		return nil
	}
	state, err := s.restoreScheduler(sh, e)
	if err != nil {
		sh.retryLoad = true
		return nil
	}
	sh.scheduler = state
	sh.journal = eventlog.New(eventlog.Config{
		Shard: sh.id, Epoch: sh.epoch, EpochCondition: ownership.EpochCondition(sh.id, sh.epoch),
		NextRow: e.Loaded.NextRow, Seed: s.cfg.Seed, InjectedFaults: s.cfg.TestOptions.Journal,
	})
	sh.phase = PhaseRunning
	sh.lastSnapshotRow = e.Loaded.NextRow
	effects := []structs.Effect{ShardChanged{Shard: sh.id, Epoch: sh.epoch, Phase: PhaseRunning}}
	effects = append(effects, s.listWorkers(now, sh)...)
	return append(effects, s.startLedger(now, sh)...)
}

func (s *State) restoreScheduler(sh *shard, e ShardLoaded) (*scheduler.State, error) {
	if e.Err != nil {
		return nil, e.Err
	}
	var records []scheduler.Record
	for _, entry := range e.Loaded.Entries {
		var batch []scheduler.Record
		if err := cbor.Unmarshal(entry.Payload, &batch); err != nil {
			return nil, errs.Wrap(err, errs.Failed, "see docs/recovery.md", "decode %s of shard %q", entry, sh.id)
		}
		records = append(records, batch...)
	}
	return scheduler.Restore(scheduler.Config{
		Shard: sh.id, Epoch: sh.epoch, Policy: s.policyOf(sh),
		Horizon: sh.horizon, PreviousHorizon: sh.previousHorizon,
	}, e.Loaded.Snapshot, records)
}

// listWorkers passes the workers of the shard's region to its scheduler.
func (s *State) listWorkers(now structs.Timestamp, sh *shard) []structs.Effect {
	var workers []structs.Worker
	for _, worker := range s.directory.Workers {
		if worker.Location.Region == sh.region {
			workers = append(workers, worker)
		}
	}
	return s.reduceScheduler(now, sh, scheduler.WorkersListed{Workers: workers})
}

// deliverToShard delivers an external event to the scheduler of a shard. Calls
// to a shard that cannot accept them are rejected immediately.
func (s *State) deliverToShard(now structs.Timestamp, e ShardEvent) []structs.Effect {
	sh := s.owned[e.Shard]
	call, isCall := callID(e.Event)
	switch {
	case sh == nil && isCall:
		return rejectCall(e.Shard, 0, call, errNotOwner(e.Shard))
	case sh == nil:
		return nil
	case isCall && (sh.phase != PhaseRunning || sh.handOverSince != 0 || s.draining):
		return rejectCall(sh.id, sh.epoch, call, errs.New(errs.NotRun, "try again in a few seconds",
			"shard %q is %s or being handed over to another instance", sh.id, sh.phase))
	case isCall && s.shardOwnership.Status(now, sh.id) != ownership.Owner:
		return rejectCall(sh.id, sh.epoch, call, errs.New(errs.NotRun, "try again when the platform's table is available again",
			"the owner of shard %q cannot renew its lease, so no records can be committed", sh.id))
	}
	if submit, ok := e.Event.(scheduler.SubmitJob); ok {
		job, err := s.applyTeamDefaults(now, sh, submit.Job)
		if err != nil {
			return rejectCall(sh.id, sh.epoch, call, err)
		}
		e.Event = scheduler.SubmitJob{Call: call, Job: job}
	}
	return s.reduceScheduler(now, sh, e.Event)
}

// callID returns the identifier of the call that an event makes, if it is one.
func callID(ev structs.Event) (scheduler.CallID, bool) {
	switch e := ev.(type) {
	case scheduler.SubmitJob:
		return e.Call, true
	case scheduler.CancelJob:
		return e.Call, true
	case scheduler.DrainWorker:
		return e.Call, true
	case scheduler.ConfirmStopped:
		return e.Call, true
	}
	return 0, false
}

func rejectCall(id structs.ShardID, epoch structs.Epoch, call scheduler.CallID, err error) []structs.Effect {
	return []structs.Effect{ShardEffect{Shard: id, Epoch: epoch, Effect: scheduler.Reply{Call: call, Err: err}}}
}

// reduceScheduler passes an event to the shard's scheduler and appends the
// resulting records to the journal.
func (s *State) reduceScheduler(now structs.Timestamp, sh *shard, ev structs.Event) []structs.Effect {
	if sh.phase != PhaseRunning || s.shardOwnership.Status(now, sh.id) == ownership.NotOwner {
		return nil
	}
	if _, committed := ev.(scheduler.Committed); sh.handOverSince != 0 && !committed {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range sh.scheduler.Reduce(now, ev) {
		appended, ok := effect.(scheduler.Append)
		if !ok {
			effects = append(effects, ShardEffect{Shard: sh.id, Epoch: sh.epoch, Effect: effect})
			continue
		}
		payload, err := cbor.Marshal(appended.Records)
		if err != nil {
			return append(effects, s.fence(sh)...)
		}
		effects = append(effects, s.reduceJournal(now, sh, eventlog.Append{Sequence: appended.Sequence, Payload: payload})...)
	}
	return effects
}

// reduceJournal passes an event to the shard's journal and reports commits to
// the scheduler.
func (s *State) reduceJournal(now structs.Timestamp, sh *shard, ev structs.Event) []structs.Effect {
	if sh.phase != PhaseRunning {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range sh.journal.Reduce(now, ev) {
		switch e := effect.(type) {
		case eventlog.Committed:
			effects = append(effects, s.reduceScheduler(now, sh, scheduler.Committed{Sequence: e.Sequence})...)
			effects = append(effects, sh.saveSnapshotIfDue(e)...)
		case eventlog.Fenced:
			effects = append(effects, s.fence(sh)...)
		default:
			effects = append(effects, JournalEffect{Shard: sh.id, Epoch: sh.epoch, Effect: effect})
		}
	}
	return effects
}

// fence stops a shard whose records can no longer become durable. The ownership
// reducer detects the new epoch itself and then emits Lost.
func (s *State) fence(sh *shard) []structs.Effect {
	sh.phase = PhaseFenced
	return []structs.Effect{ShardChanged{Shard: sh.id, Epoch: sh.epoch, Phase: PhaseFenced}}
}

func (s *State) tickShard(now structs.Timestamp, sh *shard) []structs.Effect {
	if sh.phase == PhaseLoading && sh.retryLoad {
		sh.retryLoad = false
		return []structs.Effect{LoadShard{Shard: sh.id, Epoch: sh.epoch}}
	}
	if s.draining || s.shouldMove(now, sh) {
		return s.handOver(now, sh)
	}
	sh.handOverSince = 0
	effects := s.reduceScheduler(now, sh, scheduler.Tick{})
	effects = append(effects, s.reduceJournal(now, sh, eventlog.FlushDue{})...)
	return append(effects, s.tickLedger(now, sh)...)
}

// shouldMove reports whether another instance has been the preferred owner for
// at least moveDelay, for example one in the shard's region that has recovered.
func (s *State) shouldMove(now structs.Timestamp, sh *shard) bool {
	to := s.shardOwnership.Preferred(sh.id)
	if sh.phase != PhaseRunning || to == "" || to == s.cfg.Self.ID {
		sh.preferredOwner = ""
		return false
	}
	if to != sh.preferredOwner {
		sh.preferredOwner, sh.preferredSince = to, now
	}
	return now.Sub(sh.preferredSince) >= moveDelay
}

// handOver transfers the shard to its preferred owner once its journal is
// flushed. Until then the scheduler processes only commits. If the journal is
// not flushed within handOverFlushTimeout, the hand-over is cancelled, because
// task leases lapse while the scheduler does not renew them.
func (s *State) handOver(now structs.Timestamp, sh *shard) []structs.Effect {
	if sh.handOverSince == 0 {
		sh.handOverSince = now
	}
	if sh.phase == PhaseRunning {
		if pending, _ := sh.journal.Backlog(); pending > 0 {
			if now.Sub(sh.handOverSince) > handOverFlushTimeout {
				sh.handOverSince, sh.preferredSince = 0, now
			}
			return s.reduceJournal(now, sh, eventlog.FlushDue{})
		}
	}
	to := s.shardOwnership.Preferred(sh.id)
	effects := s.reduceOwnership(now, ownership.HandOver{Shard: sh.id, To: to})
	return append(effects, NotifySuccessor{Shard: sh.id, To: to})
}
