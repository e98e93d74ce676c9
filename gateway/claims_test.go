package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// withStoreFault injects faults into the table. fault is called for each
// operation.
func withStoreFault(fault func(op string) standin.Fault) func(*Options) {
	return func(o *Options) { o.Table.(*standin.Store).Fault = fault }
}

// Guards against a non-idempotent request that is sent without a durable claim,
// and against the outcome not-run for a request that ran. Idempotent requests
// need no claim and must still run.
func TestUnavailableTableRefusesNonIdempotentRequests(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	f := newFixture(t, withStoreFault(func(string) standin.Fault { return standin.Fault{Unavailable: true} }), e)
	r := f.send("POST", "/", "a", HeaderRequestID, "p1")
	if r.status != 503 || r.outcome != "not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("reply = %d %s, want 503 not-run with Retry-After", r.status, r.outcome)
	}
	if n := e.requests.Load(); n != 0 {
		t.Errorf("the executor got %d requests, want 0", n)
	}
	if r := f.send("PUT", "/", "a"); r.outcome != "answered" {
		t.Errorf("idempotent request: %d %s, want answered", r.status, r.outcome)
	}
}

// Guards against a second claim and against a false refusal when the reply to a
// commit is lost: the claim must be found by reading the row.
func TestClaimIsReadBackAfterLostCommitReply(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	f := newFixture(t, withStoreFault(func(op string) standin.Fault { return standin.Fault{LoseReply: op == "commit"} }), e)
	for range 2 {
		if r := f.send("POST", "/", "a", HeaderRequestID, "p1"); r.outcome != "answered" || r.body != "ok a" {
			t.Errorf("reply = %+v, want answered", r)
		}
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor ran the request %d times, want 1", n)
	}
}

// Guards against the outcome not-run when it is unknown whether the claim
// exists: the commit's reply is lost and the table cannot be read until the
// deadline.
func TestUnreadableClaimGivesOutcomeUnknown(t *testing.T) {
	reads := make(chan struct{}, 64)
	f := newFixture(t, withStoreFault(func(op string) standin.Fault {
		if op == "get" {
			select {
			case reads <- struct{}{}:
			default:
			}
		}
		return standin.Fault{LoseReply: op == "commit", Unavailable: op == "get"}
	}), startFakeExecutor(t, "e1", respondOK))
	replies := f.async("POST", "/", "a", HeaderRequestID, "p1", HeaderDeadline, "1000")
	await(t, "read-back", reads)
	f.advance(time.Second)
	if r := await(t, "reply", replies); r.status != 502 || r.outcome != "outcome-unknown" {
		t.Errorf("reply = %d %s, want 502 outcome-unknown", r.status, r.outcome)
	}
}

// Guards against a repeat that runs, or is reported as not-run, after the
// instance that claimed the request failed before it responded.
func TestClaimOfDeadInstanceGivesOutcomeUnknown(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	f := newFixture(t, nil, e)
	row := claimRow{Holder: "dead", Token: "t", Expires: structs.Timestamp(48 * time.Hour)}
	f.putClaim("p1", row)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p1"); r.status != 502 || r.outcome != "outcome-unknown" {
		t.Errorf("repeat: %d %s, want 502 outcome-unknown", r.status, r.outcome)
	}
	row.Released = true
	f.putClaim("p2", row)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p2"); r.outcome != "answered" {
		t.Errorf("repeat of a released claim: %d %s, want answered", r.status, r.outcome)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor got %d requests, want 1", n)
	}
}

// putClaim writes a claim row as another instance would.
func (f *fixture) putClaim(id string, row claimRow) {
	f.t.Helper()
	op := &claimOp{key: claimKey("/team", id), row: row}
	if _, err := f.store.Commit(context.Background(), transaction([]*claimOp{op})); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) readClaim(id string) claimRow {
	f.t.Helper()
	stored, err := f.store.Get(context.Background(), claimKey("/team", id))
	if err != nil {
		f.t.Fatal(err)
	}
	var row claimRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		f.t.Fatal(err)
	}
	return row
}

// Guards against a request that is sent after its deadline when the claim
// becomes durable too late, for example because the instance was paused. The
// claim must be released because the request certainly never ran.
func TestClaimCommittedAfterDeadlineIsReleased(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	var f *fixture
	var paused atomic.Bool
	f = newFixture(t, withStoreFault(func(op string) standin.Fault {
		if op == "commit" && !paused.Swap(true) {
			f.clock.Add(int64(time.Hour)) // the instance was paused for an hour
		}
		return standin.Fault{}
	}), e)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p1", HeaderDeadline, "1000"); r.outcome != "not-run" {
		t.Errorf("reply = %d %s, want not-run", r.status, r.outcome)
	}
	f.Close() // writes queued claims and releases
	if !f.readClaim("p1").Released {
		t.Error("the claim was not released")
	}
	if n := e.requests.Load(); n != 0 {
		t.Errorf("the executor got %d requests, want 0", n)
	}
}

