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
	"github.com/mangodrum/mangodrum/internal/inbound"
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
	PeerSecret     string // empty: peers need no secret
	OperatorSecret string // empty: operators need no secret

	Table     provider.Table
	Objects   provider.Objects
	Directory provider.Directory
	Workers   provider.Workers

	// Listeners for callers' requests, the operators' API and peers. The
	// instance closes them when it stops.
	CallerListener   net.Listener
	OperatorListener net.Listener
	PeerListener     net.Listener

	Limits       gateway.Limits
	Bounds       Bounds // of the listeners for operators and peers
	Logger       hclog.Logger
	DrainTimeout time.Duration // 30 s if zero
}

const defaultDrainTimeout = 30 * time.Second

// Instance is one running mangodrumd.
type Instance struct {
	options       Options
	log           hclog.Logger
	incarnation   uint64
	ctx           context.Context
	cancel        context.CancelFunc
	group         conc.WaitGroup
	stopped       chan struct{}
	loopEnded     chan struct{}
	stopOnce      sync.Once
	stopRequested chan struct{} // closed when an operator requests a drain
	serveErrors   chan error

	state          *core.State // owned by the event loop
	inbox          chan message
	reducerMetrics *telemetry.ReducerMetrics
	metrics        *instanceMetrics
	metricSet      *metrics.Set

	peerNode       *peer.Transport
	gateway        *gateway.Gateway
	operators      *fiber.App
	settingsStore  *settings.Store
	dispatcher     *workerDispatcher
	peerCalls      *peerCalls
	schedulerCalls schedulerCalls
	peerHeartbeats latestHeartbeats
	heartbeatsSent uint64 // owned by the goroutine that sends heartbeats

	ready       atomic.Bool
	draining    atomic.Bool
	storeHealth storeHealth
	reports     *reportMonitor
	waitTimes   waitRecorder
	settingsLag lagTimer // owned by the event loop
}

// New returns an instance. Run starts it.
func New(options Options) *Instance {
	if options.DrainTimeout == 0 {
		options.DrainTimeout = defaultDrainTimeout
	}
	options.Bounds = options.Bounds.withDefaults()
	metrics.ExposeMetadata(true)
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options:       options,
		log:           options.Logger,
		incarnation:   uint64(time.Now().UnixNano()),
		ctx:           ctx,
		cancel:        cancel,
		stopped:       make(chan struct{}),
		loopEnded:     make(chan struct{}),
		stopRequested: make(chan struct{}),
		serveErrors:   make(chan error, 1),
		inbox:         make(chan message, inboxSize),
		metricSet:     metrics.NewSet(),
	}
	callMetrics := newStoreCallMetrics(i.metricSet)
	i.options.Table = &instrumentedTable{Table: options.Table, health: &i.storeHealth, metrics: callMetrics}
	i.options.Objects = &instrumentedObjects{Objects: options.Objects, metrics: callMetrics}
	i.reports = newReportMonitor(i.metricSet)
	i.reducerMetrics = telemetry.NewReducerMetrics(i.metricSet)
	i.metrics = newInstanceMetrics(i.metricSet)
	i.state = core.New(core.Config{Self: options.Info, Incarnation: i.incarnation, Seed: i.incarnation})
	i.settingsStore = settings.NewStore(i.options.Table, i.options.Objects, i.now, nil)
	i.dispatcher = newWorkerDispatcher(ctx, options.Workers, i.postWorkerResult)
	i.buildServers()
	return i
}

// buildServers creates the servers for peers, callers and operators.
func (i *Instance) buildServers() {
	i.peerNode = peer.New(peer.Options{
		Self: i.options.Info.ID, Secret: i.options.PeerSecret, Logger: i.log.Named("peer"), OnMessage: i.receive,
	})
	i.peerCalls = &peerCalls{send: i.peerNode.Send}
	i.gateway = gateway.New(gateway.Options{
		Instance: i.options.Info.ID, Location: i.options.Info.Location, Limits: i.options.Limits,
		Table: i.options.Table, Logger: i.log.Named("gateway"), Metrics: i.metricSet,
		SendCreditMessage: i.requestCredits, AwaitPolicy: true,
	})
	i.operators = operatorapi.NewServer(&backend{i}, operatorapi.Options{
		Secret: i.options.OperatorSecret, CheckReady: i.checkReady, WriteMetrics: i.writeMetrics,
	})
}

