package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/journal"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/platform/standin"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	epochStart  = structs.Timestamp(1_000_000 * time.Second)
	callTimeout = 2 * time.Second
	horizon     = 20 * time.Second // shorter than in production, so that schedules cross it
)

// sim is a discrete-event simulation of instances, store, workers and network.
type sim struct {
	standin.Clock
	opts    options
	rng     *rand.Rand
	steps   int // events delivered to reducers
	active  [kinds]int
	store   *standin.Store
	nodes   []*node
	workers []*simWorker
	shards  []ownership.Shard
	epochs  map[structs.ShardID]uint64
	holders map[string]string // shard and epoch to process
	durable map[platform.AttemptRef]bool
	clients clients
	broken  string // first violation
}

// options break mechanisms on purpose.
type options struct {
	ownership   ownership.Defects
	journal     journal.Defects
	skipHorizon bool // the new owner does not wait for the previous horizon
	// cancellations adds the check that acknowledged cancellations are durable.
	cancellations bool
}

func newSim(seed uint64, instances, shards, workers int, opts options) *sim {
	s := &sim{
		Clock: standin.Clock{Now: epochStart}, opts: opts, rng: rand.New(rand.NewPCG(seed, 2)),
		store: standin.NewStore(), epochs: map[structs.ShardID]uint64{}, holders: map[string]string{},
		durable: map[platform.AttemptRef]bool{}, clients: newClients(),
	}
	for i := range shards {
		s.shards = append(s.shards, ownership.Shard{ID: structs.ShardID("s" + strconv.Itoa(i)), Region: "r"})
	}
	for i := range workers {
		s.addWorker(i)
	}
	for i := range instances {
		info := structs.InstanceInfo{
			ID: structs.InstanceID("i" + strconv.Itoa(i)), PeerAddress: "x", State: structs.Live,
			Location: structs.Location{Region: "r"},
		}
		s.nodes = append(s.nodes, &node{sim: s, info: info, skew: s.skew()})
	}
	for _, n := range s.nodes {
		n.boot()
	}
	return s
}

// skew returns a clock's offset; any two differ by at most the clock bound.
func (s *sim) skew() time.Duration { return s.random(platform.ClockBound) - platform.ClockBound/2 }

