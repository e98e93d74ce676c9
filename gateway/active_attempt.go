package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// activeAttempt is an attempt that holds a connection to an executor.
type activeAttempt struct {
	deadline atomic.Int64 // a structs.Timestamp; MaxInt64 without a connection

	mu        sync.Mutex
	attempt   int
	conn      *execConn
	cancelled bool
	// superseded means that the response of another attempt is forwarded. The
	// executor sees the write side of the connection closed but may still be
	// working on the request.
	superseded bool
}

func (a *activeAttempt) attach(conn *execConn, send *router.Send) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt = send.Attempt
	a.conn = conn
	a.cancelled, a.superseded = false, false
	a.deadline.Store(int64(send.Deadline))
}

// detach separates the attempt from its connection and reports whether the
// attempt was cancelled.
func (a *activeAttempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	a.deadline.Store(math.MaxInt64)
	return a.cancelled
}

// cancel closes the connection of the attempt.
func (a *activeAttempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.cancelled {
		return
	}
	a.cancelled = true
	_ = a.conn.Close()
}

// supersede closes the write side of the attempt's connection and interrupts
// its reader. The read side stays open because the slot stays in use until the
// executor responds or closes the connection.
func (a *activeAttempt) supersede() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.cancelled {
		return
	}
	a.cancelled = true
	halfCloser, ok := a.conn.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil || a.conn.SetReadDeadline(pastDeadline) != nil {
		_ = a.conn.Close()
		return
	}
	a.superseded = true
}

// pastDeadline is a read deadline that interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

func (a *activeAttempt) isSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}

func (a *activeAttempt) holds(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.attempt == attempt
}

// activeAttemptOf returns the activeAttempt that send uses: the second one for
// a hedge, the first one otherwise.
func (c *call) activeAttemptOf(send *router.Send) *activeAttempt {
	if send.Hedge {
		return &c.attempts[1]
	}
	return &c.attempts[0]
}

// cancelAttempt closes the connection of one attempt, or supersedes the attempt
// if the response of another one is forwarded.
func (c *call) cancelAttempt(attempt int) {
	for i := range c.attempts {
		a := &c.attempts[i]
		switch {
		case !a.holds(attempt):
		case c.winner.Load() != 0:
			a.supersede()
		default:
			a.cancel()
		}
	}
}

// cancelAll closes the connections of all attempts.
func (c *call) cancelAll() {
	for i := range c.attempts {
		c.attempts[i].cancel()
	}
}

// cancelLate closes the connections of attempts whose deadlines have passed.
func (c *call) cancelLate(now structs.Timestamp) {
	for i := range c.attempts {
		if a := &c.attempts[i]; int64(now) >= a.deadline.Load() {
			a.cancel()
		}
	}
}

func (c *call) extendAttempt(attempt int, deadline structs.Timestamp) {
	for i := range c.attempts {
		if a := &c.attempts[i]; a.holds(attempt) {
			a.deadline.Store(int64(deadline))
		}
	}
}
