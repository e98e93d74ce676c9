package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// Guards against invalid requests that are accepted, and against error responses
// without an outcome, a kind and a remedy.
func TestInvalidRequestsAreRejectedWithRemedy(t *testing.T) {
	f := newFixture(t, func(o *Options) {
		o.Limits = Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 4096}
	}, startFakeExecutor(t, "e1", respondOK))
	cases := map[string]struct {
		status int
		reply  reply
	}{
		"identifier missing": {400, f.send("POST", "/", "a")},
		"deadline":           {400, f.send("GET", "/", "", HeaderDeadline, "soon")},
		"idempotent":         {400, f.send("GET", "/", "", HeaderIdempotent, "maybe")},
		"class":              {400, f.send("GET", "/", "", HeaderClass, "none")},
		"team":               {400, f.send("GET", "/", "", HeaderTeam, "a b")},
		"service":            {404, f.send("GET", "x/y", "")},
		"body":               {413, f.send("PUT", "/", strings.Repeat("x", 1001))},
		"header":             {431, f.send("GET", "/", "", "X", strings.Repeat("x", 5000))},
	}
	for name, c := range cases {
		var body ErrorBody
		if err := json.Unmarshal([]byte(c.reply.body), &body); err != nil {
			t.Errorf("%s: body %q: %v", name, c.reply.body, err)
		}
		if c.reply.status != c.status || c.reply.outcome != "not-run" || body.Kind == "" || body.Remedy == "" {
			t.Errorf("%s: %d %s %+v, want %d not-run", name, c.reply.status, c.reply.outcome, body, c.status)
		}
	}
}

// Guards against more connections of callers than the limit, and against a
// refused connection that is closed without a response.
func TestCallerConnectionsAreLimited(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	executor := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return respondOK(r, body, w)
	})
	f := newFixture(t, func(o *Options) { o.Limits.MaxConnections = 1 }, executor)
	first := f.async("GET", "/", "")
	await(t, "request at the executor", arrived) // the first connection is busy
	second, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	response, _ := io.ReadAll(second)
	if !strings.Contains(string(response), "503") || !strings.Contains(string(response), "not-run") {
		t.Errorf("the second connection got %q, want 503 not-run", response)
	}
	close(release)
	if r := await(t, "reply", first); r.status != http.StatusOK {
		t.Errorf("the first connection got %d %v, want 200", r.status, r.err)
	}
}

// Guards against idle connections that keep callers out while the limit is reached.
func TestIdleConnectionMakesRoom(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Limits.MaxConnections = 1 }, startFakeExecutor(t, "e1", respondOK))
	idle, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	_, _ = io.WriteString(idle, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	_, _ = idle.Read(make([]byte, 1)) // the connection is accepted and was used
	if r := f.send("GET", "/", ""); r.status != http.StatusOK {
		t.Errorf("a caller got %d %v beside an idle connection, want 200", r.status, r.err)
	}
	if n := f.Stats().Connections; n > 1 {
		t.Errorf("%d connections are open, want at most 1", n)
	}
}

// Guards against more concurrent requests or connections at an executor than it
// allows.
func TestExecutorSlotAndConnectionLimits(t *testing.T) {
	arrived := make(chan struct{}, 100)
	release := make(chan struct{})
	e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return respondOK(r, body, w)
	})
	e.info.Slots, e.info.Connections = 3, 4
	f := newFixture(t, nil, e)
	var replies []<-chan reply
	for range 20 {
		replies = append(replies, f.async("PUT", "/", "a"))
	}
	for f.Stats().Requests < 20 {
		f.Tick()
	}
	if n := e.requests.Load(); n > 3 {
		t.Errorf("%d concurrent requests at an executor with 3 slots", n)
	}
	close(release)
	for _, c := range replies {
		if r := await(t, "reply", c); r.outcome != "answered" {
			t.Errorf("reply = %d %s, want answered", r.status, r.outcome)
		}
	}
	if n := e.accepted.Load(); n > 4 {
		t.Errorf("%d connections to an executor that allows 4", n)
	}
}

