package ownership

import (
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Shard identifies a shard and the region of its failure domains.
type Shard struct {
	ID     structs.ShardID
	Region structs.Region
}

// Config holds the identity of this process and the timing of leases.
type Config struct {
	Self        structs.InstanceInfo
	Incarnation uint64 // identifies this process among all processes of Self
	Shards      []Shard

	Lease         time.Duration // length of a lease; 6 s if zero
	RenewInterval time.Duration // interval between lease renewals; 2 s if zero
	RetryDelay    time.Duration // wait after a failed call; 500 ms if zero
	ClockBound    time.Duration // maximum difference between two clocks; provider.ClockBound if zero
	Horizon       time.Duration // length of the lease horizon; 75 min if zero, so that task leases survive a store outage of an hour
	// HorizonStep is the part of Horizon that may elapse before a renewal extends
	// the lease horizon; 1/75 of Horizon if zero, which is 1 min by default.
	HorizonStep time.Duration

	// InjectedFaults disables safety mechanisms, so that fault tests can prove
	// that they detect the resulting faults. It is zero in production.
	InjectedFaults InjectedFaults
}

// InjectedFaults selects deliberate faults for tests.
type InjectedFaults struct {
	SkipExpiryWait bool // take over without waiting for the expiry
	SkipReadBack   bool // treat an unknown outcome as a success
}

func (c Config) withDefaults() Config {
	setDefault(&c.Lease, 6*time.Second)
	setDefault(&c.RenewInterval, 2*time.Second)
	setDefault(&c.RetryDelay, 500*time.Millisecond)
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

// LiveChanged reports the instances that this instance considers live.
type LiveChanged struct{ Instances []structs.InstanceInfo }

// ShardsListed adds shards that are not known yet. It removes none, because a
// list can be incomplete.
type ShardsListed struct{ Shards []Shard }

// RowRead is the result of ReadRow. ErrKind is empty if Row and Version are
// valid, errs.NotFound if the row is absent, and errs.InvalidInput if it is
// malformed.
type RowRead struct {
	Shard   structs.ShardID
	Row     Row
	Version uint64
	ErrKind errs.Kind
}

// WriteEnded is the result of WriteRow. Version is the row's version after a
// successful write.
type WriteEnded struct {
	Shard   structs.ShardID
	Version uint64
	ErrKind errs.Kind
}

// HandOver hands a shard over to a successor. The caller must have flushed the
// shard's journal and sent its state. This process no longer owns the shard when
// Reduce returns.
type HandOver struct {
	Shard structs.ShardID
	To    structs.InstanceID
}

// HandOverReceived notifies the successor that the owner has handed the shard
// over. The successor reads the row immediately.
type HandOverReceived struct{ Shard structs.ShardID }

// Tick advances the time. It must be sent every 250 ms, because the bound on the
// time without an owner includes one tick.
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

// ReadRow requests a read of the shard's row. Exactly one RowRead must follow.
type ReadRow struct{ Shard structs.ShardID }

// WriteRow requests a conditional write of the shard's row. Exactly one
// WriteEnded must follow; a timeout counts as errs.OutcomeUnknown.
type WriteRow struct {
	Shard     structs.ShardID
	Row       Row
	IfVersion uint64
	// RaisesEpoch is true for a takeover, whose transaction also writes the epoch
	// row.
	RaisesEpoch bool
}

// Acquired reports that this process owns the shard. The owner must load the
// journal before it places any task. Tasks on workers that do not answer may
// run until PreviousHorizon plus the clock bound.
type Acquired struct {
	Shard           structs.ShardID
	Epoch           structs.Epoch
	PreviousHorizon structs.Timestamp
}

// Lost reports that this process no longer owns the shard.
type Lost struct {
	Shard structs.ShardID
	Epoch structs.Epoch // the epoch that was lost
}

// HorizonExtended reports that task leases may be granted with an end up to
// Until.
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

// Status is the ownership status of a shard. It determines what this process may
// do for the shard.
type Status int

// Values of Status.
const (
	NotOwner Status = iota
	// LeaseExpired means that the lease expired without a confirmed renewal. Task
	// leases, credits and running requests continue up to the lease horizon, but
	// no new work starts.
	LeaseExpired
	// Owner means that the lease is valid by this instance's clock.
	Owner
)
