package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// Options configures an Instance.
type Options struct {
	ID             structs.InstanceID
	PeerAddress    string  // address at which other instances reach PeerListener
	ProcessorShare float64 // processor share in cores

	CallerListener    net.Listener
	ReadinessListener net.Listener
	PeerListener      net.Listener
	MetricsListener   net.Listener

	Store         tablestore.Store
	Workers       WorkerClient
	Advisor       AdvisorClient
	Codec         Codec
	PlatformNames PlatformNames
	Policy        dispatch.Policy
	DialPeer      func(ctx context.Context, network, address string) (net.Conn, error)
	Limits        Limits // of the process
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	Logger    hclog.Logger
}

// Instance is one instance of a cell.
type Instance struct {
	options      Options
	log          hclog.Logger
	clock        *clock
	process      uint64 // random, differs between processes with the same identifier
	metrics      *metricSet
	store        tablestore.Store // makes calls directly or through a peer
	transport    *peer.Transport
	pendingCalls *callRegistry
	servedCalls  servedCalls
	config       currentConfig
	group        conc.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc

	requests     atomic.Uint64 // number of callers' requests so far
	draining     atomic.Bool
	callersEnded atomic.Bool   // the callers' listener has failed for good
	longDecodes  sync.Mutex    // held while a long body is decoded
	stepDown     chan struct{} // closed when the instance must not lead anymore
	stepDownOnce sync.Once

	mu             sync.Mutex
	leader         *leader            // nil unless this instance leads
	remoteLeader   structs.InstanceID // the leader if another instance leads
	epoch          structs.Epoch      // of the leader
	leaderChanged  chan struct{}      // closed when the leader changes
	electionEvents chan structs.Event // events for the election loop
}

// peerTable holds the addresses and processor shares of the instances.
const peerTable = "mangodrum_instances"

// StorePart is the part of the store that holds all rows of the cell, so that one
// transaction can change them.
const StorePart = "cell"

const leadershipKey = "leader" // key of the leadership row in dispatch.CellTable

// New returns an instance that is not running yet.
func New(options Options) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options: options, log: options.Logger, clock: newClock(), process: rand.Uint64(), pendingCalls: newCallRegistry(),
		servedCalls: servedCalls{maxJobBytes: options.Limits.withDefaults().callMemory(), maxOther: maxOtherCalls},
		ctx:         ctx, cancel: cancel, stepDown: make(chan struct{}), leaderChanged: make(chan struct{}),
		electionEvents: make(chan structs.Event, 64), metrics: newMetricSet(),
	}
	i.store = &relayingStore{
		instance: i, direct: options.Store, relayRetryAt: map[structs.InstanceID]time.Time{},
		callPath: storePath{purpose: "calls"}, feedPath: storePath{purpose: "feeds"},
	}
	i.transport = peer.New(peer.Options{Self: options.ID, Logger: options.Logger, OnMessage: func(m peer.Message) { i.contain("peer message", func() { i.receive(m) }) }, OnDisconnect: i.disconnected, Dial: options.DialPeer, MaxMessageBytes: maxMessageBytes, MaxQueuedBytes: options.Limits.withDefaults().queueMemory()})
	return i
}

// Run serves until ctx ends, then drains and returns.
func (i *Instance) Run(ctx context.Context) error {
	limits := i.options.Limits.withDefaults()
	callers := i.newCallerServer()
	auxiliary := []*fasthttp.Server{
		newAuxiliaryServer(i.handler("readiness", i.serveReady)), newAuxiliaryServer(i.handler("metrics", i.serveMetrics)),
	}
	i.serveHTTP("callers", callers, i.options.CallerListener, limits.callers(), &i.callersEnded)
	i.serveHTTP("readiness", auxiliary[0], i.options.ReadinessListener, limits.auxiliary(), nil)
	i.serveHTTP("metrics", auxiliary[1], i.options.MetricsListener, limits.auxiliary(), nil)
	i.spawn("peer listener", func() {
		if err := i.transport.Serve(i.boundListener("peers", i.options.PeerListener, limits.peers())); err != nil && i.ctx.Err() == nil {
			i.log.Error("peer listener failed", "error", err)
		}
	})
	i.spawn("follow the configuration", i.followConfig)
	i.spawn("register", i.register)
	i.spawn("elect", i.elect)
	i.log.Info("start", "peer_address", i.options.PeerAddress, "process", i.process)
	<-ctx.Done()
	i.drain(callers)
	i.cancel()
	i.transport.Close()
	for _, s := range auxiliary {
		_ = s.Shutdown() // these serve only probes and scrapes
	}
	i.log.Info("stop")
	return nil
}

