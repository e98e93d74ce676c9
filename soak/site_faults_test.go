package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
)

// siteFault is a kind of fault of TestSiteSoak.
type siteFault struct {
	name   string
	class  faultClass
	inject func(c *siteCell, ctx context.Context, rng *rand.Rand)
}

// faultClass is what a fault concerns.
type faultClass int

const (
	workerFault faultClass = iota
	instanceFault
	storeFaultClass
	requestFault
	faultClasses // number of classes
)

// siteFaultKinds lists the faults. Each call injects one and waits for its end.
var siteFaultKinds = []siteFault{
	{"workers-cut", workerFault, (*siteCell).cutWorkers},
	{"zone-cut", workerFault, (*siteCell).cutZone},
	{"instances-cut", instanceFault, (*siteCell).cutInstances},
	{"leader-cut", instanceFault, (*siteCell).cutLeader},
	{"leader-split", instanceFault, (*siteCell).splitLeader},
	{"leader-side-cut", instanceFault, (*siteCell).cutLeaderSide},
	{"leader-store-cut", instanceFault, (*siteCell).cutLeaderFromStore},
	{"leader-frozen", instanceFault, (*siteCell).freezeLeader},
	{"leader-killed", instanceFault, (*siteCell).killLeader},
	{"instances-slow", instanceFault, (*siteCell).slowInstances},
	{"instances-killed", instanceFault, (*siteCell).killInstances},
	{"all-killed", instanceFault, (*siteCell).killAll},
	{"rolling-restart", instanceFault, (*siteCell).restartInTurn},
	{"store-down", storeFaultClass, (*siteCell).storeDown},
	{"store-refuses-some", storeFaultClass, (*siteCell).storeRefusesSome},
	{"store-slow", storeFaultClass, (*siteCell).storeSlow},
	{"store-loses-answers", storeFaultClass, (*siteCell).storeLosesAnswers},
	{"store-forgets", storeFaultClass, (*siteCell).storeForgets},
	{"workers-crash", workerFault, (*siteCell).crashWorkers},
	{"workers-late", workerFault, (*siteCell).lateWorkers},
	{"workers-return", workerFault, (*siteCell).returnWorkers},
	{"workers-slow", workerFault, (*siteCell).slowWorkers},
	{"workers-stalled", workerFault, (*siteCell).stallWorkers},
	{"workers-fail", workerFault, (*siteCell).failWorkers},
	{"workers-drain", workerFault, (*siteCell).drainWorkers},
	{"requests-held", requestFault, (*siteCell).holdRequests},
	{"answers-lost", requestFault, (*siteCell).loseAnswers},
	{"connections-silent", requestFault, (*siteCell).silenceConnections},
	{"config-changes", requestFault, (*siteCell).changeConfig},
}

// injectFaults injects series of overlapping faults until ctx ends. A series has a fault
// of the workers and often one of each other class within 1.5 s.
func (c *siteCell) injectFaults(ctx context.Context, rng *rand.Rand, seed uint64) {
	kinds, count := map[faultClass][]siteFault{}, 0
	for _, f := range siteFaultKinds {
		if *siteFaults == "" || strings.Contains(","+*siteFaults+",", ","+f.name+",") {
			kinds[f.class] = append(kinds[f.class], f)
			count++
		}
	}
	if count == 0 {
		<-ctx.Done()
		return
	}
	var group sync.WaitGroup
	sleepContext(ctx, time.Duration(500+rng.IntN(1500))*time.Millisecond)
	for number := uint64(0); ctx.Err() == nil; {
		for class := range faultClasses { // of one series
			list := kinds[class]
			if len(list) == 0 || (class != workerFault && rng.IntN(3) == 0) {
				continue
			}
			f := list[rng.IntN(len(list))]
			own := rand.New(rand.NewPCG(seed, 100+number))
			number++
			delay := time.Duration(rng.IntN(1500)) * time.Millisecond
			group.Go(func() {
				sleepContext(ctx, delay)
				c.logFault("fault %s begins", f.name)
				f.inject(c, ctx, own)
				c.logFault("fault %s has ended", f.name)
			})
		}
		sleepContext(ctx, time.Duration(2000+rng.IntN(4500))*time.Millisecond)
	}
	group.Wait()
}

