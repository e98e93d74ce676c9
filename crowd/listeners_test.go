package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fasthttp/websocket"

	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
)

// TestReadinessBodies guards against bodies that the readiness listener receives.
func TestReadinessBodies(t *testing.T) {
	p := startCell(t, 1, small)[0]
	p.holdBodies(p.readiness)
	p.requireReady("after the crowd")
}

// TestMetricsBodies guards against bodies that the metrics listener receives.
func TestMetricsBodies(t *testing.T) {
	p := startCell(t, 1, small)[0]
	p.holdBodies(p.metrics)
	p.requireMetrics("after the crowd")
}

// holdBodies sends bodies to a listener that needs none.
func (p *process) holdBodies(address string) {
	const size = 4_000_000
	head := fmt.Sprintf("POST /-/readiness HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	body := spaces(size - 1)
	release := hold(p.t, address, 40, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head+body) })
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// TestReadinessConnections guards against connections to the readiness listener that take
// all descriptors, and against a probe that is no longer answered.
func TestReadinessConnections(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 284, descriptors: 256})[0]
	p.holdConnections(p.readiness)
	p.requireReady("after the crowd")
}

// TestMetricsConnections guards against the same at the metrics listener.
func TestMetricsConnections(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 284, descriptors: 256})[0]
	p.holdConnections(p.metrics)
	p.requireMetrics("after the crowd")
}

// TestPeerConnections guards against the same at the peers' listener.
func TestPeerConnections(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 284, descriptors: 256})[0]
	p.holdConnections(p.peers)
}

// holdConnections opens more connections to a listener than the instance has descriptors.
func (p *process) holdConnections(address string) {
	release := hold(p.t, address, 400, func(net.Conn, int) {})
	p.requireAnswer("during the crowd")
	p.requireReady("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// requireMetrics fails the test unless the instance shows its metrics.
func (p *process) requireMetrics(when string) {
	p.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + p.metrics + "/metrics")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s shows no metrics %s within %s; log:\n%s", p.name, when, hangTimeout, p.logTail())
}

// dialPeer opens a connection to the peers' listener as an instance does.
func (p *process) dialPeer() (*websocket.Conn, error) {
	header := http.Header{}
	header.Set("Mangodrum-Peer-Version", peer.Version)
	dialer := websocket.Dialer{HandshakeTimeout: 5 * time.Second}
	conn, response, err := dialer.Dial("ws://"+p.peers+"/peer", header)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return conn, err
}

// TestPeerMessagesUnfinished guards against messages to the peers' listener that together
// take more memory than the instance has, because their last bytes never come.
func TestPeerMessagesUnfinished(t *testing.T) {
	p := startCell(t, 1, small)[0]
	release := p.holdMessages()
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// holdMessages begins long messages to the peers' listener and returns a function that closes
// their connections.
func (p *process) holdMessages() (release func()) {
	data := make([]byte, 6<<20)
	var conns []*websocket.Conn
	for range 24 {
		conn, err := p.dialPeer()
		if err != nil {
			continue // a refused connection is allowed
		}
		conns = append(conns, conn)
		_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
		w, err := conn.NextWriter(websocket.BinaryMessage)
		if err == nil {
			_, _ = w.Write(data) // without Close: the message goes on
		}
	}
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// TestPeerNames guards against a metric for each name that a connection to the peers'
// listener gives.
func TestPeerNames(t *testing.T) {
	p := startCell(t, 1, small)[0]
	conn, err := p.dialPeer()
	if err != nil {
		t.Fatal(err)
	}
	const names = 100_000
	reply, err := peer.Encode(peer.Reply{})
	if err != nil {
		t.Fatal(err)
	}
	padding := spaces(1000)
	for n := range names {
		message, err := peer.Encode(peer.Message{From: structs.InstanceID(fmt.Sprintf("%s%d", padding, n)), Kind: peer.KindReply, CallID: 1, Body: reply})
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
		if err := conn.WriteMessage(websocket.BinaryMessage, message); err != nil {
			break // a closed connection is allowed
		}
	}
	p.requireAnswer("during the crowd")
	_ = conn.Close()
	p.requireWithinLimits()
	p.requireMetrics("after the crowd")
}
