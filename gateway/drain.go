package gateway

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/router"
)

// Drain stops the gateway without interrupting requests. /readyz changes to
// 503; after the drain delay, new requests are refused with the outcome
// not-run; running and queued requests complete; then the listeners close. If
// ctx ends first, the remaining requests are aborted and the error tells how
// many there were.
func (g *Gateway) Drain(ctx context.Context) error {
	if g.draining.Swap(true) {
		return errs.New(errs.Conflict, "wait for the first drain", "the gateway is already draining")
	}
	g.ready.Store(false)
	g.metrics.drains.Inc()
	g.opts.Logger.Info("drain started")
	sleepContext(ctx, g.opts.DrainDelay)
	aborted := g.waitForCalls(ctx)
	// This closes the listeners and idle connections. Connections of aborted
	// requests end with their handlers.
	_ = g.server.ShutdownWithContext(ctx)
	g.closeListeners()
	g.Close()
	if aborted > 0 {
		g.opts.Logger.Warn("drain timed out and aborted requests", "requests", aborted)
		return errs.New(errs.OutcomeUnknown, "allow more time for a drain",
			"drain timed out and aborted %d requests", aborted)
	}
	g.opts.Logger.Info("drain ended")
	return nil
}

func sleepContext(ctx context.Context, d time.Duration) {
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

// waitForCalls refuses new requests, waits until all calls have ended and
// aborts those that are left when ctx ends. It returns their number.
func (g *Gateway) waitForCalls(ctx context.Context) int {
	g.mu.Lock()
	g.reduceLocked(&router.DrainStarted{})
	g.noCalls = make(chan struct{})
	if len(g.calls) == 0 {
		close(g.noCalls)
	}
	noCalls := g.noCalls
	g.mu.Unlock()
	select {
	case <-noCalls:
		return 0
	case <-ctx.Done():
	}
	calls := g.activeCalls()
	g.metrics.drainAborted.Add(len(calls))
	for _, c := range calls {
		c.cancelAll()
		g.handleDisconnect(c)
		c.closeCaller()
	}
	return len(calls)
}

// Close stops the background loops and closes idle connections to executors.
// Queued claims and outcomes are written first.
func (g *Gateway) Close() {
	g.closeOnce.Do(func() {
		g.ready.Store(false)
		close(g.stop)
		g.mu.Lock()
		g.closing = true
		for conn := range g.supersededConns {
			_ = conn.Close()
		}
		for _, c := range g.calls {
			c.attempts[1].cancel()
		}
		g.mu.Unlock()
		g.attemptGroup.Wait()
		g.loops.Wait()
		g.pools.close()
	})
}
