package standin

import (
	"math/rand/v2"
	"time"

	"github.com/mangodrum/mangodrum/errs"
)

// NetworkFault is a fault of the simulated network or store.
type NetworkFault int

// Network faults.
const (
	MessagesLost NetworkFault = iota
	MessagesDelayed
	MessagesDuplicated
	MessagesReordered
	StoreDown
	StoreSlow
	RepliesLost      // replies of store calls that took effect
	NumNetworkFaults // number of faults
)

// CallTimeout is how long a caller waits for a reply of the store.
const CallTimeout = 2 * time.Second

// Network simulates messages and store calls in virtual time.
type Network struct {
	Clock
	Rand   *rand.Rand
	Active [NumNetworkFaults]int // a fault is active if its count is above 0
}

// Random returns a random duration below d.
func (n *Network) Random(d time.Duration) time.Duration {
	return time.Duration(n.Rand.Int64N(int64(d)))
}

// affects reports whether a fault affects the current message or call. An active
// fault affects half of them at random.
func (n *Network) affects(f NetworkFault) bool { return n.Active[f] > 0 && n.Rand.IntN(2) == 0 }

// Message schedules receive for the time at which a message arrives. Depending on
// the active faults, receive runs never, once or twice.
func (n *Network) Message(receive func()) {
	if n.affects(MessagesLost) {
		return
	}
	delay := time.Millisecond + n.Random(20*time.Millisecond)
	if n.affects(MessagesDelayed) {
		delay += n.Random(8 * time.Second)
	}
	if n.Active[MessagesReordered] > 0 {
		delay += n.Random(400 * time.Millisecond)
	}
	n.After(delay, receive)
	if n.affects(MessagesDuplicated) {
		n.After(delay+n.Random(3*time.Second), receive)
	}
}

// Call schedules a store call: exec runs at the store, then reply runs with an
// empty kind, or with the kind of the error if the call fails. A call that timed
// out may still take effect later.
func (n *Network) Call(exec func(), reply func(errs.Kind)) {
	request := time.Millisecond + n.Random(5*time.Millisecond)
	if n.Active[StoreSlow] > 0 {
		request += n.Random(2 * CallTimeout)
	}
	if n.Active[StoreDown] > 0 {
		if n.Rand.IntN(2) == 0 {
			n.After(request, func() { reply(errs.NotRun) })
			return
		}
		n.After(CallTimeout, func() { reply(errs.OutcomeUnknown) })
		return
	}
	lost := n.affects(RepliesLost) || request >= CallTimeout
	if lost {
		n.After(request, exec)
		n.After(CallTimeout, func() { reply(errs.OutcomeUnknown) })
		return
	}
	n.After(request, func() {
		exec()
		n.After(time.Millisecond+n.Random(5*time.Millisecond), func() { reply("") })
	})
}
