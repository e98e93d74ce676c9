package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// hangOnce returns a script that never answers the first request to /late and
// reports when its connection is closed.
func hangOnce(arrived, closed chan struct{}) func(*http.Request, string, net.Conn) bool {
	var hung atomic.Bool
	return func(r *http.Request, body string, w net.Conn) bool {
		if r.URL.Path != "/late" || hung.Swap(true) {
			return answerOK(r, body, w)
		}
		close(arrived)
		_, _ = w.Read(make([]byte, 1))
		close(closed)
		return false
	}
}

// Guards against an urgent request that waits for a hanging executor although
// another one is free, and against a first attempt that goes on afterwards.
func TestLateUrgentRequestIsHedged(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	script := hangOnce(arrived, closed)
	f := newFixture(t, nil, startFake(t, "e1", script), startFake(t, "e2", script))
	for range 10 { // ten first attempts pay for one hedge
		f.send("GET", "/", "", HeaderClass, "urgent")
	}
	late := f.async("PUT", "/late", "a", HeaderClass, "urgent")
	await(t, "request at the executor", arrived)
	f.advance(100 * time.Millisecond)
	if r := await(t, "reply", late); r.outcome != "answered" || r.body != "ok a" {
		t.Errorf("reply = %+v, want the second attempt's answer", r)
	}
	await(t, "end of the first attempt", closed)
	if n := f.Stats().Retries; n != 1 {
		t.Errorf("%d retries, want 1", n)
	}
}

// Guards against a second attempt of a request that is not idempotent, whose
// class is not urgent, or for which the budget has nothing left.
func TestOnlyUrgentIdempotentRequestsInBudgetAreHedged(t *testing.T) {
	cases := map[string][]string{
		"not idempotent": {HeaderClass, "urgent", HeaderIdempotent, "false", HeaderRequestID, "p1"},
		"not urgent":     {HeaderClass, "normal"},
		"no budget":      {HeaderClass, "urgent"},
	}
	for name, headers := range cases {
		arrived, closed := make(chan struct{}), make(chan struct{})
		script := hangOnce(arrived, closed)
		e1, e2 := startFake(t, "e1", script), startFake(t, "e2", script)
		f := newFixture(t, nil, e1, e2)
		for range 10 {
			if name != "no budget" {
				f.send("GET", "/", "", HeaderClass, headers[1])
			}
		}
		before := e1.requests.Load() + e2.requests.Load()
		late := f.async("PUT", "/late", "a", append(headers, HeaderDeadline, "1000")...)
		await(t, "request at the executor", arrived)
		f.advance(100 * time.Millisecond)
		f.advance(time.Second)
		if r := await(t, "reply", late); r.outcome != "outcome-unknown" {
			t.Errorf("%s: %d %s, want outcome-unknown", name, r.status, r.outcome)
		}
		await(t, "end of the attempt", closed)
		if n := e1.requests.Load() + e2.requests.Load() - before; n != 1 {
			t.Errorf("%s: %d attempts, want 1", name, n)
		}
	}
}

// Guards against a slot that is given away while the executor still works on
// an attempt that another one overtook: under floods executors got more
// requests than they have slots.
func TestSupersededAttemptKeepsItsSlot(t *testing.T) {
	arrived, told, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var hung atomic.Bool
	script := func(r *http.Request, body string, w net.Conn) bool {
		if r.URL.Path != "/late" || hung.Swap(true) {
			return answerOK(r, body, w)
		}
		close(arrived)
		_, _ = w.Read(make([]byte, 1)) // the other attempt has won
		close(told)
		<-done // and the executor works on
		return false
	}
	f := newFixture(t, nil, startFake(t, "e1", script), startFake(t, "e2", script))
	for range 10 {
		f.send("GET", "/", "", HeaderClass, "urgent")
	}
	late := f.async("PUT", "/late", "a", HeaderClass, "urgent")
	await(t, "request at the executor", arrived)
	f.advance(100 * time.Millisecond)
	if r := await(t, "reply", late); r.outcome != "answered" {
		t.Fatalf("reply = %+v, want the second attempt's answer", r)
	}
	await(t, "end of the request's direction", told)
	if n := f.inFlight(); n != 1 {
		t.Errorf("%d slots taken while the executor works, want 1", n)
	}
	close(done)
	ticker := time.NewTicker(time.Millisecond) // the end of the connection takes real time
	defer ticker.Stop()
	for range 2000 {
		if <-ticker.C; f.inFlight() == 0 {
			return
		}
	}
	t.Errorf("%d slots taken after the executor is done, want 0", f.inFlight())
}

// inFlight returns the slots in use at all executors.
func (f *fixture) inFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Stats(structs.Timestamp(f.clock.Load())).SlotsUsed
}
