package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of executors, from SYSTEM.md and the settings example of DEPLOY.md.
const (
	heartbeatTime   = 1500 * time.Millisecond
	entryLifetime   = 3 * heartbeatTime // an entry is removed after three status report intervals of silence
	maxLease        = 6000 * time.Millisecond
	stopTime        = 50 * time.Millisecond
	maxHoldWait     = 2 * time.Second
	maxListedEnds   = 500
	serviceName     = "door-dispatch"
	executorCPU     = 32000
	executorMemMB   = 131072
	executorsInRack = 8
)

type running struct {
	task    string
	run     uint64
	started time.Time
	length  time.Duration
}

type end struct {
	n    uint64
	task string
	run  uint64
	how  string
	// lapsed is true once the lease was over while the end was not taken note of,
	// so that the end never counts as taken note of.
	lapsed bool
}

// executor is a stand-in of an executor that follows PROTOCOL.md. What a task does
// stands in the job's spec: "ms=800" works for 0.8 s and ends as done; "ms=800
// how=failed" ends so; "lasts" never ends by itself; "first=5000 how=done" ends the
// first run of the task of a lasting step after 5 s.
type executor struct {
	id    string
	store *store
	rec   *recorder
	addr  string

	mu          sync.Mutex
	born        time.Time
	fence       uint64
	leaseEnd    time.Duration
	runs        map[string]*running
	highest     map[string]uint64 // highest run that was stopped or has ended, by task
	ends        []end
	lastEnd     uint64
	endListed   chan struct{}
	draining    bool
	powerLoss   time.Duration // if positive, the next start loses power for this time
	life        int           // raised by each loss of power, at its begin and end
	cut         chan struct{} // not nil while the executor is cut off; closed when the cut heals
	sequence    int
	heartbeatAt time.Time
	renewedAt   time.Time // when the last lease was granted
}

func newExecutor(n int, s *store, rec *recorder) (*executor, error) {
	e := &executor{
		id: fmt.Sprintf("ex%02d", n), store: s, rec: rec, born: time.Now(), runs: map[string]*running{},
		highest: map[string]uint64{}, endListed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", e.guard(e.start))
	mux.HandleFunc("POST /-/run-stop", e.guard(e.stop))
	mux.HandleFunc("POST /-/hold", e.guard(e.hold))
	mux.HandleFunc("GET /health", e.guard(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	server := &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		e.mu.Lock()
		defer e.mu.Unlock()
		return context.WithValue(ctx, lifeKey{}, e.life)
	}}
	go func() { _ = server.Serve(listener) }()
	go e.tick()
	go e.report(n)
	return e, nil
}

// losePowerAtStart loses power as soon as the next order to start a task arrives.
func (e *executor) losePowerAtStart(dark time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.powerLoss = dark
}

// lifeKey is the key of the lifetime in which a connection was opened.
type lifeKey struct{}

// powerCycle loses power and is back after a time with a new lifetime under the same
// identifier and address: it runs nothing, and knows nothing of before. Connections
// of before hang while it is dark, and are reset by the next use after that.
func (e *executor) powerCycle(dark time.Duration) {
	e.mu.Lock()
	e.life++
	e.cut = make(chan struct{})
	for _, r := range e.runs {
		e.rec.event("end", e.id, r.task, r.run, "lost with the executor")
	}
	e.runs, e.highest, e.ends, e.lastEnd, e.fence, e.leaseEnd = map[string]*running{}, map[string]uint64{}, nil, 0, 0, 0
	e.rec.event("power-lost", e.id, "", 0, "")
	e.mu.Unlock()
	time.Sleep(dark)
	e.mu.Lock()
	e.life++
	e.born, e.sequence = time.Now(), 0
	close(e.cut)
	e.cut = nil
	e.rec.event("power-back", e.id, "", 0, "")
	e.mu.Unlock()
	e.writeEntry(true)
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// guard drops requests and answers while the executor is cut off, and rejects
// requests for other lifetimes.
func (e *executor) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.dropIfCut(r)
		e.mu.Lock()
		stale := r.Context().Value(lifeKey{}).(int) != e.life
		e.mu.Unlock()
		if stale {
			panic(http.ErrAbortHandler) // a reset: this life doesn't know the connection
		}
		if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h(w, r)
	}
}

