package router_test

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// simOwner is one ownership of a region's shard. An owner that lost the shard
// continues to run, so that the tests include the messages that it still sends.
type simOwner struct {
	sim              *routerSim
	region           structs.Region
	ledger           *credits.Ledger
	epoch            structs.Epoch
	paused           bool
	tableUnreachable bool // the ownership is not renewed
	lost             bool
	skew             time.Duration
	backlog          []func()
	expiry           structs.Timestamp
	horizon          structs.Timestamp
}

// Times of the ownership row, and a short lease horizon.
const (
	rowExpiry = 6 * time.Second
	horizon   = 30 * time.Second
)

// newOwner starts the ownership that follows previous, which may be nil.
func (s *routerSim) newOwner(region structs.Region, previous *simOwner, unconfirmed []structs.InstanceID, skew time.Duration) *simOwner {
	o := &simOwner{sim: s, region: region, epoch: 1, skew: skew}
	cfg := credits.Config{Region: region, Unconfirmed: unconfirmed}
	if previous != nil {
		previous.lost = true
		o.epoch = previous.epoch + 1
		cfg.PreviousHorizon = previous.horizon
	}
	o.expiry, o.horizon = o.now().Add(rowExpiry), max(cfg.PreviousHorizon, o.now().Add(horizon))
	cfg.Epoch, cfg.Expiry, cfg.Horizon = o.epoch, o.expiry, o.horizon
	o.ledger = credits.New(cfg)
	o.ledger.Reduce(o.now(), &credits.ExecutorsListed{Executors: s.infos()})
	s.after(0, o.renew)
	return o
}

func (o *simOwner) now() structs.Timestamp { return o.sim.now.Add(o.skew) }

// renew renews the ownership regularly while the owner runs and reaches the table
// service.
func (o *simOwner) renew() {
	if o.lost {
		return
	}
	if !o.paused && !o.tableUnreachable {
		o.expiry, o.horizon = o.now().Add(rowExpiry), max(o.horizon, o.now().Add(horizon))
		o.reduce(&credits.OwnershipRenewed{Expiry: o.expiry, Horizon: o.horizon})
	}
	o.sim.after(2*time.Second, o.renew)
}

func (o *simOwner) reduce(ev structs.Event) {
	for _, effect := range o.ledger.Reduce(o.now(), ev) {
		grant := effect.(credits.SendGrant).Grant
		grant.Holdings = slices.Clone(grant.Holdings)
		o.sim.recordMessage(grant)
		for _, in := range o.sim.instances {
			if in.id == grant.To && !in.isolated {
				o.sim.after(o.sim.delay(o.region, in.location.Region), func() {
					in.deliver(func() { in.reduce(&router.GrantReceived{Grant: grant}) })
				})
			}
		}
	}
}

// receive applies an event now or, during a pause, after the pause.
func (o *simOwner) receive(ev structs.Event) {
	if o.paused {
		o.backlog = append(o.backlog, func() { o.reduce(ev) })
		return
	}
	o.reduce(ev)
}

func (o *simOwner) resume() {
	o.paused = false
	for _, fn := range o.backlog {
		fn()
	}
	o.backlog = nil
}
