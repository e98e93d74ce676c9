package main

import (
	"fmt"
	"net/http"
	"time"
)

// silentPeers lets the open channels between the instances go silent once. Finish_s after
// the end of the traffic, clients of each region ask for an accepted job.
func silentPeers(rec *recorder, trouble bool) {
	c := startCell(rec, 5, 6, 30*time.Millisecond)
	defer c.close()
	c.waitReady()
	step := `{"count":1,"cpu":2000,"memMb":1024,"estimateMs":1000}`
	var jobs []*job
	for n := range 5 {
		of := &job{id: fmt.Sprintf("5c0e7a21d94b%04x", n), spec: fmt.Sprintf("inspection %d", n), work: time.Second, tasks: 1}
		if !c.submit(of, step, n) {
			fatal(fmt.Errorf("job %s was not accepted", of.id))
		}
		jobs = append(jobs, of)
	}
	time.Sleep(2 * time.Second)
	trafficEnd := time.Now()
	rec.log("the traffic has ended")
	if trouble {
		silenced := 0
		for _, p := range c.proxies {
			silenced += p.silence()
		}
		c.judge.trouble(fmt.Sprintf("the %d open channels between instances go silent, new ones work", silenced))
	}
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	const asked = 24 * time.Second
	for region := range c.region(len(c.instances)-1) + 1 {
		began, tries, answered := time.Now(), 0, false
		for ; time.Since(began) < asked && !answered; tries++ {
			i := c.ingress(region, tries)
			if i == nil {
				fatal(fmt.Errorf("no instance is ready"))
			}
			status, _ := c.call(i, http.MethodGet, jobs[tries%len(jobs)].id, "")
			answered = status == http.StatusOK
			if !answered {
				time.Sleep(200 * time.Millisecond)
			}
		}
		rec.log("clients of region %d: %d tries, answered: %v", region, tries, answered)
		if !answered {
			c.judge.rec.broke("LOST: the clients of region %d asked %d times in %.0f s for accepted jobs and got no answer, at instances that are ready", region, tries, asked.Seconds())
		}
	}
}

// ingress returns the instance to which the platform forwards the n-th new channel of a
// client of a region: one of those in rotation there, or one of another region if none is.
func (c *cell) ingress(region, n int) *instance {
	var here, others []*instance
	for _, i := range c.instances {
		switch {
		case !c.isReady(i):
		case c.region(i.number) == region:
			here = append(here, i)
		default:
			others = append(others, i)
		}
	}
	if len(here) == 0 {
		here = others
	}
	if len(here) == 0 {
		return nil
	}
	return here[n%len(here)]
}
