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

// await receives or fails the test.
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

// raw answers with the given text after the identifier's header and closes
// the connection.
func raw(text string) func(*http.Request, string, net.Conn) bool {
	return func(r *http.Request, _ string, w net.Conn) bool {
		_, _ = io.WriteString(w, head200+r.Header.Get(HeaderRequestID)+"\r\n"+text)
		return false
	}
}

// Guards against a cut answer that is passed off as complete, in every
// framing, for answers that are buffered and answers that are streamed.
func TestCutAnswerIsNeverComplete(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	cases := map[string]struct {
		answer   string
		streamed bool
	}{
		"short fixed":    {"Content-Length: 10\r\n\r\nhalf", false},
		"long fixed":     {"Content-Length: 200000\r\n\r\n" + long, true},
		"chunk missing":  {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true},
		"chunk cut":      {"Transfer-Encoding: chunked\r\n\r\nff\r\nhalf", true},
		"trailer cut":    {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", true},
		"without length": {"\r\nhalf", false},
		"head cut":       {"Content-Le", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, startFake(t, "e1", raw(c.answer)))
			r := f.send("GET", "/", "")
			switch {
			case c.streamed && r.err == nil:
				t.Errorf("the caller got a complete answer of %d bytes", len(r.body))
			case !c.streamed && (r.status != 502 || r.outcome != "outcome-unknown"):
				t.Errorf("reply = %d %s %q, want 502 outcome-unknown", r.status, r.outcome, r.body)
			}
		})
	}
}

// Guards against a retry of a request that may have run although it is not
// idempotent, and against a missing retry of one that is.
func TestOnlyIdempotentRequestIsRetriedAfterReset(t *testing.T) {
	reset := startFake(t, "e1", func(*http.Request, string, net.Conn) bool { return false })
	f := newFixture(t, nil, reset)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p1"); r.outcome != "outcome-unknown" {
		t.Errorf("non-idempotent: %d %s, want outcome-unknown", r.status, r.outcome)
	}
	if n := reset.requests.Load(); n != 1 {
		t.Errorf("the executor got the non-idempotent request %d times", n)
	}
	good := startFake(t, "e2", answerOK)
	f.list(good)
	for range 10 { // ten first attempts pay for one retry
		f.send("GET", "/", "")
	}
	f.list(reset, good)
	before := good.requests.Load()
	for reset.requests.Load() == 1 { // until a request met the executor that resets
		replies := f.async("GET", "/", "")
		r := f.tickUntil(replies)
		if r.outcome != "answered" {
			t.Errorf("idempotent: %d %s, want answered", r.status, r.outcome)
		}
	}
	if good.requests.Load() == before {
		t.Error("the request was not retried")
	}
}

// tickUntil moves the clock by a retry's backoff until the reply is there.
func (f *fixture) tickUntil(replies <-chan reply) reply {
	for {
		select {
		case r := <-replies:
			return r
		default:
			f.advance(time.Millisecond)
		}
	}
}

// Guards against a second answer on a connection that reaches the next
// caller.
func TestDoubledAnswerReachesNobody(t *testing.T) {
	for _, echo := range []bool{true, false} {
		e := startFake(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
			id := "\r\nMangodrum-Request-Id: " + r.Header.Get(HeaderRequestID)
			if !echo {
				id = ""
			}
			answer := "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 1\r\n\r\n" + body
			_, _ = io.WriteString(w, answer+answer)
			return true
		})
		f := newFixture(t, nil, e)
		for _, body := range []string{"1", "2", "3", "4"} {
			if r := f.send("PUT", "/", body); r.outcome == "answered" && r.body != body {
				t.Errorf("echo %v: request %s got the answer %q", echo, body, r.body)
			}
		}
	}
}

// Guards against an answer that arrives after its request's deadline and is
// taken for the answer to the next request.
func TestLateAnswerReachesNobody(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	e := startFake(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		if body == "late" {
			arrived <- struct{}{}
			<-release
		}
		return answerOK(r, body, w)
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

// Guards against work that goes on after its caller left, and against reuse
// of the connection.
func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	arrived := make(chan struct{}, 1)
	closed := make(chan struct{})
	e := startFake(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		_, _ = w.Read(make([]byte, 1)) // ends when the gateway closes the connection
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

// Guards against new work for an executor that is leaving, and against a cut
// of its running request.
func TestLeavingExecutorEndsItsWork(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	leaving := startFake(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return answerOK(r, body, w)
	})
	f := newFixture(t, nil, leaving)
	running := f.async("PUT", "/", "running")
	await(t, "request at the executor", arrived)
	other := startFake(t, "e2", answerOK)
	leaving.info.State = structs.Leaving
	f.list(leaving, other)
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

// Guards against an executor that gets no connections after it moved.
func TestExecutorThatMovesIsServedAtItsNewAddress(t *testing.T) {
	old, moved := startFake(t, "e1", answerOK), startFake(t, "e1", answerOK)
	f := newFixture(t, nil, old)
	f.send("GET", "/", "")
	f.list(moved)
	if r := f.send("GET", "/", ""); r.outcome != "answered" || moved.requests.Load() != 1 {
		t.Errorf("reply = %d %s, %d requests at the new address", r.status, r.outcome, moved.requests.Load())
	}
}

// Guards against long bodies that are changed by the change of framing.
func TestLongBodiesArriveUnchanged(t *testing.T) {
	const size = 8 << 20
	e := startFake(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		_, _ = io.WriteString(w, head200+r.Header.Get(HeaderRequestID)+"\r\nTransfer-Encoding: chunked\r\n\r\n800000\r\n"+body+"\r\n0\r\n\r\n")
		return true
	})
	f := newFixture(t, nil, e)
	sent := strings.Repeat("0123456789abcdef", size/16)
	if r := f.send("PUT", "/", sent); r.err != nil || r.body != sent {
		t.Errorf("got %d bytes, error %v", len(r.body), r.err)
	}
}

// Guards against bodies that are held in memory as a whole: each side sends
// its second part only after the other one has received the first.
func TestBodiesStreamBothWays(t *testing.T) {
	part := strings.Repeat("x", 2*maxBuffered)
	requestSeen, answerSeen := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.ReadFull(r.Body, make([]byte, maxBuffered))
		close(requestSeen)
		rest, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		<-answerSeen
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
	close(answerSeen)
	rest, err := io.ReadAll(response.Body)
	if want := strconv.Itoa(2*len(part) - maxBuffered); err != nil || string(rest) != want {
		t.Errorf("the executor read %s bytes after the first part, want %s; error %v", rest, want, err)
	}
}
