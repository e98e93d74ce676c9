package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// executor is a stand-in of an executor (PROTOCOL.md, "Running tasks").
type executor struct {
	rec     *recorder
	judge   *judge
	id      string
	address string
	born    time.Time
	cpu     int64
	maxHold time.Duration

	mu       sync.Mutex
	gone     bool // lost power: nothing answers any more
	fence    uint64
	lease    time.Duration // end of the lease on the executor's clock
	running  map[string]*taskRun
	ended    []taskEnd
	lastEnd  uint64
	highest  map[string]uint64 // run that was ended or stopped, by task
	changed  chan struct{}     // closed when a run ends
	beats    int
	listener *silencer
}

type taskRun struct {
	task    string
	run     uint64
	started time.Time
	work    time.Duration // 0: lasts until it is stopped
}

type taskEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

func (e *executor) serve(l net.Listener) {
	mux := http.NewServeMux()
	for path, handle := range map[string]func(map[string]json.RawMessage) (int, any){"/-/run-start": e.start, "/-/run-stop": e.stop, "/-/hold": e.hold} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			var in map[string]json.RawMessage
			if err != nil || json.Unmarshal(body, &in) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
				writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"timestampMs": e.clock().Milliseconds()})
				return
			}
			status, out := handle(in)
			if e.isGone() {
				select {} // a machine without power answers nothing
			}
			writeJSON(w, status, out)
		})
	}
	_ = http.Serve(l, mux) // returns when the listener is closed
}

func (e *executor) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

func number(raw json.RawMessage) uint64 {
	var n uint64
	_ = json.Unmarshal(raw, &n) // missing: 0
	return n
}

func text(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s) // missing: empty
	return s
}

// checkFence returns false for a request with a lower fence than one before. The caller
// holds e.mu.
func (e *executor) checkFence(in map[string]json.RawMessage) bool {
	fence := number(in["fence"])
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

// extend takes over a deadline. The caller holds e.mu.
func (e *executor) extend(in map[string]json.RawMessage) {
	deadline := min(time.Duration(number(in["deadlineMs"]))*time.Millisecond, e.clock()+e.maxHold)
	e.lease = max(e.lease, deadline)
}

func (e *executor) refusal(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"timestampMs": e.clock().Milliseconds(), "reason": reason}
}

func (e *executor) start(in map[string]json.RawMessage) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return 0, nil
	}
	task, run, spec := text(in["task"]), number(in["run"]), text(in["spec"])
	if !e.checkFence(in) {
		return e.refusal("fence")
	}
	if time.Duration(number(in["deadlineMs"]))*time.Millisecond <= e.clock() {
		return e.refusal("late")
	}
	e.extend(in)
	if have := e.running[task]; have != nil && have.run == run {
		return e.ok()
	}
	if run <= e.highest[task] || e.running[task] != nil {
		return e.refusal("old")
	}
	t := &taskRun{task: task, run: run, started: time.Now(), work: e.judge.started(e, task, run, spec)}
	e.running[task] = t
	e.rec.log("%s starts %s run %d", e.id, task, run)
	return e.ok()
}

func (e *executor) ok() (int, any) {
	return http.StatusOK, map[string]any{"timestampMs": e.clock().Milliseconds()}
}

func (e *executor) stop(in map[string]json.RawMessage) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return 0, nil
	}
	if !e.checkFence(in) {
		return e.refusal("fence")
	}
	task, run := text(in["task"]), number(in["run"])
	e.highest[task] = max(e.highest[task], run)
	if have := e.running[task]; have != nil && have.run == run {
		e.finish(have, "stopped")
	}
	return e.ok()
}

// finish ends a run. The caller holds e.mu.
func (e *executor) finish(t *taskRun, how string) {
	delete(e.running, t.task)
	e.highest[t.task] = max(e.highest[t.task], t.run)
	e.lastEnd++
	e.ended = append(e.ended, taskEnd{e.lastEnd, t.task, t.run, how})
	e.judge.ended(e, t.task, t.run, how)
	e.rec.log("%s ends %s run %d: %s", e.id, t.task, t.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) hold(in map[string]json.RawMessage) (int, any) {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return 0, nil
	}
	if !e.checkFence(in) {
		status, out := e.refusal("fence")
		e.mu.Unlock()
		return status, out
	}
	if in["deadlineMs"] != nil {
		e.extend(in)
	}
	acked := number(in["ackedThrough"])
	for len(e.ended) > 0 && e.ended[0].number <= acked {
		e.ended = e.ended[1:]
	}
	deadline := time.After(time.Duration(number(in["waitMs"])) * time.Millisecond)
	changed, listed := e.changed, len(e.ended) > 0
	e.mu.Unlock()
	if !listed && number(in["waitMs"]) > 0 {
		select {
		case <-changed:
		case <-deadline:
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, t := range e.running {
		percent := 100
		if t.work > 0 {
			percent = min(int(100*time.Since(t.started)/t.work), 100)
		}
		running = append(running, []any{t.task, t.run, "", percent, 0})
	}
	for _, end := range e.ended[:min(len(e.ended), 500)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	return http.StatusOK, map[string]any{"timestampMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": running, "finished": finished}
}

// tick ends the runs that have done their work or whose lease has expired.
func (e *executor) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	lapsed := e.clock() >= e.lease
	for _, t := range e.running {
		switch {
		case lapsed:
			e.finish(t, "lapsed")
		case t.work > 0 && time.Since(t.started) >= t.work:
			e.finish(t, "done")
		}
	}
}

// losePower ends the executor for good. Its open connections and new ones hang.
func (e *executor) losePower() {
	e.mu.Lock()
	e.gone = true
	for _, t := range e.running {
		e.judge.ended(e, t.task, t.run, "gone")
	}
	e.running = map[string]*taskRun{}
	e.mu.Unlock()
	e.rec.log("%s loses power", e.id)
	e.listener.goDark()
}

// beat writes the executor's entry.
func (e *executor) beat(s *store) {
	e.beats++
	s.put("servers", e.id, map[string]any{
		"service": serviceName, "address": e.address, "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": e.cpu, "memMb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"}, "born": e.born.UnixMilli(),
		"timestampMs": e.clock().Milliseconds(), "sequence": e.beats,
	})
}

func newExecutor(rec *recorder, j *judge, n int, cpu int64, l *silencer) *executor {
	return &executor{
		rec: rec, judge: j, id: fmt.Sprintf("i-%08x", 0xa1000+n), address: l.Addr().String(), born: time.Now(), cpu: cpu, maxHold: 6 * time.Second,
		running: map[string]*taskRun{}, highest: map[string]uint64{}, changed: make(chan struct{}), listener: l,
	}
}
