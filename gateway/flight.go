package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// flight is an attempt while it has a connection.
type flight struct {
	until atomic.Int64 // deadline

	mu        sync.Mutex
	attempt   int
	conn      *execConn
	cancelled bool
	// superseded: another attempt's answer is passed on. The executor is told
	// by the end of the request's direction, and may still work.
	superseded bool
}

func (f *flight) attach(conn *execConn, send *router.Send) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempt = send.Attempt
	f.conn = conn
	f.cancelled, f.superseded = false, false
	f.until.Store(int64(send.Deadline))
}

// detach ends the attempt's hold on its connection and reports whether the
// attempt was cancelled.
func (f *flight) detach() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	f.until.Store(math.MaxInt64)
	return f.cancelled
}

// cancel closes the connection of the attempt.
func (f *flight) cancel() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil || f.cancelled {
		return
	}
	f.cancelled = true
	_ = f.conn.Close()
}

// supersede ends the request's direction of the attempt's connection and
// interrupts its reader. The other direction stays open: the executor holds
// its slot until it answers or closes.
func (f *flight) supersede() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil || f.cancelled {
		return
	}
	f.cancelled = true
	half, ok := f.conn.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || f.conn.SetReadDeadline(longAgo) != nil {
		_ = f.conn.Close()
		return
	}
	f.superseded = true
}

// longAgo is a deadline that interrupts a blocked read.
var longAgo = time.Unix(1, 0)

func (f *flight) isSuperseded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.superseded
}

func (f *flight) is(attempt int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn != nil && f.attempt == attempt
}

// flightOf returns the flight of an attempt: hedges have their own.
func (c *call) flightOf(send *router.Send) *flight {
	if send.Hedge {
		return &c.flights[1]
	}
	return &c.flights[0]
}

// cancelAttempt closes the connection of one attempt.
func (c *call) cancelAttempt(attempt int) {
	for i := range c.flights {
		f := &c.flights[i]
		switch {
		case !f.is(attempt):
		case c.winner.Load() != 0:
			f.supersede()
		default:
			f.cancel()
		}
	}
}

// cancelAll closes the connections of all attempts.
func (c *call) cancelAll() {
	for i := range c.flights {
		c.flights[i].cancel()
	}
}

// cancelLate closes the connections of attempts whose deadline has passed.
func (c *call) cancelLate(now structs.Timestamp) {
	for i := range c.flights {
		if f := &c.flights[i]; int64(now) >= f.until.Load() {
			f.cancel()
		}
	}
}

func (c *call) extend(attempt int, until structs.Timestamp) {
	for i := range c.flights {
		if f := &c.flights[i]; f.is(attempt) {
			f.until.Store(int64(until))
		}
	}
}
