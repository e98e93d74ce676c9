package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// updateWorker applies a directory entry.
func (c *Dispatcher) updateWorker(entry workflow.Worker) {
	w := c.workers[entry.ID]
	if w == nil {
		w = c.addWorker(entry)
	}
	if entry.Incarnation != 0 && w.Incarnation != 0 && entry.Incarnation < w.Incarnation {
		return // late entry of an earlier incarnation
	}
	earlier := w.Worker
	entry.Restarted, entry.InheritedLeaseEnd, entry.LeasesEndBy = earlier.Restarted, earlier.InheritedLeaseEnd, earlier.LeasesEndBy
	changed := entry.Incarnation != w.listedIncarnation || entry.Address != earlier.Address
	w.listedIncarnation = entry.Incarnation
	switch {
	case w.reportSentAt != 0:
		// Only its own report shows which incarnation of a worker is up: an entry may
		// be late, and a start time earlier than that of the incarnation before.
		mayHaveRestarted := changed && (entry.Incarnation != earlier.Incarnation || entry.Address != earlier.Address)
		entry.Incarnation = earlier.Incarnation
		if mayHaveRestarted {
			w.Worker = entry // requests that concern the earlier runs go to the new address
			c.verifyIncarnation(w)
		}
	case entry.Incarnation != earlier.Incarnation || entry.Address != earlier.Address:
		w.Worker = entry
		c.incarnationEnded(w, "directory entry of another incarnation")
		entry.Restarted = true
	}
	if entry.Draining != earlier.Draining {
		c.logDecision(Decision{Event: "worker_draining", Worker: w.ID, Value: int64(entry.RemainingTime / time.Millisecond)})
	}
	if earlier.Address != entry.Address || !w.listed {
		c.workerChanged(w.ID)
	}
	if earlier.Draining != entry.Draining || !w.listed {
		c.placementNeeded = true
	}
	w.Worker = entry
	w.listed = true
	c.renew(w)
}

