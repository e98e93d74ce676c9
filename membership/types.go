package membership

import (
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Status is the status of an instance as seen by another instance.
type Status string

// Statuses of an instance. Only Live instances receive new work and are
// candidates for shards. Suspect includes instances that are listed but have
// not sent a heartbeat yet.
const (
	Unknown Status = "unknown" // neither listed nor known by a heartbeat
	Suspect Status = "suspect"
	Live    Status = "live"
	Leaving Status = "leaving" // finishes its current work and accepts no new work
	Drained Status = "drained" // leaving, and all its work is finished or handed over
	Dead    Status = "dead"    // no heartbeat for DeadAfter; may become Live again
	Gone    Status = "gone"    // ended by the platform; only a new incarnation becomes Live again
)

// Config holds the timing of the failure detector.
type Config struct {
	Self        structs.InstanceInfo
	Incarnation uint64 // incarnation of this process; larger than that of every earlier process of Self

	SuspectAfter     time.Duration // time without a heartbeat until Suspect; 3 s if zero
	DeadAfter        time.Duration // time without a heartbeat until Dead; 6 s if zero
	ReviveHeartbeats int           // consecutive heartbeats until Live after Suspect or Dead; 2 if zero
}

func (c Config) withDefaults() Config {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = 3 * time.Second
	}
	if c.DeadAfter == 0 {
		c.DeadAfter = 6 * time.Second
	}
	if c.ReviveHeartbeats == 0 {
		c.ReviveHeartbeats = 2
	}
	return c
}

// maxHeartbeatAge is the age above which a heartbeat is ignored, because the
// sender may have failed since. It allows for the clock difference between two
// instances.
func (c Config) maxHeartbeatAge() time.Duration { return c.SuspectAfter + provider.ClockBound }

// InstancesListed carries the directory's list of instances.
type InstancesListed struct{ Instances []structs.InstanceInfo }

// HeartbeatReceived carries one heartbeat from another instance.
type HeartbeatReceived struct {
	From        structs.InstanceID
	Incarnation uint64            // grows with every process of From
	At          structs.Timestamp // sender's clock when it was sent; 0 if unknown
	// Info replaces the stored information about From; nil keeps it. An
	// instance that the directory does not list can be reached only with it.
	Info *structs.InstanceInfo
	// Status is the sender's own status: Live, Leaving or Drained; empty means Live.
	Status Status
}

// SelfStatusChanged changes the status of this instance to Live, Leaving or
// Drained.
type SelfStatusChanged struct{ Status Status }

// Tick advances the time; it must be sent at least every 500 ms.
type Tick struct{}

// Kind implements structs.Event.
func (InstancesListed) Kind() string { return "directory-listed" }

// Kind implements structs.Event.
func (HeartbeatReceived) Kind() string { return "heartbeat-received" }

// Kind implements structs.Event.
func (SelfStatusChanged) Kind() string { return "self-phase" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "membership-tick" }

// InstanceChanged reports that the status or the incarnation of an instance
// changed. Restarted is true if a new process has replaced the previous one; a
// pause of the process does not change the incarnation.
type InstanceChanged struct {
	ID          structs.InstanceID
	Status      Status
	Incarnation uint64
	Restarted   bool
}

// Kind implements structs.Effect.
func (InstanceChanged) Kind() string { return "instance-changed" }
