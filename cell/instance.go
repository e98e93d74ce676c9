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
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// Options configures an Instance.
type Options struct {
	ID          structs.InstanceID
	PeerAddress string  // listener for other instances, as they reach it
	Share       float64 // of a processor, in cores

	Callers net.Listener
	Ready   net.Listener
	Peers   net.Listener
	Metrics net.Listener

	Store    tablestore.Store
	Workers  WorkerOrders
	Advisor  AdvisorClient
	Formats  Formats
	Names    Names
	Policy   dispatch.Policy
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// StopGrace is the time between the order to stop and the kill.
	StopGrace time.Duration
	Logger    hclog.Logger
}

// Instance is one instance of a cell.
type Instance struct {
	options Options
	log     hclog.Logger
	clock   *clock
	process uint64
	metrics *instruments
	store   tablestore.Store // directly or by way of a peer
	node    *peer.Transport
	calls   *callTable
	config  configHolder
	group   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	draining atomic.Bool
	stepAway chan struct{} // closed when the instance must not lead any more
	away     sync.Once

	mu       sync.Mutex
	leader   *leader            // set while this instance leads
	remote   structs.InstanceID // the leader, if another instance leads
	epoch    structs.Epoch      // of the leader
	changed  chan struct{}      // closed at the next change of the leader
	follower chan structs.Event // events for the election loop
}

// peerTable holds the peers' addresses.
const peerTable = "mangodrum_instances"

// Part is the part of the store that holds the cell's rows, so that they can
// change in one transaction.
const Part = "cell"

const leaderKey = "leader" // in dispatch.CellTable

// New returns an instance that is not running yet.
func New(options Options) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options: options, log: options.Logger, clock: newClock(), process: rand.Uint64(), calls: newCallTable(),
		ctx: ctx, cancel: cancel, stepAway: make(chan struct{}), changed: make(chan struct{}),
		follower: make(chan structs.Event, 64), metrics: newInstruments(),
	}
	i.store = &assistedStore{
		instance: i, direct: options.Store, resting: map[structs.InstanceID]time.Time{},
		calls: way{use: "calls"}, feeds: way{use: "feeds"},
	}
	i.node = peer.New(peer.Options{Self: options.ID, Logger: options.Logger, OnMessage: i.receive, OnDisconnect: i.disconnected, Dial: options.DialPeer})
	return i
}

// Run serves until ctx ends, then drains and returns.
func (i *Instance) Run(ctx context.Context) error {
	callers := i.callersServer()
	servers := []struct {
		server   *fasthttp.Server
		listener net.Listener
	}{
		{callers, i.options.Callers},
		{&fasthttp.Server{Handler: i.serveReady, Name: "mangodrum"}, i.options.Ready},
		{&fasthttp.Server{Handler: i.serveMetrics, Name: "mangodrum"}, i.options.Metrics},
	}
	for _, s := range servers {
		i.group.Go(func() { i.serve(s.server, s.listener) })
	}
	i.group.Go(func() {
		if err := i.node.Serve(i.options.Peers); err != nil && i.ctx.Err() == nil {
			i.log.Error("peers' listener ended", "error", err)
		}
	})
	i.group.Go(i.followConfig)
	i.group.Go(i.register)
	i.group.Go(i.elect)
	i.log.Info("start", "peer_address", i.options.PeerAddress, "process", i.process)
	<-ctx.Done()
	i.drain(callers)
	i.cancel()
	i.node.Close()
	for _, s := range servers[1:] {
		_ = s.server.Shutdown() // nothing but probes and scrapes is served there
	}
	i.log.Info("stop")
	return nil
}

func (i *Instance) serve(server *fasthttp.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && i.ctx.Err() == nil && !i.draining.Load() {
		i.log.Error("listener ended", "address", listener.Addr().String(), "error", err)
	}
}

const (
	// rotationTime is how long the load balancer takes to stop new connections
	// once the instance is not ready: two probes, a second apart.
	rotationTime = 2500 * time.Millisecond
	// stopMargin is left of the grace time for closing listeners.
	stopMargin = 700 * time.Millisecond
)