// dropIfCut holds the connection until the cut has healed, and then breaks it. After a
// loss of power nobody is left to break it.
func (e *executor) dropIfCut(r *http.Request) {
	e.mu.Lock()
	cut, life := e.cut, e.life
	e.mu.Unlock()
	if cut == nil {
		return
	}
	<-cut
	e.mu.Lock()
	lost := e.life != life
	e.mu.Unlock()
	if lost {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (e *executor) setCut(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if on {
		e.cut = make(chan struct{})
		e.rec.event("cut", e.id, "", 0, fmt.Sprintf("runs %d, lease left %d ms, last status report %d ms ago", len(e.runs),
			(e.leaseEnd-e.clock()).Milliseconds(), time.Since(e.heartbeatAt).Milliseconds()))
		return
	}
	close(e.cut)
	e.cut = nil
	e.rec.event("healed", e.id, "", 0, "")
}

func (e *executor) setDraining() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.rec.event("draining", e.id, "", 0, "")
	e.writeEntry(true)
}

// report writes the status reports. The entry is removed after entryLifetime of
// silence and is back with the next report.
func (e *executor) report(n int) {
	time.Sleep(time.Duration(n*100%1500) * time.Millisecond) // reports of the executors are spread
	e.writeEntry(true)
	listed := true
	for {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		cut, silent := e.cut != nil, time.Since(e.heartbeatAt)
		e.mu.Unlock()
		if !cut && silent >= heartbeatTime {
			e.writeEntry(true)
			listed = true
		}
		if listed && silent >= entryLifetime {
			e.writeEntry(false)
			listed = false
		}
	}
}

func (e *executor) writeEntry(up bool) {
	if e.store.isDown() {
		e.mu.Lock()
		e.heartbeatAt = time.Now()
		e.mu.Unlock()
		return
	}
	if !up {
		e.store.remove(directoryTable, e.id)
		e.rec.event("entry-removed", e.id, "", 0, "three status report intervals without a report")
		return
	}
	e.mu.Lock()
	e.heartbeatAt = time.Now()
	e.sequence++
	number, _ := strconv.Atoi(strings.TrimPrefix(e.id, "ex"))
	entry := map[string]any{
		"service": serviceName, "address": e.addr, "zone": "a", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"sequence": e.sequence, "born": e.born.UnixMilli(), "machine": "m-" + e.id,
		"capacity": map[string]int{"cpu": executorCPU, "memMb": executorMemMB, "gpu": 0},
		"labels":   []string{"a", fmt.Sprintf("r%d", number/executorsInRack)},
	}
	if e.draining {
		entry["state"], entry["remainingMs"] = "draining", 3000
	}
	e.mu.Unlock()
	e.store.put(directoryTable, e.id, entry)
}

// tick ends runs that are over and leases that have expired.
func (e *executor) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if e.clock() >= e.leaseEnd {
			for n := range e.ends {
				e.ends[n].lapsed = true
			}
		}
		for _, r := range e.runs {
			switch {
			case e.clock() >= e.leaseEnd:
				e.finish(r, "lapsed")
			case r.length > 0 && time.Since(r.started) >= r.length:
				e.finish(r, endOf(r))
			}
		}
		e.mu.Unlock()
	}
}

var specs sync.Map // spec of each task that was started

func endOf(r *running) string {
	spec, _ := specs.Load(r.task)
	for _, field := range strings.Fields(spec.(string)) {
		if how, found := strings.CutPrefix(field, "how="); found {
			return how
		}
	}
	return "done"
}

// lengthOf returns how long a run works, or 0 if it never ends by itself.
func lengthOf(spec string, earlierRuns bool) time.Duration {
	for _, field := range strings.Fields(spec) {
		if ms, found := strings.CutPrefix(field, "ms="); found {
			n, _ := strconv.Atoi(ms)
			return time.Duration(n) * time.Millisecond
		}
		if ms, found := strings.CutPrefix(field, "first="); found && !earlierRuns {
			n, _ := strconv.Atoi(ms)
			return time.Duration(n) * time.Millisecond
		}
	}
	return 0
}

