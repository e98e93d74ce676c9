package instance

import (
	"maps"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// queueTotals sums queue depths by team label and class.
type queueTotals map[queueKey]queueTotal

type queueKey struct {
	team  string
	class structs.ClassName
}

type queueTotal struct {
	depth  int
	oldest time.Duration
}

func (q queueTotals) add(team string, class structs.ClassName, depth int, oldest time.Duration) {
	key := queueKey{team, class}
	sum := q[key]
	sum.depth += depth
	sum.oldest = max(sum.oldest, oldest)
	q[key] = sum
}

func (q queueTotals) write(s *scrape, depthMetric, oldestMetric string) {
	for key, sum := range q {
		s.gauge(depthMetric, float64(sum.depth), "team", key.team, "class", string(key.class))
		s.gauge(oldestMetric, sum.oldest.Seconds(), "team", key.team, "class", string(key.class))
	}
}

// domainTotals sums the state of workers by failure domain.
type domainTotals map[structs.FailureDomain]*domainTotal

type domainTotal struct {
	capacity, reserved, used structs.Resources
	states                   map[string]int
	overcommitted, overused  int
	tasks, unconfirmed       int
}

func (f domainTotals) add(i *Instance, workers []scheduler.WorkerStatus) {
	for n := range workers {
		w := &workers[n]
		domain := w.Worker.Location.FailureDomain
		if f[domain] == nil {
			f[domain] = &domainTotal{states: map[string]int{"usable": 0, "draining": 0, "quarantined": 0, "unreachable": 0, "leaving": 0}}
		}
		used, _ := i.reports.usage(w.Worker.ID)
		f[domain].add(w, used)
	}
}

func (d *domainTotal) add(w *scheduler.WorkerStatus, used structs.Resources) {
	d.capacity = d.capacity.Add(w.Worker.Capacity)
	d.reserved = d.reserved.Add(w.Reserved)
	d.used = d.used.Add(used)
	d.states[workerState(w)]++
	d.tasks += w.Tasks
	d.unconfirmed += w.Unconfirmed
	if !w.Reserved.Fits(w.Worker.Capacity) {
		d.overcommitted++
	}
	if !used.Fits(w.Worker.Capacity) {
		d.overused++
	}
}

// workerState returns the value of the label "state": the first reason that
// keeps a worker from taking work, or "usable".
func workerState(w *scheduler.WorkerStatus) string {
	switch {
	case w.DownSince != 0:
		return "unreachable"
	case w.Worker.State != structs.Live || !w.Listed:
		return "leaving"
	case w.QuarantinedUntil != 0:
		return "quarantined"
	case w.Drained:
		return "draining"
	}
	return "usable"
}

func (f domainTotals) write(s *scrape) {
	for _, domain := range slices.Sorted(maps.Keys(f)) {
		d, name := f[domain], string(domain)
		for _, part := range []struct {
			kind   string
			amount structs.Resources
		}{{"capacity", d.capacity}, {"reserved", d.reserved}, {"used", d.used}} {
			s.gauge("mangodrum_worker_cpu_cores", float64(part.amount.MilliCPU)/1000, "domain", name, "kind", part.kind)
			s.gauge("mangodrum_worker_memory_bytes", float64(part.amount.MemoryBytes), "domain", name, "kind", part.kind)
			s.gauge("mangodrum_worker_accelerators", float64(part.amount.Accelerators), "domain", name, "kind", part.kind)
		}
		for _, state := range slices.Sorted(maps.Keys(d.states)) {
			s.gauge("mangodrum_workers", float64(d.states[state]), "domain", name, "state", state)
		}
		s.gauge("mangodrum_workers_overcommitted", float64(d.overcommitted), "domain", name)
		s.gauge("mangodrum_workers_overused", float64(d.overused), "domain", name)
		s.gauge("mangodrum_tasks_running", float64(d.tasks), "domain", name)
		s.gauge("mangodrum_tasks_unconfirmed", float64(d.unconfirmed), "domain", name)
	}
}

// lagTimer measures for how long this instance has known a newer settings
// version than the one in force. It is owned by the event loop.
type lagTimer struct{ since structs.Timestamp }

// update compares the version in force with the newest known one and returns
// the lag.
func (c *lagTimer) update(now structs.Timestamp, version, known uint64) time.Duration {
	if known <= version {
		c.since = 0
		return 0
	}
	if c.since == 0 {
		c.since = now
	}
	return now.Sub(c.since)
}
