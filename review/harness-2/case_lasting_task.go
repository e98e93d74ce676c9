package main

import (
	"fmt"
	"syscall"
	"time"
)

// Figures of the rule about tasks that last.
const (
	lastingGap = 6 * time.Second // after its last run, a task that lasts
	calmBefore = 4 * time.Second // no impairment for so long before idleTime
)

// playLastingTask empties an executor that runs tasks of a long-running job, and takes it away.
// Soon after that the leader is killed, and restarted at once.
func playLastingTask(r *record, trouble bool) error {
	c, err := startCell(r, cellOptions{instances: 3, executors: 16})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s := newCaller(c)
	j := s.submit("urgent", []step{{Count: 4, CPU: 2000, MemMB: 1024, EstimateMs: 500, LongRunning: true}})
	if !j.accepted {
		return fmt.Errorf("the long-running job was not accepted")
	}
	const rounds, settle, killDelay, restartDelay = 3, 8 * time.Second, 2 * time.Second, 300 * time.Millisecond
	for range rounds {
		time.Sleep(settle)
		e := c.busiest(j)
		if e == nil {
			return fmt.Errorf("no executor runs the long-running job")
		}
		tasks := e.runsOf(j)
		e.leave()
		left := time.Now()
		time.Sleep(killDelay)
		calmFrom := left
		if trouble {
			target := c.writerInstance()
			if target == nil {
				return fmt.Errorf("no instance has written to the store")
			}
			r.note("trouble: SIGKILL to %s", target.name)
			<-target.signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
			if err := target.start(); err != nil {
				return err
			}
			calmFrom = time.Now()
		}
		c.judgeLasting(tasks, left, calmFrom)
	}
	return nil
}

// busiest returns the executor with the most tasks of a job.
func (c *cell) busiest(j *job) *executor {
	var busiest *executor
	most := 0
	for _, e := range c.executors {
		if n := len(e.runsOf(j)); n > most {
			busiest, most = e, n
		}
	}
	return busiest
}

// judgeLasting waits until the tasks, whose last runs have ended, run again. None may be away
// for idleTime from lastingGap after its last run on, if these and the calmBefore before them
// are free of impairments, which ended at calmFrom.
func (c *cell) judgeLasting(tasks []string, ended, calmFrom time.Time) {
	latest := ended.Add(lastingGap)
	if at := calmFrom.Add(calmBefore); at.After(latest) {
		latest = at
	}
	latest = latest.Add(idleTime)
	const waitMost = 20 * time.Second
	away := append([]string(nil), tasks...)
	for time.Since(ended) < waitMost && len(away) > 0 {
		time.Sleep(10 * time.Millisecond)
		kept := away[:0]
		for _, task := range away {
			if !c.jobs.isRunning(task) {
				kept = append(kept, task)
				continue
			}
			c.record.note("lasting: %s runs again %d ms after its last run; latest time %d ms", task, time.Since(ended).Milliseconds(), latest.Sub(ended).Milliseconds())
			if time.Now().After(latest) {
				c.record.breach("LOST: %s, a task that lasts, runs again only %d ms after its last run; the last impairment had ended %d ms before", task, time.Since(ended).Milliseconds(), time.Since(calmFrom).Milliseconds())
			}
		}
		away = kept
	}
	for _, task := range away {
		c.record.breach("LOST: %s, a task that lasts, does not run again within %s", task, waitMost)
	}
}
