package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Bounds of the site.
const (
	finishTime = 14 * time.Second // finish_s
	ackTime    = 5 * time.Second  // ackMs
	idleTime   = 3 * time.Second  // for which a job has nothing running though its turn has come
)

// oddEntry is an entry of another writer in the directory of servers: its service is not
// named in the configuration and consists of bytes that are no text. It is within the
// limits of the store.
func oddEntry() []byte {
	const serviceBytes = 30_000
	var b bytes.Buffer
	b.WriteString(`{"service":"`)
	b.Write(bytes.Repeat([]byte{0xe9}, serviceBytes))
	b.WriteString(`","address":"127.0.0.1:9","zone":"ishikari-a","slots":8,"state":"ready","sequence":1,"born":1786264578361,`)
	b.WriteString(`"capacity":{"cpu":1000,"memMb":1024,"gpu":0},"labels":["x","r9-1"]}`)
	return b.Bytes()
}

// playOddEntry submits and cancels jobs, writes the entry of another writer to the directory
// meanwhile, and asks for the jobs after the traffic.
func playOddEntry(r *record, trouble bool) error {
	c, err := startCell(r, cellOptions{instances: 3, executors: 12})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s := newCaller(c)
	const trafficTime, entryAt = 24 * time.Second, 10 * time.Second
	started := time.Now()
	var group sync.WaitGroup
	var cancels cancelBook
	written := false
	for time.Since(started) < trafficTime {
		if !written && time.Since(started) >= entryAt {
			written = true
			if trouble {
				c.store.put("servers", "foreign-1", oddEntry())
				r.note("trouble: another writer has written the entry foreign-1")
			}
		}
		group.Go(func() {
			j := s.submit("batch", chainOf(4))
			if j.accepted && rand.Float64() < 0.3 {
				cancels.cancel(s, j)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	r.note("the traffic has ended; the store has rejected %d transactions", c.store.rejections())
	time.Sleep(finishTime)
	judgeFinish(c, s)
	cancels.judge(r)
	return nil
}

// chainOf returns steps of two tasks of 1.5 s each, one after the other.
func chainOf(length int) []step {
	var steps []step
	for n := range length {
		next := step{Count: 2, CPU: 2000, MemMB: 1024, EstimateMs: 1500}
		if n > 0 {
			next.After = []int{n - 1}
		}
		steps = append(steps, next)
	}
	return steps
}

// cancelBook knows the cancels of accepted jobs.
type cancelBook struct {
	mu                sync.Mutex
	total, unanswered int
}

// cancel cancels a job until that is acknowledged, or ackTime and one more request have
// passed.
func (b *cancelBook) cancel(s *caller, j *job) {
	s.cell.jobs.setCancelled(j)
	started, answered := time.Now(), false
	for first := rand.IntN(len(s.cell.instances)); time.Since(started) < ackTime+clientTimeout && !answered; first++ {
		call := s.send(s.cell.instances[first%len(s.cell.instances)], http.MethodDelete, "batch", j.id, nil)
		answered = call.status >= 200 && call.status < 300 || call.status == http.StatusGone
		if !answered {
			time.Sleep(300 * time.Millisecond)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if !answered {
		b.unanswered++
	}
}

// judge checks that at most a tenth of the cancels, three at least, have no answer.
func (b *cancelBook) judge(r *record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.note("cancels: %d, without 2xx or 410 after ackMs: %d", b.total, b.unanswered)
	if b.unanswered >= 3 && 10*b.unanswered > b.total {
		r.breach("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after ackMs", b.unanswered, b.total)
	}
}

// judgeFinish asks for the accepted jobs that nobody has cancelled. It is called finish_s
// after the end of the traffic.
func judgeFinish(c *cell, s *caller) {
	idle := map[*job]string{}
	for started := time.Now(); time.Since(started) < idleTime; time.Sleep(100 * time.Millisecond) {
		for _, j := range c.jobs.accepted() {
			task := c.jobs.hasTurn(j)
			if _, seen := idle[j]; !seen || task == "" {
				idle[j] = task
			}
		}
	}
	var used, total int64
	for _, e := range c.executors {
		used, total = used+e.usedCPU(), total+e.capacity.CPU
	}
	c.record.note("finish: %d of %d thousandths of a core are in use", used, total)
	for _, j := range c.jobs.accepted() {
		if !j.cancel.IsZero() {
			continue
		}
		answer := s.ask("batch", j.id)
		if answer.status == http.StatusGone {
			c.record.breach("LOST: job %s was accepted, nobody has cancelled it, and a GET is answered 410", j.id)
		}
		if idle[j] != "" && 2*used < total {
			c.record.breach("LOST: job %s has had nothing running for 3 s, finish_s after the end of the traffic; the turn of %s has come; the GET says %d %s", j.id, idle[j], answer.status, answer.state)
		}
	}
}

// setCancelled records that the cancelling of a job is sent.
func (b *jobBook) setCancelled(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.cancel = time.Now()
}
