package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Limits of the peers' listener and connections.
const (
	MaxMessageBytes   = 8 << 20
	maxConnections    = 256
	sendQueueMessages = 1024
	writeTimeout      = 5 * time.Second
	// readTimeout is several heartbeat intervals, so that a dead connection
	// is closed even when TCP does not notice.
	readTimeout    = 15 * time.Second
	redialInterval = 200 * time.Millisecond // a restarted peer listens again within 0.3 s
	path           = "/peer"
	versionHeader  = "Mangodrum-Peer-Version"
)

// Options configures a Node.
type Options struct {
	Self   structs.InstanceID
	Secret string // shared secret; empty means that none is required
	Logger hclog.Logger
	// Receive is called for every message, from several goroutines.
	Receive func(Message)
	// Disconnected, if set, is called when a peer's connection has ended.
	Disconnected func(structs.InstanceID)
	// Dial opens connections to peers; nil stands for the ordinary dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is this instance's end of the connections to its peers.
type Node struct {
	options  Options
	upgrader websocket.FastHTTPUpgrader
	server   *fasthttp.Server
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mu    sync.Mutex
	links map[structs.InstanceID]*link
}

// New returns a node without peers.
func New(options Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{options: options, ctx: ctx, cancel: cancel, links: map[structs.InstanceID]*link{}}
	n.server = &fasthttp.Server{
		Handler:            n.accept,
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: 1 << 10,
		Logger:             discardLogger{},
	}
	return n
}

// discardLogger drops the HTTP server's own lines; refused connections are
// counted by the caller's side.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts peers' connections on listener until Close.
func (n *Node) Serve(listener net.Listener) error { return n.server.Serve(listener) }

// Close closes all connections and waits for the node's goroutines.
func (n *Node) Close() {
	n.cancel()
	n.SetPeers(nil)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_ = n.server.ShutdownWithContext(ctx)
	n.group.Wait()
}

// SetPeers replaces the set of peers. Links to peers that stay are kept.
func (n *Node) SetPeers(peers []structs.InstanceInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := make(map[structs.InstanceID]string, len(peers))
	for _, p := range peers {
		if p.ID != n.options.Self {
			wanted[p.ID] = p.PeerAddress
		}
	}
	for id, l := range n.links {
		if wanted[id] != l.address {
			l.cancel()
			delete(n.links, id)
		}
	}
	for id, address := range wanted {
		if n.links[id] == nil && n.ctx.Err() == nil {
			n.links[id] = n.startLink(id, address)
		}
	}
}

// Send queues a message for a peer. It returns false if the peer is not known
// or its queue is full; the message is then lost.
func (n *Node) Send(to structs.InstanceID, message Message) bool {
	message.From = n.options.Self
	data, err := Encode(message)
	if err != nil {
		return false
	}
	n.mu.Lock()
	l := n.links[to]
	n.mu.Unlock()
	if l == nil {
		return false
	}
	select {
	case l.queue <- data:
		return true
	default:
		return false
	}
}

func (n *Node) accept(ctx *fasthttp.RequestCtx) {
	if err := n.checkRequest(ctx); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	if err := n.upgrader.Upgrade(ctx, n.read); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (n *Node) checkRequest(ctx *fasthttp.RequestCtx) error {
	if string(ctx.Path()) != path {
		return errs.New(errs.InvalidInput, "connect to "+path, "path %q does not exist on the peers' listener", ctx.Path())
	}
	if got := string(ctx.Request.Header.Peek(versionHeader)); got != Version {
		return errs.New(errs.InvalidInput, "run the same version on all instances",
			"peer protocol version %q, want %q", got, Version)
	}
	want := "Bearer " + n.options.Secret
	got := ctx.Request.Header.Peek("Authorization")
	if n.options.Secret != "" && subtle.ConstantTimeCompare(got, []byte(want)) != 1 {
		return errs.New(errs.Denied, "set the same peer secret on all instances", "peer secret is missing or wrong")
	}
	return nil
}

func (n *Node) read(conn *websocket.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(MaxMessageBytes)
	var from structs.InstanceID
	defer func() {
		if n.options.Disconnected != nil && n.ctx.Err() == nil {
			n.options.Disconnected(from)
		}
	}()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		kind, data, err := conn.ReadMessage()
		if err != nil {
			return
		}
		var message Message
		if kind != websocket.BinaryMessage || Decode(data, &message) != nil {
			return
		}
		from = message.From
		n.options.Receive(message)
	}
}
