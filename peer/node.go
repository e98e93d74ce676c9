package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/structs"
)

// Limits and constants of the connections between peers.
const (
	MaxMessageBytes = 8 << 20 // unless Options sets another limit
	// freeMessageBytes are the bytes of a message that count as a part of its connection.
	// Only settings, rows of the store and jobs take more.
	freeMessageBytes = 64 << 10
	// messageCost is the memory for each further byte: the message, its body, and what
	// that is decoded into.
	messageCost       = 3
	maxConnections    = 256
	sendQueueMessages = 1024
	writeTimeout      = 5 * time.Second
	// defaultQueuedBytes holds a few of the longest messages.
	defaultQueuedBytes = 32 << 20
	// readTimeout is several heartbeat intervals, so that a dead connection is
	// closed even if TCP does not detect it.
	readTimeout    = 15 * time.Second
	redialInterval = 200 * time.Millisecond // a restarted peer listens again within 0.3 s
	endpointPath   = "/peer"
	versionHeader  = "Mangodrum-Peer-Version"
)

// MaxHeldBytes returns the memory, counted as by inbound.Conn.Hold, that one message of the
// given size holds at most while it arrives.
func MaxHeldBytes(size int) int64 { return int64(size) * messageCost }

// Options configures a Transport.
type Options struct {
	Self   structs.InstanceID
	Secret string // secret shared by all instances; empty means that none is required
	Logger hclog.Logger
	// OnMessage is called for every message. Calls may be concurrent.
	OnMessage func(Message)
	// OnDisconnect, if set, is called when a connection from a peer has ended.
	OnDisconnect    func(structs.InstanceID)
	MaxMessageBytes int // of one message; 0: MaxMessageBytes of the package
	// MaxQueuedBytes limits the messages that wait to be sent to all peers; 0:
	// defaultQueuedBytes.
	MaxQueuedBytes int64
	// Dial opens connections to peers; nil means the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Transport manages the connections between this instance and its peers.
type Transport struct {
	options  Options
	upgrader websocket.FastHTTPUpgrader
	server   *fasthttp.Server
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup

	queuedBytes atomic.Int64 // of the messages in the queues of all links

	mu    sync.Mutex
	links map[structs.InstanceID]*link
}

// New returns a transport without peers.
func New(options Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	if options.MaxMessageBytes == 0 {
		options.MaxMessageBytes = MaxMessageBytes
	}
	if options.MaxQueuedBytes == 0 {
		options.MaxQueuedBytes = defaultQueuedBytes
	}
	n := &Transport{options: options, ctx: ctx, cancel: cancel, links: map[structs.InstanceID]*link{}}
	n.server = &fasthttp.Server{
		Handler:            n.handleUpgrade,
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: 1 << 10,
		Logger:             discardLogger{},
	}
	return n
}

// discardLogger drops the log lines of the HTTP server. Refused connections are
// logged by the instance that dialled.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections of peers on listener until Close is called. It returns at
// once if Close has been called before, which the server would not know.
func (n *Transport) Serve(listener net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	defer stop()
	return n.server.Serve(listener)
}

// Close closes all connections and waits until its goroutines have ended.
func (n *Transport) Close() {
	n.cancel()
	n.SetPeers(nil)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_ = n.server.ShutdownWithContext(ctx)
	n.group.Wait()
}

// SetPeers replaces the set of peers. Connections to peers that are in both sets
// under the same address stay open.
func (n *Transport) SetPeers(peers []structs.InstanceInfo) {
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

// Send queues a message for a peer. It returns false, and the message is lost, if
// the peer is unknown, its queue is full or the message cannot be encoded.
func (n *Transport) Send(to structs.InstanceID, message Message) bool {
	message.From = n.options.Self
	data, err := Encode(message)
	if err != nil {
		return false
	}
	n.mu.Lock() // held until the message is queued, as an ended link discards its queue
	defer n.mu.Unlock()
	l := n.links[to]
	if l == nil || !n.reserveQueue(len(data)) {
		return false
	}
	select {
	case l.queue <- data:
		return true
	default:
		n.releaseQueue(len(data))
		return false
	}
}

// reserveQueue counts the bytes of a message that is to be queued. It returns false if the
// queues of all links together are full. Short messages are always queued, within the number
// of messages of a queue: heartbeats go on while the queues are full of requests.
func (n *Transport) reserveQueue(bytes int) bool {
	const shortMessage = 4 << 10
	if n.queuedBytes.Add(int64(bytes)) <= n.options.MaxQueuedBytes || bytes <= shortMessage {
		return true
	}
	n.releaseQueue(bytes)
	return false
}

func (n *Transport) releaseQueue(bytes int) { n.queuedBytes.Add(int64(-bytes)) }

func (n *Transport) handleUpgrade(ctx *fasthttp.RequestCtx) {
	if err := n.checkRequest(ctx); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	bounded := inbound.Of(ctx.Conn())
	if err := n.upgrader.Upgrade(ctx, func(conn *websocket.Conn) { n.readMessages(conn, bounded) }); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (n *Transport) checkRequest(ctx *fasthttp.RequestCtx) error {
	if string(ctx.Path()) != endpointPath {
		return errs.New(errs.InvalidInput, "connect to "+endpointPath, "path %q does not exist on the peers' listener", ctx.Path())
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

// readMessages reads messages until the connection ends. What a message takes while it arrives
// is bounded together with those on other connections if the listener is an
// inbound.Listener, which then also may close the connection that has been silent longest.
func (n *Transport) readMessages(conn *websocket.Conn, bounded *inbound.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	limits := inbound.BodyLimits{MaxBytes: n.options.MaxMessageBytes, FreeBytes: freeMessageBytes, Factor: messageCost}
	conn.SetReadLimit(int64(limits.MaxBytes))
	var from structs.InstanceID
	defer func() {
		if n.options.OnDisconnect != nil && n.ctx.Err() == nil {
			n.options.OnDisconnect(from)
		}
	}()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		kind, reader, err := conn.NextReader()
		if err != nil {
			return
		}
		data, err := inbound.ReadBody(reader, bounded, -1, limits)
		if err != nil {
			return
		}
		var message Message
		if kind != websocket.BinaryMessage || Decode(data, &message) != nil {
			return
		}
		from = message.From
		n.options.OnMessage(message)
		bounded.Done()
	}
}