// Guards against two executions when repeats arrive while the first request
// runs, at the same instance and at another one.
func TestRepeatOfRunningRequestIsNotExecuted(t *testing.T) {
	arrived := make(chan struct{}, 4)
	release := make(chan struct{})
	e := startFakeExecutor(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return respondOK(r, body, w)
	})
	f := newFixture(t, nil, e)
	other := newFixture(t, func(o *Options) { o.Table = f.store; o.Instance = "i2" }, e)
	first := f.async("POST", "/", "a", HeaderRequestID, "p1")
	await(t, "request at the executor", arrived)
	if r := other.send("POST", "/", "a", HeaderRequestID, "p1"); r.outcome != "outcome-unknown" {
		t.Errorf("repeat at another instance: %d %s, want outcome-unknown", r.status, r.outcome)
	}
	second := f.async("POST", "/", "a", HeaderRequestID, "p1")
	for f.Stats().Requests < 2 {
		f.Tick()
	}
	close(release)
	if a, b := await(t, "reply", first), await(t, "reply", second); a.body != "ok a" || b.body != "ok a" {
		t.Errorf("replies = %q and %q, want \"ok a\" twice", a.body, b.body)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor ran the request %d times, want 1", n)
	}
}

// Guards against unbounded rows: a body longer than router.MaxStoredBody is not
// stored, and the response to a repeat says so.
func TestLongResponseIsStoredWithoutBody(t *testing.T) {
	long := strings.Repeat("x", router.MaxStoredBody+1)
	e := startFakeExecutor(t, "e1", func(r *http.Request, _ string, w net.Conn) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 201 Created\r\nMangodrum-Request-Id: p1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"+long+"\r\n0\r\n\r\n")
		return true
	})
	f := newFixture(t, nil, e)
	if r := f.send("POST", "/", "", HeaderRequestID, "p1"); r.body != long {
		t.Fatalf("first reply has %d bytes", len(r.body))
	}
	r := f.send("POST", "/", "", HeaderRequestID, "p1")
	if r.status != 201 || r.outcome != "answered" || r.header.Get(HeaderStored) != "status-only" || r.body != "" {
		t.Errorf("repeat: %d %s, Mangodrum-Stored %q, %d bytes; want 201 answered, status-only, 0 bytes", r.status, r.outcome, r.header.Get(HeaderStored), len(r.body))
	}
}

// Guards against one commit per claim: claims that arrive while a commit is in
// progress must share the next one.
func TestConcurrentClaimsShareCommits(t *testing.T) {
	const requests = 40
	release := make(chan struct{})
	commits := make(chan struct{}, requests)
	f := newFixture(t, withStoreFault(func(op string) standin.Fault {
		if op == "commit" {
			commits <- struct{}{}
			<-release
		}
		return standin.Fault{}
	}), startFakeExecutor(t, "e1", respondOK))
	var replies []<-chan reply
	for i := range requests {
		replies = append(replies, f.async("POST", "/", "a", HeaderRequestID, string(rune('A'+i))))
	}
	await(t, "commit", commits)
	for f.Stats().Requests < requests {
		f.Tick()
	}
	close(release)
	for _, c := range replies {
		if r := await(t, "reply", c); r.outcome != "answered" {
			t.Errorf("reply = %d %s, want answered", r.status, r.outcome)
		}
	}
	f.Close()
	if writes, _ := f.store.Counts(); writes >= requests {
		t.Errorf("%d commits for %d requests, want fewer commits than requests", writes, requests)
	}
}

// Guards against claims that are never deleted, and against claims that are
// deleted before their retention ends.
func TestSweepRemovesOnlyExpiredClaims(t *testing.T) {
	f := newFixture(t, nil)
	now := structs.Timestamp(f.clock.Load())
	f.putClaim("old", claimRow{Expires: now.Add(-time.Second)})
	f.putClaim("new", claimRow{Expires: now.Add(time.Second)})
	if n := f.claims.sweep(now); n != 1 {
		t.Errorf("deleted %d claims, want 1", n)
	}
	f.readClaim("new") // fails the test if the row does not exist
}