// Run serves until ctx is done, an operator requests a drain or a server
// fails. It then drains and stops. If the drain takes longer than
// Options.DrainTimeout, Run cuts the remaining requests and returns an error.
func (i *Instance) Run(ctx context.Context) error {
	i.group.Go(func() { i.loop(i.ctx) })
	i.group.Go(func() { i.keepDirectoryCurrent(i.ctx) })
	i.group.Go(func() { i.sendHeartbeats(i.ctx) })
	i.serve("peers", func() error {
		return i.peerNode.Serve(inbound.NewListener(i.options.PeerListener, i.options.Bounds.Peers))
	})
	i.serve("callers", func() error { return i.gateway.Serve(i.options.CallerListener) })
	i.serve("operators", func() error {
		return operatorapi.Serve(i.operators, inbound.NewListener(i.options.OperatorListener, i.options.Bounds.Operators))
	})
	var failure error
	select {
	case <-ctx.Done():
	case <-i.stopRequested:
	case failure = <-i.serveErrors:
	}
	return errors.CombineErrors(failure, i.shutdown())
}

// requestStop makes Run drain and return.
func (i *Instance) requestStop() { i.stopOnce.Do(func() { close(i.stopRequested) }) }

// serve runs a server in a goroutine. An error of the server ends Run, unless
// the instance is stopping.
func (i *Instance) serve(name string, run func() error) {
	i.group.Go(func() {
		if err := run(); err != nil && i.ctx.Err() == nil && !i.draining.Load() {
			err = errs.Wrap(err, errs.Failed, "check the address and restart the instance", "serve %s", name)
			select {
			case i.serveErrors <- err:
			default:
			}
		}
	})
}

// shutdown drains requests and shards within the drain timeout, then stops all
// servers and goroutines.
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

// drainShards starts the hand-over of all shards and waits until it is complete
// or ctx is done.
func (i *Instance) drainShards(ctx context.Context) {
	i.post(core.Drain{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		drained := false
		i.readState(func(_ structs.Timestamp, state *core.State) { drained = state.IsDrained() })
		if drained {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			i.log.Warn("drain timed out before all shards were handed over")
			return
		}
	}
}

func (i *Instance) stop() {
	// The writes that release the shards' rows follow the hand-over and may
	// still run. If one is lost, the successor can take over the shard only
	// after the row expires.
	_ = i.operators.ShutdownWithTimeout(time.Second)
	i.awaitEffects()
	i.cancel()
	close(i.stopped)
	i.peerNode.Close()
	i.gateway.Close()
	// A server that was shut down before it began to serve ends only when its
	// listener is closed.
	for _, listener := range []net.Listener{i.options.CallerListener, i.options.OperatorListener, i.options.PeerListener} {
		_ = listener.Close()
	}
	i.dispatcher.wait()
	i.group.Wait()
}

// awaitEffects waits until the asynchronous effects have ended, for at most
// tableTimeout.
func (i *Instance) awaitEffects() {
	deadline := time.Now().Add(tableTimeout)
	for i.metrics.effectsRunning.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(tickInterval / 10)
	}
}

// checkReady returns an error that says why the instance accepts no work, or
// nil if it accepts work.
func (i *Instance) checkReady() error {
	switch {
	case i.draining.Load():
		return errs.New(errs.NotRun, "use another instance", "instance %s is draining", i.options.Info.ID)
	case !i.ready.Load():
		return errs.New(errs.NotRun, "wait a few seconds", "instance %s has not loaded the settings yet", i.options.Info.ID)
	}
	return nil
}

// Ready reports whether the instance accepts work.
func (i *Instance) Ready() bool { return i.checkReady() == nil }

// PeerCount returns the number of other instances that this one knows.
func (i *Instance) PeerCount() int {
	count := 0
	i.readState(func(_ structs.Timestamp, state *core.State) { count = len(state.Membership().Peers()) })
	return count
}

// ID returns the identifier of the instance.
func (i *Instance) ID() structs.InstanceID { return i.options.Info.ID }

// CheckServing returns an error that says why the instance accepts no work, or
// which shard of the cell has no owner that has loaded it. It returns nil if
// the instance accepts work and all shards have such an owner.
func (i *Instance) CheckServing() error {
	if err := i.checkReady(); err != nil {
		return err
	}
	err := errStopped(i.options.Info.ID)
	i.readState(func(_ structs.Timestamp, state *core.State) { err = state.CheckServing() })
	return err
}
