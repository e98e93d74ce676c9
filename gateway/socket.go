package gateway

import (
	"net"
	"syscall"
)

type socketState int

const (
	socketNoData  socketState = iota // open, no data to read
	socketHasData                    // data to read
	socketClosed                     // the peer closed it, or it failed
)

// socketPeeker checks the state of a connection without consuming data or
// blocking. One is created per connection, so that a check allocates no memory.
// It is not safe for concurrent use.
type socketPeeker struct {
	raw      syscall.RawConn // nil if the connection is not a socket
	state    socketState
	peekFunc func(fd uintptr)
}

func newSocketPeeker(conn net.Conn) *socketPeeker {
	p := &socketPeeker{}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	p.peekFunc = func(fd uintptr) { p.state = peekDescriptor(int(fd)) }
	return p
}

func (p *socketPeeker) peek() socketState {
	if p.raw == nil {
		return socketNoData
	}
	if err := p.raw.Control(p.peekFunc); err != nil {
		return socketClosed
	}
	return p.state
}

func peekDescriptor(fd int) socketState {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return socketNoData
	case err == nil && n > 0:
		return socketHasData
	}
	return socketClosed
}
