package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the executors, as in the users' pages.
const (
	reportInterval = 1500 * time.Millisecond
	holdMax        = 6 * time.Second
	stopTime       = 200 * time.Millisecond // stopMs allows 900 ms
	maxListedEnds  = 500
	drainTime      = 3 * time.Second // drainMs
	saveInterval   = time.Second     // saveS
	restoreTime    = 250 * time.Millisecond
	// checkpointBytes is the length of a checkpoint. The pages name it a string and give
	// no limit.
	checkpointBytes = 1000
)

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// executor is a stand-in of a server that runs tasks.
type executor struct {
	id       string
	rack     string
	capacity resources
	store    *store
	record   *record
	jobs     *jobBook

	mu           sync.Mutex
	port         string
	life         int
	up           bool
	draining     bool
	kind         string
	server       *http.Server
	born         time.Time
	sequence     int
	fence        uint64
	leaseEnd     time.Duration
	running      map[string]*run
	highest      map[string]uint64
	ended        []endedRun
	lastEnd      uint64
	endChanged   chan struct{}
	ackedThrough uint64
}

type run struct {
	task    string
	number  uint64
	cpu     int64
	started time.Time
	length  time.Duration
	saves   bool
	resumed time.Duration // work that its checkpoint stood for
}

// checkpoint returns the latest checkpoint of a run, "" if it has none: the work done, and
// the state of the task.
func (r *run) checkpoint() string {
	work := r.resumed + time.Since(r.started)
	if !r.saves || work < saveInterval {
		return ""
	}
	return fmt.Sprintf("%0*d", checkpointBytes, work.Truncate(saveInterval).Milliseconds())
}

type endedRun struct {
	number uint64
	run    *run
	how    string
	saved  string
}

func newExecutor(id, rack, kind string, capacity resources, s *store, jobs *jobBook) *executor {
	return &executor{id: id, rack: rack, kind: kind, capacity: capacity, store: s, record: s.record, jobs: jobs}
}

// start begins a lifetime of the given kind and registers it.
func (e *executor) start(kind string) error {
	e.mu.Lock()
	port := e.port
	e.mu.Unlock()
	if port == "" {
		port = "0"
	}
	var listener net.Listener
	var err error
	for range 20 {
		if listener, err = net.Listen("tcp4", "127.0.0.1:"+port); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	_, e.port, err = net.SplitHostPort(listener.Addr().String())
	e.life++
	life := e.life
	e.up, e.draining, e.kind, e.born, e.sequence, e.fence, e.leaseEnd = true, false, kind, time.Now(), 0, 0, 0
	e.running, e.highest, e.ended, e.lastEnd, e.ackedThrough = map[string]*run{}, map[string]uint64{}, nil, 0, 0
	e.endChanged = make(chan struct{})
	e.server = &http.Server{Handler: e}
	server := e.server
	e.mu.Unlock()
	if err != nil {
		return err
	}
	e.record.note("executor %s: life %d begins, kind %s", e.id, life, kind)
	go func() { _ = server.Serve(listener) }()
	e.register(life)
	go e.keepRegistered(life)
	go e.watchLease(life)
	return nil
}

// crash ends the lifetime; the executor sends nothing and holds nothing afterwards.
func (e *executor) crash() {
	e.mu.Lock()
	lost := len(e.running)
	e.up, e.running = false, map[string]*run{}
	server := e.server
	e.mu.Unlock()
	e.jobs.forget(e.id)
	e.record.note("executor %s: ends with %d runs", e.id, lost)
	_ = server.Close()
}

// leave reports that the executor drains, serves for drainTime and a little longer, and ends.
// Everything that runs on it ends with it.
func (e *executor) leave() {
	e.mu.Lock()
	e.draining = true
	life := e.life
	e.mu.Unlock()
	e.register(life)
	e.record.note("executor %s: the store has accepted that it is draining", e.id)
	time.Sleep(drainTime + 500*time.Millisecond)
	e.crash()
	e.store.put("servers", e.id, nil)
}

// register writes the executor's entry.
func (e *executor) register(life int) {
	e.mu.Lock()
	if !e.up || e.life != life {
		e.mu.Unlock()
		return
	}
	e.sequence++
	entry := map[string]any{
		"service": serviceName, "address": "127.0.0.1:" + e.port, "zone": "ishikari-a", "version": "1.0", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "sequence": e.sequence, "capacity": e.capacity, "labels": []string{e.kind, e.rack}, "born": e.born.UnixMilli(),
	}
	if e.draining {
		entry["state"], entry["remainingMs"] = "draining", drainTime.Milliseconds()
	}
	kind := e.kind
	e.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the entry always encodes
	}
	time.Sleep(storeTxTime)
	e.store.put("servers", e.id, data)
	if entry["sequence"] == 1 {
		e.record.note("executor %s: the store has accepted the entry of life %d, kind %s", e.id, life, kind)
	}
}

