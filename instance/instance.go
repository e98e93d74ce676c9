package instance

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/gateway"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/telemetry"
)

// Options configures an instance.
type Options struct {
	Info           structs.InstanceInfo
	PeerSecret     string // empty: peers need none
	OperatorSecret string // empty: operators need none

	Table     provider.Table
	Objects   provider.Objects
	Directory provider.Directory
	Workers   provider.Workers

	// The listeners that the instance serves and closes.
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener

	Limits       gateway.Limits
	Logger       hclog.Logger
	DrainTimeout time.Duration // 30 s if zero
}

const defaultDrainTimeout = 30 * time.Second

// Instance is one running mangodrumd.
type Instance struct {
	options     Options
	log         hclog.Logger
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	group       conc.WaitGroup
	stopped     chan struct{}
	loopEnded   chan struct{}
	stopOnce    sync.Once
	stopAsked   chan struct{} // closed when an operator asks for a drain
	fatal       chan error

	state    *core.State // owned by the loop
	inbox    chan message
	counters *telemetry.Reducer
	metrics  *instruments
	set      *metrics.Set

	node       *peer.Transport
	gateway    *gateway.Gateway
	operators  *fiber.App
	store      *settings.Store
	dispatcher *dispatcher
	calls      *callTable
	replies    replyTable
	peerView   peerView
	beats      uint64 // heartbeats sent

	ready       atomic.Bool
	draining    atomic.Bool
	storeHealth storeHealth
	reports     *reportWatch
	waits       waitRecorder
	settingsLag lagClock // owned by the loop
}

// New returns an instance that does nothing until Run.
func New(options Options) *Instance {
	if options.DrainTimeout == 0 {
		options.DrainTimeout = defaultDrainTimeout
	}
	metrics.ExposeMetadata(true)
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options:     options,
		log:         options.Logger,
		incarnation: uint64(time.Now().UnixNano()),
		ctx:         ctx,
		cancel:      cancel,
		stopped:     make(chan struct{}),
		loopEnded:   make(chan struct{}),
		stopAsked:   make(chan struct{}),
		fatal:       make(chan error, 1),
		inbox:       make(chan message, inboxSize),
		set:         metrics.NewSet(),
	}
	storeCalls := newStoreCalls(i.set)
	i.options.Table = &watchedTable{Table: options.Table, health: &i.storeHealth, calls: storeCalls}
	i.options.Objects = &watchedObjects{Objects: options.Objects, calls: storeCalls}
	i.reports = newReportWatch(i.set)
	i.counters = telemetry.NewReducer(i.set)
	i.metrics = newInstruments(i.set)
	i.state = core.New(core.Config{Self: options.Info, Incarnation: i.incarnation, Seed: i.incarnation})
	i.store = settings.NewStore(i.options.Table, i.options.Objects, i.now, nil)
	i.dispatcher = newDispatcher(ctx, options.Workers, i.workerAnswered)
	i.connect()
	return i
}

// connect builds the listeners' servers.
func (i *Instance) connect() {
	i.node = peer.New(peer.Options{
		Self: i.options.Info.ID, Secret: i.options.PeerSecret, Logger: i.log.Named("peer"), OnMessage: i.receive,
	})
	i.calls = &callTable{send: i.node.Send}
	i.gateway = gateway.New(gateway.Options{
		Instance: i.options.Info.ID, Location: i.options.Info.Location, Limits: i.options.Limits,
		Table: i.options.Table, Logger: i.log.Named("gateway"), Metrics: i.set,
		SendCreditMessage: i.requestCredits, AwaitPolicy: true,
	})
	i.operators = operatorapi.NewServer(&backend{i}, operatorapi.Options{
		Secret: i.options.OperatorSecret, Ready: i.checkReady, Metrics: i.writeMetrics,
	})
}

