package gateway

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/router"
)

// Drain stops the gateway without interrupting requests: /readyz turns 503,
// after the drain delay new requests are refused as not run, running and
// queued ones end, then the listener closes. When ctx ends first, the rest is
// cut and the error tells how many requests that were.
func (g *Gateway) Drain(ctx context.Context) error {
	if g.draining.Swap(true) {
		return errs.New(errs.Conflict, "wait for the first drain", "the gateway is draining already")
	}
	g.ready.Store(false)
	g.metrics.drains.Inc()
	g.opts.Logger.Info("drain started")
	wait(ctx, g.opts.DrainDelay)
	cut := g.waitForCalls(ctx)
	// The listener and idle connections close; connections that were cut
	// end with their handlers.
	_ = g.server.ShutdownWithContext(ctx)
	g.closeListeners()
	g.Close()
	if cut > 0 {
		g.opts.Logger.Warn("drain cut requests", "requests", cut)
		return errs.New(errs.OutcomeUnknown, "allow more time for a drain",
			"drain reached its time limit and cut %d requests", cut)
	}
	g.opts.Logger.Info("drain ended")
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitForCalls returns the number of calls that it had to cut.
func (g *Gateway) waitForCalls(ctx context.Context) int {
	g.mu.Lock()
	g.reduceLocked(&router.DrainStarted{})
	g.idle = make(chan struct{})
	if len(g.calls) == 0 {
		close(g.idle)
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
	}
	calls := g.runningCalls()
	g.metrics.drainCut.Add(len(calls))
	for _, c := range calls {
		c.cancelAll()
		g.callerGone(c)
		c.closeCaller()
	}
	return len(calls)
}

// Close ends the background loops and closes idle connections to executors.
// Claims and outcomes that are queued are written first.
func (g *Gateway) Close() {
	g.once.Do(func() {
		g.ready.Store(false)
		close(g.stop)
		g.mu.Lock()
		g.closing = true
		for conn := range g.lingering {
			_ = conn.Close()
		}
		for _, c := range g.calls {
			c.flights[1].cancel()
		}
		g.mu.Unlock()
		g.hedges.Wait()
		g.loops.Wait()
		g.pools.close()
	})
}
