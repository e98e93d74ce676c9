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

// snapshotRows is how many journal rows are written between two snapshots:
// replay of that many rows takes well under a second.
const snapshotRows = 500

// moveDelay is how long another instance must be the better owner before the
// shard moves to it. It exceeds the time in which a dead instance is noticed,
// so that an instance that restarts again and again gets no shards.
const moveDelay = 10 * time.Second

// flushPatience is how long a hand-over waits for the journal. It is well
// below the task lease.
const flushPatience = 5 * time.Second

// Phase is what an instance does with a shard.
type Phase string

// Phases of a shard.
const (
	PhaseLoading Phase = "loading" // owned; its journal is being read
	PhaseRunning Phase = "running"
	PhaseFenced  Phase = "fenced" // another epoch owns it; nothing more is done
	PhaseLost    Phase = "lost"
)

// shard is a shard that this instance owns.
type shard struct {
	id              structs.ShardID
	region          structs.Region
	epoch           structs.Epoch
	phase           Phase
	previousHorizon structs.Timestamp
	horizon         structs.Timestamp
	reload          bool // the last load failed; try again at the next tick

	scheduler *scheduler.State
	journal   *eventlog.State
	ledger    *credits.Ledger

	// preferred is the other instance that should own the shard, and since
	// when; empty if that is this instance.
	preferred      structs.InstanceID
	preferredSince structs.Timestamp
	leavingSince   structs.Timestamp // start of a hand-over; 0 if there is none

	snapshotRows    uint64
	lastSnapshotRow uint64
	snapshot        *eventlog.Snapshot // taken, waits for its records to be committed
	saving          bool
}

