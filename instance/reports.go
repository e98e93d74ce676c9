package instance

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// reportMonitor derives metrics from the workers' reports. It uses only the
// reports and not the scheduler's state, so that the metrics also show faults
// of the scheduler.
type reportMonitor struct {
	reportedTwice *metrics.Counter // tasks that two workers reported as running at once
	refusedStarts *metrics.Counter // starts that workers refused
	lapsedLeases  *metrics.Counter // attempts that ended with their lease

	mu           sync.Mutex
	workers      map[structs.WorkerID]*lastReport
	reportedRuns map[structs.TaskID]reportedRun
}

// lastReport is the part of a worker's latest report that is kept.
type lastReport struct {
	at      structs.Timestamp
	used    structs.Resources
	running []structs.TaskID
	ended   map[provider.AttemptRef]bool // ended attempts that are not acknowledged yet
}

// reportedRun is the latest report of a running task.
type reportedRun struct {
	worker    structs.WorkerID
	leaseEnd  structs.Timestamp // as reported
	duplicate bool              // already counted as reported twice
}

func newReportMonitor(set *metrics.Set) *reportMonitor {
	return &reportMonitor{
		reportedTwice: set.NewCounter("mangodrum_tasks_reported_twice_total"),
		refusedStarts: set.NewCounter("mangodrum_task_starts_refused_total"),
		lapsedLeases:  set.NewCounter("mangodrum_task_leases_lapsed_total"),
		workers:       map[structs.WorkerID]*lastReport{},
		reportedRuns:  map[structs.TaskID]reportedRun{},
	}
}

// record evaluates a worker's report. A report that is not newer than the
// worker's last one is dropped.
func (w *reportMonitor) record(r *provider.WorkerReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.workers[r.Worker]
	if old == nil {
		old = &lastReport{}
	}
	if !r.ReportedAt.After(old.at) {
		return
	}
	w.removeRuns(r.Worker, old)
	next := &lastReport{at: r.ReportedAt, ended: map[provider.AttemptRef]bool{}}
	for i := range r.Tasks {
		w.recordTask(next, old, r, &r.Tasks[i])
	}
	w.workers[r.Worker] = next
}

func (w *reportMonitor) recordTask(next, old *lastReport, r *provider.WorkerReport, t *provider.TaskReport) {
	if t.Status == provider.RunRunning {
		next.used = next.used.Add(t.Used)
		next.running = append(next.running, t.Task)
		w.recordRun(r, t)
		return
	}
	ref := provider.AttemptRef{Task: t.Task, Attempt: t.Attempt}
	next.ended[ref] = true
	switch {
	case old.ended[ref]: // counted already; workers repeat it until it is acknowledged
	case t.Status == provider.RunRefused:
		w.refusedStarts.Inc()
	case t.Status == provider.RunLeaseExpired:
		w.lapsedLeases.Inc()
	}
}

// recordRun records that a worker runs a task. It counts the task as reported
// twice if the latest report of another worker says that the task runs there
// too, with a lease that ends more than provider.ClockBound after this report:
// that lease is then valid by the clocks of both workers.
func (w *reportMonitor) recordRun(r *provider.WorkerReport, t *provider.TaskReport) {
	other, known := w.reportedRuns[t.Task]
	duplicate := known && other.worker != r.Worker && other.leaseEnd.After(r.ReportedAt.Add(provider.ClockBound))
	if duplicate && !other.duplicate {
		w.reportedTwice.Inc()
	}
	w.reportedRuns[t.Task] = reportedRun{worker: r.Worker, leaseEnd: t.LeaseEnd, duplicate: duplicate}
}

// removeRuns removes the runs that a worker's previous report listed.
func (w *reportMonitor) removeRuns(id structs.WorkerID, old *lastReport) {
	for _, task := range old.running {
		if w.reportedRuns[task].worker == id {
			delete(w.reportedRuns, task)
		}
	}
}

// removeWorker removes a worker that is confirmed to run nothing any more.
func (w *reportMonitor) removeWorker(id structs.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.workers[id]; old != nil {
		w.removeRuns(id, old)
		delete(w.workers, id)
	}
}

// usage returns the resources that a worker used according to its latest
// report, and the time of that report.
func (w *reportMonitor) usage(id structs.WorkerID) (structs.Resources, structs.Timestamp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if last := w.workers[id]; last != nil {
		return last.used, last.at
	}
	return structs.Resources{}, 0
}
