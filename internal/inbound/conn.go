package inbound

import (
	"container/list"
	"net"
)

// Conn is a connection of a Listener. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn
	listener *Listener

	// Guarded by listener.mu.
	element *list.Element // in listener.waiting; nil while a request is processed
	held    int64         // bytes, see Hold
	removed bool          // no longer counted
}

// Of returns the bounded connection behind c, or nil if its listener has no bounds.
func Of(c net.Conn) *Conn {
	conn, _ := c.(*Conn)
	return conn
}

// Hold adds bytes of memory that the present request holds until Done. To make room it
// closes connections that have waited longer for their clients. It returns false if there is
// still none: the request must be refused, or its connection was closed to make room. A nil
// connection has no bound.
func (c *Conn) Hold(bytes int64) bool {
	if c == nil {
		return true
	}
	l := c.listener
	var evicted []*Conn
	l.mu.Lock()
	for !c.removed && l.counts.HeldBytes+bytes > l.limits.HeldBytes {
		victim := l.evictHolderLocked(c)
		if victim == nil {
			break
		}
		evicted = append(evicted, victim)
	}
	granted := !c.removed && l.counts.HeldBytes+bytes <= l.limits.HeldBytes
	if granted {
		c.held += bytes
		l.counts.HeldBytes += bytes
	}
	l.mu.Unlock()
	for _, victim := range evicted {
		closeEvicted(victim)
	}
	return granted
}

// evictHolderLocked removes the connection that has waited longest among those that hold
// memory, unless c itself has waited longer. The caller holds l.mu.
func (l *Listener) evictHolderLocked(c *Conn) *Conn {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*Conn)
		if conn == c {
			return nil
		}
		if conn.held > 0 {
			l.removeLocked(conn)
			l.counts.Evicted++
			return conn
		}
	}
	return nil
}

// Begin marks the present request as complete: until Done the connection is not closed to
// make room. It returns false if it was closed before.
func (c *Conn) Begin() bool {
	if c == nil {
		return true
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
	return !c.removed
}

// Done releases what the present request holds. The connection waits for its client from
// now on, to read the answer and to send the next request.
func (c *Conn) Done() {
	if c == nil {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return
	}
	l.counts.HeldBytes -= c.held
	c.held = 0
	if c.element == nil {
		c.element = l.waiting.PushBack(c)
	} else {
		l.waiting.MoveToBack(c.element)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.removeLocked(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