func (e *executor) keepRegistered(life int) {
	for {
		time.Sleep(reportInterval + time.Duration(rand.Int64N(int64(100*time.Millisecond))))
		e.mu.Lock()
		over := !e.up || e.life != life
		e.mu.Unlock()
		if over {
			return
		}
		e.register(life)
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// watchLease kills everything when the lease expires.
func (e *executor) watchLease(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			return
		}
		e.lapse()
		e.mu.Unlock()
	}
}

// lapse ends the runs of an expired lease. The caller holds e.mu.
func (e *executor) lapse() {
	if e.clock() < e.leaseEnd {
		return
	}
	for _, r := range e.running {
		e.end(r, "lapsed")
	}
}

// end lists a run as ended. The caller holds e.mu.
func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	saved := ""
	if how != "done" {
		saved = r.checkpoint()
	}
	e.ended = append(e.ended, endedRun{e.lastEnd, r, how, saved})
	e.record.note("executor %s: run %d of %s ends as %s", e.id, r.number, r.task, how)
	e.jobs.ended(r.task, how)
	close(e.endChanged)
	e.endChanged = make(chan struct{})
}

type order struct {
	Task           string `json:"task"`
	Run            uint64 `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	Fence          uint64 `json:"fence"`
	LastCheckpoint string `json:"lastCheckpoint"`
	AckedThrough   uint64 `json:"ackedThrough"`
	WaitMs         int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.lapse()
	if o.Fence < e.fence {
		e.refuse(w, "fence")
		return
	}
	e.fence = o.Fence
	switch r.URL.Path {
	case "/-/run-start":
		e.serveStart(w, &o)
	case "/-/run-stop":
		e.serveStop(w, &o)
	case "/-/hold":
		e.serveHold(w, r, &o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"timestampMs": e.clock().Milliseconds(), "reason": reason, "born": e.born.UnixMilli()})
}

func (e *executor) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"timestampMs": e.clock().Milliseconds(), "born": e.born.UnixMilli()})
}

// extend moves the end of the lease, which never shortens.
func (e *executor) extend(deadlineMs int64) {
	e.leaseEnd = max(e.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, e.clock()+holdMax))
}

func (e *executor) serveStart(w http.ResponseWriter, o *order) {
	current := e.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		e.extend(o.DeadlineMs)
		e.accept(w)
		return
	case current != nil || o.Run <= e.highest[o.Task]:
		e.extend(o.DeadlineMs)
		e.refuse(w, "old")
		return
	case time.Duration(o.DeadlineMs)*time.Millisecond <= e.clock():
		e.refuse(w, "late")
		return
	}
	e.extend(o.DeadlineMs)
	step, known := e.jobs.step(o.Task)
	if !known {
		e.record.breach("UNASKED: executor %s is told to start %s, which no client sent", e.id, o.Task)
	}
	r := &run{task: o.Task, number: o.Run, cpu: step.CPU, started: time.Now(), length: time.Duration(step.EstimateMs) * time.Millisecond, saves: step.SavesProgress}
	if work, err := strconv.Atoi(o.LastCheckpoint); err == nil {
		r.resumed = time.Duration(work) * time.Millisecond
		r.length = max(r.length-r.resumed, 0) + restoreTime
	}
	used := r.cpu
	for _, other := range e.running {
		used += other.cpu
	}
	e.running[o.Task] = r
	e.record.note("executor %s (life %d, kind %s): run %d of %s starts, fence %d", e.id, e.life, e.kind, o.Run, o.Task, o.Fence)
	if step.Requirements != "" && step.Requirements != e.kind && step.Requirements != e.rack {
		e.record.breach("ROUTE: run %d of %s starts on executor %s, whose labels are %s and %s, without the label %s in requirements; life %d has been up for %d ms",
			o.Run, o.Task, e.id, e.kind, e.rack, step.Requirements, e.life, time.Since(e.born).Milliseconds())
	}
	if used > e.capacity.CPU {
		e.record.breach("LIMIT: run %d of %s brings executor %s to %d of %d thousandths of a core", o.Run, o.Task, e.id, used, e.capacity.CPU)
	}
	if problem := e.jobs.started(o.Task, e.id); problem != "" {
		e.record.breach("%s: run %d on executor %s", problem, o.Run, e.id)
	}
	if step.LongRunning {
		e.accept(w)
		return
	}
	life := e.life
	time.AfterFunc(r.length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life && e.up && e.running[r.task] == r {
			e.lapse()
			if e.running[r.task] == r {
				e.end(r, "done")
			}
		}
	})
	e.accept(w)
}

func (e *executor) serveStop(w http.ResponseWriter, o *order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run {
		life := e.life
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.life == life && e.up && e.running[r.task] == r {
				e.end(r, "stopped")
			}
		})
	}
	e.accept(w)
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request, o *order) {
	e.extend(o.DeadlineMs)
	for len(e.ended) > 0 && e.ended[0].number <= o.AckedThrough {
		e.ended = e.ended[1:]
	}
	life := e.life
	if o.WaitMs > 0 {
		changed := e.endChanged
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
		if !e.up || e.life != life {
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, a := range e.running {
		percent := min(100, int(100*time.Since(a.started)/max(a.length, 1)))
		running = append(running, []any{a.task, a.number, a.checkpoint(), percent, a.cpu})
	}
	for _, a := range e.ended[:min(len(e.ended), maxListedEnds)] {
		finished = append(finished, []any{a.number, a.run.task, a.run.number, a.how, a.saved})
	}
	writeJSON(w, http.StatusOK, map[string]any{"timestampMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": running, "finished": finished})
}

func (e *executor) usedCPU() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var used int64
	for _, r := range e.running {
		used += r.cpu
	}
	return used
}

// runsOf returns the tasks of a job that run on the executor.
func (e *executor) runsOf(j *job) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []string
	for task := range e.running {
		if strings.HasPrefix(task, j.id+".") {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// jobBook knows the jobs that clients have sent, and what has run of them.
type jobBook struct {
	mu     sync.Mutex
	jobs   map[string]*job
	active map[string]string // executor of the running task
	done   map[string]bool
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"memMb"`
	EstimateMs   int    `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`

	SavesProgress bool `json:"savesProgress,omitempty"`
}