// logFault logs a fault with the time, which the logs of the processes have too.
func (c *siteCell) logFault(format string, args ...any) {
	c.t.Logf("%s "+format, append([]any{time.Now().UTC().Format("15:04:05.000")}, args...)...)
}

// someWorkers draws a share of the workers.
func (c *siteCell) someWorkers(rng *rand.Rand, share float64) []*platformtest.SiteWorker {
	count := max(1, int(share*float64(len(c.site.Workers))))
	var list []*platformtest.SiteWorker
	for _, n := range rng.Perm(len(c.site.Workers))[:count] {
		list = append(list, c.site.Workers[n])
	}
	return list
}

func (c *siteCell) someProcesses(rng *rand.Rand, share float64) []*siteProcess {
	count := max(1, int(share*float64(len(c.processes))))
	var list []*siteProcess
	for _, n := range rng.Perm(len(c.processes))[:count] {
		list = append(list, c.processes[n])
	}
	return list
}

// workerLinks returns the links of all instances to a worker.
func (c *siteCell) workerLinks(w *platformtest.SiteWorker) []*platformtest.Link {
	var links []*platformtest.Link
	for _, p := range c.processes {
		for n, other := range c.site.Workers {
			if other == w {
				links = append(links, p.instance.WorkerLinks[n])
			}
		}
	}
	return links
}

// cut cuts links and later restores them.
func cutLinks(ctx context.Context, links []*platformtest.Link, d platformtest.Direction, length time.Duration) {
	for _, l := range links {
		l.Cut(d)
	}
	sleepContext(ctx, length)
	for _, l := range links {
		l.Restore(d)
	}
}

// drawAround draws a time around typical.
func drawAround(rng *rand.Rand, typical time.Duration) time.Duration {
	return time.Duration((0.6 + 0.6*rng.Float64()) * float64(typical))
}

func (c *siteCell) cutWorkersFor(ctx context.Context, rng *rand.Rand, workers []*platformtest.SiteWorker, length time.Duration) {
	direction, reports := platformtest.BothWays, rng.IntN(3) == 0
	if rng.IntN(4) == 0 {
		direction = []platformtest.Direction{platformtest.RequestsOnly, platformtest.ResponsesOnly}[rng.IntN(2)]
	}
	var links []*platformtest.Link
	for _, w := range workers {
		links = append(links, c.workerLinks(w)...)
		if !reports {
			w.CutDirectory(true)
			defer w.CutDirectory(false)
		}
	}
	cutLinks(ctx, links, direction, length)
}

const cutLength = 5500 * time.Millisecond

func (c *siteCell) cutWorkers(ctx context.Context, rng *rand.Rand) {
	c.cutWorkersFor(ctx, rng, c.someWorkers(rng, 0.17), drawAround(rng, cutLength))
}

func (c *siteCell) cutZone(ctx context.Context, rng *rand.Rand) {
	zone := rng.IntN(c.profile.zones)
	var workers []*platformtest.SiteWorker
	for _, w := range c.site.Workers {
		if w.Zone == zone {
			workers = append(workers, w)
		}
	}
	var cut []*siteProcess
	for _, p := range c.processes {
		if p.instance.Zone() == zone {
			cut = append(cut, p)
		}
	}
	length := drawAround(rng, cutLength)
	if rng.IntN(2) == 0 { // the workers alone
		c.cutWorkersFor(ctx, rng, workers, length)
		return
	}
	c.isolate(ctx, cut, workers, rng.IntN(2) == 0, length)
}

