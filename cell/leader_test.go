package cell

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/structs"
)

// TestConfigIsSentToFollowersThatStayBehind guards against sending a large
// configuration to every follower with every heartbeat, which filled the
// leader's link (sadm-drum-grown scale-2), and against leaving a follower
// behind that does not reach the store.
func TestConfigIsSentToFollowersThatStayBehind(t *testing.T) {
	start := structs.Timestamp(time.Minute)
	m := &member{heardAt: start, config: 3}
	sent := 0
	for passed := time.Duration(0); passed < 3*time.Second; passed += heartbeatEvery {
		if m.needsConfig(4, start.Add(passed)) {
			sent++
			if passed < configPatience {
				t.Errorf("sent %s after the change, want at least %s", passed, configPatience)
			}
		}
	}
	if sent != 2 {
		t.Errorf("sent %d times in 3 s, want 2", sent)
	}
	m.config = 4
	if m.needsConfig(4, start.Add(4*time.Second)) {
		t.Error("sent to a follower that has the newest version")
	}
}

// TestReleaseWaitsWhileTheStoreIsSlow guards against a planned stop that takes
// the leader away in a slow store: the change took three seconds
// (sierra-cambios-grown trouble-2, worth 0.54 instead of 0.67).
func TestReleaseWaitsWhileTheStoreIsSlow(t *testing.T) {
	i := New(Options{ID: "me", StopGrace: 6 * time.Second, Logger: hclog.NewNullLogger()})
	defer i.node.Close()
	l := &leader{instance: i, lastCommitTook: 2 * slowCommit}
	if l.releaseSignal() == nil {
		t.Error("a leader that was not told to stop does not listen for it")
	}
	if l.isReleaseDue() || l.releaseSignal() != nil {
		t.Error("the leadership is given up at once while commits are slow")
	}
	l.lastCommitTook = slowCommit / 10
	if !l.isReleaseDue() || l.releaseSignal() == nil {
		t.Error("the leadership is not given up once commits are fast")
	}
	l.lastCommitTook, l.stopBy = 2*slowCommit, l.now()
	if !l.isReleaseDue() {
		t.Error("the leadership is kept beyond a part of the grace time")
	}
}