// runUntil processes events up to the end or the first violation.
func (s *sim) runUntil(end structs.Timestamp) {
	for s.broken == "" && s.Step(end) {
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %v: ", s.Now.Sub(epochStart)) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) coin(k kind) bool { return s.active[k] > 0 && s.rng.IntN(2) == 0 }

// message carries run over the network.
func (s *sim) message(run func()) {
	if s.coin(messagesLost) {
		return
	}
	delay := time.Millisecond + s.random(20*time.Millisecond)
	if s.coin(messagesDelayed) {
		delay += s.random(8 * time.Second)
	}
	if s.active[messagesReordered] > 0 {
		delay += s.random(400 * time.Millisecond)
	}
	s.After(delay, run)
	if s.coin(messagesDoubled) {
		s.After(delay+s.random(3*time.Second), run)
	}
}

// call carries out exec at the store and its answer at n, or the answer that
// failed returns for an error kind. A call that timed out may take effect later.
func (s *sim) call(n *node, exec func(context.Context) structs.Event, failed func(errs.Kind) structs.Event, done func(structs.Event)) {
	gen := n.gen
	reply := func(d time.Duration, ev structs.Event) {
		s.After(d, func() { s.deliver(n, gen, func() { done(ev) }) })
	}
	request := time.Millisecond + s.random(5*time.Millisecond)
	if s.active[storeSlow] > 0 {
		request += s.random(4 * time.Second)
	}
	if s.active[storeDown] > 0 {
		if s.rng.IntN(2) == 0 {
			reply(request, failed(errs.NotRun))
			return
		}
		reply(callTimeout, failed(errs.OutcomeUnknown))
		return
	}
	lost := s.coin(repliesLost) || request >= callTimeout
	s.After(request, func() {
		ev := exec(context.Background())
		if _, wrote := ev.(ownership.WriteEnded); wrote {
			s.checkStore()
		}
		if !lost {
			reply(time.Millisecond+s.random(5*time.Millisecond), ev)
		}
	})
	if lost {
		reply(callTimeout, failed(errs.OutcomeUnknown))
	}
}

// deliver runs one step of a process, or keeps it until its pause is over.
func (s *sim) deliver(n *node, gen uint64, run func()) {
	if !n.up || n.gen != gen || s.broken != "" {
		return
	}
	if s.Now < n.pausedUntil {
		s.After(n.pausedUntil.Sub(s.Now), func() { s.deliver(n, gen, run) })
		return
	}
	s.steps++
	run()
	s.checkOwners()
}

// checkOwners fails if two processes believe to own a shard at once.
func (s *sim) checkOwners() {
	for _, shard := range s.shards {
		var owner *node
		for _, n := range s.nodes {
			if !n.up || n.own.Standing(n.clock(), shard.ID) != ownership.Owner {
				continue
			}
			if owner != nil {
				s.fail("%s and %s own shard %s at once", owner.name(), n.name(), shard.ID)
			}
			owner = n
		}
	}
}

// checkStore fails if an epoch goes back or jumps, or if the rows disagree.
func (s *sim) checkStore() {
	for _, shard := range s.shards {
		row, err := s.store.Get(context.Background(), ownership.EpochKey(shard.ID))
		if err != nil {
			continue
		}
		if row.Version < s.epochs[shard.ID] {
			s.fail("epoch of %s goes back from %d to %d", shard.ID, s.epochs[shard.ID], row.Version)
		}
		s.epochs[shard.ID] = row.Version
		stored, err := s.store.Get(context.Background(), ownership.RowKey(shard.ID))
		if err != nil {
			s.fail("shard row of %s: %v", shard.ID, err)
			return
		}
		value, err := ownership.DecodeRow(stored.Value)
		if err != nil || uint64(value.Epoch) != row.Version {
			s.fail("shard row of %s has epoch %d, epoch row %d (%v)", shard.ID, value.Epoch, row.Version, err)
		}
		s.hold(shard.ID, value.Epoch, processName(value.Owner, value.Incarnation))
	}
}

// hold fails if two processes own one epoch of a shard.
func (s *sim) hold(shard structs.ShardID, epoch structs.Epoch, process string) {
	key := string(shard) + "@" + strconv.FormatUint(uint64(epoch), 10)
	if other := s.holders[key]; other != "" && other != process {
		s.fail("%s and %s own epoch %d of %s", other, process, epoch, shard)
	}
	s.holders[key] = process
}

// node is one instance; gen numbers its processes.
type node struct {
	sim         *sim
	info        structs.InstanceInfo
	skew        time.Duration
	up          bool
	gen         uint64
	pausedUntil structs.Timestamp
	mem         *membership.State
	own         *ownership.State
	runs        map[structs.ShardID]*shardRun
}

func (n *node) clock() structs.Timestamp { return n.sim.Now.Add(n.skew) }
func (n *node) name() string             { return processName(n.info.ID, n.gen) }

func processName(id structs.InstanceID, incarnation uint64) string {
	return string(id) + "#" + strconv.FormatUint(incarnation, 10)
}

func (n *node) boot() {
	n.up = true
	n.gen++
	n.pausedUntil = 0
	n.runs = map[structs.ShardID]*shardRun{}
	n.mem = membership.New(membership.Config{Self: n.info, Incarnation: n.gen})
	n.own = ownership.New(ownership.Config{
		Self: n.info, Incarnation: n.gen, Shards: n.sim.shards,
		Horizon: horizon, HorizonStep: 5 * time.Second, Defects: n.sim.opts.ownership,
	})
	gen := n.gen
	n.sim.After(1500*time.Millisecond, func() { n.sim.deliver(n, gen, n.announce) })
	n.every(time.Second, n.heartbeat)
	n.every(250*time.Millisecond, n.tick)
	n.every(journal.FlushInterval, n.flush)
	n.every(100*time.Millisecond, n.drive)
	n.every(time.Second, n.listWorkers)
}

// every runs step at an interval as long as the process lives.
func (n *node) every(d time.Duration, step func()) {
	gen := n.gen
	var again func()
	again = func() {
		step()
		n.sim.After(d, func() { n.sim.deliver(n, gen, again) })
	}
	n.sim.After(n.sim.random(d), func() { n.sim.deliver(n, gen, again) })
}

func (n *node) heartbeat() {
	beat := membership.HeartbeatReceived{From: n.info.ID, Incarnation: n.gen, At: n.clock(), Info: &n.info}
	for _, peer := range n.sim.nodes {
		if peer == n {
			continue
		}
		n.sim.message(func() {
			n.sim.deliver(peer, peer.gen, func() { peer.member(beat) })
		})
	}
}

func (n *node) member(ev structs.Event) {
	if len(n.mem.Reduce(n.clock(), ev)) > 0 {
		n.announce()
	}
}

func (n *node) announce() { n.owner(ownership.LiveChanged{Instances: n.mem.Live()}) }

func (n *node) tick() {
	n.member(membership.Tick{})
	n.owner(ownership.Tick{})
}

func (n *node) owner(ev structs.Event) {
	for _, effect := range n.own.Reduce(n.clock(), ev) {
		switch e := effect.(type) {
		case ownership.Acquired:
			n.sim.hold(e.Shard, e.Epoch, n.name())
			n.acquire(e)
		case ownership.Lost:
			delete(n.runs, e.Shard)
		case ownership.HorizonExtended:
			if r := n.runs[e.Shard]; r != nil {
				r.until = e.Until
				r.reduce(scheduler.HorizonExtended{Until: e.Until})
			}
		default:
			n.sim.call(n, func(ctx context.Context) structs.Event {
				ev, _ := ownership.Execute(ctx, n.sim.store, effect)
				return ev
			}, failedOwnership(effect), n.owner)
		}
	}
}

func failedOwnership(effect structs.Effect) func(errs.Kind) structs.Event {
	return func(kind errs.Kind) structs.Event {
		if e, ok := effect.(ownership.ReadRow); ok {
			return ownership.RowRead{Shard: e.Shard, ErrKind: kind}
		}
		return ownership.WriteEnded{Shard: effect.(ownership.WriteRow).Shard, ErrKind: kind}
	}
}
