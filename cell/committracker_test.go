package cell

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// simulateCommit runs a commitTracker against a simulated store. delay returns
// the time until a copy takes effect; a negative time means that the copy is
// lost. A read takes readLatency, or has no answer if that is 0. The result is
// the time until the outcome is known and the number of copies sent.
func simulateCommit(t *testing.T, delay func(copy int) time.Duration, answered bool, readLatency time.Duration) (time.Duration, int) {
	t.Helper()
	start := structs.Timestamp(time.Hour)
	tracker := commitTracker{createdAt: start}
	copies := 0
	applied := start.Add(time.Hour)
	var readEnds structs.Timestamp
	for passed := time.Duration(0); passed < 10*time.Second; passed += 10 * time.Millisecond {
		now := start.Add(passed)
		if answered && !now.Before(applied) {
			return passed, copies
		}
		if tracker.readInFlight && !now.Before(readEnds) {
			tracker.recordReadResult(now, readLatency > 0)
			if readLatency > 0 && !now.Before(applied) {
				return passed, copies
			}
		}
		if tracker.shouldSend(now) {
			copies++
			if d := delay(copies); d >= 0 {
				applied = min(applied, now.Add(d))
			}
			tracker.recordSend(now)
		}
		if tracker.shouldRead(now) {
			tracker.recordReadSent(now)
			readEnds = now.Add(readBackTimeout)
			if readLatency > 0 {
				readEnds = now.Add(readLatency)
			}
		}
		if tracker.isStoreUnavailable(now) && readLatency > 0 {
			t.Fatalf("the store counts as unavailable after %s although it answers reads", passed)
		}
	}
	t.Fatal("no outcome within 10 s")
	return 0, 0
}

// TestLostAnswerIsReadBack guards against waiting for a lost answer: each wait
// took half a second, during which no job was accepted.
func TestLostAnswerIsReadBack(t *testing.T) {
	took, copies := simulateCommit(t, func(int) time.Duration { return 20 * time.Millisecond }, false, 10*time.Millisecond)
	if took > 250*time.Millisecond || copies != 1 {
		t.Errorf("outcome known after %s with %d copies, want at most 250ms and one copy", took, copies)
	}
}

// TestLostCommitIsSentAgain guards against waiting for a commit that never
// reached the store.
func TestLostCommitIsSentAgain(t *testing.T) {
	lost := func(n int) time.Duration {
		if n == 1 {
			return -1
		}
		return 20 * time.Millisecond
	}
	took, copies := simulateCommit(t, lost, true, 60*time.Millisecond)
	if took > 600*time.Millisecond || copies != 2 {
		t.Errorf("outcome known after %s with %d copies, want at most 600ms and two copies", took, copies)
	}
}

// TestSlowStoreGetsOneCopy guards against copies that queue up in a store that
// is 68 times slower than usual. In the scenario trouble-2 of the grown sites,
// each commit was sent two to three times and took over 1.2 s, and the leader
// refused all work for five seconds.
func TestSlowStoreGetsOneCopy(t *testing.T) {
	took, copies := simulateCommit(t, func(int) time.Duration { return 68*8*time.Millisecond + 60*time.Millisecond }, true, 68*4*time.Millisecond+60*time.Millisecond)
	if took > 650*time.Millisecond || copies != 1 {
		t.Errorf("outcome known after %s with %d copies, want 604ms and one copy", took, copies)
	}
}

// TestCutPathIsAbandoned guards against waiting for an answer on a path that is
// cut: after a read without an answer, a second copy is sent on another path.
func TestCutPathIsAbandoned(t *testing.T) {
	cut := func(n int) time.Duration {
		if n == 1 {
			return -1
		}
		return 20 * time.Millisecond
	}
	took, copies := simulateCommit(t, cut, true, 0)
	if took > 700*time.Millisecond || copies != 2 {
		t.Errorf("outcome known after %s with %d copies, want at most 700ms and two copies", took, copies)
	}
}

// TestRefusingStoreIsUnavailable guards against making callers wait while the
// store refuses every call.
func TestRefusingStoreIsUnavailable(t *testing.T) {
	now := structs.Timestamp(time.Hour)
	tracker := commitTracker{createdAt: now}
	for range refusalsUntilUnavailable {
		if tracker.isStoreUnavailable(now) {
			t.Fatal("the store counts as unavailable after fewer than two refusals")
		}
		tracker.recordSend(now)
		tracker.recordFailedCopy(now, true)
		if tracker.shouldSend(now) {
			t.Error("a copy is due immediately after a refusal")
		}
		now = now.Add(refusalRetryDelay)
	}
	if !tracker.isStoreUnavailable(now) {
		t.Error("the store does not count as unavailable after two consecutive refusals")
	}
}
