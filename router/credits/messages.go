package credits

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Lease is the duration of a credit. It exceeds the 7.5 s for which a shard may
// have no owner.
const Lease = 15 * time.Second

// RequestInterval is the interval at which a holder sends requests to report
// its demand and renew its credits. MinRequestInterval is the minimum time
// between requests if its demand changed, MinReturnInterval if it returns
// reclaimed slots.
const (
	RequestInterval    = 2 * time.Second
	MinRequestInterval = 50 * time.Millisecond
	MinReturnInterval  = 5 * time.Millisecond
)

// Holding is a credit for one executor. Its connections follow from its slots,
// see ConnectionsFor.
type Holding struct {
	Executor structs.ExecutorID `cbor:"1,keyasint"`
	Slots    int                `cbor:"2,keyasint,omitempty"`
	// Until is the end of the credit, or 0 if it is the Until of the message.
	// Nearly all credits end then, and omitting it saves half of the bytes.
	Until structs.Timestamp `cbor:"4,keyasint,omitempty"`
}

// End returns the credit's end, given the Until of its message.
func (h Holding) End(common structs.Timestamp) structs.Timestamp {
	if h.Until == 0 {
		return common
	}
	return h.Until
}

// omitCommonEnds clears the ends that equal the common end of the message.
func omitCommonEnds(holdings []Holding, common structs.Timestamp) {
	for i := range holdings {
		if holdings[i].Until == common {
			holdings[i].Until = 0
		}
	}
}

// SetHoldings sets the holdings of the request and their common end. It
// modifies holdings.
func (r *Request) SetHoldings(holdings []Holding) {
	for _, h := range holdings {
		r.Until = max(r.Until, h.Until)
	}
	omitCommonEnds(holdings, r.Until)
	r.Holdings = holdings
}

// Demand is the number of slots of a service that an instance can use now:
// those in use and its queued requests.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"`
}

// Request reports what an instance holds and needs. Slots that it held before
// and no longer lists are returned: the instance stops using them before it
// sends the request.
type Request struct {
	From     structs.InstanceID `cbor:"1,keyasint"`
	Location structs.Location   `cbor:"2,keyasint"`
	// Epoch is the newest owner epoch that the instance acknowledged. It
	// refuses grants of older epochs.
	Epoch structs.Epoch `cbor:"3,keyasint"`
	// Sequence orders the requests of one instance, also across restarts.
	Sequence uint64            `cbor:"4,keyasint"`
	Holdings []Holding         `cbor:"5,keyasint"`
	Demands  []Demand          `cbor:"6,keyasint"`
	Until    structs.Timestamp `cbor:"7,keyasint"` // end of the holdings without an end of their own
}

// Grant is the owner's reply. It lists everything that the instance may use of
// the shard's executors from now on.
type Grant struct {
	To       structs.InstanceID `cbor:"1,keyasint"`
	Region   structs.Region     `cbor:"2,keyasint"`
	Epoch    structs.Epoch      `cbor:"3,keyasint"`
	Sequence uint64             `cbor:"4,keyasint"` // of the request to which it replies
	Holdings []Holding          `cbor:"5,keyasint"`
	Until    structs.Timestamp  `cbor:"6,keyasint"` // end of the holdings without an end of their own
}

// Message is a message between instances. Exactly one of Request and Grant is
// set.
type Message struct {
	Region  structs.Region `cbor:"1,keyasint"` // region of the executors
	Request *Request       `cbor:"2,keyasint,omitempty"`
	Grant   *Grant         `cbor:"3,keyasint,omitempty"`
}

// ConnectionsFor returns the number of connections that belong to the given
// number of an executor's slots. The sum over all holders never exceeds the
// executor's connections.
func ConnectionsFor(e structs.Executor, slots int) int {
	usable := UsableSlots(e)
	if usable == 0 {
		return 0
	}
	return min(slots, usable) * (e.Connections / usable)
}

// UsableSlots returns the number of slots that have a connection.
func UsableSlots(e structs.Executor) int { return max(0, min(e.Slots, e.Connections)) }
