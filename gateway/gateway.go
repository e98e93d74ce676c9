package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// Gateway accepts the requests of callers on one instance and forwards them to
// executors.
type Gateway struct {
	opts    Options
	server  *fasthttp.Server
	pools   *poolSet
	claims  *claimWriter
	metrics *gatewayMetrics

	ready    atomic.Bool
	draining atomic.Bool
	nextRef  atomic.Uint64
	ticks    atomic.Uint64

	defaultClass atomic.Pointer[structs.ClassName]

	mu        sync.Mutex // guards the fields down to listeners, and supersededConns
	state     *router.State
	calls     map[router.Ref]*call
	outbox    []credits.Message
	slowTicks bool // the tick loop waits for the idle interval
	// noCalls is closed when a drain finds no calls left. It is nil before a
	// drain.
	noCalls         chan struct{}
	listenersClosed bool // no listener is served any more

	closing bool // no hedge is started any more

	listeners []callerListener

	stop      chan struct{}
	wakeTicks chan struct{} // signalled when a call is added during slow ticks
	closeOnce sync.Once
	loops     conc.WaitGroup
	// attemptGroup has one goroutine per hedge and per superseded attempt.
	attemptGroup conc.WaitGroup
	// supersededConns holds the connections of superseded attempts whose
	// executors may still be working.
	supersededConns map[*execConn]bool
}

// New returns a gateway and starts its background loops. Close or Drain stops
// them.
func New(opts Options) *Gateway {
	opts = opts.withDefaults()
	g := &Gateway{
		opts:    opts,
		pools:   newPoolSet(opts.Limits),
		metrics: newGatewayMetrics(opts.Metrics),
		calls:   map[router.Ref]*call{}, supersededConns: map[*execConn]bool{},
		stop:      make(chan struct{}),
		wakeTicks: make(chan struct{}, 1),
	}
	g.state = router.New(router.Config{
		Instance: opts.Instance, Location: opts.Location, Seed: opts.Seed,
		Policy: opts.Policy, Standalone: opts.SendCreditMessage == nil,
		FirstSequence: uint64(opts.Now()),
	})
	g.claims = newClaimWriter(opts, g.claimEnded)
	g.server = g.newServer()
	g.setDefaultClass(opts.Policy)
	g.ready.Store(!opts.AwaitPolicy)
	g.startLoops()
	return g
}

func (g *Gateway) startLoops() {
	if g.opts.TickInterval > 0 {
		g.loops.Go(g.tickLoop)
	}
	g.loops.Go(func() { g.claims.run(g.stop) })
	if g.opts.Table != nil {
		g.loops.Go(func() { g.claims.sweepLoop(g.stop) })
	}
}

// idleTickFactor is the number of tick intervals between two ticks while there
// are no requests. 200 wake-ups per second took half of the processor time of
// an idle instance.
const idleTickFactor = 10

func (g *Gateway) tickLoop() {
	timer := time.NewTimer(g.opts.TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.wakeTicks:
		case <-timer.C:
			g.Tick()
		}
		timer.Reset(g.nextTickDelay())
	}
}

// nextTickDelay returns the time until the next tick.
func (g *Gateway) nextTickDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowTicks = len(g.calls) == 0
	if g.slowTicks {
		return g.opts.TickInterval * idleTickFactor
	}
	return g.opts.TickInterval
}

// addCall registers a call and restores the short tick interval. The gateway's
// lock is held.
func (g *Gateway) addCall(c *call) {
	g.calls[c.ref] = c
	if !g.slowTicks {
		return
	}
	g.slowTicks = false
	select {
	case g.wakeTicks <- struct{}{}:
	default:
	}
}

// ticksPerCallerCheck is the number of ticks between two checks for callers
// that disconnected. A check costs one system call per request: with thousands
// of queued requests, a check at every tick would take a quarter of a core.
const ticksPerCallerCheck = 10

// Tick handles deadlines, retries and leases that are due and callers that
// disconnected.
func (g *Gateway) Tick() {
	now := g.opts.Now()
	g.reduce(&router.Tick{})
	g.claims.expireClaims(now)
	checkCallers := g.opts.TickInterval < 0 || g.ticks.Add(1)%ticksPerCallerCheck == 0
	for _, c := range g.activeCalls() {
		c.cancelLate(now)
		if checkCallers && c.callerDisconnected() {
			g.handleDisconnect(c)
		}
	}
}

func (g *Gateway) activeCalls() []*call {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := make([]*call, 0, len(g.calls))
	for _, c := range g.calls {
		calls = append(calls, c)
	}
	return calls
}

// SetExecutors replaces the list of executors. An executor that is missing or
// not live gets no new requests.
func (g *Gateway) SetExecutors(executors []structs.Executor) {
	g.reduce(&router.ExecutorsListed{Executors: executors})
}

// SetPolicy replaces the policy and makes the instance ready unless it is
// draining. Queued requests stay queued.
func (g *Gateway) SetPolicy(policy router.Policy) {
	g.setDefaultClass(policy)
	g.reduce(&router.PolicyChanged{Policy: policy})
	if !g.draining.Load() {
		g.ready.Store(true)
	}
}

