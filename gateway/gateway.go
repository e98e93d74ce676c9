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

// Gateway is the request path of one instance.
type Gateway struct {
	opts    Options
	server  *fasthttp.Server
	pools   *poolSet
	claims  *claimWriter
	metrics *meters

	ready    atomic.Bool
	draining atomic.Bool
	nextRef  atomic.Uint64
	ticks    atomic.Uint64
	open     atomic.Int64 // callers' connections

	defaultClass atomic.Pointer[structs.ClassName]

	mu     sync.Mutex // guards the fields below
	state  *router.State
	calls  map[router.Ref]*call
	outbox []credits.Message
	asleep bool          // the tick loop waits for the long interval
	idle   chan struct{} // closed when a drain finds no calls left
	closed bool          // no listener is served any more

	closing bool // no hedge starts any more

	listeners []net.Listener

	stop  chan struct{}
	wake  chan struct{} // a call was added while the tick loop was asleep
	once  sync.Once
	loops conc.WaitGroup
	// hedges has one goroutine per second attempt.
	hedges conc.WaitGroup
	// lingering holds connections of superseded attempts.
	lingering map[*execConn]bool
}

// New returns a gateway with its background loops running. Close or Drain
// ends them.
func New(opts Options) *Gateway {
	opts = opts.withDefaults()
	g := &Gateway{
		opts:    opts,
		pools:   newPoolSet(opts.Limits),
		metrics: newMeters(opts.Metrics),
		calls:   map[router.Ref]*call{}, lingering: map[*execConn]bool{},
		stop: make(chan struct{}),
		wake: make(chan struct{}, 1),
	}
	g.state = router.New(router.Config{
		Instance: opts.Instance, Location: opts.Location, Seed: opts.Seed,
		Policy: opts.Policy, Alone: opts.SendCredits == nil,
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

// idleTicks is how many tick intervals pass between two ticks while there is
// no request: 200 wake-ups a second took half of an idle instance's processor
// time.
const idleTicks = 10

func (g *Gateway) tickLoop() {
	timer := time.NewTimer(g.opts.TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.wake:
		case <-timer.C:
			g.Tick()
		}
		timer.Reset(g.tickAfter())
	}
}

// tickAfter returns the time to the next tick.
func (g *Gateway) tickAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asleep = len(g.calls) == 0
	if g.asleep {
		return g.opts.TickInterval * idleTicks
	}
	return g.opts.TickInterval
}

// add registers a call, and ends the long interval of an idle gateway.
func (g *Gateway) add(c *call) {
	g.calls[c.ref] = c
	if !g.asleep {
		return
	}
	g.asleep = false
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// ticksPerLook spaces the looks at callers' sockets, a system call each: with
// thousands of queued requests a look at every tick would cost a quarter of a
// core.
const ticksPerLook = 10

// Tick applies what is due: deadlines, retries, leases, callers that left.
func (g *Gateway) Tick() {
	now := g.opts.Now()
	g.reduce(&router.Tick{})
	g.claims.expire(now)
	look := g.opts.TickInterval < 0 || g.ticks.Add(1)%ticksPerLook == 0
	for _, c := range g.runningCalls() {
		c.cancelLate(now)
		if look && c.callerLeft() {
			g.callerGone(c)
		}
	}
}

func (g *Gateway) runningCalls() []*call {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := make([]*call, 0, len(g.calls))
	for _, c := range g.calls {
		calls = append(calls, c)
	}
	return calls
}

// SetExecutors replaces the list of executors. An executor that is missing
// or not live gets no new request from now on.
func (g *Gateway) SetExecutors(executors []structs.Executor) {
	g.reduce(&router.ExecutorsListed{Executors: executors})
}

// SetPolicy replaces the policy; queued requests stay queued.
func (g *Gateway) SetPolicy(policy router.Policy) {
	g.setDefaultClass(policy)
	g.reduce(&router.PolicyChanged{Policy: policy})
	if !g.draining.Load() {
		g.ready.Store(true)
	}
}

// setDefaultClass notes the class of requests that name none: the first one
// of normal urgency, otherwise the least urgent one.
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

// DeliverCredits hands in a message from the owner of executors. Messages
// that are not grants for this instance are ignored.
func (g *Gateway) DeliverCredits(message credits.Message) {
	if message.Grant != nil {
		g.reduce(&router.CreditsDelivered{Grant: *message.Grant})
	}
}

// Ready reports whether the instance takes new requests.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// Serve accepts callers on listener until Drain closes it.
func (g *Gateway) Serve(listener net.Listener) error {
	g.mu.Lock()
	closed := g.closed
	g.listeners = append(g.listeners, listener)
	g.mu.Unlock()
	if closed {
		return listener.Close()
	}
	err := g.server.Serve(&callerListener{Listener: listener, g: g})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeListeners also ends a Serve that has not reached its server yet, which
// the server's own shutdown would miss.
func (g *Gateway) closeListeners() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, listener := range g.listeners {
		_ = listener.Close()
	}
}

// reduce applies an event and carries out its effects.
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

// sendCredits runs without the lock: the function may deliver a reply at once.
func (g *Gateway) sendCredits(messages []credits.Message) {
	for _, message := range messages {
		g.opts.SendCredits(message)
	}
}

func (g *Gateway) reduceLocked(ev structs.Event) {
	for _, effect := range g.state.Reduce(g.opts.Now(), ev) {
		g.carryOut(effect)
	}
}

// carryOut performs one effect without blocking.
func (g *Gateway) carryOut(effect structs.Effect) {
	switch e := effect.(type) {
	case router.Send:
		if e.Hedge {
			g.startHedge(e)
			return
		}
		g.act(e.Ref, action{kind: actSend, send: e})
	case router.Refuse:
		g.act(e.Ref, action{kind: actRefuse, refuse: e})
	case router.Deliver:
		g.act(e.Ref, action{kind: actDeliver})
	case router.Replay:
		g.act(e.Ref, action{kind: actReplay, stored: e.Stored})
	case router.CancelAttempt:
		if c := g.calls[e.Ref]; c != nil {
			c.cancelAttempt(e.Attempt)
		}
	case router.ExtendAttempt:
		if c := g.calls[e.Ref]; c != nil {
			c.extend(e.Attempt, e.Deadline)
		}
	case router.WriteClaim:
		g.claims.claim(e)
	case router.StoreOutcome:
		g.claims.store(e)
	case router.ReleaseClaim:
		g.claims.release(e)
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

func (g *Gateway) act(ref router.Ref, a action) {
	if c := g.calls[ref]; c != nil {
		c.actions <- a // has room for every action of a call
	}
}

func (g *Gateway) claimEnded(ev *router.ClaimEnded) { g.reduce(ev) }

// callerGone ends the work of a call whose caller left.
func (g *Gateway) callerGone(c *call) {
	if c.gone.Swap(true) {
		return
	}
	g.mu.Lock()
	g.reduceLocked(&router.CallerGone{Ref: c.ref})
	g.act(c.ref, action{kind: actGone})
	outbox := g.takeOutbox()
	g.mu.Unlock()
	g.sendCredits(outbox)
}

// Stats are numbers for the operators.
type Stats struct {
	Requests      int // not ended
	Connections   int // of callers
	FirstAttempts uint64
	Retries       uint64
	Refused       uint64
}

// Stats returns the current numbers.
func (g *Gateway) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	totals := g.state.Totals()
	return Stats{
		Requests:      g.state.Requests(),
		Connections:   int(g.open.Load()),
		FirstAttempts: totals.FirstAttempts,
		Retries:       totals.Retries,
		Refused:       totals.Refused,
	}
}
