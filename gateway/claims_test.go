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

// withFault sets the fault of the table.
func withFault(fault func(op string) standin.Fault) func(*Options) {
	return func(o *Options) { o.Table.(*standin.Store).Fault = fault }
}

// Guards against a non-idempotent request that is sent without a durable
// claim, and against "not run" for a request that ran.
func TestTableDownRefusesClaimsAtOnce(t *testing.T) {
	e := startFake(t, "e1", answerOK)
	f := newFixture(t, withFault(func(string) standin.Fault { return standin.Fault{Unavailable: true} }), e)
	r := f.send("POST", "/", "a", HeaderRequestID, "p1")
	if r.status != 503 || r.outcome != "not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("reply = %d %s, want 503 not-run with Retry-After", r.status, r.outcome)
	}
	if n := e.requests.Load(); n != 0 {
		t.Errorf("the executor got %d requests", n)
	}
	if r := f.send("PUT", "/", "a"); r.outcome != "answered" {
		t.Errorf("idempotent request: %d %s, want answered", r.status, r.outcome)
	}
}

// Guards against a second claim, or a wrong refusal, after a commit whose
// reply was lost.
func TestLostCommitReplyIsReadBack(t *testing.T) {
	e := startFake(t, "e1", answerOK)
	f := newFixture(t, withFault(func(op string) standin.Fault { return standin.Fault{LoseReply: op == "commit"} }), e)
	for range 2 {
		if r := f.send("POST", "/", "a", HeaderRequestID, "p1"); r.outcome != "answered" || r.body != "ok a" {
			t.Errorf("reply = %+v, want answered", r)
		}
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor ran the request %d times, want 1", n)
	}
}

// Guards against "not run" when it is unknown whether the claim exists: the
// commit's reply is lost and the table cannot be read until the deadline.
func TestUnknownClaimIsReportedAsUnknown(t *testing.T) {
	reads := make(chan struct{}, 64)
	f := newFixture(t, withFault(func(op string) standin.Fault {
		if op == "get" {
			select {
			case reads <- struct{}{}:
			default:
			}
		}
		return standin.Fault{LoseReply: op == "commit", Unavailable: op == "get"}
	}), startFake(t, "e1", answerOK))
	replies := f.async("POST", "/", "a", HeaderRequestID, "p1", HeaderDeadline, "1000")
	await(t, "read-back", reads)
	f.advance(time.Second)
	if r := await(t, "reply", replies); r.status != 502 || r.outcome != "outcome-unknown" {
		t.Errorf("reply = %d %s, want 502 outcome-unknown", r.status, r.outcome)
	}
}

// Guards against a request that runs again, or is called not run, after the
// instance that claimed it died before it answered.
func TestClaimOfDeadInstanceGivesUnknown(t *testing.T) {
	e := startFake(t, "e1", answerOK)
	f := newFixture(t, nil, e)
	row := claimRow{Holder: "dead", Token: "t", Expires: structs.Timestamp(48 * time.Hour)}
	f.put("p1", row)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p1"); r.status != 502 || r.outcome != "outcome-unknown" {
		t.Errorf("repeat: %d %s, want 502 outcome-unknown", r.status, r.outcome)
	}
	row.Released = true
	f.put("p2", row)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p2"); r.outcome != "answered" {
		t.Errorf("repeat of a released claim: %d %s, want answered", r.status, r.outcome)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor got %d requests, want 1", n)
	}
}

