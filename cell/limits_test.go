package cell

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/peer"
)

// TestRequestsEnd guards against requests that never end: one that arrives for ever, one whose
// answer is not read, and one whose caller waits for ever.
func TestRequestsEnd(t *testing.T) {
	i := New(Options{ID: "self", Logger: hclog.NewNullLogger()})
	for name, s := range map[string]*fasthttp.Server{"callers": i.newCallerServer(), "auxiliary": newAuxiliaryServer(nil)} {
		if s.ReadTimeout <= 0 || s.WriteTimeout <= 0 || s.IdleTimeout <= 0 {
			t.Errorf("%s: read, write and idle timeouts are %s, %s and %s", name, s.ReadTimeout, s.WriteTimeout, s.IdleTimeout)
		}
	}
}

// TestSharesLeaveMemory guards against limits whose sum is more than the process has, at the
// sizes of the users' instances.
func TestSharesLeaveMemory(t *testing.T) {
	const programBytes, mb = 20 << 20, 1 << 20
	for _, memory := range []int64{64, 96, 160, 184, 284, 536} {
		l := Limits{MemoryBytes: memory * mb, Descriptors: 4100}
		sum := int64(l.callers().Connections)*callerConnBytes + l.callers().HeldBytes + l.JobMemory() + l.callMemory() + l.peers().HeldBytes + l.queueMemory()
		if sum+programBytes > l.MemoryBytes {
			t.Errorf("%d MB: the limits add up to %d MB beside the program", memory, sum/mb)
		}
		descriptors := l.callers().Connections + 2*l.auxiliary().Connections + l.peers().Connections
		if descriptors > l.Descriptors*2/3 {
			t.Errorf("%d MB: clients may use %d of %d descriptors", memory, descriptors, l.Descriptors)
		}
		if n := l.callers().Connections; memory >= 160 && n < 500 {
			t.Errorf("%d MB: only %d connections of callers", memory, n)
		}
	}
}

// TestServedCallsAreBounded guards against requests that other instances pass on and that
// together take more memory than the leader has, and against calls to the store that wait
// for such requests.
func TestServedCallsAreBounded(t *testing.T) {
	s := servedCalls{maxJobBytes: 3 * (jobCallBytes + jobCallCost*1000), maxOther: 2}
	submit := &peer.Call{Method: methodSubmit, Body: make([]byte, 1000)}
	var ends []func()
	for range 3 {
		end, err := s.begin(submit)
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, end)
	}
	if _, err := s.begin(submit); !errs.Is(err, errs.Busy) {
		t.Errorf("a call over the limit: %v, want it refused as busy", err)
	}
	for range 2 {
		if _, err := s.begin(&peer.Call{Method: methodStore}); err != nil {
			t.Errorf("a call to the store beside requests: %v", err)
		}
	}
	if _, err := s.begin(&peer.Call{Method: methodStore}); !errs.Is(err, errs.Busy) {
		t.Errorf("a call to the store over the limit: %v, want it refused as busy", err)
	}
	if _, err := s.begin(&peer.Call{Method: "unknown"}); !errs.Is(err, errs.Busy) {
		t.Errorf("a call of an unknown method over the limit: %v", err)
	}
	ends[0]()
	if _, err := s.begin(submit); err != nil {
		t.Errorf("a call after another has ended: %v", err)
	}
}

// TestBusyLeaderIsNoRefusal guards against "not run" for a request of which an earlier copy
// may have been taken.
func TestBusyLeaderIsNoRefusal(t *testing.T) {
	if err := busyError(false); !errs.Is(err, errs.NotRun) {
		t.Errorf("the first copy: %v, want not run", err)
	}
	if err := busyError(true); !errs.Is(err, errs.OutcomeUnknown) {
		t.Errorf("a later copy: %v, want the outcome open", err)
	}
}
