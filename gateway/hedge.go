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
	if ok || kind == lingering {
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
	if flight.isSuperseded() {
		c.linger(conn, *send)
		return lingering, false
	}
	flight.detach()
	conn.pool.discard(conn)
	return kind, false
}

// lingering stands for the result of a superseded attempt that is reported
// when its executor is done.
const lingering = router.ResultKind(-1)

// linger keeps the slot of a superseded attempt until its executor answers or
// closes the connection, at the latest until the attempt's deadline: an
// executor that goes on working is not free.
func (c *call) linger(conn *execConn, send router.Send) {
	g := c.g
	c.flightOf(&send).detach()
	left := send.Deadline.Sub(g.opts.Now())
	g.mu.Lock()
	if !g.closing {
		g.lingering[conn] = true
		g.hedges.Go(func() {
			if conn.SetReadDeadline(time.Now().Add(left)) == nil {
				_, _ = conn.reader.Peek(1) // any outcome means that the executor is done
			}
			g.mu.Lock()
			delete(g.lingering, conn)
			g.mu.Unlock()
			c.superseded(conn, send)
		})
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	c.superseded(conn, send)
}

// superseded reports the end of an attempt whose answer nobody waits for.
func (c *call) superseded(conn *execConn, send router.Send) {
	conn.pool.discard(conn)
	c.attemptEnded(send.Attempt, router.Result{Kind: router.Superseded, Replayable: true}, false)
}

// win makes an attempt the one whose answer is passed on, unless another one
// is, and supersedes the other.
func (c *call) win(send *router.Send) bool {
	if !c.winner.CompareAndSwap(0, int32(send.Attempt)) {
		return false
	}
	if send.Hedge {
		c.flights[0].supersede()
	} else {
		c.flights[1].supersede()
	}
	return true
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
