package soak

import (
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
	go p.copy(server, client, p.to, false)
	p.copy(client, server, p.from, true)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *peerProxy) copy(to, from net.Conn, reader *platformtest.SiteInstance, isResponse bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 256<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.link.Await(isResponse, p.closed)
			if _, err := to.Write(p.site.ViewOf(reader, buffer[:n])); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