// addWorker adds a worker. While leases of the previous leader may be valid, the
// worker counts as unreported.
func (c *Dispatcher) addWorker(entry workflow.Worker) *worker {
	w := &worker{
		Worker: entry, allocations: map[string]*allocation{}, failedJobs: map[structs.JobID]bool{},
		listedIncarnation: entry.Incarnation, incarnationSince: c.now, // answers to requests from before its removal do not count
	}
	if c.now.Before(c.previousLeasesEnd) {
		if c.unreported == 0 && c.recoveryCompleted {
			// Tasks that this worker runs for the previous leader may have been
			// started again already.
			c.logDecision(Decision{Event: "worker_listed_late", Worker: entry.ID, Incarnation: entry.Incarnation, Value: int64(c.now.Sub(c.startedAt) / time.Millisecond)})
		}
		c.markUnreported(w)
	}
	c.workers[entry.ID] = w
	if offset, removed := c.removedWorkers[entry.ID]; removed {
		// Requests from before its removal may still be carried out, by another incarnation.
		w.tokenOffset, w.Restarted = offset, true
		c.raiseFencingToken(w)
		delete(c.removedWorkers, entry.ID)
		c.replaceApprovedWorker(w)
	}
	at, _ := slices.BinarySearchFunc(c.sortedWorkers, w, func(a, b *worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
	c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	c.workerChanged(w.ID)
	return w
}

// markUnreported records that a worker may run tasks of the previous leader, or list
// ends of their runs.
func (c *Dispatcher) markUnreported(w *worker) {
	if !w.unreported {
		w.unreported = true
		c.unreported++
	}
}

func (c *Dispatcher) unlistWorker(id structs.WorkerID) {
	if w := c.workers[id]; w != nil {
		w.listed = false
		c.logDecision(Decision{Event: "worker_unlisted", Worker: id})
	}
}

// incarnationEnded discards the state of an incarnation of a worker that is over.
// Its runs are over too, except those that the next incarnation may have been asked
// to start: a worker accepts requests for all incarnations of its identifier. An
// unreported worker remains unreported, because its next incarnation may also run
// tasks of the previous leader.
func (c *Dispatcher) incarnationEnded(w *worker, reason string) {
	if w.known || len(w.allocations) > 0 {
		c.logDecision(Decision{Event: "worker_restarted", Worker: w.ID, Incarnation: w.Incarnation, Reason: reason, Value: int64(len(w.allocations))})
	}
	for _, a := range sortedAllocations(w) {
		if a.mayReachNextIncarnation() {
			a.carryOver()
			continue
		}
		c.runLost(w, a, lossNewIncarnation)
	}
	c.resetWorker(w)
	if !w.Restarted {
		w.Restarted = true
		c.workerChanged(w.ID)
	}
	if len(w.allocations) > 0 {
		// A deadline on the clock of the ended incarnation grants the longest lease.
		w.leaseEnd = c.now.Add(c.longestLease())
	}
}

// verifyIncarnation asks a worker which of its incarnations is up, with a raised token.
// Until it answers it gets no new tasks.
func (c *Dispatcher) verifyIncarnation(w *worker) {
	c.raiseFencingToken(w)
	w.reportedSinceRaise, w.known = false, false
	w.renewing, w.nextRenewalAt, w.incarnationSince = false, 0, c.now
}

// resetWorker forgets what an incarnation of a worker has reported, and makes the
// next renewal due. Answers to renewals that were sent before are ignored. The fencing
// token rises unless that has been done since the last report.
func (c *Dispatcher) resetWorker(w *worker) {
	if w.reportedSinceRaise {
		c.raiseFencingToken(w)
	}
	w.reportedSinceRaise = false
	w.known, w.renewing, w.nextRenewalAt, w.incarnationSince = false, false, 0, c.now
	w.processedEnd, w.acknowledgedEnd, w.sentAcknowledgement, w.pendingAcks = 0, 0, 0, nil
	w.endNumbersContinuous = true // a new incarnation numbers its ends from 1
	w.clock, w.clockAt, w.leaseDeadline, w.leaseEnd, w.grantedEnd, w.lapseBy = 0, 0, 0, 0, 0, 0
	w.failures, w.pausedUntil = 0, 0
	clear(w.failedJobs)
}

// addressTaken handles a renewal that was answered for another worker. Its runs are over
// with their leases only: the worker that was asked may be elsewhere, or back at its
// address later. Until then it is silent.
func (c *Dispatcher) addressTaken(w *worker) {
	if w.known {
		c.logDecision(Decision{Event: "address_taken", Worker: w.ID, Value: int64(len(w.allocations))})
	}
	w.known = false
	c.renewalMissed(w, workflow.OtherIncarnation)
	w.missedRenewals = max(w.missedRenewals, missedRenewalsBeforeSilent)
	w.nextRenewalAt = c.now.Add(renewalRetryDelay)
}

// sortedAllocations returns all allocations sorted by name, which keeps the
// reducer deterministic.
func sortedAllocations(w *worker) []*allocation {
	return w.matchingAllocations(func(*allocation) bool { return true })
}

// matchingAllocations returns the allocations that match, sorted by name. Most
// calls match none and allocate no memory.
func (w *worker) matchingAllocations(match func(*allocation) bool) []*allocation {
	var list []*allocation
	for _, a := range w.allocations {
		if match(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *allocation) int { return strings.Compare(a.name, b.name) })
	return list
}

// renew sends a lease renewal unless one is in flight or not due yet.
func (c *Dispatcher) renew(w *worker) {
	if w.renewing || c.now.Before(w.nextRenewalAt) {
		return
	}
	w.renewing = true
	order := workflow.LeaseOrder{FencingToken: c.fencingToken(w)}
	if w.known && w.missedRenewals == 0 {
		// A worker that has missed a renewal may have restarted, and its ends
		// counted anew: it would forget some that no leader has processed.
		if order.Deadline = c.extendLease(w); order.Deadline != 0 {
			order.AcknowledgedThrough = w.acknowledgedEnd
		}
		order.Wait = min(c.policy.RenewalWait, c.leaseLength(w)/4)
		if w.lapseBy != 0 {
			order.Wait = renewalRetryDelay
		}
		if w.endsTruncated && w.acknowledgedEnd > w.sentAcknowledgement {
			order.Wait = 0 // the next ends are listed at once
		}
		w.sentAcknowledgement = order.AcknowledgedThrough
	}
	w.renewalSentAt = c.now
	c.emit(RenewLease{Worker: w.Worker, Order: order})
}

const (
	// hedgeAfter is how long the first report of one of the last workers may take
	// before it is asked for again. It covers a round trip of 60 ms and a busy worker.
	hedgeAfter = 200 * time.Millisecond
	// maxHedgedShare is the share of workers that are asked again. If more have not
	// reported, the new leader itself is slow, and more requests would delay it.
	maxHedgedShare = 0.1
)

// hedgeFirstReport asks a worker again that has not answered the first renewal of a
// new leader. No task of the previous leader is placed before all workers have
// reported, so one lost answer must not take a whole timeout.
func (c *Dispatcher) hedgeFirstReport(w *worker) {
	if !w.unreported || !w.renewing || w.hedged || c.now.Sub(w.renewalSentAt) < hedgeAfter ||
		float64(c.unreported) > maxHedgedShare*float64(len(c.sortedWorkers)) {
		return
	}
	w.hedged = true
	c.emit(RenewLease{Worker: w.Worker, Order: workflow.LeaseOrder{FencingToken: c.fencingToken(w)}})
}

// extendLease grants a lease and returns its end on the worker's clock, or 0 if no
// lease may be granted.
func (c *Dispatcher) extendLease(w *worker) time.Duration {
	granted := min(c.leaseLength(w), c.leadershipConfirmedAt.Add(c.policy.Horizon).Sub(c.now))
	if granted <= 0 || !w.known || !w.rowStored || w.grantsClosed || w.lapseBy != 0 || c.pausedAt != 0 {
		return 0 // the next leader would not count the lease of a worker that is not stored, or is stored as gone
	}
	if w.missedRenewals > 0 {
		// An unanswered renewal may have been carried out. Extending the lease
		// with each attempt would keep the tasks of a dead worker forever.
		return w.leaseDeadline
	}
	w.leaseDeadline = max(w.leaseDeadline, w.clock+c.now.Sub(w.clockAt)+granted)
	w.grantedEnd = max(w.grantedEnd, c.now.Add(time.Duration(float64(granted)/minClockRate)+leaseMargin))
	w.leaseEnd = max(w.leaseEnd, w.grantedEnd)
	w.requestsUntil = c.now.Add(c.policy.RenewalWait + requestTimeout + lateRequestTime)
	return w.leaseDeadline
}

func (c *Dispatcher) leaseAnswered(e LeaseAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if e.SentAt.Before(w.reportSentAt) || e.SentAt.Before(w.incarnationSince) {
		return // a later request has been answered before, or the incarnation that was asked is over
	}
	w.renewing = false
	switch e.Outcome {
	case workflow.OK:
		c.observeAnswer(w, e)
		c.applyReport(w, e)
	case workflow.Fenced:
		c.requestFenced(w, e.FencingToken)
		return
	case workflow.OtherIncarnation:
		c.addressTaken(w)
		return
	default:
		c.renewalMissed(w, e.Outcome)
		return
	}
	w.nextRenewalAt = c.now.Add(minRenewalInterval)
}

// reportedAnswerDelay is the delay of an answer from which it is observed. Most answers
// take less, and each observation costs processor time.
const reportedAnswerDelay = 150 * time.Millisecond

// observeAnswer reports how much longer the answer to a renewal took than the renewal
// let the worker wait: the way there and back, and how late the worker or this leader
// was.
func (c *Dispatcher) observeAnswer(w *worker, e LeaseAnswered) {
	if delay := c.now.Sub(e.SentAt) - e.Wait; delay >= reportedAnswerDelay {
		c.emit(Observation{Name: "renewal_delay", Queue: w.Service, Value: delay})
	}
}

// minRenewalInterval lets ends that occur close together share one renewal,
// because each renewal is billed.
const minRenewalInterval = 60 * time.Millisecond

// renewalRetryDelay is the delay after a failed renewal.
const renewalRetryDelay = 250 * time.Millisecond

// renewalMissed records an unanswered renewal.
func (c *Dispatcher) renewalMissed(w *worker, outcome workflow.Outcome) {
	w.missedRenewals++
	w.refusesConnections = outcome == workflow.NotSent
	if outcome == workflow.NotSent {
		w.missedRenewals = max(w.missedRenewals, missedRenewalsBeforeSilent) // the worker does not accept connections
	}
	if w.missedRenewals >= missedRenewalsBeforeSilent && !w.silent {
		w.silent = true
		c.logDecision(Decision{Event: "worker_silent", Worker: w.ID, Reason: string(outcome), Value: int64(len(w.allocations))})
	}
	if w.missedRenewals == 1 {
		c.renew(w) // single lost answers are common; retry at once, without waiting for ends
		return
	}
	w.nextRenewalAt = c.now.Add(renewalRetryDelay)
}

// tickWorker renews the lease of a worker, ends its runs once they are certainly
// over, and resends unanswered requests.
func (c *Dispatcher) tickWorker(w *worker) {
	if c.haveLeasesEnded(w) {
		c.silentWorkerEnded(w)
	}
	c.closeGrants(w)
	if !w.listed && len(w.allocations) == 0 && w.missedRenewals > 0 && !w.unreported && len(w.pendingAcks) == 0 && c.now.After(w.requestsUntil) {
		// The next leader will not ask it; ends that are not stored yet would be lost, and
		// it would not know that a late request may have granted a lease.
		c.removeWorker(w)
		return
	}
	c.renew(w)
	c.hedgeFirstReport(w)
	for _, a := range w.matchingAllocations(c.isResendDue) {
		c.resend(w, a)
	}
}

func (c *Dispatcher) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	c.removedWorkers[w.ID] = w.tokenOffset
	n := slices.Index(c.sortedWorkers, w)
	c.sortedWorkers = slices.Delete(slices.Clone(c.sortedWorkers), n, n+1)
	c.workerChanged(w.ID)
	c.logDecision(Decision{Event: "worker_removed", Worker: w.ID})
}

// recordFailure counts a failed run against its worker. Failures of two jobs
// without a success in between indicate a faulty worker, which is quarantined.
func (c *Dispatcher) recordFailure(w *worker, id structs.JobID) {
	w.failures++
	w.failedJobs[id] = true
	const quarantineThreshold = 2
	if len(w.failedJobs) >= quarantineThreshold && !c.now.Before(w.pausedUntil) {
		w.pausedUntil = c.now.Add(c.policy.QuarantineDuration)
		c.logDecision(Decision{Event: "quarantine", Worker: w.ID, Value: int64(w.failures)})
	}
}

// recordSuccess resets the failure counts of a worker.
func (w *worker) recordSuccess() {
	w.failures = 0
	clear(w.failedJobs)
}
