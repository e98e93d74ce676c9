package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// State is the ownership of all shards as one process sees it. It contends for
// nothing before the first LiveChanged, so a starting process should send that
// once it has heard its peers; otherwise it takes every free shard. It is not
// safe for concurrent use.
type State struct {
	cfg    Config
	live   []structs.InstanceInfo
	shards map[structs.ShardID]*shardState
	order  []structs.ShardID
}

type shardState struct {
	shard   Shard
	rank    int // of this instance among the candidates; -1 if it is none
	row     Row // as last read or written
	version uint64
	known   bool // row and version are valid; version 0: the row is absent

	owned   bool
	epoch   structs.Epoch     // that is or was owned
	expiry  structs.Timestamp // of the last confirmed write
	horizon structs.Timestamp // announced

	pending *Row // write in flight or with an unknown outcome
	busy    bool // a call is in flight
	giveUp  *Row // release to be written after a hand-over
	next    structs.Timestamp
	absent  structs.Timestamp // when the row was first found absent
	expect  structs.Timestamp // until when a hand-over to this process is expected
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

// Reduce applies ev and returns the resulting effects.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	switch e := ev.(type) {
	case LiveChanged:
		s.liveChanged(e.Instances)
	case ShardsListed:
		s.addShards(e.Shards)
	case RowRead:
		return s.onShard(e.Shard, func(x *shardState) []structs.Effect { return s.rowRead(now, x, e) })
	case WriteEnded:
		return s.onShard(e.Shard, func(x *shardState) []structs.Effect { return s.writeEnded(now, x, e) })
	case HandOver:
		return s.onShard(e.Shard, func(x *shardState) []structs.Effect { return s.handOver(now, x, e.To) })
	case HandOverReceived:
		return s.onShard(e.Shard, func(x *shardState) []structs.Effect { return s.handedOver(now, x) })
	case Tick:
		return s.tick(now)
	}
	return nil
}

// Standing tells what this process may do for the shard at now. It depends on
// now alone, so a process that wakes from a pause learns that its lease lapsed
// before it handles any event.
func (s *State) Standing(now structs.Timestamp, shard structs.ShardID) Standing {
	x := s.shards[shard]
	switch {
	case x == nil || !x.owned || !now.Before(x.horizon):
		return NotOwner
	case now.Before(x.expiry):
		return Owner
	}
	return Holding
}

// Epoch returns the epoch that this process owns, or 0.
func (s *State) Epoch(shard structs.ShardID) structs.Epoch {
	if x := s.shards[shard]; x != nil && x.owned {
		return x.epoch
	}
	return 0
}

// Owner returns the owner in the last row read, which may be outdated.
func (s *State) Owner(shard structs.ShardID) (structs.InstanceID, structs.Epoch) {
	if x := s.shards[shard]; x != nil {
		return x.row.Owner, x.row.Epoch
	}
	return "", 0
}

// Owned returns the shards that this process owns or holds, sorted.
func (s *State) Owned() []structs.ShardID {
	var out []structs.ShardID
	for _, id := range s.order {
		if s.shards[id].owned {
			out = append(out, id)
		}
	}
	return out
}

// Preferred returns the instance that should own the shard in the present live
// set. A planned stop hands over to it.
func (s *State) Preferred(shard structs.ShardID) structs.InstanceID {
	return Assign(s.cfg.Shards, s.live)[shard]
}

func (s *State) onShard(id structs.ShardID, f func(*shardState) []structs.Effect) []structs.Effect {
	if x := s.shards[id]; x != nil {
		return f(x)
	}
	return nil
}

