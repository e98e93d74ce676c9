package httpcall

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a call that keeps waiting for a server that never answers after
// its context is cancelled.
func TestDoEndsWithItsContext(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
		}
		cancel()
	}()
	_, err = Do(ctx, NewClient(1000), time.Minute, func(r *fasthttp.Request) { r.SetRequestURI("http://" + listener.Addr().String()) })
	if !errors.Is(err, context.Canceled) || NotSent(err) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	_ = (<-accepted).Close()
}

// Guards against a refused connection that counts as a request that was sent.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = Do(context.Background(), NewClient(1000), time.Minute, func(r *fasthttp.Request) { r.SetRequestURI("http://" + address) })
	if !NotSent(err) {
		t.Errorf("got error %v, want one for which NotSent is true", err)
	}
}