// ownership passes an event to the ownership reducer and acts on its effects.
func (s *State) ownership(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if s.owners == nil {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range s.owners.Reduce(now, ev) {
		switch e := effect.(type) {
		case ownership.Acquired:
			effects = append(effects, s.acquired(e)...)
		case ownership.Lost:
			effects = append(effects, s.lost(e)...)
		case ownership.HorizonExtended:
			effects = append(effects, s.horizonExtended(now, e)...)
		default:
			effects = append(effects, effect)
		}
	}
	return effects
}

func (s *State) acquired(e ownership.Acquired) []structs.Effect {
	x := &shard{id: e.Shard, epoch: e.Epoch, phase: PhaseLoading, previousHorizon: e.PreviousHorizon, snapshotRows: snapshotRows}
	if s.cfg.Tuning.SnapshotRows > 0 {
		x.snapshotRows = s.cfg.Tuning.SnapshotRows
	}
	if s.cfg.Tuning.IgnoreHorizon {
		x.previousHorizon = 0
	}
	for _, listed := range s.shardSet {
		if listed.ID == e.Shard {
			x.region = listed.Region
		}
	}
	s.shards[e.Shard] = x
	return []structs.Effect{
		ShardChanged{Shard: e.Shard, Epoch: e.Epoch, Phase: PhaseLoading},
		LoadShard{Shard: e.Shard, Epoch: e.Epoch},
	}
}

func (s *State) lost(e ownership.Lost) []structs.Effect {
	if x := s.shards[e.Shard]; x == nil || x.epoch != e.Epoch {
		return nil
	}
	delete(s.shards, e.Shard)
	return []structs.Effect{ShardChanged{Shard: e.Shard, Epoch: e.Epoch, Phase: PhaseLost}}
}

func (s *State) horizonExtended(now structs.Timestamp, e ownership.HorizonExtended) []structs.Effect {
	x := s.shards[e.Shard]
	if x == nil {
		return nil
	}
	x.horizon = e.Until
	return s.schedule(now, x, scheduler.HorizonExtended{Until: e.Until})
}

// loaded starts the scheduler of an acquired shard from its durable state.
func (s *State) loaded(now structs.Timestamp, x *shard, e ShardLoaded) []structs.Effect {
	if x.phase != PhaseLoading {
		return nil
	}
	state, err := s.restore(x, e)
	if err != nil {
		x.reload = true
		return nil
	}
	x.scheduler = state
	x.journal = eventlog.New(eventlog.Config{
		Shard: x.id, Epoch: x.epoch, Guard: ownership.EpochCondition(x.id, x.epoch),
		NextRow: e.Loaded.NextRow, Seed: s.cfg.Seed, Defects: s.cfg.Tuning.Journal,
	})
	x.phase = PhaseRunning
	x.lastSnapshotRow = e.Loaded.NextRow
	effects := []structs.Effect{ShardChanged{Shard: x.id, Epoch: x.epoch, Phase: PhaseRunning}}
	effects = append(effects, s.listWorkers(now, x)...)
	return append(effects, s.startLedger(now, x)...)
}

func (s *State) restore(x *shard, e ShardLoaded) (*scheduler.State, error) {
	if e.Err != nil {
		return nil, e.Err
	}
	var records []scheduler.Record
	for _, entry := range e.Loaded.Entries {
		var batch []scheduler.Record
		if err := cbor.Unmarshal(entry.Payload, &batch); err != nil {
			return nil, errs.Wrap(err, errs.Failed, "see docs/recovery.md", "decode %s of shard %q", entry, x.id)
		}
		records = append(records, batch...)
	}
	return scheduler.Restore(scheduler.Config{
		Shard: x.id, Epoch: x.epoch, Policy: s.policyOf(x),
		Horizon: x.horizon, PreviousHorizon: x.previousHorizon,
	}, e.Loaded.Snapshot, records)
}

// listWorkers tells the shard's scheduler which workers the directory lists.
func (s *State) listWorkers(now structs.Timestamp, x *shard) []structs.Effect {
	var workers []structs.Worker
	for _, worker := range s.directory.Workers {
		if worker.Location.Region == x.region {
			workers = append(workers, worker)
		}
	}
	return s.schedule(now, x, scheduler.WorkersListed{Workers: workers})
}

// toShard delivers an event from outside. Calls to a shard that cannot take
// them are answered at once.
func (s *State) toShard(now structs.Timestamp, e ToShard) []structs.Effect {
	x := s.shards[e.Shard]
	call, isCall := callOf(e.Event)
	switch {
	case x == nil && isCall:
		return refuse(e.Shard, 0, call, errNotOwner(e.Shard))
	case x == nil:
		return nil
	case isCall && (x.phase != PhaseRunning || x.leavingSince != 0 || s.draining):
		return refuse(x.id, x.epoch, call, errs.New(errs.NotRun, "try again in a few seconds",
			"shard %q is %s or on its way to another instance", x.id, x.phase))
	case isCall && s.owners.Standing(now, x.id) != ownership.Owner:
		return refuse(x.id, x.epoch, call, errs.New(errs.NotRun, "try again when the platform's table is back",
			"the owner of shard %q cannot renew its lease, so nothing can be recorded", x.id))
	}
	if submit, ok := e.Event.(scheduler.SubmitJob); ok {
		job, err := s.prepare(now, x, submit.Job)
		if err != nil {
			return refuse(x.id, x.epoch, call, err)
		}
		e.Event = scheduler.SubmitJob{Call: call, Job: job}
	}
	return s.schedule(now, x, e.Event)
}

func callOf(ev structs.Event) (scheduler.CallID, bool) {
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

func refuse(id structs.ShardID, epoch structs.Epoch, call scheduler.CallID, err error) []structs.Effect {
	return []structs.Effect{FromShard{Shard: id, Epoch: epoch, Effect: scheduler.Reply{Call: call, Err: err}}}
}

// schedule passes an event to the shard's scheduler; its records go to the
// journal.
func (s *State) schedule(now structs.Timestamp, x *shard, ev structs.Event) []structs.Effect {
	if x.phase != PhaseRunning || s.owners.Standing(now, x.id) == ownership.NotOwner {
		return nil
	}
	if _, committed := ev.(scheduler.Committed); x.leavingSince != 0 && !committed {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range x.scheduler.Reduce(now, ev) {
		appended, ok := effect.(scheduler.Append)
		if !ok {
			effects = append(effects, FromShard{Shard: x.id, Epoch: x.epoch, Effect: effect})
			continue
		}
		payload, err := cbor.Marshal(appended.Records)
		if err != nil {
			return append(effects, s.fence(x)...)
		}
		effects = append(effects, s.journal(now, x, eventlog.Append{Sequence: appended.Sequence, Payload: payload})...)
	}
	return effects
}

// journal passes an event to the shard's journal; commits go to the scheduler.
func (s *State) journal(now structs.Timestamp, x *shard, ev structs.Event) []structs.Effect {
	if x.phase != PhaseRunning {
		return nil
	}
	var effects []structs.Effect
	for _, effect := range x.journal.Reduce(now, ev) {
		switch e := effect.(type) {
		case eventlog.Committed:
			effects = append(effects, s.schedule(now, x, scheduler.Committed{Sequence: e.Sequence})...)
			effects = append(effects, x.publishSnapshot(e)...)
		case eventlog.Fenced:
			effects = append(effects, s.fence(x)...)
		default:
			effects = append(effects, FromJournal{Shard: x.id, Epoch: x.epoch, Effect: effect})
		}
	}
	return effects
}

// fence stops a shard whose records can no longer become durable. Ownership
// notices the new epoch by itself and reports the loss.
func (s *State) fence(x *shard) []structs.Effect {
	x.phase = PhaseFenced
	return []structs.Effect{ShardChanged{Shard: x.id, Epoch: x.epoch, Phase: PhaseFenced}}
}

func (s *State) tickShard(now structs.Timestamp, x *shard) []structs.Effect {
	if x.phase == PhaseLoading && x.reload {
		x.reload = false
		return []structs.Effect{LoadShard{Shard: x.id, Epoch: x.epoch}}
	}
	if s.draining || s.shouldMove(now, x) {
		return s.handOver(now, x)
	}
	x.leavingSince = 0
	effects := s.schedule(now, x, scheduler.Tick{})
	effects = append(effects, s.journal(now, x, eventlog.FlushDue{})...)
	return append(effects, s.tickLedger(now, x)...)
}

// shouldMove reports whether another instance has been the better owner for
// long enough, for example one in the shard's own region that came back.
func (s *State) shouldMove(now structs.Timestamp, x *shard) bool {
	to := s.owners.Preferred(x.id)
	if x.phase != PhaseRunning || to == "" || to == s.cfg.Self.ID {
		x.preferred = ""
		return false
	}
	if to != x.preferred {
		x.preferred, x.preferredSince = to, now
	}
	return now.Sub(x.preferredSince) >= moveDelay
}

// handOver gives the shard to its successor once its journal is flushed. Until
// then the scheduler takes no events but commits. If the store does not take
// the rest in time, the shard stays: without its scheduler the leases of its
// tasks would lapse.
func (s *State) handOver(now structs.Timestamp, x *shard) []structs.Effect {
	if x.leavingSince == 0 {
		x.leavingSince = now
	}
	if x.phase == PhaseRunning {
		if pending, _ := x.journal.Backlog(); pending > 0 {
			if now.Sub(x.leavingSince) > flushPatience {
				x.leavingSince, x.preferredSince = 0, now
			}
			return s.journal(now, x, eventlog.FlushDue{})
		}
	}
	to := s.owners.Preferred(x.id)
	effects := s.ownership(now, ownership.HandOver{Shard: x.id, To: to})
	return append(effects, NotifySuccessor{Shard: x.id, To: to})
}