// drain hands the leadership over, waits until the load balancer has taken
// the instance out of rotation, and ends when no request is left.
func (i *Instance) drain(callers *fasthttp.Server) {
	i.log.Info("drain", "grace", i.options.StopGrace.String())
	deadline := time.Now().Add(i.options.StopGrace - stopMargin)
	i.draining.Store(true)
	i.away.Do(func() { close(i.stepAway) })
	sleep(i.ctx, min(rotationTime, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		i.log.Warn("requests were cut at the end of the grace time", "error", err)
	}
}

// instanceRow is what an instance tells future leaders.
type instanceRow struct {
	Address string  `cbor:"1,keyasint"` // for peers
	Share   float64 `cbor:"2,keyasint"` // of a processor, in cores
}

// register writes the instance's address where leaders find it.
func (i *Instance) register() {
	value, err := cbor.Marshal(instanceRow{i.options.PeerAddress, i.options.Share})
	if err != nil {
		i.log.Error("encode the peer address", "error", err)
		return
	}
	tx := tablestore.Tx{Part: Part, Puts: []tablestore.Put{{Table: peerTable, Key: string(i.options.ID), Value: value}}}
	const retry, timeout = 500 * time.Millisecond, 2 * time.Second
	for i.ctx.Err() == nil {
		if _, err = i.store.Commit(tx, timeout); err == nil {
			i.log.Info("registered", "address", i.options.PeerAddress)
			return
		}
		sleep(i.ctx, retry)
	}
}

// current returns the leader as this instance knows it, and a channel that is
// closed when that changes.
func (i *Instance) current() (*leader, structs.InstanceID, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leader, i.remote, i.changed
}

// setLeader records who leads. It ignores leaders of earlier epochs.
func (i *Instance) setLeader(local *leader, remote structs.InstanceID, epoch structs.Epoch) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if epoch < i.epoch || (epoch == i.epoch && i.leader == local && i.remote == remote) {
		return epoch >= i.epoch
	}
	i.leader, i.remote, i.epoch = local, remote, epoch
	close(i.changed)
	i.changed = make(chan struct{})
	i.log.Info("leader", "instance", remote, "local", local != nil, "epoch", epoch)
	return true
}

// elect runs the election until the instance leads, leads until it is
// deposed, and starts again.
func (i *Instance) elect() {
	for i.ctx.Err() == nil {
		claim, row := i.follow()
		if claim == nil {
			return
		}
		i.lead(*claim, row)
	}
}

// electionTick is the resolution of the election's timeouts.
const electionTick = 50 * time.Millisecond

// follow runs the election and returns the successful claim, or nil when the
// instance stops.
func (i *Instance) follow() (*leadership.Claim, claimed) {
	follower := leadership.NewFollower(i.options.ID, i.process, i.options.Share, i.clock.Now())
	ticker := time.NewTicker(electionTick)
	defer ticker.Stop()
	for {
		var event structs.Event
		select {
		case <-i.ctx.Done():
			return nil, claimed{}
		case <-i.stepAway:
			i.drainFollower()
			return nil, claimed{}
		case event = <-i.follower:
		case <-ticker.C:
			i.noteSuspension(i.clock.Adjust())
			event = leadership.Tick{}
		}
		for _, effect := range follower.Reduce(i.clock.Now(), event) {
			switch e := effect.(type) {
			case leadership.ReadRow:
				i.group.Go(i.readRow)
			case leadership.Claim:
				if row, ok := i.claim(e); ok {
					return &e, row
				}
				follower.Reduce(i.clock.Now(), leadership.ClaimFailed{})
			}
		}
	}
}

// drainFollower keeps the election's events from blocking their senders while
// the instance drains.
func (i *Instance) drainFollower() {
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-i.follower:
		}
	}
}

func (i *Instance) noteSuspension(gap time.Duration) {
	if gap > 0 {
		i.log.Warn("the instance was suspended", "for", gap.String())
	}
}

// storeTimeout bounds a call to the store: a transaction and two ways of
// 30 ms, at an answer time ten times the usual.
const storeTimeout = 800 * time.Millisecond

// leaderRow selects the leadership row.
func leaderRow() tablestore.Range {
	return tablestore.Range{Table: dispatch.CellTable, Part: Part, From: leaderKey, To: leaderKey + "\x00"}
}

func (i *Instance) readRow() {
	started := time.Now()
	page, err := i.options.Store.Scan(leaderRow(), storeTimeout)
	result := leadership.RowRead{RoundTrip: time.Since(started), Failed: err != nil, StoreTime: structs.Timestamp(page.StoreTime)}
	if err == nil && len(page.Rows) > 0 {
		result.Version = page.Rows[0].Version
		if err := cbor.Unmarshal(page.Rows[0].Value, &result.Row); err != nil {
			i.log.Error("decode the leader row", "error", err)
			result.Failed = true
		}
	}
	i.tell(result)
}

// tell passes an event to the election.
func (i *Instance) tell(event structs.Event) {
	select {
	case i.follower <- event:
	case <-i.ctx.Done():
	}
}

// claimed is a leadership row that this instance has written.
type claimed struct {
	row     leadership.Row
	version uint64
	store   time.Duration // the store's clock
	at      structs.Timestamp
}

