package cell

import (
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/internal/inbound"
)

// contain runs f and reports whether it returned without a panic. A panic costs the
// one message or event that caused it, not the process: it is logged with its stack
// and counted.
func (i *Instance) contain(operation string, f func()) bool {
	recovered := panics.Try(f)
	if recovered == nil {
		return true
	}
	i.metrics.count("panics", "in", operation)
	i.log.Error("panic", "in", operation, "value", recovered.Value, "stack", string(recovered.Stack))
	return false
}

// spawn runs f in a goroutine of the instance. A panic ends only that goroutine.
func (i *Instance) spawn(operation string, f func()) {
	i.group.Go(func() { i.contain(operation, f) })
}

// handler returns a handler of HTTP requests that answers 500 if h panics, and releases what
// the request holds when h returns.
func (i *Instance) handler(operation string, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn := inbound.Of(ctx.Conn())
		defer conn.Done()
		if !i.contain(operation, func() { h(ctx) }) {
			ctx.Response.Reset()
			writeError(ctx, fasthttp.StatusInternalServerError, 0, internalErrorText)
		}
	}
}

// spawn runs f in a goroutine of the leader. A panic ends only that goroutine.
func (l *leader) spawn(operation string, f func()) {
	l.group.Go(func() { l.instance.contain(operation, f) })
}

// protect runs a part of the leader's loop. After a panic the dispatcher may be in
// a half-changed state, so this leader makes no further decision: it ends without
// another commit, and the next leader begins with the stored state. The event that
// caused the panic is in memory only and does not reach the next leader.
func (l *leader) protect(operation string, f func()) {
	if l.broken {
		return
	}
	recovered := panics.Try(f)
	if recovered == nil {
		return
	}
	l.broken = true
	l.instance.metrics.count("panics", "in", operation)
	l.log.Error("panic in the leader's loop, giving up the leadership", "in", operation, "value", recovered.Value, "stack", string(recovered.Stack))
	l.cancel()
}
