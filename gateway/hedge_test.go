package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// hangOnce returns a script that never responds to the first request to /late.
// It closes arrived when it gets that request and closed when the connection of
// the request is closed.
func hangOnce(arrived, closed chan struct{}) func(*http.Request, string, net.Conn) bool {
	var hung atomic.Bool
	return func(r *http.Request, body string, w net.Conn) bool {
		if r.URL.Path != "/late" || hung.Swap(true) {
			return respondOK(r, body, w)
		}
		close(arrived)
		_, _ = w.Read(make([]byte, 1))
		close(closed)
		return false
	}
}

// Guards against an urgent request that waits for an unresponsive executor while
// another one is free, and against a first attempt that is not cancelled after
// the hedge got a response.
func TestSlowUrgentRequestIsHedged(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	script := hangOnce(arrived, closed)
	f := newFixture(t, nil, startFakeExecutor(t, "e1", script), startFakeExecutor(t, "e2", script))
	for range 10 { // the retry budget allows one hedge per ten first attempts
		f.send("GET", "/", "", HeaderClass, "urgent")
	}
	late := f.async("PUT", "/late", "a", HeaderClass, "urgent")
	await(t, "request at the executor", arrived)
	f.advance(100 * time.Millisecond)
	if r := await(t, "reply", late); r.outcome != "answered" || r.body != "ok a" {
		t.Errorf("reply = %+v, want the hedge's response", r)
	}
	await(t, "end of the first attempt", closed)
	if n := f.Stats().Retries; n != 1 {
		t.Errorf("%d retries, want 1", n)
	}
}

// Guards against hedging a request that is not idempotent, whose class is not
// urgent, or for which the retry budget is exhausted.
func TestHedgingRequiresUrgencyIdempotenceAndBudget(t *testing.T) {
	cases := map[string][]string{
		"not idempotent": {HeaderClass, "urgent", HeaderIdempotent, "false", HeaderRequestID, "p1"},
		"not urgent":     {HeaderClass, "normal"},
		"no budget":      {HeaderClass, "urgent"},
	}
	for name, headers := range cases {
		arrived, closed := make(chan struct{}), make(chan struct{})
		script := hangOnce(arrived, closed)
		e1, e2 := startFakeExecutor(t, "e1", script), startFakeExecutor(t, "e2", script)
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

// Guards against a slot that is reused while the executor still works on a
// superseded attempt: under overload, executors got more requests than they
// have slots.
func TestSupersededAttemptHoldsSlotUntilExecutorEnds(t *testing.T) {
	arrived, writeClosed, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var hung atomic.Bool
	script := func(r *http.Request, body string, w net.Conn) bool {
		if r.URL.Path != "/late" || hung.Swap(true) {
			return respondOK(r, body, w)
		}
		close(arrived)
		_, _ = w.Read(make([]byte, 1)) // returns when the other attempt was selected
		close(writeClosed)
		<-done // the executor keeps working
		return false
	}
	f := newFixture(t, nil, startFakeExecutor(t, "e1", script), startFakeExecutor(t, "e2", script))
	for range 10 {
		f.send("GET", "/", "", HeaderClass, "urgent")
	}
	late := f.async("PUT", "/late", "a", HeaderClass, "urgent")
	await(t, "request at the executor", arrived)
	f.advance(100 * time.Millisecond)
	if r := await(t, "reply", late); r.outcome != "answered" {
		t.Fatalf("reply = %+v, want the hedge's response", r)
	}
	await(t, "end of the write side of the connection", writeClosed)
	if n := f.slotsInUse(); n != 1 {
		t.Errorf("%d slots in use while the executor works, want 1", n)
	}
	close(done)
	ticker := time.NewTicker(time.Millisecond) // closing the connection takes real time
	defer ticker.Stop()
	for range 2000 {
		if <-ticker.C; f.slotsInUse() == 0 {
			return
		}
	}
	t.Errorf("%d slots in use after the executor is done, want 0", f.slotsInUse())
}

// slotsInUse returns the number of slots in use at all executors.
func (f *fixture) slotsInUse() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Stats(structs.Timestamp(f.clock.Load())).SlotsUsed
}