// isolate cuts a group of instances and workers off from everything outside it, and, if
// not connected, also from each other. A connected group still reaches the advisor.
func (c *siteCell) isolate(ctx context.Context, group []*siteProcess, workers []*platformtest.SiteWorker, connected bool, length time.Duration) {
	inside := map[any]bool{}
	for _, p := range group {
		inside[p] = true
		p.unreachable.Add(1)
		defer p.unreachable.Add(-1)
	}
	for _, w := range workers {
		inside[w] = true
		w.CutDirectory(true)
		defer w.CutDirectory(false)
	}
	var links []*platformtest.Link
	for _, p := range c.processes {
		if inside[p] {
			links = append(links, p.instance.StoreLink)
			if !connected {
				links = append(links, p.instance.AdvisorLink)
			}
		}
		for n, w := range c.site.Workers {
			if inside[p] != inside[w] || (inside[p] && !connected) {
				links = append(links, p.instance.WorkerLinks[n])
			}
		}
		for n, other := range c.processes {
			if inside[p] != inside[other] || (inside[p] && !connected) {
				links = append(links, c.peerLinks[p.instance.Number][n])
			}
		}
	}
	cutLinks(ctx, links, platformtest.BothWays, length)
}

func (c *siteCell) cutInstances(ctx context.Context, rng *rand.Rand) {
	group := c.someProcesses(rng, 0.17+0.3*rng.Float64())
	if leader := c.leader(); leader != nil && rng.IntN(2) == 0 {
		group = append(group, leader)
	}
	c.isolate(ctx, group, c.someWorkers(rng, 0.3*rng.Float64()), rng.IntN(2) == 0, drawAround(rng, cutLength))
}

func (c *siteCell) cutLeader(ctx context.Context, rng *rand.Rand) {
	if leader := c.leader(); leader != nil {
		c.isolate(ctx, []*siteProcess{leader}, nil, false, drawAround(rng, cutLength))
	}
}

// cutLeaderSide cuts the leader and a part of the workers, which it still reaches, off from
// everything else for longer than a lease. The next leader has the other workers.
func (c *siteCell) cutLeaderSide(ctx context.Context, rng *rand.Rand) {
	if leader := c.leader(); leader != nil {
		c.isolate(ctx, []*siteProcess{leader}, c.someWorkers(rng, 0.1+0.5*rng.Float64()), true, drawAround(rng, cutLength+2*time.Second))
	}
}

// splitLeader cuts the leader off from the store and most instances. It still reaches a
// part of the workers, which the next leader may not reach.
func (c *siteCell) splitLeader(ctx context.Context, rng *rand.Rand) {
	leader := c.leader()
	if leader == nil {
		return
	}
	length := drawAround(rng, cutLength)
	share, exclusive := 0.1+0.6*rng.Float64(), rng.IntN(2) == 0
	links := []*platformtest.Link{leader.instance.StoreLink}
	for n := range c.processes {
		if rng.IntN(5) > 0 {
			links = append(links, c.peerLinks[leader.instance.Number][n], c.peerLinks[n][leader.instance.Number])
		}
	}
	for n, w := range c.site.Workers {
		reached := rng.Float64() < share
		for _, p := range c.processes {
			if (p == leader && !reached) || (p != leader && reached && exclusive) {
				links = append(links, p.instance.WorkerLinks[n])
			}
		}
		if reached && exclusive {
			w.CutDirectory(true)
			defer w.CutDirectory(false)
		}
	}
	cutLinks(ctx, links, platformtest.BothWays, length)
}

func (c *siteCell) cutLeaderFromStore(ctx context.Context, rng *rand.Rand) {
	if leader := c.leader(); leader != nil {
		direction := []platformtest.Direction{platformtest.BothWays, platformtest.BothWays, platformtest.ResponsesOnly}[rng.IntN(3)]
		cutLinks(ctx, []*platformtest.Link{leader.instance.StoreLink}, direction, drawAround(rng, 4500*time.Millisecond))
	}
}

