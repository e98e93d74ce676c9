package gateway

import (
	"bufio"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// execConn is a connection to an executor.
type execConn struct {
	net.Conn
	pool   *pool
	reader *bufio.Reader
	writer *bufio.Writer
	socket *socketPeeker
	head   fasthttp.ResponseHeader // of the current answer
	// echoes: every answer so far carried the identifier of its request.
	echoes bool
	used   bool
}

// pool holds the connections to one executor. open counts idle ones and
// those in use and never exceeds limit when a connection is added.
type pool struct {
	mu      sync.Mutex
	limits  Limits
	address string
	limit   int
	keep    int // idle connections beyond this number serve nothing
	open    int
	idle    []*execConn
}

// poolKey tells pools apart: two executors may share an address, and one may
// move to another address.
type poolKey struct {
	executor structs.ExecutorID
	address  string
}

type poolSet struct {
	mu     sync.Mutex
	limits Limits
	pools  map[poolKey]*pool
}

func newPoolSet(limits Limits) *poolSet {
	return &poolSet{limits: limits, pools: map[poolKey]*pool{}}
}

func (s *poolSet) get(executor structs.ExecutorID, address string) *pool {
	key := poolKey{executor, address}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[key]
	if p == nil {
		p = &pool{address: address, limits: s.limits}
		s.pools[key] = p
	}
	return p
}

// setLimit changes the number of connections and closes idle ones beyond it.
func (s *poolSet) setLimit(e router.ConnectionsChanged) {
	p := s.get(e.Executor, e.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = e.Connections
	p.keep = e.Slots
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeIdleLocked()
	}
	if p.limit > 0 || p.open > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, poolKey{e.Executor, e.Address})
}

func (s *poolSet) close() {
	s.mu.Lock()
	keys := slices.Collect(maps.Keys(s.pools))
	s.mu.Unlock()
	for _, key := range keys {
		s.setLimit(router.ConnectionsChanged{Executor: key.executor, Address: key.address})
	}
}

func (p *pool) closeIdleLocked() {
	conn := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.open--
	_ = conn.Close()
}

var errNoConnection = errors.New("all connections held for the executor are in use")

// take returns an idle connection, or a new one. fresh asks for a new one: an
// idle connection may be closed by the executor at any time, which leaves
// open whether it ran the request.
func (p *pool) take(fresh bool) (*execConn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 && !fresh {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.isQuiet() {
			p.mu.Unlock()
			return conn, nil
		}
		p.open--
		_ = conn.Close()
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeIdleLocked()
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.open++
	p.mu.Unlock()
	return p.dial()
}

func (p *pool) dial() (*execConn, error) {
	conn, err := net.DialTimeout("tcp", p.address, p.limits.DialTimeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &execConn{
		Conn: conn, pool: p, echoes: true, socket: newSocketPeeker(conn),
		reader: bufio.NewReaderSize(conn, p.limits.MaxHeaderBytes),
		writer: bufio.NewWriterSize(conn, 4<<10),
	}, nil
}

// put gives a connection back after a complete answer.
func (p *pool) put(conn *execConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.echoes || conn.reader.Buffered() > 0 || p.open > p.limit || len(p.idle) >= p.keep {
		p.open--
		_ = conn.Close()
		return
	}
	conn.used = true
	p.idle = append(p.idle, conn)
}

// discard closes a connection that must not be used again.
func (p *pool) discard(conn *execConn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// isQuiet reports whether an idle connection is open and has no bytes that
// nobody asked for.
func (c *execConn) isQuiet() bool {
	return c.reader.Buffered() == 0 && c.socket.peek() == socketQuiet
}