// serveHTTP serves the bounded connections of a listener. It sets ended, if not nil, when the
// listener fails.
func (i *Instance) serveHTTP(name string, server *fasthttp.Server, listener net.Listener, limits inbound.Limits, ended *atomic.Bool) {
	bounded := i.boundListener(name, listener, limits)
	i.spawn("listener", func() {
		if err := server.Serve(bounded); err != nil && i.ctx.Err() == nil && !i.draining.Load() {
			if ended != nil {
				ended.Store(true)
			}
			i.log.Error("listener failed", "listener", name, "address", listener.Addr().String(), "error", err)
		}
	})
}

const (
	// rotationDelay is how long the load balancer may send new connections after
	// the instance has stopped being ready: two probes, one second apart.
	rotationDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is kept for closing
	// listeners.
	stopMargin = 700 * time.Millisecond
)

// drain starts the release of the leadership, waits until the load balancer has
// taken the instance out of rotation, and returns when no request is open or the
// grace period ends.
func (i *Instance) drain(callers *fasthttp.Server) {
	i.log.Info("drain", "grace", i.options.StopGrace.String())
	deadline := time.Now().Add(i.options.StopGrace - stopMargin)
	i.draining.Store(true)
	i.stepDownOnce.Do(func() { close(i.stepDown) })
	sleep(i.ctx, min(rotationDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		i.log.Warn("open requests were cut off at the end of the grace period", "error", err)
	}
}

// instanceRow is an instance's entry in peerTable.
type instanceRow struct {
	Address        string  `cbor:"1,keyasint"` // for peers
	ProcessorShare float64 `cbor:"2,keyasint"` // processor share in cores
	// MaxJobMemory is the memory, in bytes, that the instance has for jobs when it leads; 0
	// from one that does not say.
	MaxJobMemory int64 `cbor:"3,keyasint,omitempty"`
}

// register writes the instance's row to peerTable, where the leader finds it.
func (i *Instance) register() {
	value, err := cbor.Marshal(instanceRow{i.options.PeerAddress, i.options.ProcessorShare, i.options.Limits.withDefaults().JobMemory()})
	if err != nil {
		i.log.Error("failed to encode the instance row", "error", err)
		return
	}
	tx := tablestore.Tx{Part: StorePart, Puts: []tablestore.Put{{Table: peerTable, Key: string(i.options.ID), Value: value}}}
	const retry, timeout = 500 * time.Millisecond, 2 * time.Second
	for i.ctx.Err() == nil {
		_, err = i.store.Commit(tx, timeout)
		switch {
		case err == nil:
			i.log.Info("registered", "address", i.options.PeerAddress)
			return
		case errs.Is(err, errs.InvalidInput): // each copy would be rejected
			i.log.Error("the store rejects the instance row; the leader cannot find this instance", "error", err)
			return
		}
		sleep(i.ctx, retry)
	}
}

// currentLeader returns the leader as known to this instance, either local or by
// identifier, and a channel that is closed when it changes.
func (i *Instance) currentLeader() (*leader, structs.InstanceID, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leader, i.remoteLeader, i.leaderChanged
}

// setLeader records the leader. It ignores a leader of an earlier epoch and
// returns false for it.
func (i *Instance) setLeader(local *leader, remote structs.InstanceID, epoch structs.Epoch) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if epoch < i.epoch || (epoch == i.epoch && i.leader == local && i.remoteLeader == remote) {
		return epoch >= i.epoch
	}
	i.leader, i.remoteLeader, i.epoch = local, remote, epoch
	close(i.leaderChanged)
	i.leaderChanged = make(chan struct{})
	i.log.Info("leader", "instance", remote, "local", local != nil, "epoch", epoch)
	return true
}

// elect alternates between following until this instance wins an election and
// leading until it loses the leadership.
func (i *Instance) elect() {
	for i.ctx.Err() == nil {
		var claim *leadership.Claim
		var row claimedRow
		if !i.contain("election", func() { claim, row = i.follow() }) {
			continue
		}
		if claim == nil {
			return
		}
		i.contain("leadership", func() { i.lead(*claim, row) })
	}
}

