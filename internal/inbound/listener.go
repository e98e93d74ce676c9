package inbound

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bounds the connections of a listener.
type Limits struct {
	Connections int   // open at a time
	HeldBytes   int64 // held by all connections together, see Conn.Hold
	// Refusal is written to a connection that is refused because all others are busy.
	// It is sent before the request is read, so it can say that nothing was run.
	Refusal   string
	OnRefused func() // if not nil, called for each refused connection
}

// Counts are the totals of a listener.
type Counts struct {
	Open      int    // connections
	HeldBytes int64  // see Conn.Hold
	Evicted   uint64 // connections that were closed to make room
	Refused   uint64 // connections that were refused because all others were busy
	Failed    uint64 // connections that could not be accepted for now
}

// Listener is a net.Listener whose connections are bounded. Its connections are of type
// *Conn.
type Listener struct {
	net.Listener
	limits Limits
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	waiting list.List // of *Conn that wait for their clients, the one that waits longest first
	counts  Counts
}

// NewListener returns a listener that accepts the connections of l within limits.
func NewListener(l net.Listener, limits Limits) *Listener {
	return &Listener{Listener: l, limits: limits, closed: make(chan struct{})}
}

const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
	// refusalTimeout bounds the write of a refusal, which fits into the send buffer of a
	// new connection.
	refusalTimeout = 100 * time.Millisecond
)

// Accept implements net.Listener. It goes on after errors that concern one connection or a
// want of descriptors, as HTTP servers end with the first error.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		inner, err := l.Listener.Accept()
		switch {
		case err == nil:
			if conn := l.admit(inner); conn != nil {
				return conn, nil
			}
		case isTemporary(err):
			l.acceptFailed()
			select {
			case <-time.After(delay):
			case <-l.closed:
				return nil, net.ErrClosed
			}
			delay = min(2*delay, maxAcceptDelay)
			continue
		default:
			return nil, err
		}
		delay = minAcceptDelay
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isTemporary reports whether later connections may be accepted after an error.
func isTemporary(err error) bool {
	for _, number := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, // a want of descriptors or memory
		syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.EINTR, syscall.EAGAIN, // one connection
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}

// acceptFailed frees the descriptor of the connection that waits longest.
func (l *Listener) acceptFailed() {
	l.mu.Lock()
	l.counts.Failed++
	evicted := l.evictLocked(nil)
	l.mu.Unlock()
	closeEvicted(evicted)
}

// admit returns the connection, or nil if it is refused.
func (l *Listener) admit(inner net.Conn) *Conn {
	conn := &Conn{Conn: inner, listener: l}
	l.mu.Lock()
	var evicted *Conn
	if l.counts.Open >= l.limits.Connections {
		if evicted = l.evictLocked(nil); evicted == nil {
			l.counts.Refused++
			l.mu.Unlock()
			l.refuse(inner)
			return nil
		}
	}
	l.counts.Open++
	conn.element = l.waiting.PushBack(conn)
	l.mu.Unlock()
	closeEvicted(evicted)
	return conn
}

func (l *Listener) refuse(inner net.Conn) {
	if l.limits.OnRefused != nil {
		l.limits.OnRefused()
	}
	if l.limits.Refusal != "" {
		_ = inner.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = inner.Write([]byte(l.limits.Refusal)) // the client may be gone
	}
	_ = inner.Close()
}

// evictLocked removes the connection that waits longest, except the given one, and returns
// it to be closed, or nil if there is none. The caller holds l.mu.
func (l *Listener) evictLocked(except *Conn) *Conn {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if conn := e.Value.(*Conn); conn != except {
			l.removeLocked(conn)
			l.counts.Evicted++
			return conn
		}
	}
	return nil
}

// removeLocked forgets a connection and what it holds. The caller holds l.mu.
func (l *Listener) removeLocked(conn *Conn) {
	if conn.removed {
		return
	}
	conn.removed = true
	l.counts.Open--
	l.counts.HeldBytes -= conn.held
	conn.held = 0
	if conn.element != nil {
		l.waiting.Remove(conn.element)
		conn.element = nil
	}
}

// closeEvicted closes the socket of an evicted connection, if any. Its server notices by
// the error of the next read or write.
func closeEvicted(conn *Conn) {
	if conn != nil {
		_ = conn.Conn.Close() // nothing is left to do with a connection that does not close
	}
}

// Counts returns the current totals.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
