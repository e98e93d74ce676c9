package membership

import (
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Status is the state of an instance in the view of another one.
type Status string

// Statuses. Only Live instances receive new work and are candidates for
// shards. Suspect covers instances that are listed but not heard yet.
const (
	Unknown Status = "unknown" // neither listed nor heard
	Suspect Status = "suspect"
	Live    Status = "live"
	Leaving Status = "leaving" // finishes what it has, takes nothing new
	Drained Status = "drained" // leaving, and nothing is left on it
	Dead    Status = "dead"    // silent for DeadAfter; may come back
	Gone    Status = "gone"    // ended by the platform; only a new incarnation comes back
)

// Config holds the timing of the failure detector.
type Config struct {
	Self        structs.InstanceInfo
	Incarnation uint64 // of this process; larger than that of every earlier process of Self

	SuspectAfter time.Duration // silence until Suspect; 3 s if zero
	DeadAfter    time.Duration // silence until Dead; 6 s if zero
	ReviveBeats  int           // consecutive heartbeats until Live again; 2 if zero
}

func (c Config) withDefaults() Config {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = 3 * time.Second
	}
	if c.DeadAfter == 0 {
		c.DeadAfter = 6 * time.Second
	}
	if c.ReviveBeats == 0 {
		c.ReviveBeats = 2
	}
	return c
}

// maxBeatAge is the age from which a heartbeat says nothing about the present:
// the sender may have died since. It includes the difference of two clocks.
func (c Config) maxBeatAge() time.Duration { return c.SuspectAfter + provider.ClockBound }

// DirectoryListed carries the directory's list of instances.
type DirectoryListed struct{ Instances []structs.InstanceInfo }

// HeartbeatReceived carries one heartbeat of another instance.
type HeartbeatReceived struct {
	From        structs.InstanceID
	Incarnation uint64            // grows with every process of From
	At          structs.Timestamp // sender's clock when it was sent; 0 if unknown
	// Info replaces what is known about From; nil keeps it. An instance that
	// the directory does not list is usable only with its Info.
	Info *structs.InstanceInfo
	// Phase is the sender's own state: Live, Leaving or Drained; empty means Live.
	Phase Status
}

// SelfPhase changes the state of this instance: Live, Leaving or Drained.
type SelfPhase struct{ Phase Status }

// Tick lets time pass; it is due at least every 500 ms.
type Tick struct{}

// Kind implements structs.Event.
func (DirectoryListed) Kind() string { return "directory-listed" }

// Kind implements structs.Event.
func (HeartbeatReceived) Kind() string { return "heartbeat-received" }

// Kind implements structs.Event.
func (SelfPhase) Kind() string { return "self-phase" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "membership-tick" }

// InstanceChanged tells that the status or the incarnation of an instance
// changed. Restarted is true if a new process replaced the one known before;
// a mere pause keeps the incarnation.
type InstanceChanged struct {
	ID          structs.InstanceID
	Status      Status
	Incarnation uint64
	Restarted   bool
}

// Kind implements structs.Effect.
func (InstanceChanged) Kind() string { return "instance-changed" }