// setStoreFault sets a fault of the store for some instances and later removes it.
func (c *siteCell) setStoreFault(ctx context.Context, list []*siteProcess, f platformtest.StoreFault, length time.Duration) {
	for _, p := range list {
		p.instance.SetStoreFault(f)
	}
	sleepContext(ctx, length)
	for _, p := range list {
		p.instance.SetStoreFault(platformtest.StoreFault{})
	}
}

func (c *siteCell) storeDown(ctx context.Context, rng *rand.Rand) {
	f := platformtest.StoreFault{Refused: []float64{1, 1, 0.7}[rng.IntN(3)], How: platformtest.RefusalKind(rng.IntN(4))}
	c.setStoreFault(ctx, c.processes, f, drawAround(rng, 4500*time.Millisecond))
}

func (c *siteCell) storeRefusesSome(ctx context.Context, rng *rand.Rand) {
	list := c.someProcesses(rng, 0.33)
	if leader := c.leader(); leader != nil {
		list = append(list, leader)
	}
	c.setStoreFault(ctx, list, platformtest.StoreFault{Refused: 1, How: platformtest.RefusalKind(rng.IntN(4))}, drawAround(rng, 8*time.Second))
}

func (c *siteCell) storeSlow(ctx context.Context, rng *rand.Rand) {
	c.setStoreFault(ctx, c.processes, platformtest.StoreFault{Latency: 240 * time.Millisecond}, drawAround(rng, 4500*time.Millisecond))
}

func (c *siteCell) storeLosesAnswers(ctx context.Context, rng *rand.Rand) {
	f := platformtest.StoreFault{LostAnswers: 0.35}
	if rng.IntN(2) == 0 {
		f = platformtest.StoreFault{LateCommits: 0.35}
	}
	c.setStoreFault(ctx, c.processes, f, drawAround(rng, 4500*time.Millisecond))
}

func (c *siteCell) storeForgets(ctx context.Context, rng *rand.Rand) {
	c.setStoreFault(ctx, c.processes, platformtest.StoreFault{Forgets: true}, drawAround(rng, 6*time.Second))
}

func (c *siteCell) crashWorkers(ctx context.Context, rng *rand.Rand) {
	power := platformtest.WorkerPower(1 + rng.IntN(2))
	list := c.someWorkers(rng, 0.14)
	var links []*platformtest.Link
	for _, w := range list {
		if err := w.Crash(power); err != nil {
			c.t.Error(err)
		}
		if power == platformtest.Dark {
			links = append(links, c.workerLinks(w)...)
		}
	}
	cutLinks(ctx, links, platformtest.BothWays, drawAround(rng, []time.Duration{4500 * time.Millisecond, time.Second}[rng.IntN(2)]))
	for _, w := range list {
		if err := w.Restart(); err != nil {
			c.t.Error(err)
		}
	}
}

// setWorkerFault sets a fault of workers and later removes it.
func setWorkerFault(ctx context.Context, list []*platformtest.SiteWorker, f platformtest.WorkerFault, length time.Duration) {
	for _, w := range list {
		w.SetFault(f)
	}
	sleepContext(ctx, length)
	for _, w := range list {
		w.SetFault(platformtest.WorkerFault{})
	}
}

func (c *siteCell) lateWorkers(ctx context.Context, rng *rand.Rand) {
	setWorkerFault(ctx, c.someWorkers(rng, 0.055), platformtest.WorkerFault{LateRequests: true}, drawAround(rng, 5500*time.Millisecond))
}

func (c *siteCell) slowWorkers(ctx context.Context, rng *rand.Rand) {
	setWorkerFault(ctx, c.someWorkers(rng, 0.17), platformtest.WorkerFault{Speed: 1 / 6.5}, drawAround(rng, 7*time.Second))
}

func (c *siteCell) stallWorkers(ctx context.Context, rng *rand.Rand) {
	setWorkerFault(ctx, c.someWorkers(rng, 0.1), platformtest.WorkerFault{Stalled: true}, drawAround(rng, 5500*time.Millisecond))
}