// Run serves until ctx ends, then drains and stops. A second end of patience,
// the drain timeout, cuts what still runs and returns an error.
func (i *Instance) Run(ctx context.Context) error {
	i.group.Go(func() { i.loop(i.ctx) })
	i.group.Go(func() { i.readDirectory(i.ctx) })
	i.group.Go(func() { i.sendHeartbeats(i.ctx) })
	i.serve("peers", func() error { return i.node.Serve(i.options.Peers) })
	i.serve("callers", func() error { return i.gateway.Serve(i.options.Callers) })
	i.serve("operators", func() error {
		return i.operators.Listener(i.options.Operators, fiber.ListenConfig{DisableStartupMessage: true})
	})
	var failure error
	select {
	case <-ctx.Done():
	case <-i.stopAsked:
	case failure = <-i.fatal:
	}
	return errors.CombineErrors(failure, i.shutdown())
}

// requestStop makes Run drain and return.
func (i *Instance) requestStop() { i.stopOnce.Do(func() { close(i.stopAsked) }) }

func (i *Instance) serve(name string, run func() error) {
	i.group.Go(func() {
		if err := run(); err != nil && i.ctx.Err() == nil && !i.draining.Load() {
			err = errs.Wrap(err, errs.Failed, "check the address and restart the instance", "serve %s", name)
			select {
			case i.fatal <- err:
			default:
			}
		}
	})
}

// shutdown drains requests and shards, then ends everything.
func (i *Instance) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), i.options.DrainTimeout)
	defer cancel()
	i.draining.Store(true)
	i.log.Info("drain started")
	i.register(ctx, structs.Leaving)
	var drainErr error
	var group conc.WaitGroup
	group.Go(func() { drainErr = i.gateway.Drain(ctx) })
	group.Go(func() { i.drainShards(ctx) })
	group.Wait()
	i.stop()
	i.log.Info("stopped")
	return drainErr
}

// drainShards waits until all shards are handed over.
func (i *Instance) drainShards(ctx context.Context) {
	i.post(core.Drain{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		drained := false
		i.query(func(_ structs.Timestamp, state *core.State) { drained = state.IsDrained() })
		if drained {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			i.log.Warn("drain reached its time limit with shards that are not handed over")
			return
		}
	}
}

func (i *Instance) stop() {
	// The release of a shard's row is written after the hand-over; the
	// successor takes over without it only after the expiry.
	_ = i.operators.ShutdownWithTimeout(time.Second)
	i.settle()
	i.cancel()
	close(i.stopped)
	i.node.Close()
	i.gateway.Close()
	// A server that was shut down before it began to serve ends only with its
	// listener.
	for _, listener := range []net.Listener{i.options.Callers, i.options.Operators, i.options.Peers} {
		_ = listener.Close()
	}
	i.dispatcher.wait()
	i.group.Wait()
}

// settle lets effects that were emitted last finish their calls.
func (i *Instance) settle() {
	deadline := time.Now().Add(tableTimeout)
	for i.metrics.calls.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(tickInterval / 10)
	}
}

// checkReady reports why the instance takes no work yet.
func (i *Instance) checkReady() error {
	switch {
	case i.draining.Load():
		return errs.New(errs.NotRun, "use another instance", "instance %s is draining", i.options.Info.ID)
	case !i.ready.Load():
		return errs.New(errs.NotRun, "wait a few seconds", "instance %s does not know the settings in force yet", i.options.Info.ID)
	}
	return nil
}

// Ready reports whether the instance takes work.
func (i *Instance) Ready() bool { return i.checkReady() == nil }

// Peers returns the number of other instances that this one knows.
func (i *Instance) Peers() int {
	count := 0
	i.query(func(_ structs.Timestamp, state *core.State) { count = len(state.Membership().Peers()) })
	return count
}

// ID returns the identifier of the instance.
func (i *Instance) ID() structs.InstanceID { return i.options.Info.ID }

// CheckServing reports why the instance does not take work yet, or which shard
// of the cell has no owner that has loaded it; nil means that it serves.
func (i *Instance) CheckServing() error {
	if err := i.checkReady(); err != nil {
		return err
	}
	err := errStopped(i.options.Info.ID)
	i.query(func(_ structs.Timestamp, state *core.State) { err = state.CheckServing() })
	return err
}
