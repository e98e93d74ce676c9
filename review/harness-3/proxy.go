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
	cut   chan struct{} // closed when the cut has healed; nil if there is none
}

// arrivalDelay is how long after the end of a cut what was sent during it arrives. TCP repeats
// lost data in growing intervals.
const arrivalDelay = 1200 * time.Millisecond

// setCut begins or ends a cut: nothing passes meanwhile, and what was sent arrives after it.
func (p *peerProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut {
		p.cut = make(chan struct{})
		return
	}
	close(p.cut)
	p.cut = nil
}

// await waits for the end of a cut, and then for another time.
func (p *peerProxy) await(then time.Duration) {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut != nil {
		<-cut
		time.Sleep(then)
	}
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
		go p.forward(in)
	}
}

func (p *peerProxy) forward(in net.Conn) {
	p.await(0)
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &pair{in: in, out: out}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	go p.copy(c, out, in, true)
	p.copy(c, in, out, false)
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
			p.await(arrivalDelay)
			if _, err := to.Write(d.data); err != nil {
				_ = from.Close()
			}
		}
		if !p.isSilent(c) {
			_ = to.Close() // after all that was sent before the end
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
