package peer

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/mangodrum/mangodrum/structs"
)

func TestMain(m *testing.M) {
	// Some goroutines of fasthttp end only after their next sleep.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}

func startTransport(t *testing.T, self structs.InstanceID, secret string, receive func(Message)) (*Transport, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := New(Options{Self: self, Secret: secret, Logger: hclog.NewNullLogger(), OnMessage: receive})
	served := make(chan struct{})
	go func() { defer close(served); _ = n.Serve(listener) }()
	t.Cleanup(func() { n.Close(); <-served })
	return n, listener.Addr().String()
}

// Guards against messages that are lost or corrupted on the way to the peer.
func TestSendDeliversToPeer(t *testing.T) {
	got := make(chan Message, 1)
	_, address := startTransport(t, "b", "s3cret", func(m Message) { got <- m })
	a, _ := startTransport(t, "a", "s3cret", func(Message) {})
	a.SetPeers([]structs.InstanceInfo{{ID: "b", PeerAddress: address}})

	if !a.Send("b", Message{Kind: KindCall, CallID: 7, Body: []byte("body")}) {
		t.Fatal("Send returned false for a known peer")
	}
	select {
	case m := <-got:
		if m.From != "a" || m.CallID != 7 || string(m.Body) != "body" {
			t.Fatalf("received %+v, want From a, Ref 7 and Body \"body\"", m)
		}
	case <-time.After(time.Minute):
		t.Fatal("no message arrived within a minute")
	}
}

// Guards against a listener that accepts messages from senders without the shared
// secret or with another version of the protocol.
func TestListenerRefusesWrongSecretAndVersion(t *testing.T) {
	_, address := startTransport(t, "b", "s3cret", func(Message) { t.Error("message accepted") })
	cases := map[string]struct{ version, authorization, want string }{
		"wrong version":  {"0", "Bearer s3cret", "run the same version"},
		"missing secret": {Version, "", "set the same peer secret"},
		"wrong secret":   {Version, "Bearer other", "set the same peer secret"},
	}
	for name, c := range cases {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + endpointPath)
		request.Header.Set(versionHeader, c.version)
		request.Header.Set("Authorization", c.authorization)
		request.SetConnectionClose()
		if err := fasthttp.Do(request, response); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if response.StatusCode() != fasthttp.StatusForbidden || !strings.Contains(string(response.Body()), c.want) {
			t.Errorf("%s: status %d, body %q", name, response.StatusCode(), response.Body())
		}
	}
}

// FuzzDecode guards against a malformed message that crashes the process.
func FuzzDecode(f *testing.F) {
	valid, _ := Encode(Message{From: "a", Kind: KindHeartbeat, Body: []byte{0xa0}})
	f.Add(valid)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m Message
		if Decode(data, &m) == nil {
			_ = Decode(m.Body, &Heartbeat{})
		}
	})
}

// TestServeAfterCloseReturns guards against a transport that serves for ever because it was
// closed before its goroutine began to serve.
func TestServeAfterCloseReturns(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := New(Options{Self: "a", Logger: hclog.NewNullLogger(), OnMessage: func(Message) {}})
	n.Close()
	served := make(chan struct{})
	go func() { defer close(served); _ = n.Serve(listener) }()
	select {
	case <-served:
	case <-time.After(10 * time.Second):
		t.Error("the transport still serves 10 s after it was closed")
		_ = listener.Close()
	}
}
