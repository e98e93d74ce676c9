package standin

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// defaultRunTime is how long a task with an empty command runs.
const defaultRunTime = time.Second

// Worker is a simulated worker. It satisfies the assumptions W1 to W3 of
// docs/design.md and counts the starts that would exceed its capacity.
type Worker struct {
	Info structs.Worker
	// FailAll makes every attempt fail immediately.
	FailAll bool
	// Usage returns the resources that an attempt uses; nil means those that it
	// requested.
	Usage func(provider.StartTask) structs.Resources

	mu              sync.Mutex
	runs            map[provider.AttemptRef]*run
	acknowledged    map[provider.AttemptRef]structs.Timestamp // not-after times of the acknowledged attempts
	used            structs.Resources
	startCount      int
	oversizedStarts int // starts that would have exceeded the capacity; all were rejected
}

type run struct {
	start  provider.StartTask
	end    structs.Timestamp // planned end; 0 means that the attempt runs until it is stopped
	fails  bool
	report provider.TaskReport
}

// NewWorker returns an idle worker.
func NewWorker(info structs.Worker) *Worker {
	return &Worker{
		Info:         info,
		runs:         map[provider.AttemptRef]*run{},
		acknowledged: map[provider.AttemptRef]structs.Timestamp{},
	}
}

// OversizedStarts returns how many starts would have exceeded the worker's capacity.
func (w *Worker) OversizedStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.oversizedStarts
}

// Running returns the attempts that are running at the time now.
func (w *Worker) Running(now structs.Timestamp) []provider.AttemptRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	var refs []provider.AttemptRef
	for ref, r := range w.runs {
		if r.report.Status == provider.RunRunning {
			refs = append(refs, ref)
		}
	}
	return refs
}

// Do executes the commands of batch at the time now and then returns a report.
func (w *Worker) Do(now structs.Timestamp, batch provider.WorkerBatch) provider.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, ref := range batch.Acks {
		w.acknowledge(ref)
	}
	for _, ref := range batch.Stops {
		w.finish(ref, provider.RunStopped, "stopped on request")
	}
	for _, ref := range batch.Checkpoints {
		if r := w.runs[ref]; r != nil && r.report.Status == provider.RunRunning {
			r.report.Checkpointed = true
		}
	}
	for _, renewal := range batch.Renewals {
		w.renew(renewal)
	}
	for _, start := range batch.Starts {
		w.start(now, start)
	}
	return w.reportAt(now)
}

func (w *Worker) acknowledge(ref provider.AttemptRef) {
	if r := w.runs[ref]; r != nil && r.report.Status != provider.RunRunning {
		delete(w.runs, ref)
		w.acknowledged[ref] = r.start.NotAfter
	}
}

func (w *Worker) renew(renewal provider.LeaseRenewal) {
	r := w.runs[provider.AttemptRef{Task: renewal.Task, Attempt: renewal.Attempt}]
	if r != nil && r.report.Status == provider.RunRunning {
		r.report.LeaseEnd = max(r.report.LeaseEnd, renewal.LeaseEnd)
	}
}

func (w *Worker) start(now structs.Timestamp, start provider.StartTask) {
	ref := provider.AttemptRef{Task: start.Task, Attempt: start.Attempt}
	if _, acknowledged := w.acknowledged[ref]; acknowledged || w.runs[ref] != nil {
		return
	}
	r := &run{start: start, report: provider.TaskReport{
		Task: start.Task, Attempt: start.Attempt, Status: provider.RunRunning, LeaseEnd: start.LeaseEnd,
	}}
	w.runs[ref] = r
	if now.After(start.NotAfter) {
		r.report.Status, r.report.Message = provider.RunRefused, "start arrived after its not-after time"
		return
	}
	if !w.used.Add(start.Resources).Fits(w.Info.Capacity) {
		w.oversizedStarts++
		r.report.Status, r.report.Message = provider.RunRefused, "worker does not have enough free resources"
		return
	}
	w.startCount++
	w.used = w.used.Add(start.Resources)
	r.report.Used = start.Resources
	if w.Usage != nil {
		r.report.Used = w.Usage(start)
	}
	runTime, fails := parseCommand(start.Command)
	r.fails = fails
	if runTime > 0 {
		r.end = now.Add(runTime)
	}
	if w.FailAll {
		w.finish(ref, provider.RunFailed, "worker fault")
	}
}

