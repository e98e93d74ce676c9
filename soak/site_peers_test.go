package soak

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"

	"github.com/mangodrum/mangodrum/platform/platformtest"
)

// peerProxy forwards the connections of one instance to another over a link of their
// own. It replaces addresses in the data, so that each instance learns only those of its
// own proxies.
type peerProxy struct {
	link     *platformtest.Link
	site     *platformtest.Site
	from, to *platformtest.SiteInstance
	listener net.Listener
	target   string
	closed   <-chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startPeerProxy(site *platformtest.Site, from, to *platformtest.SiteInstance, port string, link *platformtest.Link, closed <-chan struct{}) (*peerProxy, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(platformtest.PeerViewIP(from.Number, to.Number), port))
	if err != nil {
		return nil, err
	}
	p := &peerProxy{
		link: link, site: site, from: from, to: to, listener: listener, target: net.JoinHostPort(platformtest.PeerIP(to.Number), port), closed: closed, conns: map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

func (p *peerProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *peerProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(client)
	}
}

func (p *peerProxy) serve(client net.Conn) {
	p.link.Await(false, p.closed)
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	silenced := p.link.Silenced()
	go p.copy(server, client, p.to, false, silenced)
	p.copy(client, server, p.from, true, silenced)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one direction of a WebSocket connection, frame by frame.
func (p *peerProxy) copy(to, from net.Conn, reader *platformtest.SiteInstance, isResponse bool, silenced int) {
	defer func() { _ = to.Close() }()
	in := bufio.NewReaderSize(from, 64<<10)
	for inHeader := true; ; {
		var data []byte
		var err error
		if inHeader { // of the HTTP request or response that opens the connection
			data, err = in.ReadBytes('\n')
			inHeader = len(bytes.TrimSpace(data)) > 0
		} else {
			data, err = readFrame(in, func(payload []byte) []byte { return p.site.ViewOf(reader, payload) })
		}
		if err != nil {
			return
		}
		if p.link.Silenced() != silenced {
			continue // the connection has gone silent since it was opened
		}
		if !inHeader {
			p.link.Await(isResponse, p.closed)
		}
		if _, err := to.Write(data); err != nil {
			return
		}
	}
}

// readFrame reads a WebSocket frame (RFC 6455) and replaces its payload by one of the
// same length.
func readFrame(in *bufio.Reader, replace func([]byte) []byte) ([]byte, error) {
	frame := make([]byte, 2, 14)
	if _, err := io.ReadFull(in, frame); err != nil {
		return nil, err
	}
	length, masked := uint64(frame[1]&0x7f), frame[1]&0x80 != 0
	extended := map[uint64]int{126: 2, 127: 8}[length]
	maskSize := 0
	if masked {
		maskSize = 4
	}
	frame = frame[:2+extended+maskSize]
	if _, err := io.ReadFull(in, frame[2:]); err != nil {
		return nil, err
	}
	if extended > 0 {
		length = 0
		for _, b := range frame[2 : 2+extended] {
			length = length<<8 | uint64(b)
		}
	}
	mask := frame[2+extended:]
	payload := make([]byte, length)
	if _, err := io.ReadFull(in, payload); err != nil {
		return nil, err
	}
	applyMask(payload, mask)
	payload = replace(payload)
	applyMask(payload, mask)
	return append(frame, payload...), nil
}

func applyMask(payload, mask []byte) {
	if len(mask) == 0 {
		return
	}
	for n := range payload {
		payload[n] ^= mask[n%len(mask)]
	}
}
