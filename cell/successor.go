package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const (
	// nearRoundTrip separates instances in the region of the leader, which is near
	// the store, from those in other regions.
	nearRoundTrip = 20 * time.Millisecond
	// restartMargin is how much later than the leader a process must have started to
	// count as restarted since. All processes start together at first.
	restartMargin = time.Second
)

// chooseSuccessor returns the follower that should lead when the leader stops as
// planned, or "" if there is none. It does no I/O.
//
// Load pattern: all instances are stopped and started in turn, for example for an
// upgrade, at full load. Each change of leader delays jobs by a third of a second,
// and a second and more while the store is slow. A follower that was not restarted
// yet is stopped soon as well, so one that has been restarted since the leader
// started comes first among those that are equally strong and near.
func chooseSuccessor(followers []followerInfo, leaderUptime time.Duration) structs.InstanceID {
	if len(followers) == 0 {
		return ""
	}
	best := slices.MinFunc(followers, func(a, b followerInfo) int {
		return cmp.Or(
			cmp.Compare(b.processorShare, a.processorShare), compareBool(a.isNear(), b.isNear()),
			compareBool(a.hasRestartedSince(leaderUptime), b.hasRestartedSince(leaderUptime)),
			cmp.Compare(a.roundTrip, b.roundTrip), cmp.Compare(a.id, b.id),
		)
	})
	return best.id
}

func (f followerInfo) isNear() bool { return f.roundTrip < nearRoundTrip }

// hasRestartedSince reports whether the follower's process started after the
// leader's, which has run for the given time.
func (f followerInfo) hasRestartedSince(leaderUptime time.Duration) bool {
	return f.uptime > 0 && f.uptime < leaderUptime-restartMargin
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