// parseCommand returns how long a command runs, where 0 means until it is stopped,
// and whether it fails at the end. "serve" and every command with the argument
// --listen run until they are stopped. Other commands, such as "sleep DURATION"
// and "fail DURATION", run for the given duration, or for defaultRunTime without a
// valid one. Only "fail" fails.
func parseCommand(command []string) (runTime time.Duration, fails bool) {
	if len(command) == 0 {
		return defaultRunTime, false
	}
	if command[0] == "serve" || slices.Contains(command, "--listen") {
		return 0, false
	}
	runTime = defaultRunTime
	if len(command) > 1 {
		if d, err := time.ParseDuration(command[1]); err == nil {
			runTime = d
		}
	}
	return runTime, command[0] == "fail"
}

func (w *Worker) finish(ref provider.AttemptRef, status provider.RunStatus, message string) {
	r := w.runs[ref]
	if r == nil || r.report.Status != provider.RunRunning {
		return
	}
	r.report.Status, r.report.Message = status, message
	w.used = w.used.Sub(r.start.Resources)
}

// advance ends the attempts whose run time or lease has ended by now and removes
// the acknowledged attempts whose not-after time has passed.
func (w *Worker) advance(now structs.Timestamp) {
	for ref, notAfter := range w.acknowledged {
		if now.After(notAfter) {
			delete(w.acknowledged, ref)
		}
	}
	for ref, r := range w.runs {
		switch {
		case r.report.Status != provider.RunRunning:
		case r.end != 0 && !r.end.After(now) && !r.end.After(r.report.LeaseEnd):
			status := provider.RunSucceeded
			if r.fails {
				status = provider.RunFailed
			}
			w.finish(ref, status, "")
		case !r.report.LeaseEnd.After(now):
			w.finish(ref, provider.RunLeaseExpired, "lease expired")
		}
	}
}

func (w *Worker) reportAt(now structs.Timestamp) provider.WorkerReport {
	report := provider.WorkerReport{Worker: w.Info.ID, ReportedAt: now}
	for _, r := range w.runs {
		report.Tasks = append(report.Tasks, r.report)
	}
	sort.Slice(report.Tasks, func(i, j int) bool {
		a, b := &report.Tasks[i], &report.Tasks[j]
		return a.Task < b.Task || a.Task == b.Task && a.Attempt < b.Attempt
	})
	return report
}

// Pool is a set of simulated workers.
type Pool struct {
	// Now is the workers' clock.
	Now func() structs.Timestamp

	mu         sync.Mutex
	workers    map[structs.WorkerID]*Worker
	doubleRuns int
}

var _ provider.Workers = (*Pool)(nil)

// NewPool returns a pool of idle workers.
func NewPool(now func() structs.Timestamp, infos []structs.Worker) *Pool {
	p := &Pool{Now: now, workers: map[structs.WorkerID]*Worker{}}
	for _, info := range infos {
		p.workers[info.ID] = NewWorker(info)
	}
	return p
}

// addStats adds the counts of all workers.
func (p *Pool) addStats(stats *Stats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		w.mu.Lock()
		stats.OversizedStarts += w.oversizedStarts
		stats.Starts += w.startCount
		w.mu.Unlock()
	}
	stats.DoubleRuns = p.doubleRuns
}

// countDoubleRuns counts the started tasks of which more than one attempt runs.
func (p *Pool) countDoubleRuns(starts []provider.StartTask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, start := range starts {
		running := 0
		for _, w := range p.workers {
			running += w.runningAttempts(now, start.Task)
		}
		if running > 1 {
			p.doubleRuns++
		}
	}
}

func (w *Worker) runningAttempts(now structs.Timestamp, task structs.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	n := 0
	for ref, r := range w.runs {
		if ref.Task == task && r.report.Status == provider.RunRunning {
			n++
		}
	}
	return n
}

// Worker returns the worker with the given identifier, or nil.
func (p *Pool) Worker(id structs.WorkerID) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id]
}

// Do implements provider.Workers.
func (p *Pool) Do(_ context.Context, worker structs.Worker, batch provider.WorkerBatch) (provider.WorkerReport, error) {
	w := p.Worker(worker.ID)
	if w == nil {
		return provider.WorkerReport{}, errs.New(errs.NotRun, "read the directory again", "worker %q does not exist", worker.ID)
	}
	report := w.Do(p.Now(), batch)
	if len(batch.Starts) > 0 {
		p.countDoubleRuns(batch.Starts)
	}
	return report, nil
}