func (c *siteCell) failWorkers(ctx context.Context, rng *rand.Rand) {
	f := platformtest.WorkerFault{FailedRuns: 1}
	if rng.IntN(2) == 0 {
		f = platformtest.WorkerFault{RefusedRuns: 1}
	}
	setWorkerFault(ctx, c.someWorkers(rng, 0.085), f, drawAround(rng, 6500*time.Millisecond))
}

// drainWorkers lets workers drain, leave, and return as other incarnations.
func (c *siteCell) drainWorkers(ctx context.Context, rng *rand.Rand) {
	list := c.someWorkers(rng, 0.065)
	for _, w := range list {
		w.SetDraining(true)
	}
	sleepContext(ctx, 3500*time.Millisecond)
	for _, w := range list {
		if err := w.Crash(platformtest.Crashed); err != nil {
			c.t.Error(err)
		}
	}
	sleepContext(ctx, drawAround(rng, 2*time.Second))
	for _, w := range list {
		if err := w.Restart(); err != nil {
			c.t.Error(err)
		}
	}
}

func (c *siteCell) holdRequests(ctx context.Context, rng *rand.Rand) {
	c.site.AddFaults(platformtest.SiteFaults{HeldRequests: 0.03, LateRequests: 0.02})
	sleepContext(ctx, drawAround(rng, 5500*time.Millisecond))
	c.site.AddFaults(platformtest.SiteFaults{HeldRequests: -0.03, LateRequests: -0.02})
}

func (c *siteCell) loseAnswers(ctx context.Context, rng *rand.Rand) {
	c.site.AddFaults(platformtest.SiteFaults{LostResponses: 0.025})
	sleepContext(ctx, drawAround(rng, 5500*time.Millisecond))
	c.site.AddFaults(platformtest.SiteFaults{LostResponses: -0.025})
}

// changeConfig writes several configurations in quick succession.
func (c *siteCell) changeConfig(ctx context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(5) {
		version := c.configVersion.Add(1)
		c.site.WriteConfig(1+version, float64(100*(version%3)))
		sleepContext(ctx, 330*time.Millisecond)
	}
}

// silenceConnections lets the open connections of the leader, or of some instances, go
// silent.
func (c *siteCell) silenceConnections(_ context.Context, rng *rand.Rand) {
	list := c.someProcesses(rng, 0.3)
	if leader := c.leader(); leader != nil {
		list = append(list, leader)
	}
	for _, p := range list {
		n := p.instance.Number
		p.instance.StoreLink.Silence()
		for _, l := range p.instance.WorkerLinks {
			if rng.IntN(2) == 0 {
				l.Silence()
			}
		}
		for other := range c.processes {
			c.peerLinks[n][other].Silence()
			c.peerLinks[other][n].Silence()
		}
	}
}

// returnWorkers lets workers lose their power while requests to them are on their way,
// and return with the same identifier soon. Half of the time they are cut off afterwards.
func (c *siteCell) returnWorkers(ctx context.Context, rng *rand.Rand) {
	list := c.someWorkers(rng, 0.14)
	setWorkerFault(ctx, list, platformtest.WorkerFault{LateRequests: true}, time.Duration(200+rng.IntN(800))*time.Millisecond)
	for _, w := range list {
		if err := w.Crash(platformtest.Dark); err != nil {
			c.t.Error(err)
		}
	}
	sleepContext(ctx, time.Duration(50+rng.IntN(600))*time.Millisecond)
	for _, w := range list {
		if err := w.Restart(); err != nil {
			c.t.Error(err)
		}
	}
	if rng.IntN(2) == 0 {
		sleepContext(ctx, time.Duration(500+rng.IntN(4000))*time.Millisecond)
		c.cutWorkersFor(ctx, rng, list, drawAround(rng, cutLength+2*time.Second))
	}
}
