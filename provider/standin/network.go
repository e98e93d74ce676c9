package standin

import (
	"math/rand/v2"
	"time"

	"github.com/mangodrum/mangodrum/errs"
)

// NetworkFault is a fault of connections or of the store in virtual time.
type NetworkFault int

// Network faults.
const (
	MessagesLost NetworkFault = iota
	MessagesDelayed
	MessagesDoubled
	MessagesReordered
	StoreDown
	StoreSlow
	RepliesLost // of store calls that took effect
	NetworkFaults
)

// CallTimeout is how long a caller waits for the store.
const CallTimeout = 2 * time.Second

// Network carries messages and store calls in virtual time.
type Network struct {
	Clock
	Rand   *rand.Rand
	Active [NetworkFaults]int // a fault is active if its count is above 0
}

// Random returns a duration below d.
func (n *Network) Random(d time.Duration) time.Duration {
	return time.Duration(n.Rand.Int64N(int64(d)))
}

// hit reports whether an active fault hits this message or call.
func (n *Network) hit(f NetworkFault) bool { return n.Active[f] > 0 && n.Rand.IntN(2) == 0 }

// Message runs the receiver's part of a message when it arrives: not at all,
// once or twice.
func (n *Network) Message(receive func()) {
	if n.hit(MessagesLost) {
		return
	}
	delay := time.Millisecond + n.Random(20*time.Millisecond)
	if n.hit(MessagesDelayed) {
		delay += n.Random(8 * time.Second)
	}
	if n.Active[MessagesReordered] > 0 {
		delay += n.Random(400 * time.Millisecond)
	}
	n.After(delay, receive)
	if n.hit(MessagesDoubled) {
		n.After(delay+n.Random(3*time.Second), receive)
	}
}

// Call runs exec at the store and then reply with an empty kind, or reply with
// the kind of its failure. A call that timed out may still take effect later.
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
	lost := n.hit(RepliesLost) || request >= CallTimeout
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
