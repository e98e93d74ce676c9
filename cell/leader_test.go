package cell

import (
	"testing"
	"time"

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
