package leadership

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// play runs a follower against a fixed row and returns the time until its
// claim, or 0 without one within 5 s.
func play(f *Follower, start structs.Timestamp, row Row, version uint64, roundTrip time.Duration, alive func(time.Duration) uint64) time.Duration {
	for passed := time.Duration(0); passed < 5*time.Second; passed += 50 * time.Millisecond {
		now := start.Add(passed)
		for _, effect := range f.Reduce(now, Tick{}) {
			if _, ok := effect.(ReadRow); !ok {
				continue
			}
			current := version
			if alive != nil {
				current = alive(passed)
			}
			for _, answer := range f.Reduce(now.Add(roundTrip), RowRead{Row: row, Version: current, Took: roundTrip}) {
				if _, ok := answer.(Claim); ok {
					return passed
				}
			}
		}
	}
	return 0
}

const start = structs.Timestamp(time.Hour)

func follower(share float64) *Follower {
	f := NewFollower("me", 7, share, start)
	f.Reduce(start, Heard{Epoch: 1, StoreHealthy: true, Strongest: 0.8})
	return f
}

// TestClaimsAfterSilence guards against time without a leader: a dead leader
// is replaced within two seconds.
func TestClaimsAfterSilence(t *testing.T) {
	took := play(follower(0.8), start, Row{Epoch: 1, Owner: "other"}, 5, time.Millisecond, nil)
	if took < heartbeatSilence+rowSilence || took > 2*time.Second {
		t.Errorf("claim after %s, want between %s and 2s", took, heartbeatSilence+rowSilence)
	}
}

// TestOldRowIsClaimedAtOnce guards against waiting twice for a leader that
// has not committed since before it was suspected.
func TestOldRowIsClaimedAtOnce(t *testing.T) {
	f := follower(0.8)
	f.Reduce(start, LinkLost{})
	f.Reduce(start, Tick{})
	row := RowRead{Row: Row{Epoch: 1, Owner: "other"}, Version: 5, Took: time.Millisecond, At: structs.Timestamp(rowSilence)}
	if effects := f.Reduce(start, row); len(effects) != 1 {
		t.Errorf("effects of a row that is %d ns old: %v, want a claim", row.At, effects)
	}
	young := follower(0.8)
	young.Reduce(start, LinkLost{})
	young.Reduce(start, Tick{})
	row.At = structs.Timestamp(CommitInterval)
	if effects := young.Reduce(start, row); len(effects) != 0 {
		t.Errorf("effects of a row that is %d ns old: %v, want none", row.At, effects)
	}
}

// TestHeardLeaderIsNotClaimedWhenTheStoreReturns guards against deposing a
// living leader in the moment after an outage of the store, when its last
// commit is old for everybody (sadm-drum trouble-3: three changes in 0.1 s).
func TestHeardLeaderIsNotClaimedWhenTheStoreReturns(t *testing.T) {
	f := follower(0.8)
	now := start
	for passed := time.Duration(0); passed < 4*time.Second; passed += 250 * time.Millisecond {
		now = start.Add(passed)
		f.Reduce(now, Heard{Epoch: 1, StoreHealthy: false, Strongest: 0.8})
		f.Reduce(now, Tick{})
	}
	row := RowRead{Row: Row{Epoch: 1, Owner: "other"}, Version: 5, Took: time.Millisecond, At: structs.Timestamp(4 * time.Second)}
	if effects := f.Reduce(now, row); len(effects) != 0 {
		t.Errorf("effects %v, want none", effects)
	}
}

// TestLeavesLivingLeader guards against claims by a follower that is cut off
// from a leader which still commits.
func TestLeavesLivingLeader(t *testing.T) {
	alive := func(passed time.Duration) uint64 { return uint64(passed / CommitInterval) }
	if took := play(follower(0.8), start, Row{Epoch: 1, Owner: "other"}, 0, time.Millisecond, alive); took != 0 {
		t.Errorf("claim after %s although the row changes", took)
	}
}

// TestStrongAndNearClaimFirst guards against a leader that cannot carry the
// cell: on a mixed fleet one with a quarter of the processor share served a
// fifth of a day (sadm-drum-grown trouble-3).
func TestStrongAndNearClaimFirst(t *testing.T) {
	row := Row{Epoch: 1, Owner: "other"}
	strong := play(follower(0.8), start, row, 5, time.Millisecond, nil)
	weak := play(follower(0.192), start, row, 5, time.Millisecond, nil)
	far := play(follower(0.8), start, row, 5, 60*time.Millisecond, nil)
	if weak < strong+readInterval || far < strong+readInterval {
		t.Errorf("claims after %s (strong, near), %s (weak), %s (far)", strong, weak, far)
	}
}