// finish ends a run. The caller holds e.mu.
func (e *executor) finish(r *running, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.lastEnd++
	e.ends = append(e.ends, end{n: e.lastEnd, task: r.task, run: r.run, how: how})
	close(e.endListed)
	e.endListed = make(chan struct{})
	e.rec.event("end", e.id, r.task, r.run, how)
}

func (e *executor) extend(ms int64) {
	deadline := min(time.Duration(ms)*time.Millisecond, e.clock()+maxLease)
	if deadline > e.leaseEnd {
		e.leaseEnd, e.renewedAt = deadline, time.Now()
	}
}

type orderRequest struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	Acked      uint64 `json:"ackedThrough"`
	WaitMs     int64  `json:"waitMs"`
}

// order decodes a request and checks its fence. The caller holds e.mu afterwards
// if it returns true.
func (e *executor) order(w http.ResponseWriter, r *http.Request) (orderRequest, bool) {
	var in orderRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	e.mu.Lock()
	if in.Fence < e.fence {
		e.refuse(w, "fence")
		e.mu.Unlock()
		return in, false
	}
	e.fence = in.Fence
	return in, true
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"timestampMs": e.clock().Milliseconds(), "reason": reason})
}

func (e *executor) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"timestampMs": e.clock().Milliseconds()})
}

func (e *executor) start(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	dark := e.powerLoss
	e.powerLoss = 0
	e.mu.Unlock()
	if dark > 0 {
		go e.powerCycle(dark)
		<-r.Context().Done() // the order is lost, and nobody is left to break the connection
		return
	}
	in, ok := e.order(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.extend(in.DeadlineMs)
	now := e.runs[in.Task]
	switch {
	case now != nil && now.run == in.Run:
	case now != nil || in.Run <= e.highest[in.Task]:
		e.refuse(w, "old")
		return
	case time.Duration(in.DeadlineMs)*time.Millisecond <= e.clock():
		e.refuse(w, "late")
		return
	default:
		_, earlier := specs.Swap(in.Task, in.Spec)
		e.runs[in.Task] = &running{in.Task, in.Run, time.Now(), lengthOf(in.Spec, earlier)}
		e.rec.event("start", e.id, in.Task, in.Run, fmt.Sprintf("fence %d", in.Fence))
	}
	e.accept(w)
}

func (e *executor) stop(w http.ResponseWriter, r *http.Request) {
	in, ok := e.order(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.highest[in.Task] = max(e.highest[in.Task], in.Run)
	if now := e.runs[in.Task]; now != nil && now.run <= in.Run {
		e.rec.event("stop-order", e.id, in.Task, now.run, fmt.Sprintf("fence %d", in.Fence))
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[in.Task] == now {
				e.finish(now, "stopped")
			}
		})
	}
	e.accept(w)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	in, ok := e.order(w, r)
	if !ok {
		return
	}
	e.extend(in.DeadlineMs)
	for len(e.ends) > 0 && e.ends[0].n <= in.Acked {
		kind := "noted"
		if e.ends[0].lapsed {
			kind = "noted-after-lapse"
		}
		e.rec.event(kind, e.id, e.ends[0].task, e.ends[0].run, fmt.Sprintf("end %d", e.ends[0].n))
		e.ends = e.ends[1:]
	}
	listed := e.endListed
	e.mu.Unlock()
	if wait := min(time.Duration(in.WaitMs)*time.Millisecond, maxHoldWait); wait > 0 {
		select {
		case <-listed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	e.dropIfCut(r)
	e.mu.Lock()
	if r.Context().Value(lifeKey{}).(int) != e.life {
		e.mu.Unlock()
		<-r.Context().Done() // the caller of a lost life hears nothing
		return
	}
	defer e.mu.Unlock()
	runs, ends := [][]any{}, [][]any{}
	for _, now := range e.runs {
		percent := 100
		if now.length > 0 {
			percent = min(99, int(100*time.Since(now.started)/now.length))
		}
		runs = append(runs, []any{now.task, now.run, "", percent, 1000})
	}
	for _, over := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ends = append(ends, []any{over.n, over.task, over.run, over.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"timestampMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": runs, "finished": ends,
	})
}
