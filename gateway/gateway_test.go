package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

func TestMain(m *testing.M) {
	// Some goroutines of fasthttp outlive its servers and clients: a worker
	// pool checks its stop signal every 10 s, and the clock of the Date header
	// never stops. Only the benchmarks use the client.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// fakeExecutor accepts connections and runs a script for every request.
type fakeExecutor struct {
	info     structs.Executor
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// startFakeExecutor starts an executor that calls script for every request.
// script returns false to close the connection.
func startFakeExecutor(t *testing.T, id structs.ExecutorID, script func(r *http.Request, body string, w net.Conn) bool) *fakeExecutor {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeExecutor{listener: listener, info: structs.Executor{
		ID: id, Service: "svc", Address: listener.Addr().String(), Slots: 8, Connections: 64, State: structs.Live,
	}}
	go e.accept(script)
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

func (e *fakeExecutor) accept(script func(*http.Request, string, net.Conn) bool) {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.accepted.Add(1)
		go e.serve(conn, script)
	}
}

func (e *fakeExecutor) serve(conn net.Conn, script func(*http.Request, string, net.Conn) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.requests.Add(1)
		body, _ := io.ReadAll(r.Body)
		if !script(r, string(body), conn) {
			return
		}
	}
}

func respondOK(r *http.Request, body string, w net.Conn) bool {
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nMangodrum-Request-Id: "+r.Header.Get(HeaderRequestID)+
		"\r\nContent-Length: "+strconv.Itoa(len(body)+3)+"\r\n\r\nok "+body)
	return err == nil
}

// fixture is a gateway whose clock advances only when the test advances it.
type fixture struct {
	*Gateway
	t     *testing.T
	clock atomic.Int64
	store *standin.Store
	url   string
}

func newFixture(t *testing.T, change func(*Options), executors ...*fakeExecutor) *fixture {
	t.Helper()
	f := &fixture{t: t, store: standin.NewStore()}
	f.clock.Store(int64(time.Hour))
	opts := Options{
		Instance: "i1", Table: f.store, Seed: 1, TickInterval: -1,
		Now: func() structs.Timestamp { return structs.Timestamp(f.clock.Load()) },
	}
	if change != nil {
		change(&opts)
	}
	f.Gateway = New(opts)
	f.useExecutors(executors...)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.url = "http://" + listener.Addr().String()
	served := make(chan struct{})
	go func() { defer close(served); _ = f.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = f.Drain(ctx)
		<-served
	})
	return f
}

func (f *fixture) useExecutors(executors ...*fakeExecutor) {
	var infos []structs.Executor
	for _, e := range executors {
		infos = append(infos, e.info)
	}
	f.SetExecutors(infos)
}

// advance advances the clock and runs one tick.
func (f *fixture) advance(d time.Duration) {
	f.clock.Add(int64(d))
	f.Tick()
}

type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
	err     error // of the connection or of reading the body
}

// send sends one request on a new connection.
func (f *fixture) send(method, path, body string, headers ...string) reply {
	f.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(method, f.url+"/v1/services/svc"+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set(HeaderTeam, "/team")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get(HeaderOutcome), response.Header, string(data), err}
}

// Guards against a request that does not reach its executor, and against a
// request or response that is changed on the way.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	f := newFixture(t, nil, startFakeExecutor(t, "e1", respondOK))
	r := f.send("PUT", "/orders/7?x=1", "hello", HeaderRequestID, "id-1")
	if r.err != nil || r.status != 200 || r.outcome != "answered" || r.body != "ok hello" {
		t.Fatalf("reply = %+v", r)
	}
	if r.header.Get(HeaderRequestID) != "id-1" {
		t.Errorf("identifier = %q, want id-1", r.header.Get(HeaderRequestID))
	}
}

// Guards against hop-by-hop headers that are forwarded, and against an executor
// that is not told the time left until the deadline.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	e := startFakeExecutor(t, "e1", func(r *http.Request, _ string, w net.Conn) bool {
		seen <- r.Header
		_, _ = io.WriteString(w, head200+r.Header.Get(HeaderRequestID)+
			"\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nMangodrum-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f := newFixture(t, nil, e)
	r := f.send("GET", "/", "", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Te", "trailers", HeaderDeadline, "700")
	header := <-seen
	if header.Get("X-Hop") != "" || header.Get("Te") != "" || header.Get("X-End") != "2" || header.Get(HeaderDeadline) != "700" {
		t.Errorf("the executor got the headers %v", header)
	}
	if r.header.Get("X-Hop") != "" || r.header.Get("X-End") != "2" || r.outcome != "answered" {
		t.Errorf("the caller got the headers %v", r.header)
	}
}

// Guards against a second execution of a non-idempotent request: the repeat must
// get the stored response.
func TestRepeatOfFinishedRequestGetsStoredResponse(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	f := newFixture(t, nil, e)
	first := f.send("POST", "/invoices", "a", HeaderRequestID, "id-1")
	second := f.send("POST", "/invoices", "a", HeaderRequestID, "id-1")
	if first.body != "ok a" || second.body != "ok a" || second.outcome != "answered" {
		t.Fatalf("replies = %+v and %+v, want \"ok a\" twice", first, second)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("executor ran the request %d times, want 1", n)
	}
}
