package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The scenarios of this file show faults that REPORT.md names beside the five cases.

// manyTimes: a job with many occurrences is due every 10 ms, beside ordinary jobs.
func manyTimes(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 6, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	times := 300
	if trouble {
		times = 20000
	}
	one := step{Count: 1, CPU: 100, MemMB: 16, EstimateMs: 20}
	if !c.submit(c.newID(), job{
		Spec: "ms=20", Steps: []step{one, one, one, one}, Times: times,
		InitialDelayMs: time.Now().UnixMilli(), IntervalMs: 10,
	}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	var group sync.WaitGroup
	var accepted, refused atomic.Int32
	for rec.now() < 50*time.Second {
		id := c.newID()
		group.Go(func() {
			if c.submit(id, job{Spec: "ms=200", Steps: []step{{Count: 2, CPU: 1000, MemMB: 256, EstimateMs: 200}}}) {
				accepted.Add(1)
			} else {
				refused.Add(1)
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	rec.note("client", "%d jobs accepted, %d not", accepted.Load(), refused.Load())
	c.store.mu.Lock()
	rec.note("store", "%d transactions refused; largest row %d bytes", c.store.rejected, c.store.largestRow)
	c.store.mu.Unlock()
	return rec.checkTwice(), nil
}

// longTasks hands in jobs whose tasks work for 9 s, and returns once they run.
func (c *cell) longTasks() error {
	for range 4 {
		if !c.submit(c.newID(), job{Spec: "ms=9000", Steps: []step{{Count: 12, CPU: 4000, MemMB: 1024, EstimateMs: 9000}}}) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// busiest returns the executor with the most runs.
func (c *cell) busiest() *executor {
	var best *executor
	most := -1
	for _, e := range c.executors {
		e.mu.Lock()
		if len(e.runs) > most && !e.draining {
			best, most = e, len(e.runs)
		}
		e.mu.Unlock()
	}
	return best
}

// waitPhase waits until the executor's last status report is at least silence old
// and its lease was renewed within the last 250 ms.
func (e *executor) waitPhase(silence time.Duration) {
	for range 2000 {
		e.mu.Lock()
		ok := time.Since(e.heartbeatAt) >= silence && time.Since(e.renewedAt) < 250*time.Millisecond
		e.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// drainedCut: an executor that is about to leave is cut off from all machines and
// the store for 5.5 s while its tasks work on.
func drainedCut(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 16, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for range 3 {
		if err := c.longTasks(); err != nil {
			return nil, err
		}
		e := c.busiest()
		e.setDraining()
		time.Sleep(time.Second)
		e.waitPhase(time.Second)
		if trouble {
			e.setCut(true)
		}
		time.Sleep(5500 * time.Millisecond)
		if trouble {
			e.setCut(false)
		}
		time.Sleep(7 * time.Second)
	}
	return rec.checkTwice(), nil
}

// leaderCut: an executor is cut off from all machines and the store for 5.5 s, and
// the leader is killed right after.
func leaderCut(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 16, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for range 3 {
		if err := c.longTasks(); err != nil {
			return nil, err
		}
		e := c.busiest()
		e.waitPhase(time.Second)
		if trouble {
			e.setCut(true)
			c.kill(c.leader())
		}
		time.Sleep(5500 * time.Millisecond)
		if trouble {
			e.setCut(false)
		}
		time.Sleep(7 * time.Second)
	}
	return rec.checkTwice(), nil
}

// foreignReply: the store is down for 3.5 s, and a follower that was started a short
// time before is killed and started again meanwhile.
func foreignReply(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 6, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	follower := c.instances[0]
	for _, i := range c.instances {
		if i != c.leader() {
			follower = i
		}
	}
	small := job{Spec: "ms=300", Steps: []step{{Count: 2, CPU: 1000, MemMB: 256, EstimateMs: 300}}}
	var group sync.WaitGroup
	var mu sync.Mutex
	rejected := map[string]bool{} // jobs whose only attempt was answered with 503
	hand := func() {
		mu.Lock()
		id := c.newID()
		mu.Unlock()
		group.Go(func() {
			status, _ := c.call(follower, http.MethodPost, id, small)
			mu.Lock()
			defer mu.Unlock()
			rejected[id] = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		})
	}
	if trouble {
		c.store.setDown(true)
	}
	down := time.Now()
	time.Sleep(50 * time.Millisecond)
	for range 12 {
		hand()
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		rec.note("trouble", "SIGKILL to %s, a follower", follower.name)
		follower.signal(syscall.SIGKILL)
		<-follower.done
		time.Sleep(300 * time.Millisecond)
		if err := follower.start(c.binary); err != nil {
			return nil, err
		}
	}
	for time.Since(down) < 3*time.Second {
		hand()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(down.Add(3500 * time.Millisecond)))
	if trouble {
		c.store.setDown(false)
	}
	group.Wait()
	time.Sleep(5 * time.Second)
	started := map[string]bool{}
	for _, r := range rec.runs() {
		started[jobOf(r.task)] = true
	}
	var broken []string
	for id, all := range rejected {
		if all && started[id] {
			broken = append(broken, fmt.Sprintf("REFUSED: job %s has started, and its client's only attempt to hand it in was rejected with 503", id))
		}
	}
	return broken, nil
}
