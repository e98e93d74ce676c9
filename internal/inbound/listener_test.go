package inbound

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// scriptedListener returns the given errors first and then connections whose other ends
// it keeps.
type scriptedListener struct {
	net.Listener
	failures []error
	clients  []net.Conn
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, err
	}
	client, server := net.Pipe()
	l.clients = append(l.clients, client)
	return server, nil
}

func (l *scriptedListener) Close() error { return nil }

// accept accepts the next connection of l.
func accept(t *testing.T, l *Listener) *Conn {
	t.Helper()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return Of(conn)
}

// isClosed reports whether the server has closed the connection of a client.
func isClosed(client net.Conn) bool {
	written := make(chan error, 1)
	go func() { _, err := client.Write([]byte("x")); written <- err }()
	return errors.Is(<-written, io.ErrClosedPipe)
}

// TestAcceptGoesOnWithoutDescriptors guards against a listener that ends for good with the
// first connection that it has no descriptor for.
func TestAcceptGoesOnWithoutDescriptors(t *testing.T) {
	inner := &scriptedListener{failures: []error{
		&net.OpError{Op: "accept", Err: syscall.EMFILE}, &net.OpError{Op: "accept", Err: syscall.ECONNABORTED}, &net.OpError{Op: "accept", Err: syscall.ENOMEM},
	}}
	l := NewListener(inner, Limits{Connections: 2})
	accept(t, l)
	if n := l.Counts().Failed; n != 3 {
		t.Errorf("%d failures counted, want 3", n)
	}
	inner.failures = []error{net.ErrClosed}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept of a closed listener returned %v", err)
	}
}

// TestLongestWaitingConnectionMakesRoom guards against idle connections that keep others out,
// and against a connection that is closed while its request is processed.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	inner := &scriptedListener{}
	l := NewListener(inner, Limits{Connections: 3})
	busy, oldest, used := accept(t, l), accept(t, l), accept(t, l)
	if !busy.Begin() || !used.Begin() {
		t.Fatal("a connection within the limits was closed")
	}
	used.Done()
	accept(t, l)
	if !isClosed(inner.clients[1]) || oldest.Begin() {
		t.Error("the connection that had waited longest is still open")
	}
	accept(t, l)
	if used.Begin() {
		t.Error("the next one is still open")
	}
	counts := l.Counts()
	if counts.Open != 3 || counts.Evicted != 2 {
		t.Errorf("%+v, want 3 open and 2 evicted", counts)
	}
	busy.Done()
	if err := busy.Close(); err != nil || l.Counts().Open != 2 {
		t.Errorf("close: %v, %d open, want 2", err, l.Counts().Open)
	}
}

// TestBusyListenerRefuses guards against more connections than the limit while all of them
// are busy, and against a refusal without a text.
func TestBusyListenerRefuses(t *testing.T) {
	l := NewListener(&scriptedListener{}, Limits{Connections: 1, Refusal: "busy"})
	first := accept(t, l)
	first.Begin()
	client, server := net.Pipe()
	answer := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(client)
		answer <- string(data)
	}()
	if l.admit(server) != nil {
		t.Error("a connection over the limit is accepted")
	}
	if got := <-answer; got != "busy" {
		t.Errorf("the refused connection got %q", got)
	}
}

// TestHeldMemoryIsBounded guards against requests that together hold more than the limit, and
// against a client that keeps the memory of others by sending nothing more.
func TestHeldMemoryIsBounded(t *testing.T) {
	l := NewListener(&scriptedListener{}, Limits{Connections: 10, HeldBytes: 100})
	stalled, busy, next := accept(t, l), accept(t, l), accept(t, l)
	if !stalled.Hold(40) || !busy.Hold(60) || !busy.Begin() {
		t.Fatal("memory within the limit is not granted")
	}
	if !next.Hold(40) {
		t.Error("the request that had waited longest has not made room")
	}
	if stalled.Hold(1) || stalled.Begin() {
		t.Error("the request that made room goes on")
	}
	if next.Hold(1) {
		t.Error("memory over the limit is granted while a request is processed")
	}
	busy.Done()
	if held := l.Counts().HeldBytes; held != 40 {
		t.Errorf("%d bytes held, want those of one request", held)
	}
}

// endless is a body that never ends.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) { e.read += len(p); return len(p), nil }

// TestReadBodyStopsAtLimit guards against bodies that are received beyond their limit, or have
// memory set aside that they only announce.
func TestReadBodyStopsAtLimit(t *testing.T) {
	limits := BodyLimits{MaxBytes: 10_000, FreeBytes: 4096, Factor: 2}
	if _, err := ReadBody(&endless{}, nil, 10_001, limits); !errors.Is(err, ErrTooLarge) {
		t.Errorf("announced body: %v", err)
	}
	body := &endless{}
	if _, err := ReadBody(body, nil, -1, limits); !errors.Is(err, ErrTooLarge) || body.read > limits.MaxBytes+1 {
		t.Errorf("endless body: %v after %d bytes", err, body.read)
	}
	if data, err := ReadBody(strings.NewReader(strings.Repeat("x", 10_000)), nil, 10_000, limits); err != nil || len(data) != 10_000 {
		t.Errorf("body of the largest size: %d bytes, %v", len(data), err)
	}
	if _, err := ReadBody(strings.NewReader("x"), nil, 2, limits); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("short body: %v", err)
	}
	l := NewListener(&scriptedListener{}, Limits{Connections: 2, HeldBytes: 1000})
	if _, err := ReadBody(strings.NewReader("x"), accept(t, l), 9_000, limits); !errors.Is(err, io.ErrUnexpectedEOF) || l.Counts().HeldBytes != 0 {
		t.Errorf("a body that is only announced holds %d bytes, %v", l.Counts().HeldBytes, err)
	}
	if _, err := ReadBody(strings.NewReader(strings.Repeat("x", 9_000)), accept(t, l), 9_000, limits); !errors.Is(err, ErrBusy) {
		t.Errorf("a body without memory: %v", err)
	}
}
