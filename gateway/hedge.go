package gateway

import (
	"time"

	"github.com/mangodrum/mangodrum/router"
)

// hedgedResponse is the response of a hedge whose head was read. The goroutine
// that serves the call forwards it.
type hedgedResponse struct {
	conn    *execConn
	send    router.Send
	latency time.Duration
}

// startHedge starts a second attempt in parallel with the one of the goroutine
// that serves the call. The gateway's lock is held.
func (g *Gateway) startHedge(send router.Send) {
	c := g.calls[send.Ref]
	if c == nil || g.closing {
		return
	}
	c.hedged = true
	g.attemptGroup.Go(func() { c.runHedge(send) })
}

// runHedge sends the request and offers its response to the goroutine that
// serves the call. It must not use call.ctx, which that goroutine owns.
func (c *call) runHedge(send router.Send) {
	kind, ok := c.tryHedge(&send)
	if ok || kind == resultPending {
		return
	}
	switch {
	case kind != router.NoResponse:
	case c.disconnected.Load():
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
		return connectErrorKind(err), false
	}
	active := c.activeAttemptOf(send)
	active.attach(conn, send)
	kind := router.NotTried
	if c.winner.Load() == 0 && !c.disconnected.Load() {
		kind = router.NoResponse
		if err := c.exchange(conn, send, sentAt); err == nil && c.offerHedgedResponse(conn, send, c.g.opts.Now().Sub(sentAt)) {
			return 0, true
		}
	}
	if active.isSuperseded() {
		c.holdSlot(conn, *send)
		return resultPending, false
	}
	active.detach()
	conn.pool.discard(conn)
	return kind, false
}

// resultPending means that the attempt was superseded and that its result is
// reported when its executor is done.
const resultPending = router.ResultKind(-1)

// holdSlot keeps the slot of a superseded attempt in use until its executor
// responds or closes the connection, or until the attempt's deadline: the
// executor may still be working on the request.
func (c *call) holdSlot(conn *execConn, send router.Send) {
	g := c.g
	c.activeAttemptOf(&send).detach()
	timeLeft := send.Deadline.Sub(g.opts.Now())
	g.mu.Lock()
	if !g.closing {
		g.supersededConns[conn] = true
		g.attemptGroup.Go(func() {
			if conn.SetReadDeadline(time.Now().Add(timeLeft)) == nil {
				_, _ = conn.reader.Peek(1) // data and errors both mean that the executor is done
			}
			g.mu.Lock()
			delete(g.supersededConns, conn)
			g.mu.Unlock()
			c.endSuperseded(conn, send)
		})
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	c.endSuperseded(conn, send)
}

// endSuperseded closes the connection of a superseded attempt and reports the
// end of the attempt.
func (c *call) endSuperseded(conn *execConn, send router.Send) {
	conn.pool.discard(conn)
	c.attemptEnded(send.Attempt, router.Result{Kind: router.Superseded, Replayable: true}, false)
}

// selectWinner selects the attempt whose response is forwarded and supersedes
// the other attempt. It returns false if the other attempt is already selected.
func (c *call) selectWinner(send *router.Send) bool {
	if !c.winner.CompareAndSwap(0, int32(send.Attempt)) {
		return false
	}
	if send.Hedge {
		c.attempts[0].supersede()
	} else {
		c.attempts[1].supersede()
	}
	return true
}

// offerHedgedResponse selects the hedge as the attempt whose response is
// forwarded and reports whether it did so. It does not select a response that
// may be retried.
func (c *call) offerHedgedResponse(conn *execConn, send *router.Send, latency time.Duration) bool {
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if isRetriable(&conn.responseHead) || g.calls[c.ref] != c || !c.selectWinner(send) {
		return false
	}
	c.actions <- action{kind: actForwardHedged, response: hedgedResponse{conn, *send, latency}}
	return true
}
