package gateway

import (
	"net"

	"github.com/mangodrum/mangodrum/internal/inbound"
)

// callerListener returns the connections of callers, within the limits of an
// inbound.Listener.
type callerListener struct {
	*inbound.Listener
}

// tooManyConnectionsResponse is sent on connections beyond the limit while the requests of
// all others are being processed.
const tooManyConnectionsResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Content-Type: application/json\r\n" +
	HeaderOutcome + ": not-run\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 120\r\n\r\n" +
	`{"kind":"not-run","message":"too many connections","remedy":"close idle connections or try again later","request_id":""}`

// newCallerListener bounds the connections of a listener.
func newCallerListener(l net.Listener, limits Limits, onRefused func()) callerListener {
	return callerListener{inbound.NewListener(l, inbound.Limits{
		Connections: limits.MaxConnections, HeldBytes: limits.MaxHeldBytes, Refusal: tooManyConnectionsResponse, OnRefused: onRefused,
	})}
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	bounded := inbound.Of(conn)
	return &callerConn{Conn: bounded, socket: newSocketPeeker(bounded.Conn)}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	*inbound.Conn
	socket *socketPeeker // used by Tick only
}

// boundOf returns the bounds of a caller's connection, or nil if it has none.
func boundOf(c net.Conn) *inbound.Conn {
	if conn, ok := c.(*callerConn); ok {
		return conn.Conn
	}
	return nil
}
