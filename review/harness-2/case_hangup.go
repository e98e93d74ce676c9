package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	lossSlack = 200 * time.Millisecond // lossSlackMs
	// submitInterval gives 64 jobs a second over four instances, 1.7 times the usual rate
	// of the site, as in its bursts.
	submitInterval = 62 * time.Millisecond
)

// playHangup stops instances in turn, as for a release, and lets the settings file of each
// change while it stops: one of four instances, which is within the share of the site.
func playHangup(r *record, trouble bool) error {
	const regionOneWay = 30 * time.Millisecond
	c, err := startCell(r, cellOptions{instances: 4, executors: 12, storeOneWay: func(n int) time.Duration {
		if n == 0 {
			return 0 // in the store's region
		}
		return regionOneWay
	}})
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
	for _, i := range c.instances {
		group.Go(func() { s.play(i, stop) })
	}
	time.Sleep(5 * time.Second)
	const rounds, hangupDelay = 5, 300 * time.Millisecond
	for range rounds {
		target := c.writerInstance()
		if target == nil {
			target = c.instances[0]
		}
		r.note("planned work: SIGTERM to %s", target.name)
		stoppedAt := time.Now()
		ended := target.signal(syscall.SIGTERM)
		time.Sleep(hangupDelay)
		if trouble {
			r.note("planned work: the settings file of %s changes, SIGHUP", target.name)
			target.signal(syscall.SIGHUP)
		}
		select {
		case <-ended:
		case <-time.After(grace - hangupDelay):
			r.note("%s: SIGKILL after graceS", target.name)
			<-target.signal(syscall.SIGKILL)
		}
		s.judgeLost(target, stoppedAt)
		time.Sleep(500 * time.Millisecond)
		if err := target.start(); err != nil {
			return err
		}
		time.Sleep(8 * time.Second) // contactMs and more until the next planned work
	}
	close(stop)
	group.Wait()
	return nil
}

// play submits small jobs to one instance until stop is closed.
func (s *caller) play(i *instance, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(submitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		j := &job{id: newJobID(), Spec: "door", Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 200}}, sentAt: time.Now()}
		s.cell.jobs.add(j)
		body, err := json.Marshal(j)
		if err != nil {
			panic(err) // jobs always encode
		}
		group.Go(func() { s.send(i, http.MethodPost, "urgent", j.id, body) })
	}
}

// judgeLost checks the requests that the instance took from clients around its SIGTERM.
func (s *caller) judgeLost(i *instance, stoppedAt time.Time) {
	time.Sleep(clientTimeout / 10)
	for _, c := range s.all() {
		if c.instance != i || c.status != 0 || c.sentAt.IsZero() {
			continue
		}
		if c.endedAt.Before(stoppedAt) || c.endedAt.After(stoppedAt.Add(grace+time.Second)) || c.sinceSent() >= clientTimeout*7/10 {
			continue
		}
		if c.sinceSent() > lossSlack {
			s.cell.record.breach("LOST: %s %s was sent in full to %s, and its channel ends without an answer %d ms later, %d ms after the SIGTERM: %v",
				c.method, c.job, i.name, c.sinceSent().Milliseconds(), c.endedAt.Sub(stoppedAt).Milliseconds(), c.err)
		}
	}
}
