package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// async sends a request and returns the channel for its reply.
func (f *fixture) async(method, path, body string, headers ...string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- f.send(method, path, body, headers...) }()
	return replies
}

// await receives a value from c and fails the test after 10 s.
func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s within 10 s", what)
		panic("unreachable")
	}
}

const head200 = "HTTP/1.1 200 OK\r\nMangodrum-Request-Id: "

// respondRaw sends a status line, the request identifier's header and the given
// text, and closes the connection.
func respondRaw(text string) func(*http.Request, string, net.Conn) bool {
	return func(r *http.Request, _ string, w net.Conn) bool {
		_, _ = io.WriteString(w, head200+r.Header.Get(HeaderRequestID)+"\r\n"+text)
		return false
	}
}

// Guards against a truncated response that is forwarded as if it were complete.
// Covers all kinds of framing, for buffered and for streamed responses.
func TestTruncatedResponseIsNeverReportedComplete(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	cases := map[string]struct {
		response string
		streamed bool
	}{
		"buffered with length": {"Content-Length: 10\r\n\r\nhalf", false},
		"streamed with length": {"Content-Length: 200000\r\n\r\n" + long, true},
		"last chunk missing":   {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true},
		"truncated chunk":      {"Transfer-Encoding: chunked\r\n\r\nff\r\nhalf", true},
		"truncated trailer":    {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", true},
		"without length":       {"\r\nhalf", false},
		"truncated head":       {"Content-Le", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, startFakeExecutor(t, "e1", respondRaw(c.response)))
			r := f.send("GET", "/", "")
			switch {
			case c.streamed && r.err == nil:
				t.Errorf("the caller got a complete response of %d bytes, want an error", len(r.body))
			case !c.streamed && (r.status != 502 || r.outcome != "outcome-unknown"):
				t.Errorf("reply = %d %s %q, want 502 outcome-unknown", r.status, r.outcome, r.body)
			}
		})
	}
}

// Guards against a retry of a non-idempotent request that may have run, and
// against a missing retry of an idempotent one.
func TestOnlyIdempotentRequestIsRetriedAfterReset(t *testing.T) {
	reset := startFakeExecutor(t, "e1", func(*http.Request, string, net.Conn) bool { return false })
	f := newFixture(t, nil, reset)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p1"); r.outcome != "outcome-unknown" {
		t.Errorf("non-idempotent: %d %s, want outcome-unknown", r.status, r.outcome)
	}
	if n := reset.requests.Load(); n != 1 {
		t.Errorf("the executor got the non-idempotent request %d times, want 1", n)
	}
	good := startFakeExecutor(t, "e2", respondOK)
	f.useExecutors(good)
	for range 10 { // the retry budget allows one retry per ten first attempts
		f.send("GET", "/", "")
	}
	f.useExecutors(reset, good)
	before := good.requests.Load()
	for reset.requests.Load() == 1 { // until a request reached the executor that resets the connection
		replies := f.async("GET", "/", "")
		r := f.advanceUntilReply(replies)
		if r.outcome != "answered" {
			t.Errorf("idempotent: %d %s, want answered", r.status, r.outcome)
		}
	}
	if good.requests.Load() == before {
		t.Error("the request was not retried")
	}
}

// advanceUntilReply advances the clock in steps of 1 ms, so that backoffs end,
// until the reply arrives.
func (f *fixture) advanceUntilReply(replies <-chan reply) reply {
	for {
		select {
		case r := <-replies:
			return r
		default:
			f.advance(time.Millisecond)
		}
	}
}

// Guards against a duplicate response on a connection that is delivered to the
// next caller.
func TestDuplicateResponseIsNotDelivered(t *testing.T) {
	for _, echo := range []bool{true, false} {
		e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
			id := "\r\nMangodrum-Request-Id: " + r.Header.Get(HeaderRequestID)
			if !echo {
				id = ""
			}
			response := "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 1\r\n\r\n" + body
			_, _ = io.WriteString(w, response+response)
			return true
		})
		f := newFixture(t, nil, e)
		for _, body := range []string{"1", "2", "3", "4"} {
			if r := f.send("PUT", "/", body); r.outcome == "answered" && r.body != body {
				t.Errorf("echo %v: request %q got the response %q", echo, body, r.body)
			}
		}
	}
}

