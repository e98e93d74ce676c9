package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// silencer is a listener whose machine can lose power: open connections stay open and new
// ones are not answered, as the queue of new connections is kept full.
type silencer struct {
	net.Listener
	dark atomic.Bool
	mu   sync.Mutex
	fill []net.Conn
}

func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err == nil && s.dark.Load() {
		select {} // nothing is accepted any more
	}
	return c, err
}

// goDark shrinks the queue of new connections and fills it.
func (s *silencer) goDark() {
	s.dark.Store(true)
	raw, err := s.Listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	for range 8 {
		c, err := net.DialTimeout("tcp4", s.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return // the queue is full
		}
		s.mu.Lock()
		s.fill = append(s.fill, c)
		s.mu.Unlock()
	}
}
