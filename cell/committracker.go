package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// commitTracker decides when to send one commit, when to read the leadership
// row back to find out whether the commit took effect, and when to send another
// copy of it. It does no I/O.
//
// It tells apart three reasons for a transaction without an answer. If the
// answer was lost, the row shows at once that the commit took effect. If the
// store is slow, it serves transactions one after another, so a second copy
// would double the delay of everything behind it; the latency of reads tells
// how slow the store is. If reads have no answer either, the path to the store
// is cut, and the next copy takes another path.
type commitTracker struct {
	createdAt structs.Timestamp
	sentAt    structs.Timestamp // when the last copy was sent; 0 if none was sent
	inFlight  int               // copies without an outcome
	refusals  int               // copies that were certainly not applied
	// rejections is the number of copies that the store rejected as invalid. It counts in
	// refusals, too.
	rejections int
	retryAt    structs.Timestamp // earliest time for another copy

	readInFlight     bool
	readSentAt       structs.Timestamp // when the last read-back was sent
	readLatency      time.Duration     // of the last answered read-back since sentAt; 0 if there is none
	lastReadAnswerAt structs.Timestamp // when the last read-back was answered
	unansweredReads  int               // consecutive read-backs without an answer
}

const (
	// readBackDelay is well above the 80 ms that a commit from the farthest region
	// takes.
	readBackDelay = 150 * time.Millisecond
	// readBackTimeout is long enough for a read while the store is 70 times
	// slower than usual; a read usually takes 4 ms and a round trip of 60 ms.
	readBackTimeout = 400 * time.Millisecond
	// overdueReadMultiple is the multiple of the read latency after which a
	// transaction is overdue. A transaction takes twice as long in the store as
	// a read, and may wait behind another one.
	overdueReadMultiple = 4
	// commitTimeout bounds one copy. It is longer than a commit takes while the
	// store is 70 times slower than usual.
	commitTimeout = 2 * time.Second
	// refusalRetryDelay is the time between copies while the store refuses them.
	refusalRetryDelay = 250 * time.Millisecond
	// maxCopiesInFlight limits the copies without an outcome.
	maxCopiesInFlight = 3
	// storeUnavailableAfter is how long a commit may have no outcome and the
	// store give no answer before the store counts as unavailable.
	storeUnavailableAfter = 1200 * time.Millisecond
	// refusalsUntilUnavailable keeps a single refusal from marking the store as
	// unavailable.
	refusalsUntilUnavailable = 2
)

// shouldSend reports whether to send a copy of the commit now.
func (t *commitTracker) shouldSend(now structs.Timestamp) bool {
	if now.Before(t.retryAt) || t.inFlight >= maxCopiesInFlight {
		return false
	}
	if t.inFlight == 0 {
		return true
	}
	if t.readLatency > 0 {
		return now.Sub(t.sentAt) >= readBackDelay+overdueReadMultiple*t.readLatency
	}
	return t.unansweredReads > 0
}

// recordSend records that a copy of the commit is sent.
func (t *commitTracker) recordSend(now structs.Timestamp) {
	t.inFlight++
	t.sentAt, t.readSentAt, t.readLatency, t.unansweredReads = now, now, 0, 0
}

// shouldRead reports whether to read the leadership row back now.
func (t *commitTracker) shouldRead(now structs.Timestamp) bool {
	return t.inFlight > 0 && !t.readInFlight && now.Sub(t.readSentAt) >= readBackDelay
}

// recordReadSent records that a read-back is sent.
func (t *commitTracker) recordReadSent(now structs.Timestamp) {
	t.readInFlight, t.readSentAt = true, now
}

// recordReadResult records the end of the read-back that was sent at
// readSentAt.
func (t *commitTracker) recordReadResult(now structs.Timestamp, answered bool) {
	t.readInFlight = false
	if !answered {
		t.unansweredReads++
		return
	}
	t.unansweredReads, t.lastReadAnswerAt = 0, now
	t.readLatency = max(now.Sub(t.readSentAt), time.Millisecond)
}

// recordFailedCopy records a copy that failed or had no answer. refused means
// that it was certainly not applied.
func (t *commitTracker) recordFailedCopy(now structs.Timestamp, refused bool) {
	t.inFlight--
	if refused {
		t.refusals++
		t.retryAt = now.Add(refusalRetryDelay)
	}
}

// isStoreUnavailable reports whether the store counts as unavailable, as judged
// by this commit.
func (t *commitTracker) isStoreUnavailable(now structs.Timestamp) bool {
	if t.refusals >= refusalsUntilUnavailable {
		return true
	}
	return now.Sub(max(t.createdAt, t.lastReadAnswerAt)) > storeUnavailableAfter
}
