package dispatch

import (
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

// endLost is the end of a run that the worker can no longer report.
var endLost = workflow.EndedTask{Kind: workflow.EndLost}

// runLost ends a run that is certainly over and that its worker does not list as
// ended.
func (c *Dispatcher) runLost(w *worker, a *allocation, reason lossReason) {
	if a.task != nil && a.run != 0 {
		a.task.lostRun = &EarlierRun{
			Worker: w.ID, Incarnation: w.Incarnation, Run: a.run, Reason: string(reason), LeaseLeft: w.leaseLeft(c.now),
		}
	}
	if reason != lossRejected && a.run != 0 {
		c.logDecision(Decision{Event: "run_lost", Task: a.name, Worker: w.ID, Run: a.run, Reason: string(reason), Value: int64(w.leaseLeft(c.now) / time.Millisecond)})
	}
	c.runEnded(w, a, endLost)
}

// leaseLeft returns the time until all leases that this leader has granted to a worker
// have ended. It is negative if they have, and 0 if it has granted none.
func (w *worker) leaseLeft(now structs.Timestamp) time.Duration {
	if w.leaseEnd == 0 {
		return 0
	}
	return w.leaseEnd.Sub(now)
}

// allLost ends all runs on a worker.
func (c *Dispatcher) allLost(w *worker, reason lossReason) {
	for _, a := range sortedAllocations(w) {
		c.runLost(w, a, reason)
	}
}
