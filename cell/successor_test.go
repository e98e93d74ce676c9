package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// TestRollingRestartChangesLeaderTwice replays a restart of eight instances in turn,
// two seconds apart, the leader first. It guards against one change of leader for
// each restart: on sadm-drum trouble-2 each successor was the next to be stopped,
// with the store 60 times slower than usual. At most one successor, chosen before any
// other instance was restarted, is stopped again.
func TestRollingRestartChangesLeaderTwice(t *testing.T) {
	const instances, gap, down = 8, 2 * time.Second, 500 * time.Millisecond
	for order := range uint64(20) {
		startedAt := map[structs.InstanceID]time.Duration{}
		var ids []structs.InstanceID
		for n := range instances {
			id := structs.InstanceID(fmt.Sprintf("i%d", (uint64(n)*3+order)%instances))
			ids = append(ids, id)
			startedAt[id] = 0
		}
		leader, changes := ids[0], 0
		for n, stopped := range ids {
			now := 20*time.Second + time.Duration(n)*gap
			if stopped == leader {
				var followers []followerInfo
				for _, id := range ids {
					if id != stopped && startedAt[id] <= now {
						followers = append(followers, followerInfo{id, 0.4, time.Millisecond, now - startedAt[id]})
					}
				}
				leader = chooseSuccessor(followers, now-startedAt[stopped])
				changes++
			}
			startedAt[stopped] = now + down
		}
		if changes > 2 {
			t.Errorf("order %v: %d changes of leader, want at most 2", ids, changes)
		}
	}
}

// TestSuccessorIsStrongAndNear guards against a successor that cannot carry the load
// of a leader, or whose commits take a way of 60 ms, because it was restarted.
func TestSuccessorIsStrongAndNear(t *testing.T) {
	const uptime = time.Minute
	followers := []followerInfo{
		{"weak-restarted", 0.192, time.Millisecond, time.Second}, {"far-restarted", 0.8, 60 * time.Millisecond, time.Second},
		{"near", 0.8, 2 * time.Millisecond, uptime}, {"unknown", 0.8, 3 * time.Millisecond, 0},
	}
	if got := chooseSuccessor(followers, uptime); got != "near" {
		t.Errorf("successor %s, want near", got)
	}
	if got := chooseSuccessor(nil, uptime); got != "" {
		t.Errorf("successor %q without followers", got)
	}
}
