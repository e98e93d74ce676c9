package gateway

import (
	"net"
	"syscall"
)

type socketState int

const (
	socketQuiet  socketState = iota // open, nothing to read
	socketData                      // bytes to read
	socketClosed                    // the peer closed it, or it failed
)

// socketPeeker looks at a connection without reading from it or blocking. It
// is made once per connection, so that a look allocates nothing. It is not
// safe for concurrent use.
type socketPeeker struct {
	raw   syscall.RawConn // nil if the connection is no socket
	state socketState
	look  func(fd uintptr)
}

func newSocketPeeker(conn net.Conn) *socketPeeker {
	p := &socketPeeker{}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	p.look = func(fd uintptr) { p.state = peekDescriptor(int(fd)) }
	return p
}

func (p *socketPeeker) peek() socketState {
	if p.raw == nil {
		return socketQuiet
	}
	if err := p.raw.Control(p.look); err != nil {
		return socketClosed
	}
	return p.state
}

func peekDescriptor(fd int) socketState {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return socketQuiet
	case err == nil && n > 0:
		return socketData
	}
	return socketClosed
}
