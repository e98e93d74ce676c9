package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target with a latency in each direction.
type proxy struct {
	listener net.Listener
	target   string
	oneWay   time.Duration

	mu    sync.Mutex
	dials map[string]bool // local addresses of the connections to the target
}

func startProxy(target string, oneWay time.Duration) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, oneWay: oneWay, dials: map[string]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

// dialled reports whether a connection to the target comes from this proxy.
func (p *proxy) dialled(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials[address]
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.dials[to.LocalAddr().String()] = true
	p.mu.Unlock()
	go p.copy(to, from)
	go p.copy(from, to)
}

// piece is data to deliver at a time; empty data ends the connection.
type piece struct {
	at   time.Time
	data []byte
}

func (p *proxy) copy(to, from net.Conn) {
	pieces := make(chan piece, 4096)
	go func() {
		for next := range pieces {
			time.Sleep(time.Until(next.at))
			if len(next.data) == 0 {
				break
			}
			if _, err := to.Write(next.data); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		for range pieces { // lets the reader end
			continue
		}
	}()
	defer close(pieces)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{time.Now().Add(p.oneWay), append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			pieces <- piece{at: time.Now().Add(p.oneWay)}
			return
		}
	}
}
