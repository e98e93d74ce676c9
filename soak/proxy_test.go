package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass   mode = iota
	slow        // each piece is late
	silent      // nothing arrives, in either direction
	oneWay      // requests arrive, answers do not
)

const slowBy = 80 * time.Millisecond

// proxy forwards one loopback port to another and harms the connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset instead of an orderly end
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		server, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, false)
		go p.copy(client, server, true)
	}
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], answers) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) forward(to io.Writer, data []byte, answers bool) bool {
	p.mu.Lock()
	m := p.mode
	p.mu.Unlock()
	switch {
	case m == silent, m == oneWay && answers:
		return true // dropped; the connection never recovers
	case m == slow:
		time.Sleep(slowBy)
	}
	_, err := to.Write(data)
	return err == nil
}
