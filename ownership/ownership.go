package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// State holds the ownership of all shards as one process sees it. It takes over
// no shard before the first LiveChanged. A starting process should send that
// event only after it has heard from its peers, because otherwise it takes over
// every free shard. State is not safe for concurrent use.
type State struct {
	cfg    Config
	live   []structs.InstanceInfo
	shards map[structs.ShardID]*shardState
	order  []structs.ShardID
}

type shardState struct {
	shard    Shard
	rank     int // position of this instance among the candidate owners; -1 if it is not one
	row      Row // as last read or written
	version  uint64
	rowKnown bool // row and version are valid; version 0 means that the row is absent

	owned   bool
	epoch   structs.Epoch     // last epoch owned by this process
	expiry  structs.Timestamp // lease expiry in the last confirmed row
	horizon structs.Timestamp // last lease horizon reported by HorizonExtended

	pendingWrite     *Row // row of a write that is in flight or whose outcome is unknown
	callInFlight     bool // a read or write is in flight
	pendingRelease   *Row // row with the successor, to be written after a hand-over
	nextCall         structs.Timestamp
	absentSince      structs.Timestamp // first time at which the row was found absent
	handOverDeadline structs.Timestamp // a hand-over to this process is expected until then
}

// New returns the state of a process that owns nothing.
func New(cfg Config) *State {
	s := &State{cfg: cfg.withDefaults(), shards: map[structs.ShardID]*shardState{}}
	s.cfg.Shards = nil
	s.addShards(cfg.Shards)
	return s
}

// addShards adds unknown shards and ranks this instance for them.
func (s *State) addShards(shards []Shard) {
	for _, shard := range shards {
		if s.shards[shard.ID] != nil {
			continue
		}
		s.shards[shard.ID] = &shardState{shard: shard, rank: -1}
		s.cfg.Shards = append(s.cfg.Shards, shard)
		s.order = append(s.order, shard.ID)
	}
	slices.SortFunc(s.order, cmp.Compare[structs.ShardID])
	s.liveChanged(s.live)
}

// Reduce applies an event and returns the resulting effects.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	switch e := ev.(type) {
	case LiveChanged:
		s.liveChanged(e.Instances)
	case ShardsListed:
		s.addShards(e.Shards)
	case RowRead:
		return s.withShard(e.Shard, func(sh *shardState) []structs.Effect { return s.rowRead(now, sh, e) })
	case WriteEnded:
		return s.withShard(e.Shard, func(sh *shardState) []structs.Effect { return s.writeEnded(now, sh, e) })
	case HandOver:
		return s.withShard(e.Shard, func(sh *shardState) []structs.Effect { return s.handOver(now, sh, e.To) })
	case HandOverReceived:
		return s.withShard(e.Shard, func(sh *shardState) []structs.Effect { return s.handOverReceived(now, sh) })
	case Tick:
		return s.tick(now)
	}
	return nil
}

// Status returns what this process may do for the shard at now. The expiry is
// checked on each call, so a process that resumes after a pause learns that its
// lease has expired before it handles any event.
func (s *State) Status(now structs.Timestamp, shard structs.ShardID) Status {
	sh := s.shards[shard]
	switch {
	case sh == nil || !sh.owned || !now.Before(sh.horizon):
		return NotOwner
	case now.Before(sh.expiry):
		return Owner
	}
	return LeaseExpired
}

// Epoch returns the epoch in which this process owns the shard, or 0.
func (s *State) Epoch(shard structs.ShardID) structs.Epoch {
	if sh := s.shards[shard]; sh != nil && sh.owned {
		return sh.epoch
	}
	return 0
}

// Owner returns the owner and the epoch in the last known row, which may be
// outdated.
func (s *State) Owner(shard structs.ShardID) (structs.InstanceID, structs.Epoch) {
	if sh := s.shards[shard]; sh != nil {
		return sh.row.Owner, sh.row.Epoch
	}
	return "", 0
}

// Owned returns the shards that this process owns, including those whose lease
// has expired, sorted by ID.
func (s *State) Owned() []structs.ShardID {
	var out []structs.ShardID
	for _, id := range s.order {
		if s.shards[id].owned {
			out = append(out, id)
		}
	}
	return out
}

// Preferred returns the instance that should own the shard, given the current
// live set. A planned stop hands the shard over to that instance.
func (s *State) Preferred(shard structs.ShardID) structs.InstanceID {
	return Assign(s.cfg.Shards, s.live)[shard]
}

func (s *State) withShard(id structs.ShardID, f func(*shardState) []structs.Effect) []structs.Effect {
	if sh := s.shards[id]; sh != nil {
		return f(sh)
	}
	return nil
}

