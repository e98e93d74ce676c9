package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// A worker may start again under its identifier and address. Requests name only the
// identifier, and one without an answer may be carried out seconds later. So the new
// incarnation carries out what was sent to the old one, although the request's numbers
// have no meaning for it: an acknowledged end makes it forget ends that no leader has
// processed, and a deadline on the clock of the old one grants the longest lease. The
// leader therefore raises the fencing token of a worker with each incarnation. Once the
// new one has received the raised token, it rejects the earlier requests.

// fencingToken returns the token of requests to a worker. It is above the tokens of
// requests to its earlier incarnations, and below those of the next leader.
func (c *Dispatcher) fencingToken(w *worker) structs.Epoch {
	return c.epoch + structs.Epoch(w.tokenOffset)
}

// raiseFencingToken keeps requests that were sent to a worker so far from being carried
// out by its next incarnation.
func (c *Dispatcher) raiseFencingToken(w *worker) {
	w.tokenOffset++
	if w.tokenOffset >= structs.TokensPerEpoch-1 {
		c.emit(StepDown{Worker: w.ID, Reason: "the fencing tokens for a worker are exhausted"})
	}
}

// requestFenced handles a request that a worker has rejected because it has received a
// higher token: that of a later leader, or a later one of this leader.
func (c *Dispatcher) requestFenced(w *worker, token structs.Epoch) {
	if token < c.fencingToken(w) {
		c.logDecision(Decision{Event: "late_request_fenced", Worker: w.ID, Incarnation: w.Incarnation, Value: int64(token)})
		return
	}
	c.emit(StepDown{Worker: w.ID, Reason: "a worker has received a higher fencing token"})
}

// isDescribed reports whether the directory entry that gives the worker's service, labels,
// rack and capacity is that of its present incarnation. The next incarnation of a worker
// may be of another kind, and a report may show it before its entry has been read.
func (w *worker) isDescribed() bool { return w.listedIncarnation == w.Incarnation }

// mayReachNextIncarnation reports whether the next incarnation of the worker may run
// an allocation of this one. It cannot if this incarnation has listed the run, and was
// asked to do so after the last start request had its answer.
func (a *allocation) mayReachNextIncarnation() bool {
	return a.run != 0 && (a.openStarts > 0 || a.reportedAt == 0 || !a.startAnsweredAt.Before(a.reportSentAt))
}

// carryOver keeps an allocation until the next incarnation has reported.
func (a *allocation) carryOver() { a.carriedOver, a.reportedAt = true, 0 }

// settleCarriedOver ends the runs of an earlier incarnation that a report of the present
// one does not list. The request for that report had the raised token, so no start
// request of these runs is carried out any more.
func (c *Dispatcher) settleCarriedOver(w *worker) {
	for _, a := range w.matchingAllocations(func(a *allocation) bool { return a.carriedOver }) {
		c.runLost(w, a, lossNewIncarnation)
	}
}

// mayHoldInheritedLease reports whether the present incarnation of a worker may hold a
// lease from a request that was sent to an earlier one: it was up for too short a time
// when it first reported.
func (c *Dispatcher) mayHoldInheritedLease(w *worker, uptime time.Duration) bool {
	return w.Restarted && uptime < c.policy.Lease+lateRequestTime+c.longestLease()
}

// uptime returns how long the present incarnation of a worker has been up: the smaller of
// two estimates. Its clock begins with the incarnation, but perhaps not at 0, and its
// start time is by its own time of day, which may be off by seconds.
func (c *Dispatcher) uptime(w *worker) time.Duration {
	if c.wallOffset == 0 {
		return w.clock // the time of day is not known before the first tick
	}
	started := structs.Timestamp(w.Incarnation) * structs.Timestamp(time.Millisecond)
	return min(w.clock, c.wallTime().Sub(started))
}
