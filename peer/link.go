package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fasthttp/websocket"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// link is the outgoing connection to one peer and its queue of messages.
type link struct {
	id      structs.InstanceID
	address string
	queue   chan []byte
	cancel  context.CancelFunc
	release func(bytes int) // called for each message that has left the queue
}

func (n *Transport) startLink(id structs.InstanceID, address string) *link {
	ctx, cancel := context.WithCancel(n.ctx)
	l := &link{id: id, address: address, queue: make(chan []byte, sendQueueMessages), cancel: cancel, release: n.releaseQueue}
	n.group.Go(func() {
		defer l.discardQueued()
		n.keepConnected(ctx, l)
	})
	return l
}

// keepConnected dials the peer and sends queued messages until ctx ends. It dials
// again whenever the connection breaks.
func (n *Transport) keepConnected(ctx context.Context, l *link) {
	connected := false
	lastRefusal := "" // the last refusal that was logged
	for ctx.Err() == nil {
		conn, err := n.dial(ctx, l.address)
		if err != nil {
			if connected {
				n.options.Logger.Info("peer disconnected", "peer", l.id, "error", err)
				connected = false
			}
			if text := err.Error(); errs.Is(err, errs.Denied) && text != lastRefusal {
				n.options.Logger.Warn("peer refused the connection", "peer", l.id, "error", text)
				lastRefusal = text
			}
			l.discardQueued()
			sleep(ctx, redialInterval)
			continue
		}
		if !connected {
			n.options.Logger.Info("peer connected", "peer", l.id, "address", l.address)
			connected = true
		}
		l.writeQueued(ctx, conn)
		_ = conn.Close()
	}
}

// discardQueued empties the queue. Messages that were queued while the peer was
// unreachable are out of date when it is reachable again.
func (l *link) discardQueued() {
	for {
		select {
		case data := <-l.queue:
			l.release(len(data))
		default:
			return
		}
	}
}

func (n *Transport) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	dialer := websocket.Dialer{HandshakeTimeout: writeTimeout, NetDialContext: n.options.Dial}
	header := http.Header{}
	header.Set(versionHeader, Version)
	if n.options.Secret != "" {
		header.Set("Authorization", "Bearer "+n.options.Secret)
	}
	conn, response, err := dialer.DialContext(ctx, "ws://"+address+endpointPath, header)
	if response == nil || response.Body == nil {
		return conn, err
	}
	defer func() { _ = response.Body.Close() }()
	if err != nil && response.StatusCode == http.StatusForbidden {
		const maxRefusalBytes = 512 // longer error texts of the peer are truncated
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		return nil, errs.New(errs.Denied, "", "%s", text)
	}
	return conn, err
}

// writeQueued sends queued messages on conn until ctx ends or a write fails.
func (l *link) writeQueued(ctx context.Context, conn *websocket.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.queue:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			err := conn.WriteMessage(websocket.BinaryMessage, data)
			l.release(len(data))
			if err != nil {
				return
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
