package credits

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Lease is the length of a credit. It is longer than the 7.5 s for which a
// shard may have no owner.
const Lease = 15 * time.Second

// RequestInterval is how often a holder reports and renews, RequestMinGap how
// soon it may report again when its demand changed, and ReturnMinGap when it
// returns slots that others wait for.
const (
	RequestInterval = 2 * time.Second
	RequestMinGap   = 50 * time.Millisecond
	ReturnMinGap    = 5 * time.Millisecond
)

// Holding is a credit for one executor.
type Holding struct {
	Executor    structs.ExecutorID `cbor:"1,keyasint"`
	Slots       int                `cbor:"2,keyasint"`
	Connections int                `cbor:"3,keyasint"`
	Until       structs.Timestamp  `cbor:"4,keyasint"`
}

// Demand is the number of slots of a service that an instance can use now:
// those in use and its queued requests.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"`
}

// Request reports what an instance holds and needs. Slots that it held
// before and does not list any more are returned by it: the holder has
// stopped using them before it sends the request.
type Request struct {
	From     structs.InstanceID `cbor:"1,keyasint"`
	Location structs.Location   `cbor:"2,keyasint"`
	// Epoch is the newest owner epoch that the instance acknowledged. It
	// refuses grants of older epochs.
	Epoch structs.Epoch `cbor:"3,keyasint"`
	// Sequence orders the requests of one instance, also over its restarts.
	Sequence uint64    `cbor:"4,keyasint"`
	Holdings []Holding `cbor:"5,keyasint"`
	Demands  []Demand  `cbor:"6,keyasint"`
}

// Grant is the owner's reply: everything that the instance may use of the
// shard's executors from now on.
type Grant struct {
	To       structs.InstanceID `cbor:"1,keyasint"`
	Region   structs.Region     `cbor:"2,keyasint"`
	Epoch    structs.Epoch      `cbor:"3,keyasint"`
	Sequence uint64             `cbor:"4,keyasint"` // of the request that it answers
	Holdings []Holding          `cbor:"5,keyasint"`
}

// Message is what instances exchange: exactly one field is set.
type Message struct {
	Region  structs.Region `cbor:"1,keyasint"` // whose executors it concerns
	Request *Request       `cbor:"2,keyasint,omitempty"`
	Grant   *Grant         `cbor:"3,keyasint,omitempty"`
}

// ConnectionsFor returns the connections that come with the given number of
// an executor's slots. The shares of all holders never sum up to more than
// the executor's connections.
func ConnectionsFor(e structs.Executor, slots int) int {
	usable := UsableSlots(e)
	if usable == 0 {
		return 0
	}
	return min(slots, usable) * (e.Connections / usable)
}

// UsableSlots returns the slots that have a connection.
func UsableSlots(e structs.Executor) int { return max(0, min(e.Slots, e.Connections)) }