func (s *State) liveChanged(live []structs.InstanceInfo) {
	s.live = slices.Clone(live)
	preferred := Assign(s.cfg.Shards, live)
	for _, sh := range s.shards {
		ranked := RankInstances(sh.shard, live)
		sh.rank = slices.Index(ranked, s.cfg.Self.ID)
		first := slices.Index(ranked, preferred[sh.shard.ID])
		if sh.rank >= 0 && sh.rank < first {
			sh.rank++ // the preferred owner comes before all others
		}
		if preferred[sh.shard.ID] == s.cfg.Self.ID {
			sh.rank = 0
		}
	}
}

func (s *State) tick(now structs.Timestamp) []structs.Effect {
	var out []structs.Effect
	for _, id := range s.order {
		out = append(out, s.advance(now, s.shards[id])...)
	}
	return out
}

// advance starts the next call for the shard if one is due.
func (s *State) advance(now structs.Timestamp, sh *shardState) []structs.Effect {
	var lost []structs.Effect
	if sh.owned && !now.Before(sh.horizon) {
		lost = s.markLost(sh) // no task lease that this process granted can still be valid
	}
	switch {
	case sh.callInFlight || now.Before(sh.nextCall):
		return lost
	case sh.pendingWrite != nil || !sh.rowKnown:
		return append(lost, s.read(sh))
	case sh.pendingRelease != nil:
		return append(lost, s.writeSuccessor(now, sh)...)
	case sh.owned:
		return append(lost, s.renew(now, sh))
	case sh.rank < 0:
		return lost
	}
	return append(lost, s.pollForTakeover(now, sh)...)
}

// handOverPollInterval is the time between reads of the row while a hand-over
// to this process is expected.
const handOverPollInterval = 250 * time.Millisecond

// pollForTakeover reads the row once the known lease is over or while a
// hand-over is expected. rowRead then takes over if the row allows it.
func (s *State) pollForTakeover(now structs.Timestamp, sh *shardState) []structs.Effect {
	if now.Before(s.takeoverAt(sh)) && !now.Before(sh.handOverDeadline) {
		return nil
	}
	return []structs.Effect{s.read(sh)}
}

// takeoverAt returns the earliest time at which this instance may take over.
// Each rank adds a wait of one second, so that the preferred instance acts first
// and the others only if it does not.
func (s *State) takeoverAt(sh *shardState) structs.Timestamp {
	wait := time.Duration(max(sh.rank, 0)) * time.Second
	if s.rowShowsLostEpoch(sh) {
		wait += s.cfg.Lease // this process has lost the shard: let another instance act first
	}
	switch {
	case sh.version == 0:
		return sh.absentSince.Add(wait)
	case s.cfg.InjectedFaults.SkipExpiryWait:
		return 0
	case sh.row.Successor == s.cfg.Self.ID:
		return 0
	}
	return sh.row.Expiry.Add(s.cfg.ClockBound + time.Nanosecond + wait)
}

func (s *State) read(sh *shardState) structs.Effect {
	sh.callInFlight = true
	return ReadRow{Shard: sh.shard.ID}
}

func (s *State) write(sh *shardState, row Row, raisesEpoch bool) structs.Effect {
	sh.callInFlight = true
	sh.pendingWrite = &row
	return WriteRow{Shard: sh.shard.ID, Row: row, IfVersion: sh.version, RaisesEpoch: raisesEpoch}
}

func (s *State) renew(now structs.Timestamp, sh *shardState) structs.Effect {
	row := sh.row
	row.Expiry = max(row.Expiry, now.Add(s.cfg.Lease))
	if row.LeaseHorizon.Sub(now) < s.cfg.Horizon-s.cfg.HorizonStep {
		row.LeaseHorizon = now.Add(s.cfg.Horizon)
	}
	return s.write(sh, row, false)
}

func (s *State) takeOver(now structs.Timestamp, sh *shardState) structs.Effect {
	row := Row{
		Owner:           s.cfg.Self.ID,
		Incarnation:     s.cfg.Incarnation,
		Epoch:           sh.row.Epoch + 1,
		Expiry:          now.Add(s.cfg.Lease),
		LeaseHorizon:    max(sh.row.LeaseHorizon, now.Add(s.cfg.Horizon)),
		PreviousHorizon: sh.row.LeaseHorizon,
	}
	return s.write(sh, row, true)
}

func (s *State) handOver(now structs.Timestamp, sh *shardState, to structs.InstanceID) []structs.Effect {
	if !sh.owned {
		return nil
	}
	row := sh.row
	row.Successor = to
	sh.pendingRelease = &row
	out := s.markLost(sh)
	sh.nextCall = now
	return append(out, s.advance(now, sh)...)
}

// writeSuccessor writes the successor into the row if the row still names this
// process as the owner.
func (s *State) writeSuccessor(now structs.Timestamp, sh *shardState) []structs.Effect {
	if !s.isOwnRow(sh.row) || sh.row.Epoch != sh.pendingRelease.Epoch || sh.row.Successor != "" {
		sh.pendingRelease = nil
		sh.nextCall = now.Add(s.cfg.Lease) // gives the successor time to act
		return nil
	}
	row := sh.row
	row.Successor = sh.pendingRelease.Successor
	row.Expiry = now
	return []structs.Effect{s.write(sh, row, false)}
}