// electionTickInterval is the resolution of the election's timeouts.
const electionTickInterval = 50 * time.Millisecond

// follow runs the election protocol and returns the successful claim, or nil
// when the instance stops.
func (i *Instance) follow() (*leadership.Claim, claimedRow) {
	follower := leadership.NewFollower(i.options.ID, i.process, i.options.ProcessorShare, i.clock.Now())
	ticker := time.NewTicker(electionTickInterval)
	defer ticker.Stop()
	for {
		var event structs.Event
		select {
		case <-i.ctx.Done():
			return nil, claimedRow{}
		case <-i.stepDown:
			i.discardElectionEvents()
			return nil, claimedRow{}
		case event = <-i.electionEvents:
		case <-ticker.C:
			i.logSuspension(i.clock.Adjust())
			event = leadership.Tick{}
		}
		for _, effect := range follower.Reduce(i.clock.Now(), event) {
			switch e := effect.(type) {
			case leadership.ReadRow:
				i.spawn("read the leadership row", i.readRow)
			case leadership.Claim:
				if row, ok := i.claim(e); ok {
					return &e, row
				}
				follower.Reduce(i.clock.Now(), leadership.ClaimFailed{})
			}
		}
	}
}

// discardElectionEvents discards events so that their senders do not block while
// the instance drains.
func (i *Instance) discardElectionEvents() {
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-i.electionEvents:
		}
	}
}

func (i *Instance) logSuspension(gap time.Duration) {
	if gap > 0 {
		i.log.Warn("the instance was suspended", "for", gap.String())
	}
}

// storeTimeout bounds a call to the store. It allows for a transaction that
// takes ten times the usual time, and for 30 ms in each direction.
const storeTimeout = 800 * time.Millisecond

// leadershipRowRange selects the leadership row.
func leadershipRowRange() tablestore.Range {
	return tablestore.Range{Table: dispatch.CellTable, Part: StorePart, From: leadershipKey, To: leadershipKey + "\x00"}
}

// readRow reads the leadership row and passes the result to the election.
func (i *Instance) readRow() {
	started := time.Now()
	page, err := i.options.Store.Scan(leadershipRowRange(), storeTimeout)
	result := leadership.RowRead{RoundTrip: time.Since(started), Failed: err != nil, StoreTime: structs.Timestamp(page.StoreTime)}
	if err == nil && len(page.Rows) > 0 {
		result.Version = page.Rows[0].Version
		if err := cbor.Unmarshal(page.Rows[0].Value, &result.Row); err != nil {
			i.log.Error("failed to decode the leadership row", "error", err)
			result.Failed = true
		}
	}
	i.postElectionEvent(result)
}

// postElectionEvent passes an event to the election.
func (i *Instance) postElectionEvent(event structs.Event) {
	select {
	case i.electionEvents <- event:
	case <-i.ctx.Done():
	}
}

// claimedRow is a leadership row that this instance has written.
type claimedRow struct {
	row       leadership.Row
	version   uint64
	storeTime time.Duration // the store's clock in the answer that showed that the row is written
	// sentAt and receivedAt are on the instance's clock: when the call with that
	// answer was sent, and when it was answered.
	sentAt, receivedAt structs.Timestamp
}

// confirmedAt returns a time on the clock of the new leader, see leader.now, that is not
// later than the time in the row, from which the next leader counts the leases of this
// one. The leader's clock may be behind the store's by the duration of the call and the
// rounding of the store's time.
func (c *claimedRow) confirmedAt() structs.Timestamp {
	return c.row.CommittedAt - (c.receivedAt - c.sentAt) - storeTimeUnit
}

// claim writes the leadership row. If the outcome is unknown, it reads the row
// back.
func (i *Instance) claim(e leadership.Claim) (claimedRow, bool) {
	row := leadership.Row{
		Epoch: e.Epoch, Owner: i.options.ID, Process: i.process, Address: i.options.PeerAddress, CommittedAt: e.StoreTime,
	}
	value, err := cbor.Marshal(row)
	if err != nil {
		i.log.Error("failed to encode the leadership row", "error", err)
		return claimedRow{}, false
	}
	tx := tablestore.Tx{
		Part:       StorePart,
		Conditions: []tablestore.Condition{{Table: dispatch.CellTable, Key: leadershipKey, Version: e.Version}},
		Puts:       []tablestore.Put{{Table: dispatch.CellTable, Key: leadershipKey, Value: value}},
	}
	answer, err := i.timeStoreCall(func() (tablestore.Page, error) { return i.options.Store.Commit(tx, claimTimeout) })
	page := answer.page
	i.log.Info("claim", "epoch", e.Epoch, "reason", e.Reason, "previous", e.Previous.Owner, "version", e.Version, "error", errorText(err))
	if err == nil {
		return claimedRow{row, page.Version, page.StoreTime, answer.sentAt, answer.receivedAt}, true
	}
	if errs.Is(err, errs.Conflict) {
		if own, ok := findRowVersion(page.Rows, row); ok {
			return claimedRow{row, own, page.StoreTime, answer.sentAt, answer.receivedAt}, true
		}
	}
	if errs.Is(err, errs.OutcomeUnknown) {
		return i.readClaim(row)
	}
	return claimedRow{}, false
}

