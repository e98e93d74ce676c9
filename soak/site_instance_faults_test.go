package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// tryExclusive calls inject unless another fault is already stopping or pausing the
// process.
func (p *siteProcess) tryExclusive(inject func()) {
	if !p.faultMu.TryLock() {
		return
	}
	defer p.faultMu.Unlock()
	inject()
}

func (c *siteCell) freezeLeader(ctx context.Context, rng *rand.Rand) {
	leader := c.leader()
	if leader == nil {
		return
	}
	leader.tryExclusive(func() {
		leader.signal(syscall.SIGSTOP)
		sleepContext(ctx, drawAround(rng, 4*time.Second))
		leader.signal(syscall.SIGCONT)
	})
}

// restart stops a process with a signal and starts it again after downtime.
func (c *siteCell) restart(p *siteProcess, s syscall.Signal, downtime time.Duration) {
	const stopTimeout = 8 * time.Second
	select {
	case <-p.signal(s):
	case <-time.After(stopTimeout):
		c.t.Errorf("%s is still running %s after signal %d", p.name, stopTimeout, s)
		<-p.signal(syscall.SIGKILL)
	}
	time.Sleep(downtime)
	c.startProcess(p)
}

func (c *siteCell) killLeader(_ context.Context, rng *rand.Rand) {
	leader := c.leader()
	if leader == nil {
		return
	}
	leader.tryExclusive(func() { c.restart(leader, syscall.SIGKILL, drawAround(rng, 3*time.Second)) })
}

func (c *siteCell) killInstances(_ context.Context, rng *rand.Rand) {
	c.killAtOnce(c.someProcesses(rng, 0.16), drawAround(rng, 3500*time.Millisecond))
}

func (c *siteCell) killAll(_ context.Context, rng *rand.Rand) {
	c.killAtOnce(c.processes, time.Duration(500+rng.IntN(9000))*time.Millisecond)
}

func (c *siteCell) killAtOnce(list []*siteProcess, downtime time.Duration) {
	var group sync.WaitGroup
	for _, p := range list {
		group.Go(func() { p.tryExclusive(func() { c.restart(p, syscall.SIGKILL, downtime) }) })
	}
	group.Wait()
}

// slowInstances lets instances run for a part of the time only.
func (c *siteCell) slowInstances(ctx context.Context, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, drawAround(rng, 5500*time.Millisecond))
	defer cancel()
	list := c.someProcesses(rng, 0.15)
	if leader := c.leader(); leader != nil && rng.IntN(2) == 0 {
		list = append(list, leader)
	}
	runs, period := 20*time.Millisecond, 110*time.Millisecond
	var group sync.WaitGroup
	for _, p := range list {
		group.Go(func() {
			p.tryExclusive(func() {
				for ctx.Err() == nil {
					p.signal(syscall.SIGSTOP)
					time.Sleep(period - runs)
					p.signal(syscall.SIGCONT)
					time.Sleep(runs)
				}
			})
		})
	}
	group.Wait()
}

func (c *siteCell) restartInTurn(ctx context.Context, rng *rand.Rand) {
	for _, p := range c.someProcesses(rng, 0.45) {
		if ctx.Err() != nil {
			return
		}
		p.tryExclusive(func() { c.restart(p, syscall.SIGTERM, 300*time.Millisecond) })
		sleepContext(ctx, 1300*time.Millisecond)
	}
}