// handOverReceived polls the row for the length of a lease, because the
// notification may arrive before the owner's write of the row.
func (s *State) handOverReceived(now structs.Timestamp, sh *shardState) []structs.Effect {
	if sh.owned {
		return nil
	}
	sh.handOverDeadline = now.Add(s.cfg.Lease)
	sh.nextCall = now
	return s.advance(now, sh)
}

func (s *State) isOwnRow(row Row) bool {
	return row.Owner == s.cfg.Self.ID && row.Incarnation == s.cfg.Incarnation
}

func (s *State) markLost(sh *shardState) []structs.Effect {
	if !sh.owned {
		return nil
	}
	sh.owned = false
	return []structs.Effect{Lost{Shard: sh.shard.ID, Epoch: sh.epoch}}
}

func (s *State) rowRead(now structs.Timestamp, sh *shardState, e RowRead) []structs.Effect {
	sh.callInFlight = false
	switch e.ErrKind {
	case "":
		sh.row, sh.version, sh.rowKnown = e.Row, e.Version, true
	case errs.NotFound:
		sh.row, sh.version, sh.rowKnown = Row{}, 0, true
		if sh.absentSince == 0 {
			sh.absentSince = now
		}
	default:
		sh.nextCall = now.Add(s.cfg.RetryDelay)
		return nil
	}
	sh.pendingWrite = nil
	out := s.reconcile(now, sh)
	if !sh.owned && sh.pendingRelease == nil && sh.rank >= 0 && !now.Before(s.takeoverAt(sh)) {
		return append(out, s.takeOver(now, sh))
	}
	if !sh.owned && sh.pendingRelease == nil && now.Before(sh.handOverDeadline) {
		sh.nextCall = now.Add(handOverPollInterval)
		return out
	}
	return append(out, s.advance(now, sh)...)
}

func (s *State) writeEnded(now structs.Timestamp, sh *shardState, e WriteEnded) []structs.Effect {
	sh.callInFlight = false
	if sh.pendingWrite == nil {
		return nil
	}
	kind := e.ErrKind
	if kind == errs.OutcomeUnknown && s.cfg.InjectedFaults.SkipReadBack {
		kind, e.Version = "", sh.version+1
	}
	switch kind {
	case "":
		sh.row, sh.version, sh.pendingWrite = *sh.pendingWrite, e.Version, nil
		return s.reconcile(now, sh)
	case errs.NotRun:
		sh.pendingWrite = nil
		sh.nextCall = now.Add(s.cfg.RetryDelay)
		return nil
	}
	// After a conflict or an unknown outcome, the row must be read again. The
	// conflict may be with an earlier write of this process whose reply was
	// lost.
	sh.rowKnown = false
	sh.nextCall = now
	return s.advance(now, sh)
}

// reconcile updates the ownership from the row that was just read or written.
func (s *State) reconcile(now structs.Timestamp, sh *shardState) []structs.Effect {
	if sh.pendingRelease != nil && s.isOwnRow(sh.row) && sh.row.Successor == "" {
		sh.nextCall = now
		return s.advance(now, sh)
	}
	if !s.isOwnRow(sh.row) || sh.row.Successor != "" || s.rowShowsLostEpoch(sh) {
		out := s.markLost(sh)
		sh.pendingRelease = nil
		sh.nextCall = now
		return out
	}
	return s.confirmOwnership(now, sh)
}

// rowShowsLostEpoch reports whether the row shows an epoch that this process has
// lost. Such an epoch is not resumed, because its append sequence and its state
// are gone. Only a takeover with a new epoch regains the shard.
func (s *State) rowShowsLostEpoch(sh *shardState) bool {
	return !sh.owned && sh.epoch != 0 && sh.row.Epoch == sh.epoch
}

// confirmOwnership updates the lease from a row that names this process as the
// owner.
func (s *State) confirmOwnership(now structs.Timestamp, sh *shardState) []structs.Effect {
	var out []structs.Effect
	if !sh.owned || sh.epoch != sh.row.Epoch {
		out = append(out, s.markLost(sh)...)
		sh.owned, sh.epoch, sh.horizon = true, sh.row.Epoch, 0
		out = append(out, Acquired{Shard: sh.shard.ID, Epoch: sh.epoch, PreviousHorizon: sh.row.PreviousHorizon})
	}
	sh.expiry = sh.row.Expiry
	sh.nextCall = sh.expiry.Add(s.cfg.RenewInterval - s.cfg.Lease)
	if sh.row.LeaseHorizon.After(sh.horizon) {
		sh.horizon = sh.row.LeaseHorizon
		out = append(out, HorizonExtended{Shard: sh.shard.ID, Until: sh.horizon})
	}
	return out
}
