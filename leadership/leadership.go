// Package leadership decides when an instance claims the leadership of a cell. It
// is a reducer that reads no clock and does no I/O.
//
// The leadership is a row in the table store. Every commit of the leader rewrites
// the row on the condition that its version is unchanged. A claim is a conditional
// write too, so it succeeds only if the leader has not committed since the row was
// read. A running leader that reaches the store commits at least every
// CommitInterval. If the row does not change for longer than that, there is no
// such leader.
package leadership

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Row is the stored leadership row.
type Row struct {
	Epoch       structs.Epoch      `cbor:"1,keyasint"` // lowest fencing token of the leader, raised by each claim
	Owner       structs.InstanceID `cbor:"2,keyasint"` // empty after a planned release
	Process     uint64             `cbor:"3,keyasint"` // distinguishes successive processes of an instance
	Address     string             `cbor:"4,keyasint"` // address for peers
	Sequence    uint64             `cbor:"5,keyasint"` // sequence number of the commit
	CommittedAt structs.Timestamp  `cbor:"6,keyasint"` // time of the commit on the store's clock
	// Successor is the instance that should claim a released leadership. Other
	// instances claim it only if the successor does not.
	Successor structs.InstanceID `cbor:"7,keyasint,omitempty"`
}

const (
	// CommitInterval is the longest time between two commits of a running leader.
	CommitInterval = 150 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 125 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a follower
	// suspects the leader and reads the row. It covers three heartbeats.
	heartbeatTimeout = 3*HeartbeatInterval + 25*time.Millisecond
	// MinUnchangedTime is how long the row of a leader that sends no heartbeats
	// must be unchanged before a claim. It covers two commits, each with a one-way
	// latency of 30 ms and its read-back.
	MinUnchangedTime = 400 * time.Millisecond
	// minUnchangedTimeIfHeard is the same time for a leader that sends heartbeats
	// but does not reach the store. The leader and its followers notice the store's
	// return at about the same time, and the leader needs no recovery.
	minUnchangedTimeIfHeard = 800 * time.Millisecond
	// readInterval is the time between reads of the row while the leader is
	// suspected.
	readInterval = 200 * time.Millisecond
	// storeUnhealthyTimeout is how long, beyond heartbeatTimeout, the heartbeats
	// of a leader may report that it does not reach the store.
	storeUnhealthyTimeout = time.Second
	// distanceDelayFactor is the claim delay per round-trip time to the store. It
	// gives preference to instances near the store, whose commits take a fraction
	// of the time.
	distanceDelayFactor = 4
	// maxDistanceDelay limits that delay.
	maxDistanceDelay = 400 * time.Millisecond
	// minClaimDelay is the shortest delay that justifies another read of the row.
	// Shorter delays are ignored.
	minClaimDelay = 10 * time.Millisecond
	// maxShareDelay is multiplied by the share of processors that an instance
	// lacks compared with the largest one, and added to its claim delay. It gives
	// preference to instances that can handle the load of a leader. A claim is
	// attempted every readInterval.
	maxShareDelay = 700 * time.Millisecond
	// successorGrace is how long the other instances leave the claim to the named
	// successor. It covers a read and a transaction from the far region.
	successorGrace = 300 * time.Millisecond
	// slowFactor is the largest expected delay of a commit while the store is
	// slow, as a multiple of the delay of a read. A transaction takes twice as
	// long as a read, and it may have to wait for another one.
	slowFactor = 4
	// slowReadThreshold is the delay of a read from which the store counts as
	// slow. Shorter delays can be caused by load on the instance itself.
	slowReadThreshold = 50 * time.Millisecond
	// defaultMaxShare is the assumed largest processor share until a heartbeat
	// contains it.
	defaultMaxShare = 1.0
)

// HeartbeatReceived reports a heartbeat from a leader.
type HeartbeatReceived struct {
	Epoch             structs.Epoch
	StoreHealthy      bool
	MaxProcessorShare float64 // largest processor share of any instance, in cores
}

// ConnectionLost reports that the connection from the leader was closed.
type ConnectionLost struct{}

// RowRead is the result of ReadRow.
type RowRead struct {
	Row       Row
	Version   uint64 // 0 if the row does not exist
	Failed    bool
	RoundTrip time.Duration     // round trip to the store
	StoreTime structs.Timestamp // time on the store's clock at the read
}

