package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	backlogJobs   = 4000
	specLength    = 3900 // bytes; PROTOCOL.md allows 4,000
	watchedJobs   = 10
	floodInterval = 10 * time.Millisecond // 2.6 times the traffic of the site
	finishTime    = 14 * time.Second      // finish_s
	watchTime     = 15 * time.Second      // after finishTime
	watchedDelay  = 8 * time.Second       // from the end of the traffic until the watched jobs are due
)

// backlog hands in nightly jobs that are due in an hour, and a few that are due soon. Then
// the machine that leads is removed for good. The jobs that are due have to run.
func backlog(rec *recorder, trouble bool) {
	c := startCell(rec, 5, 6, 30*time.Millisecond)
	defer c.close()
	c.waitReady()
	c.floodWithNightlyJobs()
	due := time.Now().Add(watchedDelay)
	step := `{"count":1,"cpu":2000,"memMb":1024,"estimateMs":1000}`
	var watched []*job
	for n := range watchedJobs {
		of := &job{id: fmt.Sprintf("5c0e7a21d94b%04x", n), spec: fmt.Sprintf("inspection %d", n), work: time.Second, tasks: 1}
		if !c.submitTimed(of, step, due, n%len(c.instances)) {
			fatal(fmt.Errorf("job %s was not accepted", of.id))
		}
		watched = append(watched, of)
	}
	trafficEnd := time.Now()
	rec.log("the traffic has ended, the watched jobs are due at %.3f s", rec.at(due))
	if trouble {
		leader := c.instances[c.store.leader()]
		if leader.number != 0 {
			fatal(fmt.Errorf("instance %d leads, not the one near the store", leader.number))
		}
		c.judge.trouble(fmt.Sprintf("the machine of instance %d is removed for good", leader.number))
		c.signal(leader, syscall.SIGKILL)
		<-leader.exited
		leader.command = nil
	}
	for time.Since(trafficEnd) < finishTime+watchTime {
		for _, i := range c.instances {
			if i.command == nil {
				continue
			}
			status, _ := c.call(i, http.MethodGet, watched[0].id, "")
			rec.log("instance %d ready: %v, answer %d", i.number, c.isReady(i), status)
		}
		probe := &job{id: fmt.Sprintf("6c0e7a21d94b%04x", time.Since(trafficEnd).Milliseconds()), spec: "probe", work: time.Second, tasks: 1}
		c.judge.add(probe)
		c.call(c.instances[1], http.MethodPost, probe.id, fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, probe.spec, step))
		time.Sleep(500 * time.Millisecond)
	}
	c.checkWatched(watched, due, trafficEnd)
}

// checkWatched checks LOST: later than finish_s after the end of the traffic, for 3 s, a job
// has nothing running while a task's turn has come, and nothing else uses the executors.
func (c *cell) checkWatched(watched []*job, due, trafficEnd time.Time) {
	from := trafficEnd.Add(finishTime)
	if due.After(from) {
		from = due
	}
	missing := 0
	for _, of := range watched {
		started, ok := c.judge.firstStart(of.id)
		if ok {
			c.rec.log("job %s, due at %.3f s, ran first at %.3f s", of.id, c.rec.at(due), c.rec.at(started))
		}
		if !ok || started.After(from.Add(idleTime)) {
			missing++
		}
	}
	if missing > 0 {
		c.rec.broke("LOST: %d of %d accepted jobs that were due at %.3f s had nothing running from %.3f s to %.3f s, with all executors free",
			missing, len(watched), c.rec.at(due), c.rec.at(from), c.rec.at(from.Add(idleTime)))
	}
}

// floodWithNightlyJobs hands in the jobs that are due in an hour, and ends if one of them is
// not accepted.
func (c *cell) floodWithNightlyJobs() {
	const clients, tries = 24, 5
	due := time.Now().Add(time.Hour).UnixMilli()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":4,"cpu":2000,"memMb":1024,"estimateMs":1000}],"times":1,"initialDelayMs":%d}`, strings.Repeat("recalibrate ", specLength/12), due)
	var accepted, answers atomic.Int64
	var group sync.WaitGroup
	numbers := make(chan int)
	for n := range clients {
		group.Go(func() {
			client := http.Client{Timeout: 3 * time.Second}
			for k := range numbers {
				for try := range tries {
					request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", c.instances[(n+try)%len(c.instances)].front, routePrefix, 0xabc0000000+k), strings.NewReader(body))
					if err != nil {
						return
					}
					request.Host = routeHost
					request.Header.Set("Deadline-Ms", "3000")
					response, err := client.Do(request)
					if err != nil {
						continue
					}
					_ = response.Body.Close()
					answers.Add(1)
					if response.StatusCode == http.StatusOK {
						accepted.Add(1)
						break
					}
				}
			}
		})
	}
	for k := range backlogJobs {
		numbers <- k
		time.Sleep(floodInterval)
	}
	close(numbers)
	group.Wait()
	c.rec.log("clients: %d nightly jobs of %d bytes accepted, %d answers", accepted.Load(), len(body), answers.Load())
	if accepted.Load() != backlogJobs {
		fatal(fmt.Errorf("%d of %d nightly jobs were accepted", accepted.Load(), backlogJobs))
	}
}
