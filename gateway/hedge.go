package gateway

import (
	"time"

	"github.com/mangodrum/mangodrum/router"
)

// begunAnswer is the head of a hedge's answer, which the call's goroutine
// passes on.
type begunAnswer struct {
	conn    *execConn
	send    router.Send
	latency time.Duration
}

// startHedge runs a second attempt beside the one of the call's goroutine.
// The gateway's lock is held.
func (g *Gateway) startHedge(send router.Send) {
	c := g.calls[send.Ref]
	if c == nil || g.closing {
		return
	}
	c.hedged = true
	g.hedges.Go(func() { c.hedge(send) })
}

// hedge sends the request and hands its answer over if it is the first. It
// touches neither the request nor the response of the caller's connection.
func (c *call) hedge(send router.Send) {
	kind, ok := c.tryHedge(&send)
	if ok {
		return
	}
	switch {
	case kind != router.Broken:
	case c.gone.Load():
		kind = router.Cancelled
	case c.winner.Load() != 0:
		kind = router.Superseded
	}
	c.attemptEnded(send.Attempt, router.Result{Kind: kind, Replayable: true}, false)
}

func (c *call) tryHedge(send *router.Send) (router.ResultKind, bool) {
	sentAt := c.g.opts.Now()
	if sentAt >= send.Deadline || c.winner.Load() != 0 {
		return router.NotTried, false
	}
	conn, err := c.g.pools.get(send.Executor, send.Address).take(false)
	if err != nil {
		return notSentKind(err), false
	}
	flight := c.flightOf(send)
	flight.attach(conn, send)
	kind := router.NotTried
	if c.winner.Load() == 0 && !c.gone.Load() {
		kind = router.Broken
		if err := c.exchange(conn, send, sentAt); err == nil && c.handOver(conn, send, c.g.opts.Now().Sub(sentAt)) {
			return 0, true
		}
	}
	flight.detach()
	conn.pool.discard(conn)
	return kind, false
}

// handOver makes the hedge's answer the one that is passed on. Answers that a
// retry may better do not count.
func (c *call) handOver(conn *execConn, send *router.Send, latency time.Duration) bool {
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if isRetriable(&conn.head) || g.calls[c.ref] != c || !c.win(send) {
		return false
	}
	c.actions <- action{kind: actHedged, answer: begunAnswer{conn, *send, latency}}
	return true
}

// win makes an attempt the one whose answer is passed on, unless another one
// is, and cancels the other.
func (c *call) win(send *router.Send) bool {
	if !c.winner.CompareAndSwap(0, int32(send.Attempt)) {
		return false
	}
	if send.Hedge {
		c.flights[0].cancel()
	} else {
		c.flights[1].cancel()
	}
	return true
}
