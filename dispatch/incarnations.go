package dispatch

import (
	"maps"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// A worker may start again under its identifier and address. Requests name only the
// identifier, so the new incarnation carries out what was sent to the old one: new
// requests that are sent before the leader knows of the restart, repeated ones, and
// those without an answer, seconds later.

// mayReachNextIncarnation reports whether the next incarnation of the worker may run
// an allocation of this one. It cannot if this incarnation has listed the run and
// every start request has an answer.
func (a *allocation) mayReachNextIncarnation() bool {
	return a.run != 0 && (a.openStarts > 0 || a.reportedAt == 0)
}

// carryOver keeps an allocation until the next incarnation has reported. A stop
// that the ended incarnation has confirmed has to be sent again.
func (a *allocation) carryOver(now structs.Timestamp) {
	a.carriedOver, a.reportedAt = true, 0
	if a.state == taskStopping {
		a.confirmedAt, a.retryAt = 0, now
	}
}

// stopCarriedOver handles the runs of an earlier incarnation that the first report
// of a worker does not list. A stop makes the worker reject requests that have no
// answer yet; the task is free once a later report shows that none was carried out.
func (c *Dispatcher) stopCarriedOver(w *worker) {
	for _, a := range w.matchingAllocations(func(a *allocation) bool { return a.carriedOver }) {
		a.carriedOver = false
		switch {
		case a.state == taskStopping:
			// already being stopped
		case a.openStarts > 0:
			c.stopTask(a.task, "its worker has restarted")
		case a.confirmedAt == 0:
			c.runLost(w, a, lossNewIncarnation) // all requests were rejected
		}
		// A run that was confirmed after the report was requested may be in the
		// next report; endMissingRuns ends it if it is not.
	}
}

// lateStart is a start request of an ended run that has no answer.
type lateStart struct {
	run       uint64
	open      int // requests without an answer
	resources structs.Resources
	releaseAt structs.Timestamp // until when the request may be carried out
}

// rememberLateStart records that start requests of a run have no answer although
// the run is over. This incarnation of the worker rejects them.
func (c *Dispatcher) rememberLateStart(w *worker, a *allocation) {
	if w.lateStarts == nil {
		w.lateStarts = map[string]lateStart{}
	}
	maps.DeleteFunc(w.lateStarts, func(_ string, s lateStart) bool { return c.now.After(s.releaseAt) })
	w.lateStarts[a.name] = lateStart{a.run, a.openStarts, a.resources, c.now.Add(lateRequestTime)}
}

// lateStartAnswered records the answer to a start request of an ended run.
func (w *worker) lateStartAnswered(e StartAnswered) {
	late, known := w.lateStarts[e.Task]
	if !known || late.run != e.Run || e.Outcome == workflow.Unanswered {
		return
	}
	if late.open--; late.open == 0 {
		delete(w.lateStarts, e.Task)
		return
	}
	w.lateStarts[e.Task] = late
}

// stopLateStarts makes a new incarnation of a worker reject the start requests of
// ended runs that it may still carry out.
func (c *Dispatcher) stopLateStarts(w *worker) {
	for _, task := range slices.Sorted(maps.Keys(w.lateStarts)) {
		late := w.lateStarts[task]
		if c.now.After(late.releaseAt) || w.allocations[task] != nil {
			continue
		}
		a := &allocation{name: task, run: late.run, resources: late.resources}
		w.allocations[task] = a
		w.used = w.used.Add(a.resources)
		c.sendStop(w, a)
	}
	w.lateStarts = nil
}
