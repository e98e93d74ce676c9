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
	pool         *pool
	reader       *bufio.Reader
	writer       *bufio.Writer
	socket       *socketPeeker
	responseHead fasthttp.ResponseHeader // of the current response
	// echoesRequestID is true while every response has carried the identifier
	// of its request.
	echoesRequestID bool
	used            bool // carried a complete response before
}

// pool holds the connections to one executor. open counts idle connections and
// those in use. No connection is opened while open is maxOpen or more; after
// maxOpen was lowered, open may exceed it.
type pool struct {
	mu      sync.Mutex
	limits  Limits
	address string
	maxOpen int
	maxIdle int // more idle connections than slots are never used
	open    int
	idle    []*execConn
}

// poolKey identifies a pool. The executor alone is not enough because it may
// move to another address, and two executors may share an address.
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

// setLimit sets the number of connections that may be open to an executor and
// closes idle connections beyond it.
func (s *poolSet) setLimit(e router.ConnectionsChanged) {
	p := s.get(e.Executor, e.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = e.Connections
	p.maxIdle = e.Slots
	for p.open > p.maxOpen && len(p.idle) > 0 {
		p.closeIdleLocked()
	}
	if p.maxOpen > 0 || p.open > 0 {
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

var errNoConnection = errors.New("all connections that this instance may open to the executor are in use")

// take returns an idle connection or dials a new one. With forceNew it always
// dials: the executor may close an idle connection at any time, and then it is
// unknown whether it ran the request.
func (p *pool) take(forceNew bool) (*execConn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 && !forceNew {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.isReusable() {
			p.mu.Unlock()
			return conn, nil
		}
		p.open--
		_ = conn.Close()
	}
	if p.open >= p.maxOpen && len(p.idle) > 0 {
		p.closeIdleLocked()
	}
	if p.open >= p.maxOpen {
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
		Conn: conn, pool: p, echoesRequestID: true, socket: newSocketPeeker(conn),
		reader: bufio.NewReaderSize(conn, p.limits.MaxHeaderBytes),
		writer: bufio.NewWriterSize(conn, 4<<10),
	}, nil
}

// put returns a connection to the pool after a complete response.
func (p *pool) put(conn *execConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.echoesRequestID || conn.reader.Buffered() > 0 || p.open > p.maxOpen || len(p.idle) >= p.maxIdle {
		p.open--
		_ = conn.Close()
		return
	}
	conn.used = true
	p.idle = append(p.idle, conn)
}

// discard closes a connection that must not be reused.
func (p *pool) discard(conn *execConn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// isReusable reports whether an idle connection is open and has no unread data,
// which would belong to no request.
func (c *execConn) isReusable() bool {
	return c.reader.Buffered() == 0 && c.socket.peek() == socketNoData
}
