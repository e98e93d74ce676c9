package membership

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const second = structs.Timestamp(time.Second)

func info(id structs.InstanceID, state structs.Lifecycle) structs.InstanceInfo {
	return structs.InstanceInfo{ID: id, PeerAddress: "127.0.0.1:1", State: state}
}

// sendHeartbeats delivers heartbeats of incarnation inc, one per second, in
// [from, to).
func sendHeartbeats(s *State, inc uint64, from, to structs.Timestamp) {
	for at := from; at < to; at += second {
		s.Reduce(at, Tick{})
		s.Reduce(at, HeartbeatReceived{From: "b", Incarnation: inc, At: at})
	}
}

// runTicks sends only ticks, two per second, in [from, to].
func runTicks(s *State, from, to structs.Timestamp) {
	for at := from; at <= to; at += second / 2 {
		s.Reduce(at, Tick{})
	}
}

func newTestState() *State {
	s := New(Config{Self: info("a", structs.Live), Incarnation: 1})
	s.Reduce(100*second, InstancesListed{Instances: []structs.InstanceInfo{info("b", structs.Live)}})
	return s
}

func wantStatus(t *testing.T, s *State, status Status) {
	t.Helper()
	if got := s.Status("b"); got != status {
		t.Fatalf("status = %s, want %s", got, status)
	}
}

// Guards against a failure detector that reacts too early or too late or that
// flaps: one heartbeat after a silence must not make an instance live again.
func TestFailureDetectorHysteresis(t *testing.T) {
	s := newTestState()
	wantStatus(t, s, Suspect)
	sendHeartbeats(s, 1, 101*second, 111*second) // last at 110 s
	wantStatus(t, s, Live)
	runTicks(s, 111*second, 112*second+second/2)
	wantStatus(t, s, Live)
	runTicks(s, 113*second, 115*second)
	wantStatus(t, s, Suspect)
	runTicks(s, 116*second, 117*second)
	wantStatus(t, s, Dead)
	sendHeartbeats(s, 1, 118*second, 119*second)
	wantStatus(t, s, Dead)
	sendHeartbeats(s, 1, 119*second, 120*second)
	wantStatus(t, s, Live)
}

// Guards against a stale or wrong directory that ends instances: absence from
// the list must not, only the state gone may, and unlisted senders count as live.
func TestDirectoryIsOnlyAHint(t *testing.T) {
	s := newTestState()
	sendHeartbeats(s, 1, 101*second, 104*second)
	s.Reduce(104*second, InstancesListed{})
	wantStatus(t, s, Live)
	c := info("c", structs.Live)
	s.Reduce(104*second, HeartbeatReceived{From: "c", Incarnation: 7, At: 104 * second, Info: &c})
	if len(s.Live()) != 3 {
		t.Fatalf("live = %v, want a, b and the unlisted c", s.Live())
	}
	gone := InstancesListed{Instances: []structs.InstanceInfo{info("b", structs.Gone)}}
	s.Reduce(104*second, gone)
	wantStatus(t, s, Gone)
	s.Reduce(105*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 104*second + 1})
	wantStatus(t, s, Gone) // a delayed message from the ended process
	sendHeartbeats(s, 2, 105*second, 107*second)
	s.Reduce(107*second, gone) // the list lags behind the new process
	wantStatus(t, s, Live)
}

// Guards against mistaking a restart for a pause: the state of the old process
// is lost, so the restart must be reported even if no heartbeat was missed.
func TestIncarnationDistinguishesRestartFromPause(t *testing.T) {
	s := newTestState()
	sendHeartbeats(s, 1, 101*second, 104*second)
	runTicks(s, 104*second, 112*second)
	pause := s.Reduce(113*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 113 * second})
	for _, effect := range pause {
		if effect.(InstanceChanged).Restarted {
			t.Fatal("a pause was reported as a restart")
		}
	}
	sendHeartbeats(s, 1, 114*second, 116*second)
	restart := s.Reduce(116*second, HeartbeatReceived{From: "b", Incarnation: 2, At: 116 * second})
	if len(restart) != 1 || !restart[0].(InstanceChanged).Restarted {
		t.Fatalf("effects = %v, want one restart", restart)
	}
	s.Reduce(117*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 117 * second})
	if s.Incarnation("b") != 2 {
		t.Fatal("a message of the replaced process was accepted")
	}
}

// Guards against counting duplicated, reordered or very late heartbeats as
// evidence that the sender is alive.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	s := newTestState()
	sendHeartbeats(s, 1, 101*second, 104*second)
	runTicks(s, 104*second, 110*second)
	wantStatus(t, s, Dead)
	for range 3 {
		s.Reduce(110*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 103 * second})
		s.Reduce(110*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 104 * second})
	}
	wantStatus(t, s, Dead)
}

// Guards against assigning new work to an instance that is leaving or drained.
func TestLeavingAndDrainedTakeNoNewWork(t *testing.T) {
	s := newTestState()
	sendHeartbeats(s, 1, 101*second, 104*second)
	s.Reduce(104*second, InstancesListed{Instances: []structs.InstanceInfo{info("b", structs.Leaving)}})
	wantStatus(t, s, Leaving)
	s.Reduce(104*second, InstancesListed{Instances: []structs.InstanceInfo{info("b", structs.Live)}})
	wantStatus(t, s, Live)
	s.Reduce(105*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 105 * second, Status: Drained})
	wantStatus(t, s, Drained)
	s.Reduce(105*second, SelfStatusChanged{Status: Leaving})
	if len(s.Live()) != 0 {
		t.Fatalf("live = %v, want none", s.Live())
	}
}

// Guards against an instance that resumes after a pause and declares all others
// dead because it received no heartbeats while it did not run.
func TestOwnPauseDoesNotMarkOthersDead(t *testing.T) {
	s := newTestState()
	sendHeartbeats(s, 1, 101*second, 104*second)
	s.Reduce(160*second, Tick{})
	wantStatus(t, s, Live)
	runTicks(s, 160*second, 167*second)
	wantStatus(t, s, Dead)
}

// Guards against a restarted instance that stays leaving permanently because the
// first list it read still had the state of its earlier process, and against a
// list that reverts a drain.
func TestListedAsLeavingFromEarlierProcess(t *testing.T) {
	self := info("self", structs.Live)
	s := New(Config{Self: self, Incarnation: 2})
	list := func(now structs.Timestamp, state structs.Lifecycle) {
		listed := self
		listed.State = state
		s.Reduce(now, InstancesListed{Instances: []structs.InstanceInfo{listed}})
	}
	list(1, structs.Leaving)
	if len(s.Live()) != 0 {
		t.Error("an instance that is listed as leaving counts as live")
	}
	list(2, structs.Live)
	if len(s.Live()) != 1 {
		t.Error("the instance stays leaving after the list was corrected")
	}
	s.Reduce(3, SelfStatusChanged{Status: Leaving})
	list(4, structs.Live)
	if len(s.Live()) != 0 {
		t.Error("a list reverted a drain")
	}
}
