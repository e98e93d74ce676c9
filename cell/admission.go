package cell

import (
	"sync"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/peer"
)

// servedCalls bounds the calls of other instances that this one is processing. Each of
// those instances bounds its own callers; here their requests come together.
type servedCalls struct {
	maxJobBytes int64 // of job calls, with what they become
	maxOther    int   // number of all other calls

	mu       sync.Mutex
	jobBytes int64
	other    int
}

const (
	// jobCallBytes is what a job call takes besides its body: a goroutine, a timer and a
	// place in the leader's inbox. jobCallCost is the memory for each byte of its body.
	jobCallBytes = 16 << 10
	jobCallCost  = 3
	// maxOtherCalls is several times the calls to the store and the advisor that a leader
	// has in flight through one follower.
	maxOtherCalls = 256
)

// begin admits a call, whose end is reported by calling the returned function, or refuses
// it with an error of kind Busy. Nothing is done for a refused call.
func (s *servedCalls) begin(call *peer.Call) (end func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isJobCall(call.Method) {
		if s.other >= s.maxOther {
			return nil, errs.New(errs.Busy, "repeat the call later", "too many calls to the store and the advisor are being made")
		}
		s.other++
		return func() { s.mu.Lock(); s.other--; s.mu.Unlock() }, nil
	}
	size := int64(jobCallBytes + jobCallCost*len(call.Body))
	if s.jobBytes+size > s.maxJobBytes {
		return nil, errs.New(errs.Busy, "repeat the call later", "too many requests are being processed by the leader")
	}
	s.jobBytes += size
	return func() { s.mu.Lock(); s.jobBytes -= size; s.mu.Unlock() }, nil
}

// isJobCall reports whether a method belongs to a request of a caller.
func isJobCall(method string) bool { return method != methodAdvise && method != methodStore }