// ClaimFailed reports that another write preceded the claim, or that the claim is
// known not to be applied.
type ClaimFailed struct{}

// Tick triggers the work that depends on time.
type Tick struct{}

// Kind implements structs.Event.
func (HeartbeatReceived) Kind() string { return "leader_heard" }

// Kind implements structs.Event.
func (ConnectionLost) Kind() string { return "leader_link_lost" }

// Kind implements structs.Event.
func (RowRead) Kind() string { return "leader_row_read" }

// Kind implements structs.Event.
func (ClaimFailed) Kind() string { return "claim_failed" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// ReadRow reads the leadership row. It is answered by RowRead.
type ReadRow struct{}

// Claim writes the leadership row on the condition that it still has the given
// version. It is answered by ClaimFailed; if it succeeds, the follower ends.
type Claim struct {
	Epoch     structs.Epoch
	Version   uint64
	Previous  Row
	StoreTime structs.Timestamp // approximate current time on the store's clock
	Reason    string
}

// Kind implements structs.Effect.
func (ReadRow) Kind() string { return "read_leader_row" }

// Kind implements structs.Effect.
func (Claim) Kind() string { return "claim" }

// Follower is the state of an instance that does not lead. It is not safe for
// concurrent use.
type Follower struct {
	self            structs.InstanceID
	process         uint64
	epoch           structs.Epoch // highest known epoch
	heartbeatAt     structs.Timestamp
	storeHealthyAt  structs.Timestamp // when the leader last reported that it reaches the store
	leaderSuspected bool
	suspectedSince  structs.Timestamp
	requestPending  bool // a read or a claim is in flight
	lastReadAt      structs.Timestamp
	rowVersion      uint64            // version of the row in the last read
	unchangedSince  structs.Timestamp // when that version was first read
	versionKnown    bool
	// lastReadVersion is the version of the last read since the leader became
	// suspected, or 0. rowChanged is true if earlier reads since then returned
	// another version.
	lastReadVersion uint64
	rowChanged      bool
	roundTrip       time.Duration // smallest observed round-trip time to the store
	processorShare  float64       // processor share of this instance, in cores
	maxShare        float64
	stagger         float64       // fraction from 0 to 1 that differs between instances and spreads their delays
	extraReadDelay  time.Duration // added to readInterval while the store is slow
}

// NewFollower returns a follower that does not know a leader.
func NewFollower(self structs.InstanceID, process uint64, share float64, now structs.Timestamp) *Follower {
	return &Follower{
		self: self, process: process, heartbeatAt: now.Add(-heartbeatTimeout), storeHealthyAt: now, lastReadAt: now.Add(-readInterval),
		roundTrip: maxDistanceDelay, processorShare: share, maxShare: defaultMaxShare, stagger: stagger(self),
	}
}

// Reduce applies an event at time now and returns the effects to carry out.
func (f *Follower) Reduce(now structs.Timestamp, event structs.Event) []structs.Effect {
	switch e := event.(type) {
	case HeartbeatReceived:
		f.heartbeatReceived(now, e)
	case ConnectionLost:
		f.heartbeatAt = now.Add(-heartbeatTimeout)
	case RowRead:
		return f.rowRead(now, e)
	case ClaimFailed:
		f.requestPending, f.versionKnown = false, false
		f.lastReadAt = now
	case Tick:
		return f.tick(now)
	}
	return nil
}

// heartbeatReceived records a heartbeat. It ignores those of earlier leaders.
func (f *Follower) heartbeatReceived(now structs.Timestamp, e HeartbeatReceived) {
	if e.Epoch < f.epoch {
		return
	}
	f.epoch = e.Epoch
	f.heartbeatAt = now
	if e.MaxProcessorShare > 0 {
		f.maxShare = e.MaxProcessorShare
	}
	if e.StoreHealthy {
		f.storeHealthyAt = now
	}
}

// tick updates whether the leader is suspected, and reads the row if it is.
func (f *Follower) tick(now structs.Timestamp) []structs.Effect {
	suspected := now.Sub(f.heartbeatAt) >= heartbeatTimeout || now.Sub(f.storeHealthyAt) >= heartbeatTimeout+storeUnhealthyTimeout
	if suspected && !f.leaderSuspected {
		f.suspectedSince = now
	}
	f.leaderSuspected = suspected
	if !f.leaderSuspected {
		f.versionKnown, f.lastReadVersion, f.rowChanged = false, 0, false
		return nil
	}
	if f.requestPending || now.Sub(f.lastReadAt) < readInterval+f.extraReadDelay {
		return nil
	}
	f.requestPending = true
	return []structs.Effect{ReadRow{}}
}

// rowRead claims the leadership if the row allows it.
func (f *Follower) rowRead(now structs.Timestamp, e RowRead) []structs.Effect {
	f.requestPending = false
	f.lastReadAt = now
	if e.Failed || !f.leaderSuspected {
		return nil
	}
	f.roundTrip = min(f.roundTrip, max(e.RoundTrip, 0))
	f.extraReadDelay = time.Duration(f.stagger * float64(f.slowStoreDelay(e.RoundTrip)) / slowFactor)
	if f.lastReadVersion != 0 && f.lastReadVersion != e.Version {
		f.rowChanged = true
	}
	f.lastReadVersion = e.Version
	if !f.versionKnown || e.Version != f.rowVersion {
		f.versionKnown, f.rowVersion, f.unchangedSince = true, e.Version, now
	}
	f.epoch = max(f.epoch, e.Row.Epoch)
	heard := now.Sub(f.heartbeatAt) < heartbeatTimeout
	reason, wait := f.claimReason(e, heard)
	if reason == reasonUnchanged && now.Sub(f.suspectedSince) < f.preferenceDelay() {
		return nil // an old row gives no preference after a loss of power of all instances
	}
	unchangedFor := now.Sub(f.unchangedSince)
	if reason == reasonUnchanged && !heard && !f.rowChanged {
		// The age of the row counts only if no heartbeats arrive: a leader that
		// sends heartbeats but does not reach the store may commit as soon as the
		// store recovers. A row that has changed since the leader became suspected
		// was written by a running leader, and its time is only that of the start
		// of the claim.
		unchangedFor = max(unchangedFor, e.StoreTime.Sub(e.Row.CommittedAt))
	}
	if unchangedFor < wait {
		return nil
	}
	f.requestPending = true
	return []structs.Effect{Claim{Epoch: e.Row.Epoch.Next(), Version: e.Version, Previous: e.Row, StoreTime: e.StoreTime, Reason: reason}}
}

// preferenceDelay returns how long this instance leaves the claim to instances that
// are nearer to the store or have more processors.
func (f *Follower) preferenceDelay() time.Duration {
	missingShare := 1 - f.processorShare/max(f.maxShare, f.processorShare)
	delay := min(distanceDelayFactor*f.roundTrip, maxDistanceDelay) + time.Duration(missingShare*float64(maxShareDelay))
	if delay < minClaimDelay {
		return 0
	}
	return delay
}

// claimReason returns the reason for a claim and how long the row must have been
// unchanged before it. heard means that the leader sends heartbeats.
func (f *Follower) claimReason(e RowRead, heard bool) (string, time.Duration) {
	delay := f.preferenceDelay()
	switch {
	case e.Version == 0:
		return "no leader yet", delay
	case e.Row.Owner == "" && e.Row.Successor == f.self:
		return "released", 0
	case e.Row.Owner == "" && e.Row.Successor != "":
		return "released", successorGrace + delay + f.slowStoreDelay(e.RoundTrip)
	case e.Row.Owner == "":
		return "released", delay + f.slowStoreDelay(e.RoundTrip)
	case e.Row.Owner == f.self && e.Row.Process != f.process:
		return "own earlier process", 0
	}
	unchanged := MinUnchangedTime
	if heard {
		unchanged = minUnchangedTimeIfHeard
	}
	return reasonUnchanged, unchanged + delay + f.slowStoreDelay(e.RoundTrip)
}

// slowStoreDelay returns how much longer the row may be unchanged while the store
// is slow, given the time that a read took. The delay differs between instances: a
// slow store serves claims sequentially, and commits of the leader that wait behind
// them are refused.
func (f *Follower) slowStoreDelay(took time.Duration) time.Duration {
	late := took - f.roundTrip
	if late < slowReadThreshold {
		return 0
	}
	return time.Duration((1 + f.stagger) * slowFactor * float64(late))
}

// stagger returns a fraction derived from the identifier of an instance, to spread
// actions of the instances over time.
func stagger(id structs.InstanceID) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint32(sum[:])) / math.MaxUint32
}

// reasonUnchanged is the reason of a claim when the leader no longer commits.
const reasonUnchanged = "row unchanged"
