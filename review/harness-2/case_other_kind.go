package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// playOtherKind crashes executors, which start again a second later under their
// identifiers and at their addresses, as the other kind. Jobs need executors of kind a.
func playOtherKind(r *record, trouble bool) error {
	kindOf := func(n int) string { return []string{"a", "b"}[n%2] }
	c, err := startCell(r, cellOptions{instances: 3, executors: 16, kindOf: kindOf})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s := newCaller(c)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			group.Go(func() {
				s.submit("batch", []step{{Count: 4, CPU: 8000, MemMB: 4096, EstimateMs: 1500, Requirements: "a"}})
			})
		}
	})
	time.Sleep(5 * time.Second)
	const rounds, crashed, downTime, pause = 10, 2, time.Second, 5 * time.Second
	for range rounds {
		if trouble {
			first := rand.IntN(len(c.executors))
			for n := range crashed {
				e := c.executors[(first+n)%len(c.executors)]
				kind := "a"
				if e.kind == "a" {
					kind = "b"
				}
				group.Go(func() {
					e.crash()
					time.Sleep(downTime)
					if err := e.start(kind); err != nil {
						r.note("executor %s does not start: %v", e.id, err)
					}
				})
			}
		}
		time.Sleep(pause)
	}
	close(stop)
	group.Wait()
	return nil
}
