package cell

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/structs"
)

// TestConfigIsSentToOutdatedFollowers guards against sending a large
// configuration to every follower with every heartbeat, which saturated the
// leader's link in the scenario sadm-drum-grown scale-2. It also guards against
// never sending it to a follower that does not reach the store.
func TestConfigIsSentToOutdatedFollowers(t *testing.T) {
	start := structs.Timestamp(time.Minute)
	m := &member{heartbeatReplyAt: start, configVersion: 3}
	sent := 0
	for passed := time.Duration(0); passed < 3*time.Second; passed += leadership.HeartbeatInterval {
		if m.needsConfig(4, start.Add(passed)) {
			sent++
			if passed < configSendDelay {
				t.Errorf("configuration sent %s after the change, want at least %s", passed, configSendDelay)
			}
		}
	}
	if sent != 2 {
		t.Errorf("configuration sent %d times in 3 s, want 2", sent)
	}
	m.configVersion = 4
	if m.needsConfig(4, start.Add(4*time.Second)) {
		t.Error("configuration sent to a follower that has the newest version")
	}
}

// TestReleaseWaitsWhileStoreIsSlow guards against a planned stop that changes
// the leader while the store is slow. In the scenario sierra-cambios-grown
// trouble-2, the change took three seconds and the score was 0.54 instead of
// 0.67.
func TestReleaseWaitsWhileStoreIsSlow(t *testing.T) {
	i := New(Options{ID: "self", StopGrace: 6 * time.Second, Logger: hclog.NewNullLogger()})
	defer i.transport.Close()
	l := &leader{instance: i, lastCommitTook: 2 * slowCommitTime}
	if l.releaseSignal() == nil {
		t.Error("no release signal before the instance is told to stop")
	}
	if l.isReleaseDue() || l.releaseSignal() != nil {
		t.Error("the leadership is released immediately while commits are slow")
	}
	l.lastCommitTook = slowCommitTime / 10
	if !l.isReleaseDue() || l.releaseSignal() == nil {
		t.Error("the leadership is not released once commits are fast")
	}
	l.lastCommitTook, l.releaseBy = 2*slowCommitTime, l.now()
	if !l.isReleaseDue() {
		t.Error("the leadership is not released at releaseBy")
	}
}
