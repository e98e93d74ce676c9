// Package leadership decides when an instance claims the leadership of a
// cell. It is a reducer without clock and I/O.
//
// The leadership is a row in the table store. Every commit of the leader
// rewrites the row under the condition of its last version, so a claim, which
// is a conditional write too, succeeds only if the leader has not committed
// since the row was read. A leader that lives commits at least every
// CommitInterval; a row that stays unchanged for longer has no living leader
// that reaches the store.
package leadership

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Row is the stored leadership.
type Row struct {
	Epoch    structs.Epoch      `cbor:"1,keyasint"` // rises with each claim; the fencing token
	Owner    structs.InstanceID `cbor:"2,keyasint"` // empty after a planned release
	Process  uint64             `cbor:"3,keyasint"` // tells two processes of one instance apart
	Address  string             `cbor:"4,keyasint"` // for peers
	Sequence uint64             `cbor:"5,keyasint"` // of the commit
	At       structs.Timestamp  `cbor:"6,keyasint"` // of the commit, on the store's clock
	// Successor is the instance that a leader which has released the leadership
	// leaves it to; the others claim only if that one does not.
	Successor structs.InstanceID `cbor:"7,keyasint,omitempty"`
}

const (
	// CommitInterval is the longest time between two commits of a leader.
	CommitInterval = 300 * time.Millisecond
	// heartbeatSilence is the time without a heartbeat after which a follower
	// looks at the row; three heartbeats.
	heartbeatSilence = 800 * time.Millisecond
	// rowSilence is how long the row has to stay unchanged before a claim. It
	// covers two commits, each with one way of 30 ms and a lost packet.
	rowSilence = 800 * time.Millisecond
	// readInterval separates reads of the row while the leader is suspected.
	readInterval = 200 * time.Millisecond
	// storeSilence is how long a leader may report an unreachable store.
	storeSilence = 600 * time.Millisecond
	// nearFactor delays claims of instances far from the store, so that one
	// nearby leads: its commits take a fraction of the time.
	nearFactor = 4
	// maxDelay bounds that delay.
	maxDelay = 400 * time.Millisecond
	// minDelay is too short to be worth another read of the row.
	minDelay = 10 * time.Millisecond
	// weakDelay delays claims of instances in proportion to the processor
	// share that they lack against the strongest one, so that a leader can
	// carry the whole cell; a claim is tried every readInterval.
	weakDelay = 700 * time.Millisecond
	// successorTime is how long the named successor has for its claim: a read
	// and a transaction from the far region.
	successorTime = 300 * time.Millisecond
	// slowFactor is how many times the delay of a read a living leader's
	// commit may take while the store is slow: a transaction takes twice as
	// long as a read, and another one may be before it.
	slowFactor = 4
	// slowRead is a delay of a read beyond a busy moment of the instance.
	slowRead = 50 * time.Millisecond
	// unknownStrongest stands for the largest processor share while no leader
	// has told it.
	unknownStrongest = 1.0
)

// Heard says that a heartbeat of a leader arrived.
type Heard struct {
	Epoch        structs.Epoch
	StoreHealthy bool
	Strongest    float64 // largest processor share of an instance, in cores
}

// LinkLost says that the connection from the leader was closed.
type LinkLost struct{}

// RowRead is the result of ReadRow.
type RowRead struct {
	Row     Row
	Version uint64 // 0: the row does not exist
	Failed  bool
	Took    time.Duration     // round trip to the store
	At      structs.Timestamp // the store's clock at the read
}

// ClaimFailed says that another write came first, or that the outcome of the
// claim is settled as not applied.
type ClaimFailed struct{}

// Tick lets the time pass.
type Tick struct{}

// Kind implements structs.Event.
func (Heard) Kind() string { return "leader_heard" }

// Kind implements structs.Event.
func (LinkLost) Kind() string { return "leader_link_lost" }

// Kind implements structs.Event.
func (RowRead) Kind() string { return "leader_row_read" }

