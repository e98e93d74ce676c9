package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// Long-running tasks are started again however their runs end, until their job is
// cancelled.

const (
	// shortRunTime is the run time below which a run counts as short. A task that
	// works at all lasts longer than its startup.
	shortRunTime = 2 * time.Second
	// firstRestartPause is the pause after a second short run in a row. It doubles
	// with each further one.
	firstRestartPause = 250 * time.Millisecond
	// maxShortRuns limits the pause to 4 s: a task that has been repaired is back
	// before its absence counts as an outage.
	maxShortRuns = 6
)

// lastingRunEnded handles the end of a run of a long-running task. One that ends
// soon after its start again and again is started with growing pauses.
func (c *Dispatcher) lastingRunEnded(w *worker, a *allocation, end workflow.EndedTask) {
	t := a.task
	switch end.Kind {
	case workflow.EndDone:
		w.recordSuccess()
	case workflow.EndFailed:
		t.avoidWorker = w.ID
		c.recordFailure(w, t.step.job.spec.ID)
	default:
		return // the task itself did not end it
	}
	hadShortRuns := len(t.failedRuns) > 0
	if c.now.Sub(a.startedAt) < shortRunTime {
		t.failedRuns = append(t.failedRuns, a.run)
	} else {
		t.failedRuns = nil
	}
	if hadShortRuns || len(t.failedRuns) > 0 {
		c.markDirtyDeferred(t.step.job)
	}
	t.pauseRestart(c.now)
}

// pauseRestart sets the pause before the next run, which follows from the number of
// short runs in a row.
func (t *task) pauseRestart(now structs.Timestamp) {
	t.failedRuns = t.failedRuns[max(0, len(t.failedRuns)-maxShortRuns):]
	t.restartAt = 0
	if n := len(t.failedRuns); n > 1 {
		t.restartAt = now.Add(firstRestartPause << (n - 2))
	}
}

// isRestartPaused reports whether a member of a long-running gang may not start yet.
func (s *step) isRestartPaused(now structs.Timestamp) bool {
	for _, t := range s.tasks {
		if now.Before(t.restartAt) {
			return true
		}
	}
	return false
}
