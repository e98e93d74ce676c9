package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// settlement decides how the outcome of one commit is found out: when to send
// it, when to read its row back, and when to send it again. It does no I/O.
//
// It answers three loads that look alike at first, a transaction without an
// answer. After a lost answer the row shows at once that the commit took
// effect. A store that is slow serves its transactions one after another, so
// a second copy would double the delay of everything behind it; reads tell how
// slow it is. When reads have no answer either, this way to the store is cut,
// and the next copy takes another one.
type settlement struct {
	madeAt   structs.Timestamp
	sentAt   structs.Timestamp // the last copy; 0 if none was sent
	inFlight int               // copies without an outcome
	refused  int               // copies that the store certainly did not take
	retryAt  structs.Timestamp // no copy before this time

	reading  bool
	readAt   structs.Timestamp // the last read-back was sent
	readTook time.Duration     // of the last read-back with an answer since sentAt; 0 if there is none
	heardAt  structs.Timestamp // the last answer of a read-back
	unread   int               // successive read-backs without an answer
}

const (
	// readBackAfter is well above a commit from the far region, 80 ms.
	readBackAfter = 150 * time.Millisecond
	// readBackTimeout bounds a read while the store is 70 times as slow as
	// usual: 4 ms and a round trip of 60 ms.
	readBackTimeout = 400 * time.Millisecond
	// overdueFactor is how many times a read a transaction may take; it takes
	// twice as long in the store, and may wait behind another one.
	overdueFactor = 4
	// commitTimeout bounds one copy. It is above what a commit takes while the
	// store is 70 times as slow as usual.
	commitTimeout = 2 * time.Second
	// refusedRetry separates copies while the store refuses them.
	refusedRetry = 250 * time.Millisecond
	// maxCopies bounds the copies on their way.
	maxCopies = 3
	// awayAfter is how long a commit may be without an outcome and the store
	// without any answer before the store is taken as away.
	awayAfter = 1200 * time.Millisecond
	// refusalsUntilAway tells one refusal from a store that is away.
	refusalsUntilAway = 2
)

// shouldSend reports whether a copy of the commit has to be sent now.
func (s *settlement) shouldSend(now structs.Timestamp) bool {
	if now.Before(s.retryAt) || s.inFlight >= maxCopies {
		return false
	}
	if s.inFlight == 0 {
		return true
	}
	if s.readTook > 0 {
		return now.Sub(s.sentAt) >= readBackAfter+overdueFactor*s.readTook
	}
	return s.unread > 0
}

func (s *settlement) sent(now structs.Timestamp) {
	s.inFlight++
	s.sentAt, s.readAt, s.readTook, s.unread = now, now, 0, 0
}

// shouldRead reports whether the row has to be read back now.
func (s *settlement) shouldRead(now structs.Timestamp) bool {
	return s.inFlight > 0 && !s.reading && now.Sub(s.readAt) >= readBackAfter
}

func (s *settlement) read(now structs.Timestamp) { s.reading, s.readAt = true, now }

// readDone takes over the end of a read-back that was sent at readAt.
func (s *settlement) readDone(now structs.Timestamp, answered bool) {
	s.reading = false
	if !answered {
		s.unread++
		return
	}
	s.unread, s.heardAt = 0, now
	s.readTook = max(now.Sub(s.readAt), time.Millisecond)
}

// copyDone takes over a copy without a usable answer.
func (s *settlement) copyDone(now structs.Timestamp, refused bool) {
	s.inFlight--
	if refused {
		s.refused++
		s.retryAt = now.Add(refusedRetry)
	}
}

// isAway reports whether the store has to be taken as away for this commit.
func (s *settlement) isAway(now structs.Timestamp) bool {
	if s.refused >= refusalsUntilAway {
		return true
	}
	return now.Sub(max(s.madeAt, s.heardAt)) > awayAfter
}
