package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode selects how a proxy forwards data.
type proxyMode int

const (
	passThrough   proxyMode = iota
	delayed                 // data is forwarded with a delay
	dropAll                 // nothing is forwarded in either direction
	dropResponses           // requests are forwarded, responses are not
)

const proxyDelay = 80 * time.Millisecond

// proxy forwards connections from one loopback port to another and injects faults
// into them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
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

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // send a reset instead of closing in order
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
			return // the listener is closed
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

func (p *proxy) copy(to, from net.Conn, isResponse bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], isResponse) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) forward(to io.Writer, data []byte, isResponse bool) bool {
	p.mu.Lock()
	m := p.mode
	p.mu.Unlock()
	switch {
	case m == dropAll, m == dropResponses && isResponse:
		return true // the data is lost, so the connection cannot recover
	case m == delayed:
		time.Sleep(proxyDelay)
	}
	_, err := to.Write(data)
	return err == nil
}
