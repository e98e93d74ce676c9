package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// refused cuts the leader off from all machines of the system and from the store while the
// store is down, and kills the next leader as the cut heals. A job whose client was told 503
// must not run.
func refused(rec *recorder, trouble bool) {
	const (
		rounds    = 2
		roundTime = 14 * time.Second
		cutTime   = 5500 * time.Millisecond
		downAfter = 1500 * time.Millisecond // after the begin of the cut
		downTime  = 4200 * time.Millisecond
	)
	c := startCell(rec, 3, 6, 30*time.Millisecond)
	defer c.close()
	c.waitReady()
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var told []string // jobs whose only attempt got 503
	var clients sync.WaitGroup
	for round := range rounds {
		began := time.Now()
		if trouble {
			leader := c.store.leader()
			c.judge.trouble(fmt.Sprintf("instance %d, which leads, is cut off", leader))
			c.cutOff(leader, true)
			time.AfterFunc(cutTime, func() {
				rec.log("the cut has healed")
				c.cutOff(leader, false)
				c.killAndRestart(c.instances[c.store.leader()])
			})
			time.AfterFunc(downAfter, func() { rec.log("the store is down"); c.store.setDown(true) })
			time.AfterFunc(downAfter+downTime, func() { rec.log("the store is back"); c.store.setDown(false) })
		}
		for n := 0; time.Since(began) < 2*time.Second; n++ {
			of := &job{id: fmt.Sprintf("5c0e7a21%04x%04x", round, n), spec: "urgent order", work: 500 * time.Millisecond, tasks: 1}
			c.judge.add(of)
			clients.Go(func() {
				status, _ := c.call(c.instances[n%len(c.instances)], http.MethodPost, of.id, fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":500,"memMb":100,"estimateMs":500}]}`, of.spec))
				if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound {
					mu.Lock()
					told = append(told, of.id)
					mu.Unlock()
				}
			})
			time.Sleep(27 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	clients.Wait()
	ran := 0
	for _, id := range told {
		if started, ok := c.judge.firstStart(id); ok {
			ran++
			rec.log("job %s, whose only attempt was rejected, ran from %.3f s", id, rec.at(started))
		}
	}
	rec.log("%d jobs were rejected, %d of them ran", len(told), ran)
	if ran > 0 {
		rec.broke("REFUSED: %d of %d jobs whose only attempt was rejected ran", ran, len(told))
	}
}

// cutOff cuts an instance off from the others and from the store, or ends that.
func (c *cell) cutOff(n int, cut bool) {
	for link, p := range c.proxies {
		if link[0] == n || link[1] == n {
			p.setCut(cut)
		}
	}
	if cut {
		c.store.setCutOff(n)
	} else {
		c.store.setCutOff(-1)
	}
}

// killAndRestart kills the process of an instance, which starts again 3.5 s later.
func (c *cell) killAndRestart(i *instance) {
	const restartDelay = 3500 * time.Millisecond
	c.judge.trouble(fmt.Sprintf("instance %d, which leads now, is killed", i.number))
	c.signal(i, syscall.SIGKILL)
	<-i.exited
	time.Sleep(restartDelay)
	c.start(i)
}