// setDefaultClass sets the class of requests that name none: the first class
// of normal urgency, or the least urgent one if there is none.
func (g *Gateway) setDefaultClass(policy router.Policy) {
	name := structs.ClassName("")
	for _, class := range policy.Classes {
		name = class.Name
		if class.Urgency == structs.Normal {
			break
		}
	}
	g.defaultClass.Store(&name)
}

// HandleCreditMessage handles a message from the owner of executors. Messages
// that are not grants for this instance are ignored.
func (g *Gateway) HandleCreditMessage(message credits.Message) {
	if message.Grant != nil {
		g.reduce(&router.GrantReceived{Grant: *message.Grant})
	}
}

// Ready reports whether the instance accepts new requests.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// Serve accepts connections of callers on listener until Drain closes it.
func (g *Gateway) Serve(listener net.Listener) error {
	g.mu.Lock()
	listenersClosed := g.listenersClosed
	bounded := newCallerListener(listener, g.opts.Limits, g.metrics.rejectedConnections.Inc)
	g.listeners = append(g.listeners, bounded)
	g.mu.Unlock()
	if listenersClosed {
		return listener.Close()
	}
	err := g.server.Serve(bounded)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeListeners closes all listeners. This also ends a call of Serve that has
// not passed its listener to the HTTP server yet, which the server's Shutdown
// would miss.
func (g *Gateway) closeListeners() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listenersClosed = true
	for _, listener := range g.listeners {
		_ = listener.Close()
	}
}

// reduce applies an event to the router's state and executes its effects.
func (g *Gateway) reduce(ev structs.Event) {
	g.mu.Lock()
	g.reduceLocked(ev)
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

func (g *Gateway) takeOutbox() []credits.Message {
	outbox := g.outbox
	g.outbox = nil
	return outbox
}

// sendCredits sends messages to owners of executors. It is called without the
// lock because opts.SendCreditMessage may call HandleCreditMessage before it
// returns.
func (g *Gateway) sendCredits(messages []credits.Message) {
	for _, message := range messages {
		g.opts.SendCreditMessage(message)
	}
}

func (g *Gateway) reduceLocked(ev structs.Event) {
	for _, effect := range g.state.Reduce(g.opts.Now(), ev) {
		g.execute(effect)
	}
}

// execute executes one effect without blocking.
func (g *Gateway) execute(effect structs.Effect) {
	switch e := effect.(type) {
	case router.Send:
		if e.Hedge {
			g.startHedge(e)
			return
		}
		g.sendAction(e.Ref, action{kind: actSend, send: e})
	case router.Refuse:
		g.sendAction(e.Ref, action{kind: actRefuse, refuse: e})
	case router.Deliver:
		g.sendAction(e.Ref, action{kind: actDeliver})
	case router.Replay:
		g.sendAction(e.Ref, action{kind: actReplay, stored: e.Stored})
	case router.CancelAttempt:
		if c := g.calls[e.Ref]; c != nil {
			c.cancelAttempt(e.Attempt)
		}
	case router.ExtendAttempt:
		if c := g.calls[e.Ref]; c != nil {
			c.extendAttempt(e.Attempt, e.Deadline)
		}
	case router.WriteClaim:
		g.claims.queueClaim(e)
	case router.StoreOutcome:
		g.claims.queueOutcome(e)
	case router.ReleaseClaim:
		g.claims.queueRelease(e)
	case router.RequestCredits:
		request := e.Request
		g.outbox = append(g.outbox, credits.Message{Region: e.Region, Request: &request})
	case router.ConnectionsChanged:
		g.pools.setLimit(e)
	case router.RequestObserved:
		g.metrics.observe(e)
	case router.ExecutorChanged:
		g.opts.Logger.Info("executor health changed", "executor", e.Executor, "health", e.Health)
	}
}

func (g *Gateway) sendAction(ref router.Ref, a action) {
	if c := g.calls[ref]; c != nil {
		c.actions <- a // never blocks: see maxPendingActions
	}
}

func (g *Gateway) claimEnded(ev *router.ClaimEnded) { g.reduce(ev) }

// handleDisconnect ends a call whose caller disconnected.
func (g *Gateway) handleDisconnect(c *call) {
	if c.disconnected.Swap(true) {
		return
	}
	g.mu.Lock()
	g.reduceLocked(&router.CallerDisconnected{Ref: c.ref})
	g.sendAction(c.ref, action{kind: actDisconnected})
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

// Stats holds statistics of a gateway.
type Stats struct {
	Requests      int // queued and running requests
	Connections   int // open connections of callers
	FirstAttempts uint64
	Retries       uint64
	Refused       uint64
}

// Stats returns the current statistics.
func (g *Gateway) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	totals := g.state.Counts()
	connections := 0
	for _, l := range g.listeners {
		connections += l.Counts().Open
	}
	return Stats{
		Requests:      g.state.Requests(),
		Connections:   connections,
		FirstAttempts: totals.FirstAttempts,
		Retries:       totals.Retries,
		Refused:       totals.Refused,
	}
}
