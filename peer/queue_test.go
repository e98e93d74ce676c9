package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/structs"
)

// TestQueuesAreBoundedTogether guards against messages to peers that do not read, which
// together take more memory than the instance has, and against heartbeats that are lost
// because the queues are full of requests.
func TestQueuesAreBoundedTogether(t *testing.T) {
	const size, limit = 100 << 10, 1 << 20
	blocked := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	n := New(Options{Self: "a", Logger: hclog.NewNullLogger(), OnMessage: func(Message) {}, MaxQueuedBytes: limit, Dial: blocked})
	defer n.Close()
	n.SetPeers([]structs.InstanceInfo{{ID: "b", PeerAddress: "127.0.0.1:1"}, {ID: "c", PeerAddress: "127.0.0.1:1"}})
	queued := 0
	for range 20 {
		for _, to := range []structs.InstanceID{"b", "c"} {
			if n.Send(to, Message{Kind: KindCall, Body: make([]byte, size)}) {
				queued++
			}
		}
	}
	if bytes := queued * size; bytes > limit || queued == 0 {
		t.Errorf("%d bytes are queued, the limit is %d", bytes, limit)
	}
	const medium, short = 5 << 10, 3 << 10
	for n.Send("b", Message{Kind: KindCall, Body: make([]byte, medium)}) {
		continue // until less than the length of a medium message is left
	}
	for range medium/short + 1 {
		if !n.Send("c", Message{Kind: KindLeaderHeartbeat, Body: make([]byte, short)}) {
			t.Error("a heartbeat is lost")
		}
	}
	n.SetPeers(nil)
	for deadline := time.Now().Add(10 * time.Second); n.queuedBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still counted after the links have ended", n.queuedBytes.Load())
		}
	}
}
