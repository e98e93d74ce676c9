package dispatch

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// Reduce applies an event at time now and returns the effects to carry out. The
// slice is valid until the next call of Reduce or PlaceTasks.
func (c *Dispatcher) Reduce(now structs.Timestamp, event structs.Event) []structs.Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	c.detectPause()
	switch e := event.(type) {
	case SubmitJob:
		c.submit(e)
	case CancelJob:
		c.cancel(e)
	case WorkerListed:
		c.updateWorker(e.Worker)
	case WorkerUnlisted:
		c.unlistWorker(e.ID)
	case LeaseAnswered:
		c.leaseAnswered(e)
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case AdviceAnswered:
		c.adviceAnswered(e)
	case InstancesConnected:
		c.setAdvisorClients(e.IDs)
		if e.MaxJobMemory != 0 {
			c.maxJobMemory = e.MaxJobMemory
		}
	case LeadershipEnded:
		c.returnUncommitted()
	case StoreHealth:
		c.setStoreUnavailable(e)
	case Committed:
		c.committed(e.Sequence)
	case Tick:
		c.wallOffset = e.WallOffset
		c.tick()
	}
	return c.effects
}

// PlaceTasks runs a placement pass if anything changed since the last one. It returns
// the effects to carry out, which are valid as those of Reduce.
func (c *Dispatcher) PlaceTasks(now structs.Timestamp) []structs.Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	c.detectPause()
	if c.placementNeeded && c.pausedAt == 0 {
		c.placementNeeded = false
		c.placeSteps()
	}
	return c.effects
}

// ConfirmLeadership records that a commit sent at the given time succeeded, which proves
// that this instance still led at that time.
func (c *Dispatcher) ConfirmLeadership(sentAt structs.Timestamp) {
	c.leadershipConfirmedAt = max(c.leadershipConfirmedAt, sentAt)
	c.placementNeeded = true // lost tasks wait for this
	if !sentAt.Before(c.pausedAt) {
		c.pausedAt = 0
	}
}

// maxTickGap is the time between two ticks above which this leader may have been paused
// and replaced. Other instances claim the leadership of one that is silent for so long.
const maxTickGap = time.Second

// detectPause notices that this leader has been paused. It is called with each event and
// placement, as answers may be processed before the first tick afterwards. Until a commit
// that is sent after the pause proves that it still leads, it grants no leases and starts
// nothing: a worker that has restarted meanwhile has received no token of a later leader.
func (c *Dispatcher) detectPause() {
	if c.lastTickAt != 0 && c.now.Sub(c.lastTickAt) > maxTickGap {
		c.pausedAt = c.now
		c.logDecision(Decision{Event: "pause_noticed", Value: int64(c.now.Sub(c.lastTickAt) / time.Millisecond)})
		c.lastTickAt = c.now
	}
}

func (c *Dispatcher) tick() {
	c.lastTickAt = c.now
	c.startOccurrences()
	c.queueDeferred()
	for _, w := range c.sortedWorkers {
		c.tickWorker(w)
	}
	c.expireCalls()
	c.refused.prune(c.now)
	c.forgetEnded()
	c.placementNeeded = true
}

// markReported records that the runs of the previous leader on a worker are known
// or over.
func (c *Dispatcher) markReported(w *worker) {
	if !w.unreported {
		return
	}
	w.unreported = false
	c.unreported--
	c.placementNeeded = true
	if c.unreported == 0 {
		c.recoveryCompleted, c.recoveredAt = true, c.now
		c.logDecision(Decision{Event: "recovery_complete", Value: int64(len(c.jobs))})
	}
}

// endedStepsRetention is how long the steps of an ended job are kept. By then its
// last runs have been stopped and reported. Its state is kept for longer, for
// callers.
const endedStepsRetention = 10 * time.Second

// forgetEnded frees the steps of ended jobs and later the jobs themselves.
func (c *Dispatcher) forgetEnded() {
	for len(c.endedWithSteps) > 0 && c.now.Sub(c.endedWithSteps[0].endedAt) > endedStepsRetention {
		j := c.endedWithSteps[0]
		c.endedWithSteps[0] = nil
		c.endedWithSteps = c.endedWithSteps[1:]
		j.occurrences = nil
		j.spec, j.advisedWorkers = workflow.Job{ID: j.spec.ID}, 0
		c.count(j)
	}
	for len(c.outcomeRows) > 0 && c.outcomeRows[0].storedAt != 0 && c.now.Sub(c.outcomeRows[0].storedAt) > c.policy.Retention {
		batch := c.outcomeRows[0]
		c.outcomeRows[0] = nil
		c.outcomeRows = c.outcomeRows[1:]
		for _, j := range batch.jobs {
			c.forget(j.spec.ID)
		}
		c.expiredOutcomes = append(c.expiredOutcomes, batch)
	}
}