// Guards against a response that arrives after the deadline of its request and
// is delivered as the response to the next request.
func TestLateResponseIsNotDelivered(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		if body == "late" {
			arrived <- struct{}{}
			<-release
		}
		return respondOK(r, body, w)
	})
	f := newFixture(t, nil, e)
	late := f.async("PUT", "/", "late", HeaderDeadline, "1000")
	await(t, "request at the executor", arrived)
	f.advance(time.Second)
	if r := await(t, "reply", late); r.status != 502 || r.outcome != "outcome-unknown" {
		t.Errorf("late request: %d %s, want 502 outcome-unknown", r.status, r.outcome)
	}
	close(release)
	if r := f.send("PUT", "/", "next"); r.body != "ok next" {
		t.Errorf("next request got %q", r.body)
	}
}

// Guards against requests that keep running after their caller disconnected:
// the gateway must close the connection to the executor and not reuse it.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	arrived := make(chan struct{}, 1)
	closed := make(chan struct{})
	e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		_, _ = w.Read(make([]byte, 1)) // returns when the gateway closes the connection
		close(closed)
		return false
	})
	f := newFixture(t, nil, e)
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /v1/services/svc/x HTTP/1.1\r\nHost: x\r\nMangodrum-Team: t\r\n\r\n")
	await(t, "request at the executor", arrived)
	_ = conn.Close()
	for {
		select {
		case <-closed:
			return
		default:
			f.Tick()
		}
	}
}

// Guards against new requests for an executor that is leaving, and against
// interrupting its running request.
func TestLeavingExecutorFinishesRunningRequests(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	leaving := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return respondOK(r, body, w)
	})
	f := newFixture(t, nil, leaving)
	running := f.async("PUT", "/", "running")
	await(t, "request at the executor", arrived)
	other := startFakeExecutor(t, "e2", respondOK)
	leaving.info.State = structs.Leaving
	f.useExecutors(leaving, other)
	for range 20 {
		f.send("GET", "/", "")
	}
	close(release)
	if r := await(t, "reply", running); r.body != "ok running" {
		t.Errorf("running request: %+v", r)
	}
	if n := leaving.requests.Load(); n != 1 {
		t.Errorf("the leaving executor got %d requests, want 1", n)
	}
}

// Guards against an executor that cannot be reached after its address changed.
func TestMovedExecutorIsReachedAtNewAddress(t *testing.T) {
	old, moved := startFakeExecutor(t, "e1", respondOK), startFakeExecutor(t, "e1", respondOK)
	f := newFixture(t, nil, old)
	f.send("GET", "/", "")
	f.useExecutors(moved)
	if r := f.send("GET", "/", ""); r.outcome != "answered" || moved.requests.Load() != 1 {
		t.Errorf("reply = %d %s and %d requests at the new address, want answered and 1", r.status, r.outcome, moved.requests.Load())
	}
}

// Guards against long bodies that are corrupted when the framing changes between
// Content-Length and chunked.
func TestLongBodiesAreForwardedUnchanged(t *testing.T) {
	const size = 8 << 20
	e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		_, _ = io.WriteString(w, head200+r.Header.Get(HeaderRequestID)+"\r\nTransfer-Encoding: chunked\r\n\r\n800000\r\n"+body+"\r\n0\r\n\r\n")
		return true
	})
	f := newFixture(t, nil, e)
	sent := strings.Repeat("0123456789abcdef", size/16)
	if r := f.send("PUT", "/", sent); r.err != nil || r.body != sent {
		t.Errorf("the reply has %d bytes and error %v, want the body that was sent", len(r.body), r.err)
	}
}

// Guards against bodies that are buffered as a whole before they are forwarded:
// each side sends its second part only after the other side has received the
// first one.
func TestRequestAndResponseBodiesAreStreamed(t *testing.T) {
	part := strings.Repeat("x", 2*maxBuffered)
	requestSeen, responseSeen := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.ReadFull(r.Body, make([]byte, maxBuffered))
		close(requestSeen)
		rest, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		<-responseSeen
		_, _ = io.WriteString(w, strconv.FormatInt(rest, 10))
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	f := newFixture(t, nil, &fakeExecutor{info: structs.Executor{
		ID: "e1", Service: "svc", Address: listener.Addr().String(), Slots: 8, Connections: 64, State: structs.Live,
	}})
	body, sender := io.Pipe()
	request, _ := http.NewRequest("PUT", f.url+"/v1/services/svc/x", body)
	request.Header.Set(HeaderTeam, "/team")
	go func() {
		_, _ = io.WriteString(sender, part)
		<-requestSeen
		_, _ = io.WriteString(sender, part)
		_ = sender.Close()
	}()
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.ReadFull(response.Body, make([]byte, len(part)))
	close(responseSeen)
	rest, err := io.ReadAll(response.Body)
	if want := strconv.Itoa(2*len(part) - maxBuffered); err != nil || string(rest) != want {
		t.Errorf("the executor read %s bytes after the first part, want %s; error %v", rest, want, err)
	}
}
