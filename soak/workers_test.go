package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/platform/platformtest"
)

// Size of the cell in TestWorkerSoak. The jobs use about two thirds of the workers.
const (
	workerSoakInstances = 5
	workerSoakWorkers   = 24
	workerSoakClients   = 8
)

// TestWorkerSoak guards against tasks that run twice while workers restart under their
// identifier, are cut off and run on, drain and leave, or carry out requests late or
// without a response, and the leader is killed, paused or stopped as planned shortly
// before, with or after that.
func TestWorkerSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runWorkerSeed(t, seed) })
	}
}

func runWorkerSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	var options platformtest.Options
	newSeedJob, submitPause := newWorkerSoakJob, 20*time.Millisecond
	if seed >= firstOptionSeed {
		var names string
		options, names = drawOptions(seed)
		workload := drawWorkload(seed)
		newSeedJob, submitPause = workload.newJob, workload.submitPause
		t.Logf("options of the platform: %s", names)
	}
	c := startCellWith(t, workerSoakInstances, workerSoakWorkers, options)
	c.platform.WriteOddEntries()
	ctx, stop := context.WithTimeout(context.Background(), 2**faultDuration)
	defer stop()
	var group sync.WaitGroup
	var mu sync.Mutex
	var jobs []*soakJob
	for client := range workerSoakClients {
		clientRNG := rand.New(rand.NewPCG(seed, uint64(100+client)))
		group.Go(func() {
			http := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for n := 0; ctx.Err() == nil; n++ {
				job := newSeedJob(clientRNG, seed, client, n)
				mu.Lock()
				jobs = append(jobs, job)
				mu.Unlock()
				c.submit(http, clientRNG, job)
				if job.repeatAfter > 0 {
					repeatRNG := rand.New(rand.NewPCG(seed, clientRNG.Uint64()))
					group.Go(func() { c.repeat(ctx, http, repeatRNG, job) })
				}
				if job.cancelAfter > 0 {
					cancelRNG := rand.New(rand.NewPCG(seed, clientRNG.Uint64()))
					group.Go(func() { c.cancel(ctx, http, cancelRNG, job) })
				}
				time.Sleep(submitPause + time.Duration(clientRNG.IntN(80))*time.Millisecond)
			}
		})
	}
	c.platform.SetUnreachedStarts(*unreachedStarts)
	c.platform.SetFaults(drawRequestFaults(rand.New(rand.NewPCG(seed, 6))))
	group.Go(func() { c.injectWorkerFaults(ctx, rng, seed >= firstOptionSeed) })
	if seed >= firstOptionSeed {
		faultRNG := rand.New(rand.NewPCG(seed, 8))
		if fault, drawn := drawRepeatedFault(faultRNG); drawn {
			group.Go(func() { c.injectRepeatedFault(ctx, faultRNG, fault) })
		}
	}
	group.Wait()
	c.platform.SetFaults(platformtest.Faults{})
	c.removeFaults()
	c.check(jobs)
}

// drawRequestFaults draws the shares of the requests to workers that get no response.
// Each kind of fault is absent in a third of the seeds.
func drawRequestFaults(rng *rand.Rand) platformtest.Faults {
	draw := func() float64 { return []float64{0, 0.02, 0.05}[rng.IntN(3)] }
	return platformtest.Faults{LateStarts: draw(), LateStops: draw(), LateRenewals: draw(), LostResponses: draw()}
}

// newWorkerSoakJob returns a job of one or two steps whose tasks take up to 4 s.
func newWorkerSoakJob(rng *rand.Rand, seed uint64, client, n int) *soakJob {
	job := newJob(rng, seed, client, n)
	longest := []int{300, 1500, 6000}[rng.IntN(3)]
	for k := range job.body.Steps {
		job.body.Steps[k].EstimateMs = float64(100 + rng.IntN(longest))
	}
	return job
}

