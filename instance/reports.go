package instance

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// reportWatch follows the reports of workers. It looks at what the workers say
// and not at the scheduler's state, so that a fault of the scheduler shows.
type reportWatch struct {
	twice   *metrics.Counter // tasks that two workers reported as running
	refused *metrics.Counter // starts that workers refused
	lapsed  *metrics.Counter // attempts that ended with their lease

	mu      sync.Mutex
	workers map[structs.WorkerID]*lastReport
	runs    map[structs.TaskID]reportedRun
}

// lastReport is what is kept of the newest report of a worker.
type lastReport struct {
	at      structs.Timestamp
	used    structs.Resources
	running []structs.TaskID
	ended   map[provider.AttemptRef]bool // completions that are not acknowledged
}

// reportedRun is a task that a worker reported as running.
type reportedRun struct {
	worker structs.WorkerID
	until  structs.Timestamp // lease end by the report
	doubly bool
}

func newReportWatch(set *metrics.Set) *reportWatch {
	return &reportWatch{
		twice:   set.NewCounter("mangodrum_tasks_reported_twice_total"),
		refused: set.NewCounter("mangodrum_task_starts_refused_total"),
		lapsed:  set.NewCounter("mangodrum_task_leases_lapsed_total"),
		workers: map[structs.WorkerID]*lastReport{},
		runs:    map[structs.TaskID]reportedRun{},
	}
}

// note takes in a report. Reports that overtook each other are dropped.
func (w *reportWatch) note(r *provider.WorkerReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.workers[r.Worker]
	if old == nil {
		old = &lastReport{}
	}
	if !r.At.After(old.at) {
		return
	}
	w.release(r.Worker, old)
	next := &lastReport{at: r.At, ended: map[provider.AttemptRef]bool{}}
	for i := range r.Tasks {
		w.noteTask(next, old, r, &r.Tasks[i])
	}
	w.workers[r.Worker] = next
}

func (w *reportWatch) noteTask(next, old *lastReport, r *provider.WorkerReport, t *provider.TaskReport) {
	if t.Status == provider.RunRunning {
		next.used = next.used.Add(t.Used)
		next.running = append(next.running, t.Task)
		w.noteRun(r, t)
		return
	}
	ref := provider.AttemptRef{Task: t.Task, Attempt: t.Attempt}
	next.ended[ref] = true
	switch {
	case old.ended[ref]: // reported until it is acknowledged
	case t.Status == provider.RunRefused:
		w.refused.Inc()
	case t.Status == provider.RunLapsed:
		w.lapsed.Inc()
	}
}

// noteRun counts a task whose newest reports of two workers say that it runs,
// both with a lease that has not ended by both clocks.
func (w *reportWatch) noteRun(r *provider.WorkerReport, t *provider.TaskReport) {
	other, known := w.runs[t.Task]
	doubly := known && other.worker != r.Worker && other.until.After(r.At.Add(provider.ClockBound))
	if doubly && !other.doubly {
		w.twice.Inc()
	}
	w.runs[t.Task] = reportedRun{worker: r.Worker, until: t.LeaseEnd, doubly: doubly}
}

// release forgets the runs of a worker's older report.
func (w *reportWatch) release(id structs.WorkerID, old *lastReport) {
	for _, task := range old.running {
		if w.runs[task].worker == id {
			delete(w.runs, task)
		}
	}
}

// forget drops a worker that certainly runs nothing any more.
func (w *reportWatch) forget(id structs.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.workers[id]; old != nil {
		w.release(id, old)
		delete(w.workers, id)
	}
}

// used returns the usage in the newest report of a worker and its time.
func (w *reportWatch) used(id structs.WorkerID) (structs.Resources, structs.Timestamp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if last := w.workers[id]; last != nil {
		return last.used, last.at
	}
	return structs.Resources{}, 0
}