// put writes a claim row as another instance would.
func (f *fixture) put(id string, row claimRow) {
	f.t.Helper()
	op := &claimOp{key: claimKey("/team", id), row: row}
	if _, err := f.store.Commit(context.Background(), transaction([]*claimOp{op})); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) row(id string) claimRow {
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

// Guards against a send after a pause: the claim becomes durable only when
// the deadline has passed. The request must not be sent, and its claim is
// released because it certainly never ran.
func TestPauseBetweenClaimAndSendDoesNotSend(t *testing.T) {
	e := startFake(t, "e1", answerOK)
	var f *fixture
	var paused atomic.Bool
	f = newFixture(t, withFault(func(op string) standin.Fault {
		if op == "commit" && !paused.Swap(true) {
			f.clock.Add(int64(time.Hour)) // the instance resumes an hour later
		}
		return standin.Fault{}
	}), e)
	if r := f.send("POST", "/", "a", HeaderRequestID, "p1", HeaderDeadline, "1000"); r.outcome != "not-run" {
		t.Errorf("reply = %d %s, want not-run", r.status, r.outcome)
	}
	f.Close() // writes what is queued
	if !f.row("p1").Released {
		t.Error("the claim was not released")
	}
	if n := e.requests.Load(); n != 0 {
		t.Errorf("the executor got %d requests", n)
	}
}

// Guards against two runs when repeats arrive while the first request runs,
// at the instance that holds it and at another one.
func TestRepeatOfRunningRequestDoesNotRun(t *testing.T) {
	arrived := make(chan struct{}, 4)
	release := make(chan struct{})
	e := startFake(t, "e1", func(r *http.Request, body string, w net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return answerOK(r, body, w)
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
		t.Errorf("replies = %q, %q", a.body, b.body)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor ran the request %d times, want 1", n)
	}
}

// Guards against unbounded rows: a body beyond the bound is not stored, and
// the repeat says so.
func TestLongStoredAnswerKeepsOnlyItsStatus(t *testing.T) {
	long := strings.Repeat("x", router.MaxStoredBody+1)
	e := startFake(t, "e1", func(r *http.Request, _ string, w net.Conn) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 201 Created\r\nMangodrum-Request-Id: p1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"+long+"\r\n0\r\n\r\n")
		return true
	})
	f := newFixture(t, nil, e)
	if r := f.send("POST", "/", "", HeaderRequestID, "p1"); r.body != long {
		t.Fatalf("first reply has %d bytes", len(r.body))
	}
	r := f.send("POST", "/", "", HeaderRequestID, "p1")
	if r.status != 201 || r.outcome != "answered" || r.header.Get(HeaderStored) != "status-only" || r.body != "" {
		t.Errorf("repeat = %d %s %q, %d bytes", r.status, r.outcome, r.header.Get(HeaderStored), len(r.body))
	}
}

// Guards against one write per claim: claims that arrive while a commit is on
// its way share the next one.
func TestClaimsShareCommits(t *testing.T) {
	const requests = 40
	hold := make(chan struct{})
	first := make(chan struct{}, requests)
	f := newFixture(t, withFault(func(op string) standin.Fault {
		if op == "commit" {
			first <- struct{}{}
			<-hold
		}
		return standin.Fault{}
	}), startFake(t, "e1", answerOK))
	var replies []<-chan reply
	for i := range requests {
		replies = append(replies, f.async("POST", "/", "a", HeaderRequestID, string(rune('A'+i))))
	}
	await(t, "commit", first)
	for f.Stats().Requests < requests {
		f.Tick()
	}
	close(hold)
	for _, c := range replies {
		if r := await(t, "reply", c); r.outcome != "answered" {
			t.Errorf("reply = %d %s", r.status, r.outcome)
		}
	}
	f.Close()
	if writes, _ := f.store.Counts(); writes >= requests {
		t.Errorf("%d writes for %d requests", writes, requests)
	}
}

// Guards against claims that stay for ever, and against removal before the
// retention ends.
func TestSweepRemovesOnlyExpiredClaims(t *testing.T) {
	f := newFixture(t, nil)
	now := structs.Timestamp(f.clock.Load())
	f.put("old", claimRow{Expires: now.Add(-time.Second)})
	f.put("new", claimRow{Expires: now.Add(time.Second)})
	if n := f.claims.sweep(now); n != 1 {
		t.Errorf("removed %d claims, want 1", n)
	}
	f.row("new") // fails the test if it is gone
}