// setStoreUnavailable records an outage of the store or its end.
func (c *Dispatcher) setStoreUnavailable(e StoreHealth) {
	if !e.Unavailable {
		c.outages.ended(c.now)
		return
	}
	c.outages.began(e.Since)
}

// expireCalls answers the calls whose deadline has passed before a commit
// succeeded. Jobs that are part of a commit may still be accepted, so their callers
// get CommitPending; the others are refused once no caller waits for them.
func (c *Dispatcher) expireCalls() {
	for _, j := range c.committing {
		if j.committedVersion >= j.writingVersion {
			continue
		}
		c.replyExpired(&j.pendingSubmits, CommitPending, c.retryAfter(j))
		c.replyExpired(&j.pendingCancels, CommitPending, c.retryAfter(j))
	}
	kept := c.dirty[:0]
	for _, j := range c.dirty {
		if !c.refuseIfExpired(j) {
			kept = append(kept, j)
		}
	}
	clear(c.dirty[len(kept):])
	c.dirty = kept
}

// refuseIfExpired refuses a submission that is not part of a commit once all its
// callers' deadlines have passed, and forgets the job. It reports whether it did.
func (c *Dispatcher) refuseIfExpired(j *job) bool {
	if j.durable || j.writingVersion != 0 {
		c.replyExpired(&j.pendingCancels, CommitPending, c.retryAfter(j))
		return false
	}
	away := c.outages.isAway()
	if slices.ContainsFunc(j.pendingSubmits, func(call pendingCall) bool { return c.now.Before(call.waitsUntil(away)) }) {
		return false
	}
	reason := RefusedNotCommitted
	if away {
		reason = RefusedStoreAway
	}
	for _, call := range j.pendingSubmits {
		c.emit(Reply{Call: call.id, Verdict: c.refusalOf(call.request), RetryAfter: c.retryAfter(j)})
	}
	j.pendingSubmits = nil
	c.replyAll(&j.pendingCancels, NoSuchJob, 0)
	c.logDecision(Decision{Event: "refuse", Job: j.spec.ID, Reason: string(reason), Value: int64(c.now.Sub(j.acceptedAt) / time.Millisecond)})
	j.state = jobCancelled // late advice must not start its tasks
	c.forget(j.spec.ID)
	return true
}

// retryAfter returns when the callers of a job should ask again.
func (c *Dispatcher) retryAfter(j *job) time.Duration {
	return c.outages.retryAfter(c.now, j.queue.Priority)
}

// returnUncommitted answers the submissions that are not part of a commit with
// NotAccepted, so that the instances that forwarded them ask the next leader.
func (c *Dispatcher) returnUncommitted() {
	for _, j := range c.dirty {
		if !j.durable && j.writingVersion == 0 {
			c.replyAll(&j.pendingSubmits, NotAccepted, 0)
		}
	}
}

// newPendingCall returns a call that waits for a commit until its deadline.
func (c *Dispatcher) newPendingCall(id CallID, deadline structs.Timestamp) pendingCall {
	if deadline == 0 {
		deadline = c.now.Add(c.policy.CommitTimeout)
	}
	return pendingCall{id: id, receivedAt: c.now, deadline: deadline}
}

// replyAll replies to all of the calls and clears the list.
func (c *Dispatcher) replyAll(calls *[]pendingCall, verdict Verdict, retryAfter time.Duration) {
	for _, call := range *calls {
		c.emit(Reply{Call: call.id, Verdict: verdict, RetryAfter: retryAfter})
	}
	*calls = nil
}

// replyExpired replies to the calls whose deadline has passed and removes them
// from the list.
func (c *Dispatcher) replyExpired(calls *[]pendingCall, verdict Verdict, retryAfter time.Duration) {
	*calls = slices.DeleteFunc(*calls, func(call pendingCall) bool {
		if c.now.Before(call.deadline) {
			return false
		}
		c.emit(Reply{Call: call.id, Verdict: verdict, RetryAfter: retryAfter})
		return true
	})
}
