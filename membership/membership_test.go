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

// beat sends heartbeats of incarnation inc, one per second, in [from, to).
func beat(s *State, inc uint64, from, to structs.Timestamp) {
	for at := from; at < to; at += second {
		s.Reduce(at, Tick{})
		s.Reduce(at, HeartbeatReceived{From: "b", Incarnation: inc, At: at})
	}
}

func idle(s *State, from, to structs.Timestamp) {
	for at := from; at <= to; at += second / 2 {
		s.Reduce(at, Tick{})
	}
}

func newView() *State {
	s := New(Config{Self: info("a", structs.Live), Incarnation: 1})
	s.Reduce(100*second, DirectoryListed{Instances: []structs.InstanceInfo{info("b", structs.Live)}})
	return s
}

func want(t *testing.T, s *State, status Status) {
	t.Helper()
	if got := s.Status("b"); got != status {
		t.Fatalf("status = %s, want %s", got, status)
	}
}

// Guards against a detector that reacts too early, too late or flaps: one
// heartbeat after a silence must not bring an instance back.
func TestSilenceAndHysteresis(t *testing.T) {
	s := newView()
	want(t, s, Suspect)
	beat(s, 1, 101*second, 111*second) // last at 110 s
	want(t, s, Live)
	idle(s, 111*second, 112*second+second/2)
	want(t, s, Live)
	idle(s, 113*second, 115*second)
	want(t, s, Suspect)
	idle(s, 116*second, 117*second)
	want(t, s, Dead)
	beat(s, 1, 118*second, 119*second)
	want(t, s, Dead)
	beat(s, 1, 119*second, 120*second)
	want(t, s, Live)
}

// Guards against a stale or wrong directory that ends instances: absence must
// not kill, only gone does, and unlisted senders count as live.
func TestDirectoryIsAHint(t *testing.T) {
	s := newView()
	beat(s, 1, 101*second, 104*second)
	s.Reduce(104*second, DirectoryListed{})
	want(t, s, Live)
	c := info("c", structs.Live)
	s.Reduce(104*second, HeartbeatReceived{From: "c", Incarnation: 7, At: 104 * second, Info: &c})
	if len(s.Live()) != 3 {
		t.Fatalf("live = %v, want a, b and the unlisted c", s.Live())
	}
	gone := DirectoryListed{Instances: []structs.InstanceInfo{info("b", structs.Gone)}}
	s.Reduce(104*second, gone)
	want(t, s, Gone)
	s.Reduce(105*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 104*second + 1})
	want(t, s, Gone) // a delayed message of the ended process
	beat(s, 2, 105*second, 107*second)
	s.Reduce(107*second, gone) // the list lags behind the new process
	want(t, s, Live)
}

// Guards against taking a restart for a pause: the state of the old process is
// lost, so peers must learn of it even if no heartbeat was missed.
func TestIncarnationTellsRestartFromPause(t *testing.T) {
	s := newView()
	beat(s, 1, 101*second, 104*second)
	idle(s, 104*second, 112*second)
	pause := s.Reduce(113*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 113 * second})
	for _, effect := range pause {
		if effect.(InstanceChanged).Restarted {
			t.Fatal("a pause was reported as a restart")
		}
	}
	beat(s, 1, 114*second, 116*second)
	restart := s.Reduce(116*second, HeartbeatReceived{From: "b", Incarnation: 2, At: 116 * second})
	if len(restart) != 1 || !restart[0].(InstanceChanged).Restarted {
		t.Fatalf("effects = %v, want one restart", restart)
	}
	s.Reduce(117*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 117 * second})
	if s.Incarnation("b") != 2 {
		t.Fatal("a message of the replaced process was accepted")
	}
}

// Guards against counting doubled, overtaken or very late heartbeats as signs
// of life.
func TestOldHeartbeatsProveNothing(t *testing.T) {
	s := newView()
	beat(s, 1, 101*second, 104*second)
	idle(s, 104*second, 110*second)
	want(t, s, Dead)
	for range 3 {
		s.Reduce(110*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 103 * second})
		s.Reduce(110*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 104 * second})
	}
	want(t, s, Dead)
}

// Guards against new work for an instance that leaves or is drained.
func TestLeavingAndDrainedTakeNoNewWork(t *testing.T) {
	s := newView()
	beat(s, 1, 101*second, 104*second)
	s.Reduce(104*second, DirectoryListed{Instances: []structs.InstanceInfo{info("b", structs.Leaving)}})
	want(t, s, Leaving)
	s.Reduce(104*second, DirectoryListed{Instances: []structs.InstanceInfo{info("b", structs.Live)}})
	want(t, s, Live)
	s.Reduce(105*second, HeartbeatReceived{From: "b", Incarnation: 1, At: 105 * second, Phase: Drained})
	want(t, s, Drained)
	s.Reduce(105*second, SelfPhase{Phase: Leaving})
	if len(s.Live()) != 0 {
		t.Fatalf("live = %v, want none", s.Live())
	}
}

// Guards against an instance that wakes from a pause and declares all others
// dead because it heard nobody while it did not run.
func TestOwnPauseIsNotSilenceOfOthers(t *testing.T) {
	s := newView()
	beat(s, 1, 101*second, 104*second)
	s.Reduce(160*second, Tick{})
	want(t, s, Live)
	idle(s, 160*second, 167*second)
	want(t, s, Dead)
}

// Guards against a restarted instance that stays leaving for good because the
// first list that it read still had the mark of its earlier process, and
// against a list that ends a drain.
func TestLeavingMarkOfAnEarlierProcess(t *testing.T) {
	self := info("self", structs.Live)
	s := New(Config{Self: self, Incarnation: 2})
	list := func(now structs.Timestamp, state structs.Lifecycle) {
		listed := self
		listed.State = state
		s.Reduce(now, DirectoryListed{Instances: []structs.InstanceInfo{listed}})
	}
	list(1, structs.Leaving)
	if len(s.Live()) != 0 {
		t.Error("an instance that is listed as leaving takes work")
	}
	list(2, structs.Live)
	if len(s.Live()) != 1 {
		t.Error("the instance stays leaving after the list was corrected")
	}
	s.Reduce(3, SelfPhase{Phase: Leaving})
	list(4, structs.Live)
	if len(s.Live()) != 0 {
		t.Error("a list ended a drain")
	}
}