// claim writes the leadership row. After a lost answer it reads the row back.
func (i *Instance) claim(e leadership.Claim) (claimed, bool) {
	row := leadership.Row{
		Epoch: e.Epoch, Owner: i.options.ID, Process: i.process, Address: i.options.PeerAddress, CommittedAt: e.StoreTime,
	}
	value, err := cbor.Marshal(row)
	if err != nil {
		i.log.Error("encode the leader row", "error", err)
		return claimed{}, false
	}
	tx := tablestore.Tx{
		Part:       Part,
		Conditions: []tablestore.Condition{{Table: dispatch.CellTable, Key: leaderKey, Version: e.Version}},
		Puts:       []tablestore.Put{{Table: dispatch.CellTable, Key: leaderKey, Value: value}},
	}
	sentAt := i.clock.Now()
	page, err := i.options.Store.Commit(tx, claimTimeout)
	i.log.Info("claim", "epoch", e.Epoch, "reason", e.Reason, "previous", e.Previous.Owner, "version", e.Version, "error", errText(err))
	if err == nil {
		return claimed{row, page.Version, page.StoreTime, i.clock.Now()}, true
	}
	if errs.Is(err, errs.Conflict) {
		if own, ok := ownRow(page.Rows, row); ok {
			return claimed{row, own, page.StoreTime, sentAt}, true
		}
	}
	if errs.Is(err, errs.OutcomeUnknown) {
		return i.readClaim(row)
	}
	return claimed{}, false
}

// readClaim finds out whether a claim without an answer took effect.
func (i *Instance) readClaim(want leadership.Row) (claimed, bool) {
	for range claimReads {
		sentAt := i.clock.Now()
		page, err := i.options.Store.Scan(leaderRow(), storeTimeout)
		if err != nil {
			sleep(i.ctx, claimReadPause)
			continue
		}
		version, own := ownRow(page.Rows, want)
		return claimed{want, version, page.StoreTime, sentAt}, own
	}
	return claimed{}, false
}

const (
	// claimTimeout bounds a claim: twice what a transaction takes while the
	// store is 70 times as slow as usual.
	claimTimeout = 1200 * time.Millisecond
	// claimReads is how often the row is read after a claim without an answer;
	// the election goes on after that.
	claimReads     = 2
	claimReadPause = 100 * time.Millisecond
)

// ownRow returns the version of the leadership row if it is the given one.
func ownRow(rows []tablestore.Row, want leadership.Row) (uint64, bool) {
	for _, r := range rows {
		var row leadership.Row
		if r.Key == leaderKey && cbor.Unmarshal(r.Value, &row) == nil && row == want {
			return r.Version, true
		}
	}
	return 0, false
}

func errText(err error) string {
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

// configHolder holds the newest configuration that the instance has seen.
type configHolder struct {
	table atomic.Pointer[routing.Table]
	mu    sync.Mutex
	raw   []byte
}

func (h *configHolder) version() uint64 {
	if t := h.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

func (h *configHolder) value() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.raw
}

// apply takes a configuration over unless a newer one is in force.
func (i *Instance) apply(value []byte, source string) {
	table, err := i.options.Formats.Config(value)
	if err != nil {
		i.log.Error("the configuration was refused", "error", err)
		return
	}
	i.config.mu.Lock()
	defer i.config.mu.Unlock()
	if table.Version <= i.config.version() && i.config.table.Load() != nil {
		return
	}
	i.config.raw = value
	i.config.table.Store(table)
	i.log.Info("configuration", "version", table.Version, "routes", len(table.Routes), "source", source)
}

// followConfig follows the operators' configuration.
func (i *Instance) followConfig() {
	f := feed{instance: i, table: i.options.Names.ConfigTable, pause: 0, apply: func(row tablestore.Row) {
		if row.Key == i.options.Names.ConfigKey && !row.Deleted {
			i.apply(row.Value, "store")
		}
	}}
	f.run(i.ctx)
}

func (i *Instance) serveReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != i.options.Names.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	local, remote, _ := i.current()
	if i.draining.Load() || i.config.table.Load() == nil || (local == nil && remote == "") {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (i *Instance) serveMetrics(ctx *fasthttp.RequestCtx) {
	i.metrics.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// instruments are the metrics of an instance.
type instruments struct{ set *metrics.Set }

func newInstruments() *instruments { return &instruments{metrics.NewSet()} }

func (m *instruments) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mangodrum_cell_%s_total{%s=%q}", name, label, value)).Inc()
}

func (m *instruments) observe(name, label, value string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("mangodrum_cell_%s_seconds{%s=%q}", name, label, value)).Update(d.Seconds())
}
