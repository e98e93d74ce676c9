package gateway

import (
	"math"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/router"
)

type actionKind int

const (
	actSend actionKind = iota + 1
	actRefuse
	actDeliver
	actReplay
	actDisconnected
	actForwardHedged // forward the response of a hedge
)

// action tells the goroutine that serves a call what to do next.
type action struct {
	kind     actionKind
	send     router.Send
	refuse   router.Refuse
	stored   router.StoredResponse
	response hedgedResponse
}

// maxPendingActions is the capacity of a call's channel of actions. At most two
// actions are pending, one send or final action and one notice that the caller
// disconnected; the rest is a margin.
const maxPendingActions = 8

// actionPool holds empty channels of actions. A channel is returned when its
// call is removed from Gateway.calls; nothing sends to it after that.
var actionPool = sync.Pool{New: func() any { return make(chan action, maxPendingActions) }}

// call is the state of a request from its admission until its response is
// written.
type call struct {
	g            *Gateway
	ctx          *fasthttp.RequestCtx
	caller       net.Conn
	ref          router.Ref
	req          router.Request
	body         requestBody
	actions      chan action
	disconnected atomic.Bool // the caller disconnected

	requestHead *[]byte          // head of the request to executors, from requestHeadPool
	hedged      bool             // a hedge was started; guarded by the gateway's lock
	attempts    [2]activeAttempt // the attempt of the serving goroutine, and the hedge
	winner      atomic.Int32     // the attempt whose response is forwarded; 0 means none
}

func (g *Gateway) newCall(ctx *fasthttp.RequestCtx, req router.Request) *call {
	c := &call{
		g: g, ctx: ctx, caller: ctx.Conn(), req: req,
		ref:     router.Ref(g.nextRef.Add(1)),
		actions: actionPool.Get().(chan action),
	}
	for i := range c.attempts {
		c.attempts[i].deadline.Store(math.MaxInt64)
	}
	return c
}

// admit registers the call and passes the request to the router.
func (c *call) admit() {
	g := c.g
	g.mu.Lock()
	g.addCall(c)
	g.reduceLocked(&router.RequestArrived{Ref: c.ref, Request: c.req})
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

// end removes the call after its response was written or its caller
// disconnected.
func (c *call) end() {
	c.g.mu.Lock()
	c.endLocked()
	c.g.mu.Unlock()
}

func (c *call) endLocked() {
	g := c.g
	if g.calls[c.ref] != c {
		return
	}
	delete(g.calls, c.ref)
	for len(c.actions) > 0 {
		if a := <-c.actions; a.kind == actForwardHedged {
			c.dropHedgedResponse(a.response)
		}
	}
	actionPool.Put(c.actions)
	if c.requestHead != nil && !c.hedged {
		requestHeadPool.Put(c.requestHead)
	}
	if len(g.calls) == 0 && g.noCalls != nil {
		select {
		case <-g.noCalls:
		default:
			close(g.noCalls)
		}
	}
}

// callerDisconnected reports whether the caller closed its connection.
func (c *call) callerDisconnected() bool {
	conn, ok := c.caller.(*callerConn)
	return ok && !c.disconnected.Load() && conn.socket.peek() == socketClosed
}

// closeCaller closes the caller's connection.
func (c *call) closeCaller() { _ = c.caller.Close() }

// dropHedgedResponse ends a hedge whose response is no longer needed. The
// gateway's lock is held.
func (c *call) dropHedgedResponse(response hedgedResponse) {
	c.activeAttemptOf(&response.send).detach()
	response.conn.pool.discard(response.conn)
	c.g.reduceLocked(&router.AttemptEnded{
		Ref: c.ref, Attempt: response.send.Attempt, Result: router.Result{Kind: router.Cancelled},
	})
}

// attemptEnded reports the end of an attempt to the router. If endCall is true,
// it also removes the call.
func (c *call) attemptEnded(attempt int, result router.Result, endCall bool) {
	g := c.g
	g.mu.Lock()
	g.reduceLocked(&router.AttemptEnded{Ref: c.ref, Attempt: attempt, Result: result})
	if endCall {
		c.endLocked()
	}
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

// run executes the router's actions until the response is complete or a stream
// forwards it.
func (c *call) run() {
	for a := range c.actions {
		if c.handleAction(a) {
			return
		}
	}
}

// handleAction executes one action and reports whether the handler can return.
func (c *call) handleAction(a action) bool {
	switch a.kind {
	case actSend:
		return c.runAttempt(a.send)
	case actForwardHedged:
		return c.forward(a.response.conn, a.response.send, &a.response.conn.responseHead, a.response.latency)
	case actRefuse:
		c.ctx.Response.Reset()
		c.closeIfBodyUnread()
		writeRefusal(c.ctx, c.req.ID, a.refuse)
	case actDeliver:
		c.setOutcome(c.ctx.Response.StatusCode())
	case actReplay:
		c.ctx.Response.Reset()
		c.closeIfBodyUnread()
		writeStoredResponse(c.ctx, c.req.ID, a.stored)
	case actDisconnected:
		c.ctx.SetConnectionClose()
	}
	c.end()
	return true
}

// closeIfBodyUnread closes the caller's connection after the response if a part
// of the request's body was not read before admission.
func (c *call) closeIfBodyUnread() {
	if c.body.rest != nil {
		c.ctx.SetConnectionClose()
	}
}

func (c *call) setOutcome(status int) {
	outcome := router.Answered
	if status >= 500 {
		outcome = router.RanAndFailed
	}
	header := &c.ctx.Response.Header
	header.Set(HeaderOutcome, string(outcome))
	header.Set(HeaderRequestID, c.req.ID)
}
