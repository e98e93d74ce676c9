package dispatch

import (
	"maps"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// lossReason is the rule by which a run counts as over although its worker has
// not listed its end.
type lossReason string

// Reasons for lost runs.
const (
	lossMissing        lossReason = "missing in a report"  // the worker listed its runs and ends without it
	lossNewIncarnation lossReason = "worker restarted"     // the run ended with its incarnation
	lossLeaseEnded     lossReason = "lease ended"          // the worker is silent and its leases have ended
	lossRejected       lossReason = "start never accepted" // the worker has rejected every start request of the run
)

// EarlierRun is a run that counted as lost before its task was started again. With
// it, one log line shows why a task runs a second time.
type EarlierRun struct {
	Worker      structs.WorkerID
	Incarnation workflow.Incarnation
	Run         uint64
	Reason      string
	LeaseLeft   time.Duration // until all leases of the run's worker had ended; negative if they had
}

// LossEvidence tells a lost run whose worker was late from one whose leader had been
// replaced and from one whose start request was carried out late.
type LossEvidence struct {
	ProofAge   time.Duration // since the send time of the last commit that proved the leadership
	OpenStarts int           // start requests of the run without an answer
	// PastDeadline is by how much the worker's clock is past the latest end of a lease
	// that was granted to it: in its report for lost_run_listed, else as estimated.
	PastDeadline time.Duration
}

// lossEvidence returns the evidence on a run of a worker.
func (c *Dispatcher) lossEvidence(w *worker, openStarts int) *LossEvidence {
	evidence := &LossEvidence{ProofAge: c.now.Sub(c.leadershipConfirmedAt), OpenStarts: openStarts}
	if w.leaseDeadline != 0 {
		evidence.PastDeadline = w.clock + c.now.Sub(w.clockAt) - w.leaseDeadline
	}
	return evidence
}

// endLost is the end of a run that the worker can no longer report.
var endLost = workflow.EndedTask{Kind: workflow.EndLost}

// runLost ends a run that is certainly over and that its worker does not list as
// ended.
func (c *Dispatcher) runLost(w *worker, a *allocation, reason lossReason) {
	run := EarlierRun{Worker: w.ID, Incarnation: w.Incarnation, Run: a.run, Reason: string(reason), LeaseLeft: w.leaseLeft(c.now)}
	if a.task != nil && a.run != 0 {
		a.task.lostRun = &run
		if reason != lossRejected {
			a.task.endedAt = c.now
		}
	}
	if reason != lossRejected && a.run != 0 {
		c.logDecision(Decision{
			Event: "run_lost", Task: a.name, Worker: w.ID, Incarnation: w.Incarnation, Run: a.run, Reason: string(reason),
			Value: int64(w.leaseLeft(c.now) / time.Millisecond), Evidence: c.lossEvidence(w, a.openStarts),
		})
		c.rememberLostRun(a.name, run, a.openStarts)
	}
	c.runEnded(w, a, endLost)
}

// lostRunMemory is how long a lost run is remembered. It is longer than a request
// may be late and than a lease may last after that.
const lostRunMemory = 30 * time.Second

// stateRunning is the state of a lost run that its worker lists as running.
const stateRunning = "running"

// lostRun is a run that counted as lost at the given time.
type lostRun struct {
	EarlierRun
	at         structs.Timestamp
	openStarts int  // start requests without an answer at that time
	listed     bool // its worker has listed it since
}

// rememberLostRun keeps a lost run, so that a worker that lists it later shows that the
// rule by which it was lost was wrong.
func (c *Dispatcher) rememberLostRun(task string, run EarlierRun, openStarts int) {
	if c.now.Sub(c.lostRunsPrunedAt) > lostRunMemory {
		c.lostRunsPrunedAt = c.now
		maps.DeleteFunc(c.lostRuns, func(_ string, lost lostRun) bool { return c.now.Sub(lost.at) > lostRunMemory })
	}
	c.lostRuns[task] = lostRun{EarlierRun: run, at: c.now, openStarts: openStarts}
}

// checkLostRun logs a run that counted as lost and that its worker lists all the same,
// as running or ended. Its task may have run twice.
func (c *Dispatcher) checkLostRun(w *worker, task string, run uint64, state string) {
	lost, known := c.lostRuns[task]
	if !known || lost.Run != run || lost.Worker != w.ID {
		return
	}
	if state == stateRunning {
		if lost.listed {
			return
		}
		lost.listed = true
		c.lostRuns[task] = lost // until it has ended; see checkLapse
	} else {
		delete(c.lostRuns, task)
	}
	c.logDecision(Decision{
		Event: "lost_run_listed", Task: task, Worker: w.ID, Incarnation: w.Incarnation, Run: run, Reason: lost.Reason, State: state,
		Value: int64(c.now.Sub(lost.at) / time.Millisecond), Earlier: &lost.EarlierRun, Evidence: c.lossEvidence(w, lost.openStarts),
	})
}

// checkEndNumbers logs that a worker has forgotten ends which this leader has not
// processed: it numbers its ends without gaps, and forgets only acknowledged ones.
func (c *Dispatcher) checkEndNumbers(w *worker, end workflow.EndedTask) {
	if w.endNumbersContinuous && end.Sequence > w.processedEnd+1 {
		c.logDecision(Decision{
			Event: "ends_forgotten", Worker: w.ID, Incarnation: w.Incarnation, Value: int64(end.Sequence - w.processedEnd - 1),
		})
	}
}

// leaseLeft returns the time until all leases that this leader counts for a worker have
// ended. It is negative if they have, and 0 if there are none.
func (w *worker) leaseLeft(now structs.Timestamp) time.Duration {
	end := max(w.leaseEnd, w.InheritedLeaseEnd)
	if end == 0 {
		return 0
	}
	return end.Sub(now)
}