type job struct {
	id       string
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	sentAt   time.Time
	accepted bool
	cancel   time.Time // when its cancelling was first sent
}

func newJobBook() *jobBook {
	return &jobBook{jobs: map[string]*job{}, active: map[string]string{}, done: map[string]bool{}}
}

func (b *jobBook) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[j.id] = j
}

func (b *jobBook) setAccepted(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.accepted = true
}

// step returns the step of a task with the name ID.K.STEP.INDEX.
func (b *jobBook) step(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	n, err := strconv.Atoi(parts[2])
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[parts[0]]
	if j == nil || err != nil || n < 0 || n >= len(j.Steps) {
		return step{}, false
	}
	return j.Steps[n], true
}

// started records a start. It returns the broken rule, if any. A task whose executor has
// crashed does not run any more; see forget.
func (b *jobBook) started(task, executor string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	problem := ""
	if other := b.active[task]; other != "" {
		problem = fmt.Sprintf("TWICE: %s runs on executor %s already", task, other)
	}
	b.active[task] = executor
	return problem
}

func (b *jobBook) ended(task, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.active, task)
	if how == "done" {
		b.done[task] = true
	}
}

// forget drops the runs of an executor that has crashed.
func (b *jobBook) forget(executor string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for task, at := range b.active {
		if at == executor {
			delete(b.active, task)
		}
	}
}

// isRunning reports whether a task runs.
func (b *jobBook) isRunning(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active[task] != ""
}

// hasTurn returns a task of the job that has not ended as done and does not run, though
// its turn has come; "" if there is none, or if any task of the job runs.
func (b *jobBook) hasTurn(j *job) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := ""
	complete := make([]bool, len(j.Steps))
	for n, s := range j.Steps {
		complete[n] = true
		due := true
		for _, before := range s.After {
			due = due && complete[before]
		}
		for i := range s.Count {
			task := fmt.Sprintf("%s.0.%d.%d", j.id, n, i)
			if b.active[task] != "" {
				return ""
			}
			if b.done[task] {
				continue
			}
			complete[n] = false
			if due && waiting == "" {
				waiting = task
			}
		}
	}
	return waiting
}

func (b *jobBook) accepted() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*job
	for _, j := range b.jobs {
		if j.accepted {
			list = append(list, j)
		}
	}
	return list
}