// Guards against idle connections that are never used: non-idempotent requests
// always open a new connection, so without a limit every one of them would leave
// a connection behind.
func TestIdleConnectionsAreLimitedBySlots(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	e.info.Slots = 2
	f := newFixture(t, nil, e)
	for i := range 6 {
		f.send("POST", "/", "a", HeaderRequestID, strconv.Itoa(i))
	}
	p := f.pools.get("e1", e.info.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != len(p.idle) || p.open > 2 {
		t.Errorf("%d connections are open and %d of them idle at an executor with 2 slots, want all idle and at most 2", p.open, len(p.idle))
	}
}

// Guards against a drain that interrupts a running or queued request, and
// against an instance that reports ready while it drains.
func TestDrainCompletesRunningAndQueuedRequests(t *testing.T) {
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return respondOK(r, body, w)
	})
	e.info.Slots = 1
	f := newFixture(t, nil, e)
	replies := []<-chan reply{f.async("PUT", "/", "a"), f.async("PUT", "/", "b")}
	for f.Stats().Requests < 2 {
		f.Tick()
	}
	await(t, "request at the executor", arrived)
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	for f.Ready() {
		f.Tick()
	}
	close(release)
	for _, c := range replies {
		if r := await(t, "reply", c); r.outcome != "answered" || r.err != nil {
			t.Errorf("reply = %+v, want answered", r)
		}
	}
	if err := await(t, "end of the drain", drained); err != nil {
		t.Errorf("drain: %v", err)
	}
}

// Guards against a drain that does not end after its time limit, and against one
// that does not report the requests that it aborted.
func TestDrainTimeoutReportsAbortedRequests(t *testing.T) {
	arrived := make(chan struct{}, 1)
	e := startFakeExecutor(t, "e1", func(_ *http.Request, _ string, w net.Conn) bool {
		arrived <- struct{}{}
		_, _ = w.Read(make([]byte, 1))
		return false
	})
	f := newFixture(t, nil, e)
	hanging := f.async("GET", "/", "")
	await(t, "request at the executor", arrived)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := f.Drain(ctx); err == nil || !strings.Contains(err.Error(), "aborted 1 request") {
		t.Errorf("drain: %v, want an error that reports 1 aborted request", err)
	}
	if r := await(t, "reply", hanging); r.err == nil && r.outcome == "answered" {
		t.Errorf("reply = %+v, want an error or an outcome other than answered", r)
	}
}

// Guards against a number of metrics that grows with the number of teams.
func TestTeamLabelsAreBounded(t *testing.T) {
	f := newFixture(t, nil)
	for i := range 2 * maxTeamLabels {
		f.metrics.observe(router.RequestObserved{Team: numberedTeam(i), Class: "normal", Outcome: router.Answered})
	}
	if n := len(f.metrics.histograms); n > maxTeamLabels+1 {
		t.Errorf("%d histograms for %d teams, want at most %d", n, 2*maxTeamLabels, maxTeamLabels+1)
	}
}

func numberedTeam(i int) structs.TeamID { return structs.TeamID("/t" + strconv.Itoa(i)) }

// Guards against an instance that reports ready before it knows the settings, and
// against one that becomes ready again during a drain.
func TestNotReadyBeforeFirstPolicy(t *testing.T) {
	g := New(Options{Instance: "i", AwaitPolicy: true, TickInterval: -1})
	defer g.Close()
	if g.Ready() {
		t.Error("ready without a policy")
	}
	g.SetPolicy(router.DefaultPolicy())
	if !g.Ready() {
		t.Error("not ready with a policy")
	}
	if err := g.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	g.SetPolicy(router.DefaultPolicy())
	if g.Ready() {
		t.Error("ready again after a drain")
	}
}