// Kind implements structs.Event.
func (ClaimFailed) Kind() string { return "claim_failed" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// ReadRow reads the leadership row. It is answered by RowRead.
type ReadRow struct{}

// Claim writes the leadership row under the condition of Version. It is
// answered by ClaimFailed, or ends the follower.
type Claim struct {
	Epoch    structs.Epoch
	Version  uint64
	Previous Row
	At       structs.Timestamp // the store's clock, about now
	Reason   string
}

// Kind implements structs.Effect.
func (ReadRow) Kind() string { return "read_leader_row" }

// Kind implements structs.Effect.
func (Claim) Kind() string { return "claim" }

// Follower is the state of an instance that does not lead.
type Follower struct {
	self      structs.InstanceID
	process   uint64
	epoch     structs.Epoch // highest seen
	heardAt   structs.Timestamp
	healthyAt structs.Timestamp // the leader last reported that it reaches the store
	suspect   bool
	busy      bool // a read or a claim is on its way
	readAt    structs.Timestamp
	version   uint64            // of the row that was read last
	sinceAt   structs.Timestamp // when that version was first read
	seen      bool
	// lastRead is the version read last during this suspicion; rowChanged tells
	// that it was another one before.
	lastRead   uint64
	rowChanged bool
	roundTrip  time.Duration // to the store, smallest seen
	share      float64       // processor share of this instance, in cores
	strongest  float64
	stagger    float64       // between 0 and 1
	readPause  time.Duration // beyond readInterval, while the store is slow
}

// NewFollower returns a follower that knows no leader.
func NewFollower(self structs.InstanceID, process uint64, share float64, now structs.Timestamp) *Follower {
	return &Follower{self: self, process: process, heardAt: now.Add(-heartbeatSilence), healthyAt: now, roundTrip: maxDelay, share: share, strongest: unknownStrongest, stagger: stagger(self)}
}

// Reduce applies an event at time now and returns the effects to carry out.
func (f *Follower) Reduce(now structs.Timestamp, event structs.Event) []structs.Effect {
	switch e := event.(type) {
	case Heard:
		f.heard(now, e)
	case LinkLost:
		f.heardAt = now.Add(-heartbeatSilence)
	case RowRead:
		return f.rowRead(now, e)
	case ClaimFailed:
		f.busy, f.seen = false, false
		f.readAt = now
	case Tick:
		return f.tick(now)
	}
	return nil
}

func (f *Follower) heard(now structs.Timestamp, e Heard) {
	if e.Epoch < f.epoch {
		return
	}
	f.epoch = e.Epoch
	f.heardAt = now
	if e.Strongest > 0 {
		f.strongest = e.Strongest
	}
	if e.StoreHealthy {
		f.healthyAt = now
	}
}

func (f *Follower) tick(now structs.Timestamp) []structs.Effect {
	f.suspect = now.Sub(f.heardAt) >= heartbeatSilence || now.Sub(f.healthyAt) >= heartbeatSilence+storeSilence
	if !f.suspect {
		f.seen, f.lastRead, f.rowChanged = false, 0, false
		return nil
	}
	if f.busy || now.Sub(f.readAt) < readInterval+f.readPause {
		return nil
	}
	f.busy = true
	return []structs.Effect{ReadRow{}}
}

func (f *Follower) rowRead(now structs.Timestamp, e RowRead) []structs.Effect {
	f.busy = false
	f.readAt = now
	if e.Failed || !f.suspect {
		return nil
	}
	f.roundTrip = min(f.roundTrip, max(e.Took, 0))
	f.readPause = time.Duration(f.stagger * float64(f.slowness(e.Took)) / slowFactor)
	if f.lastRead != 0 && f.lastRead != e.Version {
		f.rowChanged = true
	}
	f.lastRead = e.Version
	if !f.seen || e.Version != f.version {
		f.seen, f.version, f.sinceAt = true, e.Version, now
	}
	f.epoch = max(f.epoch, e.Row.Epoch)
	reason, wait := f.claimReason(e)
	quiet := now.Sub(f.sinceAt)
	if reason == unchanged && now.Sub(f.heardAt) >= heartbeatSilence && !f.rowChanged {
		// A leader that is heard and does not reach the store may be back as
		// soon as the store is; only for others the age of the row counts. A
		// row that was written since the suspicion began has a living writer,
		// and its time is that of the beginning of the claim.
		quiet = max(quiet, e.At.Sub(e.Row.At))
	}
	if quiet < wait {
		return nil
	}
	f.busy = true
	return []structs.Effect{Claim{Epoch: e.Row.Epoch + 1, Version: e.Version, Previous: e.Row, At: e.At, Reason: reason}}
}

// claimReason returns why the row may be claimed and how long it must have
// stayed unchanged before that.
func (f *Follower) claimReason(e RowRead) (string, time.Duration) {
	lack := 1 - f.share/max(f.strongest, f.share)
	delay := min(nearFactor*f.roundTrip, maxDelay) + time.Duration(lack*float64(weakDelay))
	if delay < minDelay {
		delay = 0
	}
	switch {
	case e.Version == 0:
		return "no leader yet", delay
	case e.Row.Owner == "" && e.Row.Successor == f.self:
		return "released", 0
	case e.Row.Owner == "" && e.Row.Successor != "":
		return "released", successorTime + delay + f.slowness(e.Took)
	case e.Row.Owner == "":
		return "released", delay + f.slowness(e.Took)
	case e.Row.Owner == f.self && e.Row.Process != f.process:
		return "own earlier process", 0
	}
	return unchanged, rowSilence + delay + f.slowness(e.Took)
}

// slowness is how much longer a row may stay unchanged while the store is
// slow. Claims are spread over that time: a slow store serves them one after
// the other and refuses the leader's commits behind them.
func (f *Follower) slowness(took time.Duration) time.Duration {
	late := took - f.roundTrip
	if late < slowRead {
		return 0
	}
	return time.Duration((1 + f.stagger) * slowFactor * float64(late))
}

// stagger returns a fraction that differs between instances.
func stagger(id structs.InstanceID) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint32(sum[:])) / math.MaxUint32
}

// unchanged is the reason of a claim against a leader that has stopped.
const unchanged = "row unchanged"
