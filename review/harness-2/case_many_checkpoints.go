package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// playManyCheckpoints hands in wide jobs whose tasks save their progress, and beside them
// jobs of one long task and four short ones after it, at no more than the rate of a burst of
// the site. The wide jobs end. The store is down later, while the long tasks end.
func playManyCheckpoints(r *record, trouble bool) error {
	c, err := startCell(r, cellOptions{instances: 3, executors: 16})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s := newCaller(c)
	const (
		pairs, pause              = 240, 33 * time.Millisecond
		downAfter, downTime       = 26 * time.Second, 4500 * time.Millisecond
		wideTaskEnd, wideEndsOver = 12500 * time.Millisecond, 4 * time.Second
		longTaskEnd, endsOver     = 26500 * time.Millisecond, 3 * time.Second
		trafficTime               = 33 * time.Second
	)
	started := time.Now()
	var group sync.WaitGroup
	for range pairs {
		group.Go(func() {
			wide := wideTaskEnd + rand.N(wideEndsOver) - time.Since(started)
			s.submit("batch", []step{
				{Count: 24, CPU: 50, MemMB: 64, EstimateMs: int(wide.Milliseconds()), SavesProgress: true},
				{Count: 1, CPU: 100, MemMB: 64, EstimateMs: 4000},
			})
		})
		group.Go(func() {
			long := longTaskEnd + rand.N(endsOver) - time.Since(started)
			steps := []step{{Count: 1, CPU: 100, MemMB: 64, EstimateMs: int(long.Milliseconds())}}
			for n := range 4 {
				steps = append(steps, step{Count: 1, CPU: 100, MemMB: 64, EstimateMs: 2500, After: []int{n}})
			}
			s.submit("batch", steps)
		})
		time.Sleep(pause)
	}
	time.Sleep(downAfter - time.Since(started))
	rows, size := c.store.rowsOf("mangodrum_progress")
	r.note("the store has %d rows of progress with %d bytes", rows, size)
	if trouble {
		r.note("trouble: the store is down")
		c.store.setDown(true)
		time.Sleep(downTime)
		c.store.setDown(false)
		r.note("the store is back")
	}
	time.Sleep(trafficTime - time.Since(started))
	group.Wait()
	r.note("the traffic has ended; the store has rejected %d transactions", c.store.rejections())
	time.Sleep(finishTime)
	judgeFinish(c, s)
	r.note("the store has rejected %d transactions; the largest had %d entries", c.store.rejections(), c.store.largestTx())
	return nil
}
