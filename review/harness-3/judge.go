package main

import (
	"strings"
	"sync"
	"time"
)

// judge knows what executors have run. It checks the rules TWICE, UNASKED and LOST of
// RULES.md as far as the cases need them.
type judge struct {
	rec *recorder

	mu       sync.Mutex
	jobs     map[string]*job
	tasks    map[string]*taskState
	troubles []time.Time // moments of disruptions, of restarts after them among them
}

type job struct {
	id    string
	spec  string
	work  time.Duration // of each task; 0: lasts until the job is cancelled
	tasks int
}

type taskState struct {
	runs  map[runKey]bool // that run now
	spans []span
	done  bool // a run has ended as done
}

type runKey struct {
	executor string
	run      uint64
}

type span struct {
	key        runKey
	start, end time.Time // end is zero while it runs
}

func newJudge(rec *recorder) *judge {
	return &judge{rec: rec, jobs: map[string]*job{}, tasks: map[string]*taskState{}}
}

// add makes a job known that a client hands in.
func (j *judge) add(of *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[of.id] = of
}

// trouble records a disruption, or a restart after one, at this moment.
func (j *judge) trouble(what string) {
	j.rec.log("disruption: %s", what)
	j.mu.Lock()
	j.troubles = append(j.troubles, time.Now())
	j.mu.Unlock()
}

// started records a start and returns the work of the task.
func (j *judge) started(e *executor, task string, run uint64, spec string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	of := j.jobs[id]
	if of == nil || of.spec != spec {
		j.rec.broke("UNASKED: %s is told to start %s, which no client sent", e.id, task)
		return time.Second
	}
	t := j.tasks[task]
	if t == nil {
		t = &taskState{runs: map[runKey]bool{}}
		j.tasks[task] = t
	}
	if len(t.runs) > 0 {
		j.rec.broke("TWICE: %s starts run %d of %s beside %v", e.id, run, task, t.runs)
	}
	if t.done {
		j.rec.broke("TWICE: %s starts run %d of %s after a run has ended as done", e.id, run, task)
	}
	key := runKey{e.id, run}
	t.runs[key] = true
	t.spans = append(t.spans, span{key: key, start: time.Now()})
	return of.work
}

func (j *judge) ended(e *executor, task string, run uint64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, key := j.tasks[task], runKey{e.id, run}
	delete(t.runs, key)
	for n := range t.spans {
		if t.spans[n].key == key && t.spans[n].end.IsZero() {
			t.spans[n].end = time.Now()
		}
	}
	t.done = t.done || how == "done"
}

// firstStart returns when the first task of a job was started, and whether one was.
func (j *judge) firstStart(id string) (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var first time.Time
	for name, t := range j.tasks {
		if strings.HasPrefix(name, id+".") && (first.IsZero() || t.spans[0].start.Before(first)) {
			first = t.spans[0].start
		}
	}
	return first, !first.IsZero()
}

// runningTasks returns how many tasks of a job run.
func (j *judge) runningTasks(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for name, t := range j.tasks {
		if strings.HasPrefix(name, id+".") && len(t.runs) > 0 {
			n++
		}
	}
	return n
}

// Bounds of the rule LOST for a task that lasts.
const (
	lastingGrace = 6 * time.Second // "from 6 s after its last run"
	idleTime     = 3 * time.Second // "for 3 s, a job has nothing running"
	calmBefore   = 4 * time.Second // "if the 3 s and the 4 s before them are calm"
)

// checkLasting checks for each task that lasts whether there are 3 s in which it does not
// run, later than 6 s after its last run, that are calm as the 4 s before them.
func (j *judge) checkLasting(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, t := range j.tasks {
		id, _, _ := strings.Cut(name, ".")
		if of := j.jobs[id]; of.work != 0 {
			continue
		}
		for n, s := range t.spans {
			if s.end.IsZero() {
				continue
			}
			next := until
			if n+1 < len(t.spans) {
				next = t.spans[n+1].start
			}
			j.rec.log("%s did not run from %.3f s to %.3f s, for %.3f s", name, j.rec.at(s.end), j.rec.at(next), next.Sub(s.end).Seconds())
			j.checkIdle(name, s.end, next)
		}
	}
}

// checkIdle checks one span in which a task did not run. The caller holds j.mu.
func (j *judge) checkIdle(name string, from, to time.Time) {
	candidates := []time.Time{from.Add(lastingGrace)}
	for _, t := range j.troubles {
		candidates = append(candidates, t.Add(calmBefore+time.Millisecond))
	}
	for _, begin := range candidates {
		if begin.Before(from.Add(lastingGrace)) || begin.Add(idleTime).After(to) {
			continue
		}
		calm := true
		for _, t := range j.troubles {
			calm = calm && (t.Before(begin.Add(-calmBefore)) || t.After(begin.Add(idleTime)))
		}
		if calm {
			j.rec.broke("LOST: %s does not run from %.3f s to %.3f s, its last run ended at %.3f s, and it was calm from %.3f s on",
				name, j.rec.at(begin), j.rec.at(begin.Add(idleTime)), j.rec.at(from), j.rec.at(begin.Add(-calmBefore)))
			return
		}
	}
}
