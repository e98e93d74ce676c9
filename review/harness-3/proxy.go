package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// peerProxy forwards the connections from one instance to another.
type peerProxy struct {
	listener net.Listener
	target   string
	view     func([]byte) []byte // replaces addresses by those that the receiver may use
	delay    time.Duration       // of each direction

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection and its continuation. Once it is silent, nothing passes in either
// direction any more, the end of the connection neither, and it is never reset.
type pair struct {
	in, out net.Conn
	silent  bool
}

func (p *peerProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &pair{in: in, out: out}
		p.mu.Lock()
		p.pairs[c] = true
		p.mu.Unlock()
		go p.copy(c, out, in, true)
		go p.copy(c, in, out, false)
	}
}

// delayed is data that is on its way.
type delayed struct {
	due  time.Time
	data []byte
}

// silence lets the open connections go silent for good. New ones work.
func (p *peerProxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		if !c.silent {
			n++
		}
		c.silent = true
	}
	return n
}

func (p *peerProxy) isSilent(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent
}

// copy forwards one direction of a WebSocket connection, frame by frame.
func (p *peerProxy) copy(c *pair, to, from net.Conn, toPeer bool) {
	in := bufio.NewReaderSize(from, 64<<10)
	queue := make(chan delayed, 4096)
	defer close(queue)
	go func() {
		for d := range queue {
			time.Sleep(time.Until(d.due))
			if _, err := to.Write(d.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	for header := true; ; {
		var data []byte
		var err error
		if header { // of the request or response that opens the connection
			data, err = in.ReadBytes('\n')
			header = len(bytes.TrimSpace(data)) > 0
		} else {
			data, err = readFrame(in, p.view, toPeer)
		}
		if p.isSilent(c) {
			_, _ = io.Copy(io.Discard, from)
			return // the other side learns nothing
		}
		if err == nil {
			queue <- delayed{time.Now().Add(p.delay), data}
		}
		if err != nil {
			p.mu.Lock()
			delete(p.pairs, c)
			p.mu.Unlock()
			_, _ = c.in.Close(), c.out.Close()
			return
		}
	}
}

// readFrame reads a WebSocket frame (RFC 6455) and replaces its payload by one of the same
// length.
func readFrame(in *bufio.Reader, view func([]byte) []byte, replace bool) ([]byte, error) {
	frame := make([]byte, 2)
	if _, err := io.ReadFull(in, frame); err != nil {
		return nil, err
	}
	length, masked := uint64(frame[1]&0x7f), frame[1]&0x80 != 0
	if extended := map[uint64]int{126: 2, 127: 8}[length]; extended > 0 {
		more := make([]byte, extended)
		if _, err := io.ReadFull(in, more); err != nil {
			return nil, err
		}
		frame, length = append(frame, more...), 0
		for _, b := range more {
			length = length<<8 | uint64(b)
		}
	}
	var mask [4]byte
	if masked {
		if _, err := io.ReadFull(in, mask[:]); err != nil {
			return nil, err
		}
		frame = append(frame, mask[:]...)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(in, payload); err != nil {
		return nil, err
	}
	apply := func() {
		for n := range payload {
			payload[n] ^= mask[n%4]
		}
	}
	apply()
	if replace {
		payload = view(payload)
	}
	apply()
	return append(frame, payload...), nil
}
