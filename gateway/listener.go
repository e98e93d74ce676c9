package gateway

import (
	"net"
	"sync"
	"time"
)

// callerListener limits the number of open connections of callers.
type callerListener struct {
	net.Listener
	g *Gateway
}

// tooManyConnectionsResponse is sent on connections beyond the limit.
const tooManyConnectionsResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Content-Type: application/json\r\n" +
	HeaderOutcome + ": not-run\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 120\r\n\r\n" +
	`{"kind":"not-run","message":"too many connections","remedy":"close idle connections or try again later","request_id":""}`

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.g.openConnections.Add(1) <= int64(l.g.opts.Limits.MaxConnections) {
			return &callerConn{Conn: conn, g: l.g, socket: newSocketPeeker(conn)}, nil
		}
		l.g.openConnections.Add(-1)
		l.g.metrics.rejectedConnections.Inc()
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // the response fits into the socket's send buffer
		_, _ = conn.Write([]byte(tooManyConnectionsResponse))
		_ = conn.Close()
	}
}

// callerConn counts a caller's connection until it is closed.
type callerConn struct {
	net.Conn
	g      *Gateway
	socket *socketPeeker // used by Tick only
	once   sync.Once
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.g.openConnections.Add(-1) })
	return c.Conn.Close()
}
