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

// reborn: an executor loses power for 0.4 s, again and again, and is back under the
// same identifier and address. It does so as an order to start a task arrives.
func reborn(_, binary string, rec *recorder, trouble bool) ([]string, error) {
	c, err := newCell(rec, binary, "", 8, 3, true)
	if err != nil {
		return nil, err
	}
	defer c.close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			id := c.newID()
			group.Go(func() {
				c.submit(id, job{Spec: "ms=400", Steps: []step{{Count: 1, CPU: 2000, MemMB: 256, EstimateMs: 400}}})
			})
		}
	})
	for range 22 {
		time.Sleep(3500 * time.Millisecond)
		if trouble {
			c.latestStarted().losePowerAtStart(400 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	time.Sleep(6 * time.Second)
	return rec.checkTwice(), nil
}

// latestStarted returns the executor that has begun a task last.
func (c *cell) latestStarted() *executor {
	runs := c.rec.runs()
	for n := len(runs) - 1; n >= 0; n-- {
		for _, e := range c.executors {
			if e.id == runs[n].executor {
				return e
			}
		}
	}
	return c.executors[0]
}
