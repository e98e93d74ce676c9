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

// Holding is a credit for one executor. Its connections follow from its slots,
// see ConnectionsFor.
type Holding struct {
	Executor structs.ExecutorID `cbor:"1,keyasint"`
	Slots    int                `cbor:"2,keyasint,omitempty"`
	// Until is 0 if the credit ends at the Until of the message. Nearly all
	// do, which saves half of the bytes.
	Until structs.Timestamp `cbor:"4,keyasint,omitempty"`
}

// End returns the credit's end, given the Until of its message.
func (h Holding) End(common structs.Timestamp) structs.Timestamp {
	if h.Until == 0 {
		return common
	}
	return h.Until
}

// omitCommon clears the ends that equal the message's.
func omitCommon(holdings []Holding, common structs.Timestamp) {
	for i := range holdings {
		if holdings[i].Until == common {
			holdings[i].Until = 0
		}
	}
}

// SetHoldings lists holdings in the request, with their common end apart.
func (r *Request) SetHoldings(holdings []Holding) {
	for _, h := range holdings {
		r.Until = max(r.Until, h.Until)
	}
	omitCommon(holdings, r.Until)
	r.Holdings = holdings
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
	Sequence uint64            `cbor:"4,keyasint"`
	Holdings []Holding         `cbor:"5,keyasint"`
	Demands  []Demand          `cbor:"6,keyasint"`
	Until    structs.Timestamp `cbor:"7,keyasint"` // of the holdings that name no other end
}

// Grant is the owner's reply: everything that the instance may use of the
// shard's executors from now on.
type Grant struct {
	To       structs.InstanceID `cbor:"1,keyasint"`
	Region   structs.Region     `cbor:"2,keyasint"`
	Epoch    structs.Epoch      `cbor:"3,keyasint"`
	Sequence uint64             `cbor:"4,keyasint"` // of the request that it answers
	Holdings []Holding          `cbor:"5,keyasint"`
	Until    structs.Timestamp  `cbor:"6,keyasint"` // of the holdings that name no other end
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
