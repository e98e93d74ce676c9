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
	actGone
	actHedged // another attempt's answer has begun
)

// action is an effect for the goroutine that serves a call.
type action struct {
	kind   actionKind
	send   router.Send
	refuse router.Refuse
	stored router.StoredAnswer
	answer begunAnswer
}

// maxPendingActions covers the actions that a call can have unread: one send
// or final action and one notice that the caller left, with a margin.
const maxPendingActions = 8

// actionPool holds channels without actions. A channel goes back when its
// call is forgotten; after that nothing sends to it.
var actionPool = sync.Pool{New: func() any { return make(chan action, maxPendingActions) }}

// call is a request from its admission until its answer is written.
type call struct {
	g       *Gateway
	ctx     *fasthttp.RequestCtx
	caller  net.Conn
	ref     router.Ref
	req     router.Request
	body    requestBody
	actions chan action
	gone    atomic.Bool // the caller left

	head    *[]byte      // start of the request to executors, from headPool
	hedged  bool         // a second attempt was started; guarded by the gateway's lock
	flights [2]flight    // the attempt of this goroutine, and the hedge
	winner  atomic.Int32 // the attempt whose answer is passed on; 0 for none
}

func (g *Gateway) newCall(ctx *fasthttp.RequestCtx, req router.Request) *call {
	c := &call{
		g: g, ctx: ctx, caller: ctx.Conn(), req: req,
		ref:     router.Ref(g.nextRef.Add(1)),
		actions: actionPool.Get().(chan action),
	}
	for i := range c.flights {
		c.flights[i].until.Store(math.MaxInt64)
	}
	return c
}

// admit registers the call and lets the router decide about it.
func (c *call) admit() {
	g := c.g
	g.mu.Lock()
	g.calls[c.ref] = c
	g.reduceLocked(&router.RequestArrived{Ref: c.ref, Request: c.req})
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

// end forgets the call. Its answer is written or its caller is gone.
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
		if a := <-c.actions; a.kind == actHedged {
			c.dropAnswer(a.answer)
		}
	}
	actionPool.Put(c.actions)
	if c.head != nil && !c.hedged {
		headPool.Put(c.head)
	}
	if len(g.calls) == 0 && g.idle != nil {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// callerLeft reports whether the caller closed its connection.
func (c *call) callerLeft() bool {
	conn, ok := c.caller.(*callerConn)
	return ok && !c.gone.Load() && conn.socket.peek() == socketClosed
}

// closeCaller cuts the caller's connection.
func (c *call) closeCaller() { _ = c.caller.Close() }

// dropAnswer ends a hedge whose answer nobody waits for any more. The
// gateway's lock is held.
func (c *call) dropAnswer(answer begunAnswer) {
	c.flightOf(&answer.send).detach()
	answer.conn.pool.discard(answer.conn)
	c.g.reduceLocked(&router.AttemptEnded{
		Ref: c.ref, Attempt: answer.send.Attempt, Result: router.Result{Kind: router.Cancelled},
	})
}

// attemptEnded reports the end of an attempt to the router. last ends the
// call with it.
func (c *call) attemptEnded(attempt int, result router.Result, last bool) {
	g := c.g
	g.mu.Lock()
	g.reduceLocked(&router.AttemptEnded{Ref: c.ref, Attempt: attempt, Result: result})
	if last {
		c.endLocked()
	}
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

// serve follows the router's actions until the answer is ready or handed to
// a stream.
func (c *call) serve() {
	for a := range c.actions {
		if c.step(a) {
			return
		}
	}
}

// step carries out one action and reports whether the handler is done.
func (c *call) step(a action) bool {
	switch a.kind {
	case actSend:
		return c.attempt(a.send)
	case actHedged:
		return c.pass(a.answer.conn, a.answer.send, &a.answer.conn.head, a.answer.latency)
	case actRefuse:
		c.ctx.Response.Reset()
		c.closeIfBodyUnread()
		writeRefusal(c.ctx, c.req.ID, a.refuse)
	case actDeliver:
		c.setOutcome(c.ctx.Response.StatusCode())
	case actReplay:
		c.ctx.Response.Reset()
		c.closeIfBodyUnread()
		writeStored(c.ctx, c.req.ID, a.stored)
	case actGone:
		c.ctx.SetConnectionClose()
	}
	c.end()
	return true
}

// closeIfBodyUnread closes the caller's connection after the answer if a part
// of the request's body is still to come.
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
