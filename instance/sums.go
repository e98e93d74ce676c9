package instance

import (
	"maps"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// teamQueues sums queues by team label and class.
type teamQueues map[teamQueue]queueSum

type teamQueue struct {
	team  string
	class structs.ClassName
}

type queueSum struct {
	depth  int
	oldest time.Duration
}

func (q teamQueues) add(team string, class structs.ClassName, depth int, oldest time.Duration) {
	key := teamQueue{team, class}
	sum := q[key]
	sum.depth += depth
	sum.oldest = max(sum.oldest, oldest)
	q[key] = sum
}

func (q teamQueues) write(s *scrape, depth, oldest string) {
	for key, sum := range q {
		s.gauge(depth, float64(sum.depth), "team", key.team, "class", string(key.class))
		s.gauge(oldest, sum.oldest.Seconds(), "team", key.team, "class", string(key.class))
	}
}

// fleetSum sums workers by failure domain.
type fleetSum map[structs.FailureDomain]*domainSum

type domainSum struct {
	capacity, reserved, used structs.Resources
	states                   map[string]int
	overcommitted, overused  int
	tasks, unconfirmed       int
}

func (f fleetSum) add(i *Instance, workers []scheduler.WorkerStatus) {
	for n := range workers {
		w := &workers[n]
		domain := w.Worker.Location.FailureDomain
		if f[domain] == nil {
			f[domain] = &domainSum{states: map[string]int{"usable": 0, "draining": 0, "quarantined": 0, "unreachable": 0, "leaving": 0}}
		}
		used, _ := i.reports.used(w.Worker.ID)
		f[domain].add(w, used)
	}
}

func (d *domainSum) add(w *scheduler.WorkerStatus, used structs.Resources) {
	d.capacity = d.capacity.Add(w.Worker.Capacity)
	d.reserved = d.reserved.Add(w.Reserved)
	d.used = d.used.Add(used)
	d.states[stateOf(w)]++
	d.tasks += w.Tasks
	d.unconfirmed += w.Unconfirmed
	if !w.Reserved.Fits(w.Worker.Capacity) {
		d.overcommitted++
	}
	if !used.Fits(w.Worker.Capacity) {
		d.overused++
	}
}

// stateOf returns the first reason that keeps a worker from taking work.
func stateOf(w *scheduler.WorkerStatus) string {
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

func (f fleetSum) write(s *scrape) {
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

// lagClock measures how long a newer settings version has been known that is
// not in force. It is owned by the loop.
type lagClock struct{ since structs.Timestamp }

func (c *lagClock) observe(now structs.Timestamp, version, known uint64) time.Duration {
	if known <= version {
		c.since = 0
		return 0
	}
	if c.since == 0 {
		c.since = now
	}
	return now.Sub(c.since)
}