// injectWorkerFaults injects faults until ctx ends. Each concerns up to eight workers at
// once, and often the leader within a second of it. If long, half of the faults are longer
// than a lease, and the leader has fewer.
func (c *testCell) injectWorkerFaults(ctx context.Context, rng *rand.Rand, long bool) {
	var group sync.WaitGroup
	for ctx.Err() == nil {
		kind, leader := rng.IntN(8), rng.IntN(7)
		first, count := rng.IntN(len(c.platform.Workers)), 1+rng.IntN(8)
		before, length := time.Duration(rng.IntN(1000))*time.Millisecond, time.Duration(1000+rng.IntN(4500))*time.Millisecond
		if long {
			length, leader = drawLength(rng), leader*(1+rng.IntN(2))
		}
		group.Go(func() { c.injectLeaderFault(ctx, leader, before, length) })
		sleepContext(ctx, 500*time.Millisecond)
		for n := range count {
			w := c.platform.Workers[(first+n)%len(c.platform.Workers)]
			group.Go(func() { c.injectWorkerFault(ctx, kind, w, length) })
		}
		sleepContext(ctx, time.Duration(800+rng.IntN(2500))*time.Millisecond)
	}
	group.Wait()
}

func (c *testCell) injectWorkerFault(ctx context.Context, kind int, w *platformtest.Worker, length time.Duration) {
	c.logFault("%s has fault %d for %s", w.ID, kind, length)
	switch kind {
	case 0: // back within a second, often before anyone has noticed
		w.LosePower()
		sleepContext(ctx, length/6)
		w.RestorePower()
	case 1:
		w.SetCut(true)
		sleepContext(ctx, length)
		w.SetCut(false)
	case 2: // restarts behind a cut
		w.SetCut(true)
		sleepContext(ctx, length/2)
		w.LosePower()
		w.RestorePower()
		w.SetCut(false)
	case 3: // drains, is cut off meanwhile, and leaves
		w.SetDraining(true)
		sleepContext(ctx, 500*time.Millisecond)
		w.SetCut(true)
		sleepContext(ctx, length)
		w.SetCut(false)
		sleepContext(ctx, 500*time.Millisecond)
		w.LosePower()
		w.RestorePower()
	case 4: // restarts; the requests shortly before reach the next incarnation
		w.SetLate(true)
		sleepContext(ctx, length/6)
		w.LosePower()
		w.SetLate(false)
		sleepContext(ctx, length/20)
		w.RestorePower()
	case 5: // is cut off from one leader, reports to the directory and answers the next
		w.SetCutKind(platformtest.CutFromInstances)
		c.awaitOtherLeader(ctx, length)
		w.SetCutKind(platformtest.NotCut)
	default:
		w.SetCutKind([]platformtest.Cut{platformtest.CutFromDirectory, platformtest.CutLosesResponses}[kind-6])
		sleepContext(ctx, length)
		w.SetCutKind(platformtest.NotCut)
	}
}

// awaitOtherLeader waits until another process leads, but no longer than timeout.
func (c *testCell) awaitOtherLeader(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for first := c.leader(); c.leader() == first && ctx.Err() == nil; {
		sleepContext(ctx, 50*time.Millisecond)
	}
}

// logFault logs a fault with the time, which the logs of the processes have too.
func (c *testCell) logFault(format string, args ...any) {
	c.t.Logf("%s "+format, append([]any{time.Now().UTC().Format("15:04:05.000")}, args...)...)
}

// injectLeaderFault kills, pauses or stops the leader, or makes the store unavailable.
// A pause takes up to a quarter of length, or all of it, which is longer than a lease.
func (c *testCell) injectLeaderFault(ctx context.Context, kind int, after, length time.Duration) {
	sleepContext(ctx, after)
	p := c.leader()
	if p != nil {
		c.logFault("leader %s has fault %d", p.name, kind)
	}
	switch {
	case kind == 0 && p != nil:
		c.tryExclusive(p, func() { c.restart(p, syscall.SIGKILL, length/16) })
	case kind == 1 && p != nil:
		c.tryExclusive(p, func() { c.restart(p, syscall.SIGTERM, 0) })
	case (kind == 2 || kind == 6) && p != nil:
		pause := length / 4
		if kind == 6 {
			pause = length
		}
		c.tryExclusive(p, func() {
			p.signal(syscall.SIGSTOP)
			sleepContext(ctx, pause)
			p.signal(syscall.SIGCONT)
		})
	case kind == 3:
		c.platform.SetStoreMode(platformtest.StoreUnavailable)
		sleepContext(ctx, 3*length/4)
		c.platform.SetStoreMode(platformtest.StoreOK)
	}
}

// leader returns the process in the leadership row, or nil.
func (c *testCell) leader() *process {
	var row leadership.Row
	if cbor.Unmarshal(c.platform.RowValue(dispatch.CellTable, "leader"), &row) != nil {
		return nil
	}
	for _, p := range c.processes {
		if p.name == string(row.Owner) {
			return p
		}
	}
	return nil
}
