package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// dueOccurrence: a job with times runs every 4 s; the leader is killed while an
// occurrence is at work.
func dueOccurrence(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 6, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	const interval, kills, phase = 4 * time.Second, 3, 500 * time.Millisecond
	first := time.Now().Add(2 * time.Second)
	id := c.newID()
	if !c.submit(id, job{
		Spec: "ms=1000", Steps: []step{{Count: 6, CPU: 2000, MemMB: 1024, EstimateMs: 1000}},
		Times: 10, InitialDelayMs: first.UnixMilli(), IntervalMs: interval.Milliseconds(),
	}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	for n := range kills {
		time.Sleep(time.Until(first.Add(time.Duration(2+3*n)*interval + phase)))
		if trouble {
			c.kill(c.leader())
		}
	}
	time.Sleep(time.Until(first.Add(9*interval + 3*time.Second)))
	c.state(id)
	return rec.checkTwice(), nil
}

// forgottenEnd goes on from the store of a deployment that has run for 100 s. With
// RECORD=1 it runs those 100 s and writes the store.
func forgottenEnd(dir, binary string, rec *recorder, trouble bool) ([]string, error) {
	snapshot, history := filepath.Join(dir, "store.json"), filepath.Join(dir, "history.txt")
	if os.Getenv("RECORD") == "1" {
		return nil, recordHistory(snapshot, history, binary, rec)
	}
	earlier, err := readHistory(history)
	if err != nil {
		return nil, err
	}
	c, err := newCell(rec, binary, snapshot, 6, 3, false)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for deadline := time.Now().Add(40 * time.Second); c.store.count("mangodrum_ended") > 0 && time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
	}
	rec.note("store", "%d rows left in mangodrum_ended", c.store.count("mangodrum_ended"))
	time.Sleep(time.Second)
	if trouble {
		c.kill(c.leader())
	}
	time.Sleep(14 * time.Second)
	var broken []string
	for _, now := range rec.runs() {
		if ended, found := earlier[now.task]; found {
			broken = append(broken, fmt.Sprintf("%s: %s run %d started on %s at %.3f s; %s", ended.rule, now.task, now.run, now.executor, now.start.Seconds(), ended.text))
		}
	}
	return broken, nil
}

// earlierEnd is what the first 100 s say about a task that must not run again.
type earlierEnd struct{ rule, text string }

