package dispatch

import "time"

// haveLeasesEnded reports whether every run on a silent worker is over, whichever
// leader has started it: all leases that may have been granted have expired. Nothing
// else proves that. A directory entry is missing after some seconds without status
// reports, also while the worker is only cut off, and a worker that refuses
// connections may do so for this instance only.
func (c *Dispatcher) haveLeasesEnded(w *worker) bool {
	if w.known && w.missedRenewals == 0 {
		return false
	}
	if w.unreported && c.now.Before(c.previousLeasesEnd) {
		return false
	}
	return c.now.After(w.leaseEnd)
}

// countPreviousLease includes the lease that the previous leader may have granted to a
// worker until this leader reached it. It may be longer than the first one granted now,
// for example if the worker drains.
func (c *Dispatcher) countPreviousLease(w *worker) {
	longest := c.now.Add(time.Duration(float64(c.policy.Lease)/minClockRate) + leaseMargin)
	w.leaseEnd = max(w.leaseEnd, min(longest, c.previousLeasesEnd))
}

// leaseLength returns the length of the leases granted to a worker.
func (c *Dispatcher) leaseLength(w *worker) time.Duration {
	if w.Draining {
		return min(c.policy.Lease, c.policy.DrainingLease)
	}
	return c.policy.Lease
}

// silentWorkerEnded ends the runs on a worker whose leases have expired. New leaders
// no longer wait for its report.
func (c *Dispatcher) silentWorkerEnded(w *worker) {
	if len(w.allocations) > 0 {
		c.logDecision(Decision{Event: "lease_over", Worker: w.ID, Value: int64(len(w.allocations))})
		c.allLost(w, lossLeaseEnded)
	}
	if w.unreported {
		c.logDecision(Decision{Event: "worker_gone", Worker: w.ID, Value: int64(c.now.Sub(c.startedAt) / time.Millisecond)})
		c.markReported(w)
	}
}