// TestClaimsReleasedAndOwnRowAtOnce guards against waiting for a leader that
// certainly is gone.
func TestClaimsReleasedAndOwnRowAtOnce(t *testing.T) {
	released := follower(0.8)
	released.Reduce(start, LinkLost{})
	if took := play(released, start, Row{Epoch: 1}, 5, time.Millisecond, nil); took > readInterval {
		t.Errorf("claim of a released row after %s", took)
	}
	own := follower(0.8)
	own.Reduce(start, LinkLost{})
	claimed := play(own, start, Row{Epoch: 1, Owner: "me", Process: 6}, 5, time.Millisecond, nil)
	if claimed > readInterval {
		t.Errorf("claim of the row of an earlier process after %s", claimed)
	}
}

// TestSuspectsLeaderWithoutStore guards against a leader that lives and can
// commit nothing.
func TestSuspectsLeaderWithoutStore(t *testing.T) {
	f := follower(0.8)
	for passed := time.Duration(0); passed < 3*time.Second; passed += 50 * time.Millisecond {
		now := start.Add(passed)
		f.Reduce(now, Heard{Epoch: 1, StoreHealthy: false})
		if len(f.Reduce(now, Tick{})) > 0 {
			return
		}
	}
	t.Error("no look at the row within 3 s of a leader that does not reach the store")
}

// TestSlowStoreDelaysClaims guards against deposing a living leader whose
// commits take 0.6 s, and against all followers claiming at one moment, which
// a slow store serves one after the other (grown sites, trouble-2: nine
// refused claims, three changes of leader in two seconds).
func TestSlowStoreDelaysClaims(t *testing.T) {
	const slow = 68*4*time.Millisecond + 10*time.Millisecond
	claims := map[time.Duration]int{}
	const followers = 40
	for n := range followers {
		f := NewFollower(structs.InstanceID(rune('a'+n)), 7, 0.8, start)
		f.Reduce(start, Heard{Epoch: 1, StoreHealthy: true, Strongest: 0.8})
		f.roundTrip = 5 * time.Millisecond // seen before the store became slow
		took := play(f, start, Row{Epoch: 1, Owner: "other"}, 5, slow, nil)
		if took < heartbeatSilence+rowSilence+slow {
			t.Errorf("claim after %s, want at least a slow commit more than %s", took, heartbeatSilence+rowSilence)
		}
		claims[took/readInterval]++
	}
	for at, n := range claims {
		if n > followers/2 {
			t.Errorf("%d of %d followers claim at %s", n, followers, at*readInterval)
		}
	}
}

// TestSuccessorClaimsFirst guards against all followers claiming a released
// row at one moment, which a slow store refuses (sierra-cambios-grown
// trouble-2: three seconds without a leader after a planned stop).
func TestSuccessorClaimsFirst(t *testing.T) {
	row := Row{Epoch: 1, Successor: "me"}
	named := follower(0.8)
	named.Reduce(start, LinkLost{})
	if took := play(named, start, row, 5, time.Millisecond, nil); took > 0 {
		t.Errorf("the successor claims after %s, want at once", took)
	}
	row.Successor = "another"
	other := follower(0.8)
	other.Reduce(start, LinkLost{})
	if took := play(other, start, row, 5, time.Millisecond, nil); took < successorTime || took > successorTime+2*readInterval {
		t.Errorf("another follower claims after %s, want about %s", took, successorTime)
	}
}

// TestSlowClaimIsLeftAlone guards against deposing a new leader whose claim
// took so long that its row is old when it appears (sierra-cambios-grown
// trouble-2: two changes of leader in 0.1 s).
func TestSlowClaimIsLeftAlone(t *testing.T) {
	f := follower(0.8)
	f.Reduce(start, LinkLost{})
	f.Reduce(start, Tick{})
	at := structs.Timestamp(10 * time.Second)
	f.Reduce(start, RowRead{Row: Row{Epoch: 1, Successor: "another"}, Version: 5, Took: time.Millisecond, At: at})
	now := start.Add(250 * time.Millisecond)
	f.Reduce(now, Tick{})
	claimed := RowRead{Row: Row{Epoch: 2, Owner: "another", At: at.Add(-time.Second)}, Version: 9, Took: time.Millisecond, At: at}
	if effects := f.Reduce(now, claimed); len(effects) != 0 {
		t.Errorf("effects %v of a row that has just been written, want none", effects)
	}
}