// readClaim reads the leadership row to find out whether a claim took effect.
func (i *Instance) readClaim(want leadership.Row) (claimedRow, bool) {
	for range maxClaimReads {
		answer, err := i.timeStoreCall(func() (tablestore.Page, error) { return i.options.Store.Scan(leadershipRowRange(), storeTimeout) })
		if err != nil {
			sleep(i.ctx, claimReadDelay)
			continue
		}
		version, own := findRowVersion(answer.page.Rows, want)
		return claimedRow{want, version, answer.page.StoreTime, answer.sentAt, answer.receivedAt}, own
	}
	return claimedRow{}, false
}

const (
	// claimTimeout is twice what a transaction takes while the store is 70 times
	// slower than usual.
	claimTimeout = 1200 * time.Millisecond
	// maxClaimReads limits the reads after a claim without an answer. The
	// election goes on after them.
	maxClaimReads  = 2
	claimReadDelay = 100 * time.Millisecond
)

// findRowVersion returns the version of the leadership row in rows and whether
// its content equals want.
func findRowVersion(rows []tablestore.Row, want leadership.Row) (uint64, bool) {
	for _, r := range rows {
		var row leadership.Row
		if r.Key == leadershipKey && cbor.Unmarshal(r.Value, &row) == nil && row == want {
			return r.Version, true
		}
	}
	return 0, false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// currentConfig holds the newest configuration known to the instance.
type currentConfig struct {
	current atomic.Pointer[routing.Config]
	mu      sync.Mutex
	raw     []byte // encoded form of current
}

func (c *currentConfig) version() uint64 {
	if t := c.current.Load(); t != nil {
		return t.Version
	}
	return 0
}

func (c *currentConfig) encodedValue() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
}

// applyConfig decodes a configuration and puts it into force if its version is
// newer than the one in force.
func (i *Instance) applyConfig(value []byte, source string) {
	config, err := i.options.Codec.DecodeConfig(value)
	if err != nil {
		i.log.Error("rejected an invalid configuration", "error", err)
		return
	}
	i.config.mu.Lock()
	defer i.config.mu.Unlock()
	if config.Version <= i.config.version() && i.config.current.Load() != nil {
		return
	}
	i.config.raw = value
	i.config.current.Store(config)
	i.log.Info("configuration", "version", config.Version, "routes", len(config.Routes), "source", source)
}

// followConfig applies changes of the operators' configuration.
func (i *Instance) followConfig() {
	f := feed{instance: i, table: i.options.PlatformNames.ConfigTable, interval: 0, onRow: func(row tablestore.Row) {
		if row.Key == i.options.PlatformNames.ConfigKey && !row.Deleted {
			i.applyConfig(row.Value, "store")
		}
	}}
	f.run(i.ctx)
}

// serveReady answers the load balancer's probe.
func (i *Instance) serveReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != i.options.PlatformNames.ReadinessPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	local, remote, _ := i.currentLeader()
	if i.draining.Load() || i.callersEnded.Load() || i.config.current.Load() == nil || (local == nil && remote == "") {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (i *Instance) serveMetrics(ctx *fasthttp.RequestCtx) {
	i.metrics.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// metricSet holds the metrics of an instance.
type metricSet struct{ set *metrics.Set }

func newMetricSet() *metricSet { return &metricSet{metrics.NewSet()} }

func (m *metricSet) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mangodrum_cell_%s_total{%s=%q}", name, label, value)).Inc()
}

func (m *metricSet) observe(name, label, value string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("mangodrum_cell_%s_seconds{%s=%q}", name, label, value)).Update(d.Seconds())
}
