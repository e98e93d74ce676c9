package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// haveLeasesEnded reports whether every run on a silent worker is over, whichever
// leader has started it: all leases that may have been granted have expired. Nothing
// else proves that. A directory entry is missing after some seconds without status
// reports, also while the worker is only cut off, and a worker that refuses
// connections may do so for this instance only.
func (c *Dispatcher) haveLeasesEnded(w *worker) bool {
	if w.missedRenewals == 0 {
		return false
	}
	return c.hasExpired(c.lastLeaseEnd(w))
}

// isEndProven reports whether a commit that was sent after the last run of a task had
// ended or counted as lost proves that this leader still led then. A later leader may
// have renewed the run's lease, recorded its end or started the task again. Its worker
// may even answer this leader: it has restarted, or has checked the token of a renewal
// before the later leader reached it and lists its runs afterwards.
func (c *Dispatcher) isEndProven(t *task) bool { return !c.leadershipConfirmedAt.Before(t.endedAt) }

// areEndsProven reports whether isEndProven holds for all tasks of a step.
func (c *Dispatcher) areEndsProven(s *step) bool {
	for _, t := range s.tasks {
		if !c.isEndProven(t) {
			return false
		}
	}
	return true
}

// lastLeaseEnd returns when all leases of a silent worker have ended by the count of this
// leader, and its runs with them.
func (c *Dispatcher) lastLeaseEnd(w *worker) structs.Timestamp {
	end := max(w.leaseEnd, w.InheritedLeaseEnd)
	switch {
	case w.unreported && w.LeasesEndBy != 0:
		end = max(end, w.LeasesEndBy) // an earlier leader has stored it
	case w.unreported:
		end = max(end, c.previousLeasesEnd)
	}
	return end
}

// closeGrants stores for a worker that has left when its leases end, so that the next leader
// does not wait for as long as this one might have granted leases. This leader grants none
// to it any more until reopenGrants is stored. A worker has left if it accepts no
// connections, is silent while it drains, or has been silent until its leases had ended.
func (c *Dispatcher) closeGrants(w *worker) {
	if w.LeasesEndBy != 0 || !w.silent || !w.rowStored || c.pausedAt != 0 {
		return
	}
	if !w.refusesConnections && !w.Draining && !c.haveLeasesEnded(w) {
		return
	}
	for _, a := range w.allocations {
		if a.mayReachNextIncarnation() {
			return // the next incarnation may hold a longer lease, with the run
		}
	}
	w.LeasesEndBy = max(c.lastLeaseEnd(w), c.previousLeasesEnd, 1) // an earlier leader may live on and grant leases
	w.grantsClosed = true
	c.workerChanged(w.ID)
	c.logDecision(Decision{Event: "grants_closed", Worker: w.ID, Value: int64(w.LeasesEndBy.Sub(c.now) / time.Millisecond)})
}

// reopenGrants ends closeGrants for a worker that has answered. It gets no lease before the
// change is stored.
func (c *Dispatcher) reopenGrants(w *worker) {
	if w.LeasesEndBy == 0 {
		return
	}
	w.LeasesEndBy = 0
	c.workerChanged(w.ID)
}

// hasExpired reports whether leases that end at the given time by the count of this
// leader have expired. A later leader may have renewed them unless a commit that was sent
// after that time has succeeded.
func (c *Dispatcher) hasExpired(end structs.Timestamp) bool {
	return !c.leadershipConfirmedAt.Before(end)
}

// countInheritedLeases includes the leases that a worker may hold at its first report and
// that this leader has not granted to this incarnation: one of the previous leader, which
// may be longer than the first one granted now, for example if the worker drains, and one
// of a late request to an earlier incarnation.
func (c *Dispatcher) countInheritedLeases(w *worker) {
	if w.unreported {
		longest := c.now.Add(time.Duration(float64(c.policy.Lease)/minClockRate) + leaseMargin)
		w.leaseEnd = max(w.leaseEnd, min(longest, c.previousLeasesEnd))
	}
	if c.mayHoldInheritedLease(w, c.uptime(w)) {
		// The next leader counts it too, so it has to be stored before tasks start here.
		w.InheritedLeaseEnd, w.stored = c.now.Add(c.longestLease()), false
		c.workerChanged(w.ID)
	}
}

// leaseLength returns the length of the leases granted to a worker.
func (c *Dispatcher) leaseLength(w *worker) time.Duration {
	if w.Draining {
		return min(c.policy.Lease, c.policy.DrainingLease)
	}
	return c.policy.Lease
}

// isLeaseOver reports whether a run on a worker is over whose leases have expired. The
// worker may have restarted before it received a start request, whose deadline on the
// clock of the earlier incarnation then grants the longest lease.
func (c *Dispatcher) isLeaseOver(a *allocation) bool {
	return !a.mayReachNextIncarnation() || c.hasExpired(a.sentAt.Add(c.longestLease()))
}

// longestLease returns the longest time for which a worker may hold a lease, on this
// instance's clock.
func (c *Dispatcher) longestLease() time.Duration {
	return time.Duration(float64(c.policy.MaxLease)/minClockRate) + leaseMargin
}

// canStartTasks reports whether the lease of a worker lasts for long enough to start
// tasks under it. It is not extended while the worker misses renewals.
func (w *worker) canStartTasks(now structs.Timestamp) bool {
	return w.missedRenewals == 0 || w.grantedEnd.Sub(now)-workerLateness > minRemainingLease
}

// minRemainingLease is the rest of a lease below which no task is started under it.
const minRemainingLease = time.Second

// silentWorkerEnded ends the runs on a worker whose leases have expired. New leaders
// no longer wait for its report.
func (c *Dispatcher) silentWorkerEnded(w *worker) {
	if over := w.matchingAllocations(c.isLeaseOver); len(over) > 0 {
		c.logDecision(Decision{Event: "lease_over", Worker: w.ID, Value: int64(len(over))})
		for _, a := range over {
			c.runLost(w, a, lossLeaseEnded)
		}
		// Once the worker is renewed again, it may carry out requests from before, start
		// requests among them: the lease is then later than their deadline.
		c.verifyIncarnation(w)
		c.awaitLapse(w)
	}
	if w.unreported {
		c.logDecision(Decision{Event: "worker_gone", Worker: w.ID, Value: int64(c.now.Sub(c.startedAt) / time.Millisecond)})
		c.markReported(w)
	}
}

// awaitLapse keeps the lease of a worker from being renewed, and its ends from being
// acknowledged, until its clock shows that the lease which counted as over has lapsed.
// Otherwise a run that goes on could end, and count, after its task was started again.
func (c *Dispatcher) awaitLapse(w *worker) {
	if w.clockAt == 0 {
		return // it has reported to earlier leaders only
	}
	left := c.lastLeaseEnd(w).Add(-networkMargin).Sub(w.clockAt)
	w.lapseBy = max(w.lapseBy, w.clock+time.Duration(float64(left)*minClockRate))
}

// checkLapse ends the wait of awaitLapse if a report shows that the lease has lapsed.
func (c *Dispatcher) checkLapse(w *worker, r *workflow.Report) {
	if w.lapseBy == 0 || r.Clock < w.lapseBy {
		return
	}
	for _, running := range r.Running {
		if lost, known := c.lostRuns[running.Task]; known && lost.Worker == w.ID && lost.Run == running.Run {
			return // it is being stopped, or ends with its lease
		}
	}
	w.lapseBy = 0
}