func recordHistory(snapshot, history, binary string, rec *recorder) error {
	c, err := newCell(rec, binary, "", 6, 3, true)
	if err != nil {
		return err
	}
	defer c.close()
	// Several clients hand in jobs at the same moment, one of them a job that lasts.
	batch := step{Count: 2, CPU: 2000, MemMB: 1024, EstimateMs: 500}
	jobs := map[string]job{}
	var ids []string
	for n := range 12 {
		id := c.newID()
		jobs[id] = job{Spec: "ms=500", Steps: []step{batch}}
		if n == 6 {
			jobs[id] = job{Spec: "lasts", Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, LongRunning: true}}}
		}
		if n == 7 {
			jobs[id] = job{Spec: "ms=60000", Steps: []step{batch}} // is cancelled below
		}
		ids = append(ids, id)
	}
	var group sync.WaitGroup
	var refused atomic.Int32
	for _, id := range ids {
		group.Go(func() {
			if !c.submit(id, jobs[id]) {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	if refused.Load() > 0 {
		return fmt.Errorf("%d jobs were not accepted", refused.Load())
	}
	time.Sleep(time.Second)
	if status, _ := c.call(c.instances[0], http.MethodDelete, ids[7], nil); status != http.StatusOK {
		return fmt.Errorf("the job was not cancelled")
	}
	for n, id := range ids {
		want := "done"
		if n == 6 {
			want = "running"
		}
		if n == 7 {
			want = "cancelled"
		}
		if !c.waitState(id, want, 10*time.Second) {
			return fmt.Errorf("job %s is not shown as %s", id, want)
		}
	}
	time.Sleep(100*time.Second - rec.now())
	for _, id := range ids {
		c.state(id)
	}
	if err := c.store.save(snapshot, directoryTable, operatorTable, "mangodrum_instances"); err != nil {
		return err
	}
	var text strings.Builder
	for _, r := range rec.runs() {
		if r.how == "" {
			continue
		}
		fmt.Fprintf(&text, "%s %d %s %s %.3f %t\n", r.task, r.run, r.executor, r.how, r.end.Seconds(), r.noted)
	}
	for _, r := range rec.runs() {
		if jobOf(r.task) == ids[7] {
			fmt.Fprintf(&text, "%s 0 client cancelled 0 true\n", r.task)
		}
	}
	return os.WriteFile(history, []byte(text.String()), 0o644)
}

func readHistory(path string) (map[string]earlierEnd, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	ends := map[string]earlierEnd{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) != 6 {
			return nil, fmt.Errorf("unexpected line %q", lines.Text())
		}
		noted, _ := strconv.ParseBool(f[5])
		switch {
		case f[3] == "done" && noted:
			ends[f[0]] = earlierEnd{"TWICE", fmt.Sprintf("in the first 100 s, run %s ended done on %s at %s s, which was taken note of", f[1], f[2], f[4])}
		case f[3] == "cancelled":
			ends[f[0]] = earlierEnd{"UNASKED", "in the first 100 s, its job's cancelling was acknowledged, over 90 s before"}
		}
	}
	return ends, nil
}

// lastingDone: a task of a job that lasts ends by itself as done.
func lastingDone(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 6, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	id, spec := c.newID(), "lasts"
	if trouble {
		spec = "first=4000 how=done"
	}
	if !c.submit(id, job{Spec: spec, Steps: []step{{Count: 3, CPU: 2000, MemMB: 1024, LongRunning: true}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(25 * time.Second)
	var broken []string
	for index := range 3 {
		task := fmt.Sprintf("%s.0.0.%d", id, index)
		ended, atWork, any := rec.lastRun(task)
		// 6 s after its last run, and then for 3 s, with 4 calm seconds before.
		if silent := rec.now() - ended; any && !atWork && silent > 13*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: %s, a task that lasts, has had no run for %.1f s since its last run ended at %.3f s, with the executors nearly empty", task, silent.Seconds(), ended.Seconds()))
		}
	}
	if state := c.state(id); state != "running" && state != "pending" && state != "" {
		broken = append(broken, fmt.Sprintf("LOST: job %s lasts and nobody has cancelled it; it is shown as %s", id, state))
	}
	return broken, nil
}

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

// hiddenEnds: a sweep of many short tasks is at work while the store is down for
// 4.5 s.
func hiddenEnds(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 3, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	sweep := c.newID()
	if !c.submit(sweep, job{Spec: "ms=1000", Steps: []step{{Count: 5000, CPU: 200, MemMB: 64, EstimateMs: 1000}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.store.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		c.store.setDown(false)
	}
	c.waitState(sweep, "done", 25*time.Second)
	time.Sleep(time.Second)
	return rec.checkTwice(), nil
}

// crashLoop: all tasks of a job that lasts fail soon after each start, beside
// ordinary jobs.
func crashLoop(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 6, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	spec := "lasts"
	if trouble {
		spec = "ms=50 how=failed"
	}
	if !c.submit(c.newID(), job{Spec: spec, Steps: []step{{Count: 120, CPU: 500, MemMB: 64, LongRunning: true}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var ids []string
	lost := 0
	for rec.now() < 85*time.Second {
		id := c.newID()
		group.Go(func() {
			ok := c.submit(id, job{Spec: "ms=200", Steps: []step{{Count: 2, CPU: 1000, MemMB: 256, EstimateMs: 200}}})
			mu.Lock()
			defer mu.Unlock()
			if ok {
				ids = append(ids, id)
			} else {
				lost++
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(14 * time.Second) // finish_s
	rec.note("check", "%d jobs accepted, %d not", len(ids), lost)
	for _, id := range ids[max(0, len(ids)-8):] {
		c.state(id)
	}
	broken := rec.checkIdle(ids, 2, 3*time.Second)
	c.store.mu.Lock()
	rec.note("store", "%d transactions refused; largest row %d bytes", c.store.rejected, c.store.largestRow)
	c.store.mu.Unlock()
	return append(broken, rec.checkTwice()...), nil
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
