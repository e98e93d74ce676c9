package cell

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// settle plays a settlement against a store. delay is the time until a copy
// takes effect, or a negative time for one that is lost; a read takes
// readTook, or has no answer if that is 0. It returns when the outcome is known
// and how many copies were sent.
func settle(t *testing.T, delay func(copy int) time.Duration, answered bool, readTook time.Duration) (time.Duration, int) {
	t.Helper()
	start := structs.Timestamp(time.Hour)
	s := settlement{madeAt: start}
	copies := 0
	applied := start.Add(time.Hour)
	var readEnds structs.Timestamp
	for passed := time.Duration(0); passed < 10*time.Second; passed += 10 * time.Millisecond {
		now := start.Add(passed)
		if answered && !now.Before(applied) {
			return passed, copies
		}
		if s.reading && !now.Before(readEnds) {
			s.readDone(now, readTook > 0)
			if readTook > 0 && !now.Before(applied) {
				return passed, copies
			}
		}
		if s.shouldSend(now) {
			copies++
			if d := delay(copies); d >= 0 {
				applied = min(applied, now.Add(d))
			}
			s.sent(now)
		}
		if s.shouldRead(now) {
			s.read(now)
			readEnds = now.Add(readBackTimeout)
			if readTook > 0 {
				readEnds = now.Add(readTook)
			}
		}
		if s.isAway(now) && readTook > 0 {
			t.Fatalf("the store counts as away after %s although it answers reads", passed)
		}
	}
	t.Fatal("no outcome within 10 s")
	return 0, 0
}

// TestLostAnswerIsReadBack guards against waiting for an answer that is lost:
// each cost half a second in which nothing was accepted.
func TestLostAnswerIsReadBack(t *testing.T) {
	took, copies := settle(t, func(int) time.Duration { return 20 * time.Millisecond }, false, 10*time.Millisecond)
	if took > 250*time.Millisecond || copies != 1 {
		t.Errorf("settled after %s with %d copies, want at most 250ms and one", took, copies)
	}
}

// TestLostCommitIsSentAgain guards against waiting for a commit that the
// store never took.
func TestLostCommitIsSentAgain(t *testing.T) {
	lost := func(n int) time.Duration {
		if n == 1 {
			return -1
		}
		return 20 * time.Millisecond
	}
	took, copies := settle(t, lost, true, 60*time.Millisecond)
	if took > 600*time.Millisecond || copies != 2 {
		t.Errorf("settled after %s with %d copies, want at most 600ms and two", took, copies)
	}
}

// TestSlowStoreGetsOneCopy guards against copies that queue up in a store 68
// times as slow as usual: on the grown sites' trouble-2 each commit was sent
// two to three times, took over 1.2 s and made the leader refuse all work for
// five seconds.
func TestSlowStoreGetsOneCopy(t *testing.T) {
	took, copies := settle(t, func(int) time.Duration { return 68*8*time.Millisecond + 60*time.Millisecond }, true, 68*4*time.Millisecond+60*time.Millisecond)
	if took > 650*time.Millisecond || copies != 1 {
		t.Errorf("settled after %s with %d copies, want 604ms and one copy", took, copies)
	}
}

// TestCutWayIsLeft guards against waiting for an answer on a way that is cut:
// a second copy, which takes another way, goes out once a read has no answer.
func TestCutWayIsLeft(t *testing.T) {
	cut := func(n int) time.Duration {
		if n == 1 {
			return -1
		}
		return 20 * time.Millisecond
	}
	took, copies := settle(t, cut, true, 0)
	if took > 700*time.Millisecond || copies != 2 {
		t.Errorf("settled after %s with %d copies, want at most 700ms and two", took, copies)
	}
}

// TestRefusingStoreIsAway guards against holding callers while the store
// refuses every call.
func TestRefusingStoreIsAway(t *testing.T) {
	now := structs.Timestamp(time.Hour)
	s := settlement{madeAt: now}
	for range refusalsUntilAway {
		if s.isAway(now) {
			t.Fatal("away after one refusal")
		}
		s.sent(now)
		s.copyDone(now, true)
		if s.shouldSend(now) {
			t.Error("sent again at once")
		}
		now = now.Add(refusedRetry)
	}
	if !s.isAway(now) {
		t.Error("not away after two refusals in a row")
	}
}