func (s *State) liveChanged(live []structs.InstanceInfo) {
	s.live = slices.Clone(live)
	preferred := Assign(s.cfg.Shards, live)
	for _, x := range s.shards {
		ranked := Rank(x.shard, live)
		x.rank = slices.Index(ranked, s.cfg.Self.ID)
		first := slices.Index(ranked, preferred[x.shard.ID])
		if x.rank >= 0 && x.rank < first {
			x.rank++ // the preferred owner goes before all others
		}
		if preferred[x.shard.ID] == s.cfg.Self.ID {
			x.rank = 0
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
func (s *State) advance(now structs.Timestamp, x *shardState) []structs.Effect {
	var lost []structs.Effect
	if x.owned && !now.Before(x.horizon) {
		lost = s.lose(x) // nothing granted can be left
	}
	switch {
	case x.busy || now.Before(x.next):
		return lost
	case x.pending != nil || !x.known:
		return append(lost, s.read(x))
	case x.giveUp != nil:
		return append(lost, s.release(now, x)...)
	case x.owned:
		return append(lost, s.renew(now, x))
	case x.rank < 0:
		return lost
	}
	return append(lost, s.contend(now, x)...)
}

// expectPoll is the time between two reads while a hand-over is expected.
const expectPoll = 250 * time.Millisecond

// contend reads the row again once the lease that it knows of is over, and
// takes over if the row read just before shows that it is.
func (s *State) contend(now structs.Timestamp, x *shardState) []structs.Effect {
	if now.Before(s.takeoverAt(x)) && !now.Before(x.expect) {
		return nil
	}
	return []structs.Effect{s.read(x)}
}

// takeoverAt is the first instant at which this instance may take over. Lower
// ranked candidates wait another second per rank, so the preferred one goes
// first and the others step in only if it does not.
func (s *State) takeoverAt(x *shardState) structs.Timestamp {
	wait := time.Duration(max(x.rank, 0)) * time.Second
	if s.wasLost(x) {
		wait += s.cfg.Lease // given up on purpose: let another one act first
	}
	switch {
	case x.version == 0:
		return x.absent.Add(wait)
	case s.cfg.Defects.SkipWait:
		return 0
	case x.row.Successor == s.cfg.Self.ID:
		return 0
	}
	return x.row.Expiry.Add(s.cfg.ClockBound + time.Nanosecond + wait)
}

func (s *State) read(x *shardState) structs.Effect {
	x.busy = true
	return ReadRow{Shard: x.shard.ID}
}

func (s *State) write(x *shardState, row Row, raises bool) structs.Effect {
	x.busy = true
	x.pending = &row
	return WriteRow{Shard: x.shard.ID, Row: row, IfVersion: x.version, RaisesEpoch: raises}
}

func (s *State) renew(now structs.Timestamp, x *shardState) structs.Effect {
	row := x.row
	row.Expiry = max(row.Expiry, now.Add(s.cfg.Lease))
	if row.LeaseHorizon.Sub(now) < s.cfg.Horizon-s.cfg.HorizonStep {
		row.LeaseHorizon = now.Add(s.cfg.Horizon)
	}
	return s.write(x, row, false)
}

func (s *State) takeOver(now structs.Timestamp, x *shardState) structs.Effect {
	row := Row{
		Owner:           s.cfg.Self.ID,
		Incarnation:     s.cfg.Incarnation,
		Epoch:           x.row.Epoch + 1,
		Expiry:          now.Add(s.cfg.Lease),
		LeaseHorizon:    max(x.row.LeaseHorizon, now.Add(s.cfg.Horizon)),
		PreviousHorizon: x.row.LeaseHorizon,
	}
	return s.write(x, row, true)
}

func (s *State) handOver(now structs.Timestamp, x *shardState, to structs.InstanceID) []structs.Effect {
	if !x.owned {
		return nil
	}
	row := x.row
	row.Successor = to
	x.giveUp = &row
	out := s.lose(x)
	x.next = now
	return append(out, s.advance(now, x)...)
}

// release writes the successor while the row still shows this process.
func (s *State) release(now structs.Timestamp, x *shardState) []structs.Effect {
	if !s.mine(x.row) || x.row.Epoch != x.giveUp.Epoch || x.row.Successor != "" {
		x.giveUp = nil
		x.next = now.Add(s.cfg.Lease) // gives the successor time to act
		return nil
	}
	row := x.row
	row.Successor = x.giveUp.Successor
	row.Expiry = now
	return []structs.Effect{s.write(x, row, false)}
}

// handedOver expects the hand-over for a while: the notice may overtake the
// owner's write of the row.
func (s *State) handedOver(now structs.Timestamp, x *shardState) []structs.Effect {
	if x.owned {
		return nil
	}
	x.expect = now.Add(s.cfg.Lease)
	x.next = now
	return s.advance(now, x)
}

func (s *State) mine(row Row) bool {
	return row.Owner == s.cfg.Self.ID && row.Incarnation == s.cfg.Incarnation
}

func (s *State) lose(x *shardState) []structs.Effect {
	if !x.owned {
		return nil
	}
	x.owned = false
	return []structs.Effect{Lost{Shard: x.shard.ID, Epoch: x.epoch}}
}

func (s *State) rowRead(now structs.Timestamp, x *shardState, e RowRead) []structs.Effect {
	x.busy = false
	switch e.ErrKind {
	case "":
		x.row, x.version, x.known = e.Row, e.Version, true
	case errs.NotFound:
		x.row, x.version, x.known = Row{}, 0, true
		if x.absent == 0 {
			x.absent = now
		}
	default:
		x.next = now.Add(s.cfg.Retry)
		return nil
	}
	x.pending = nil
	out := s.settle(now, x)
	if !x.owned && x.giveUp == nil && x.rank >= 0 && !now.Before(s.takeoverAt(x)) {
		return append(out, s.takeOver(now, x))
	}
	if !x.owned && x.giveUp == nil && now.Before(x.expect) {
		x.next = now.Add(expectPoll)
		return out
	}
	return append(out, s.advance(now, x)...)
}

func (s *State) writeEnded(now structs.Timestamp, x *shardState, e WriteEnded) []structs.Effect {
	x.busy = false
	if x.pending == nil {
		return nil
	}
	kind := e.ErrKind
	if kind == errs.OutcomeUnknown && s.cfg.Defects.SkipReadBack {
		kind, e.Version = "", x.version+1
	}
	switch kind {
	case "":
		x.row, x.version, x.pending = *x.pending, e.Version, nil
		return s.settle(now, x)
	case errs.NotRun:
		x.pending = nil
		x.next = now.Add(s.cfg.Retry)
		return nil
	}
	// Conflict and unknown outcome: only the row tells. A conflict may come
	// from an earlier write of this process whose reply was lost.
	x.known = false
	x.next = now
	return s.advance(now, x)
}

// settle compares the row just read or written with what this process believes.
func (s *State) settle(now structs.Timestamp, x *shardState) []structs.Effect {
	if x.giveUp != nil && s.mine(x.row) && x.row.Successor == "" {
		x.next = now
		return s.advance(now, x)
	}
	if !s.mine(x.row) || x.row.Successor != "" || s.wasLost(x) {
		out := s.lose(x)
		x.giveUp = nil
		x.next = now
		return out
	}
	return s.keep(now, x)
}

// wasLost reports whether the row shows an epoch that this process has given
// up. It is not resumed: its append sequence and its state are gone, so only a
// takeover with a new epoch brings the shard back.
func (s *State) wasLost(x *shardState) bool {
	return !x.owned && x.epoch != 0 && x.row.Epoch == x.epoch
}

// keep records that the row names this process.
func (s *State) keep(now structs.Timestamp, x *shardState) []structs.Effect {
	var out []structs.Effect
	if !x.owned || x.epoch != x.row.Epoch {
		out = append(out, s.lose(x)...)
		x.owned, x.epoch, x.horizon = true, x.row.Epoch, 0
		out = append(out, Acquired{Shard: x.shard.ID, Epoch: x.epoch, PreviousHorizon: x.row.PreviousHorizon})
	}
	x.expiry = x.row.Expiry
	x.next = x.expiry.Add(s.cfg.RenewEvery - s.cfg.Lease)
	if x.row.LeaseHorizon.After(x.horizon) {
		x.horizon = x.row.LeaseHorizon
		out = append(out, HorizonExtended{Shard: x.shard.ID, Until: x.horizon})
	}
	return out
}
