package ownership

import (
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Shard is a shard and the region of its failure domains.
type Shard struct {
	ID     structs.ShardID
	Region structs.Region
}

// Config holds the identity of this process and the timing of leases.
type Config struct {
	Self        structs.InstanceInfo
	Incarnation uint64 // of this process; differs from that of every other process of Self
	Shards      []Shard

	Lease      time.Duration // length of a lease; 6 s if zero
	RenewEvery time.Duration // 2 s if zero
	Retry      time.Duration // wait after a failed call; 500 ms if zero
	ClockBound time.Duration // provider.ClockBound if zero
	Horizon    time.Duration // 75 min if zero: task leases survive a store outage of an hour
	// HorizonStep is how much of the horizon may be used up before a renewal
	// extends it; a 75th of Horizon if zero, which is 1 min.
	HorizonStep time.Duration

	// Defects switches mechanisms off so that fault tests can prove that they
	// notice. Production code leaves it zero.
	Defects Defects
}

// Defects are deliberate faults for tests.
type Defects struct {
	SkipWait     bool // take over without waiting for the expiry
	SkipReadBack bool // take an unknown outcome for a success
}

func (c Config) withDefaults() Config {
	setDefault(&c.Lease, 6*time.Second)
	setDefault(&c.RenewEvery, 2*time.Second)
	setDefault(&c.Retry, 500*time.Millisecond)
	setDefault(&c.ClockBound, provider.ClockBound)
	setDefault(&c.Horizon, 75*time.Minute)
	setDefault(&c.HorizonStep, c.Horizon/75)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// LiveChanged carries the live instances in this instance's view.
type LiveChanged struct{ Instances []structs.InstanceInfo }

// ShardsListed adds the shards that are not known yet. None is removed: a list
// can be incomplete.
type ShardsListed struct{ Shards []Shard }

// RowRead answers ReadRow. ErrKind is empty if Row and Version are valid,
// errs.NotFound if the row is absent, errs.InvalidInput if it is malformed.
type RowRead struct {
	Shard   structs.ShardID
	Row     Row
	Version uint64
	ErrKind errs.Kind
}

// WriteEnded answers WriteRow. Version is the row's version after a success.
type WriteEnded struct {
	Shard   structs.ShardID
	Version uint64
	ErrKind errs.Kind
}

// HandOver gives a shard to a successor. The caller has flushed the shard's
// journal and sent its state before; the shard is lost when Reduce returns.
type HandOver struct {
	Shard structs.ShardID
	To    structs.InstanceID
}

// HandOverReceived tells the successor that the owner has handed the shard
// over, so it reads the row at once.
type HandOverReceived struct{ Shard structs.ShardID }

// Tick lets time pass. It is due every 250 ms: the bound without an owner
// contains one tick.
type Tick struct{}

// Kind implements structs.Event.
func (LiveChanged) Kind() string { return "live-changed" }

// Kind implements structs.Event.
func (ShardsListed) Kind() string { return "shards-listed" }

// Kind implements structs.Event.
func (RowRead) Kind() string { return "row-read" }

// Kind implements structs.Event.
func (WriteEnded) Kind() string { return "write-ended" }

// Kind implements structs.Event.
func (HandOver) Kind() string { return "hand-over" }

// Kind implements structs.Event.
func (HandOverReceived) Kind() string { return "hand-over-received" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "ownership-tick" }

// ReadRow asks for the shard's row. It is answered by exactly one RowRead.
type ReadRow struct{ Shard structs.ShardID }

// WriteRow asks for a conditional write of the shard's row. It is answered by
// exactly one WriteEnded; a timeout counts as errs.OutcomeUnknown.
type WriteRow struct {
	Shard     structs.ShardID
	Row       Row
	IfVersion uint64
	// RaisesEpoch is true for a takeover, whose transaction writes the epoch
	// row as well.
	RaisesEpoch bool
}

// Acquired tells that this process owns the shard. Before it places anything,
// the owner loads the journal; tasks on workers that do not answer may run
// until PreviousHorizon plus the clock bound.
type Acquired struct {
	Shard           structs.ShardID
	Epoch           structs.Epoch
	PreviousHorizon structs.Timestamp
}

// Lost tells that this process does not own the shard any more.
type Lost struct {
	Shard structs.ShardID
	Epoch structs.Epoch // that was lost
}

// HorizonExtended tells that lease ends up to Until may be granted.
type HorizonExtended struct {
	Shard structs.ShardID
	Until structs.Timestamp
}

// Kind implements structs.Effect.
func (ReadRow) Kind() string { return "read-shard-row" }

// Kind implements structs.Effect.
func (WriteRow) Kind() string { return "write-shard-row" }

// Kind implements structs.Effect.
func (Acquired) Kind() string { return "shard-acquired" }

// Kind implements structs.Effect.
func (Lost) Kind() string { return "shard-lost" }

// Kind implements structs.Effect.
func (HorizonExtended) Kind() string { return "horizon-extended" }

// Standing is what this process may do for a shard.
type Standing int

// Standings.
const (
	NotOwner Standing = iota
	// Holding: the lease lapsed without a confirmed renewal. Task leases,
	// credits and running requests go on up to the horizon; nothing new starts.
	Holding
	// Owner: the lease is valid by this instance's clock.
	Owner
)
