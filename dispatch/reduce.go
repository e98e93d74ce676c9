package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// Reduce applies an event at time now and returns the effects to carry out.
// The slice is valid until the next call.
func (c *Cell) Reduce(now structs.Timestamp, event structs.Event) []structs.Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case SubmitJob:
		c.submit(e)
	case CancelJob:
		c.cancel(e)
	case WorkerSeen:
		c.seeWorker(e.Worker)
	case WorkerUnlisted:
		c.unlistWorker(e.ID)
	case DirectoryListed:
		c.directoryListed = true
	case LeaseAnswered:
		c.leaseAnswered(e)
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case AdviceAnswered:
		c.adviceAnswered(e)
	case InstancesConnected:
		c.setAdvisors(e.IDs)
	case LeadershipEnded:
		c.handOver()
	case StoreHealth:
		c.setStoreAway(e.Away)
	case CommitAnswered:
		c.committed(e.Sequence)
	case Tick:
		c.wallOffset = e.WallOffset
		c.tick()
	}
	return c.effects
}

// Place runs a placement pass if anything changed since the last one.
func (c *Cell) Place(now structs.Timestamp) []structs.Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	if c.placeAgain {
		c.placeAgain = false
		c.place()
	}
	return c.effects
}

// Confirm records that a commit sent at the given time proved the leadership.
func (c *Cell) Confirm(sentAt structs.Timestamp) { c.confirmed = max(c.confirmed, sentAt) }

func (c *Cell) tick() {
	c.startOccurrences()
	c.queueProgress()
	for _, w := range c.order {
		c.tickWorker(w)
	}
	c.refuseUncommitted()
	c.endRecovery()
	c.forgetEnded()
	c.placeAgain = true
}

// endRecovery stops the wait for workers that do not answer once all leases
// of the previous leader have expired.
func (c *Cell) endRecovery() {
	if c.unheard == 0 || c.now.Before(c.oldLeasesEnd) {
		return
	}
	for _, w := range c.order {
		c.hear(w)
	}
}

// hear marks a worker as accounted for.
func (c *Cell) hear(w *worker) {
	if !w.unheard {
		return
	}
	w.unheard = false
	c.unheard--
	c.placeAgain = true
	if c.unheard == 0 {
		c.decide(Decision{Event: "recovery_complete", Value: int64(len(c.jobs))})
	}
}

// stepsKept is how long the steps of an ended job are kept. Its last runs are
// stopped and listed by then; callers ask for its state for longer.
const stepsKept = 10 * time.Second

func (c *Cell) forgetEnded() {
	for len(c.fading) > 0 && c.now.Sub(c.fading[0].endedAt) > stepsKept {
		j := c.fading[0]
		c.fading[0] = nil
		c.fading = c.fading[1:]
		j.runs = nil
		j.spec = workflow.Job{ID: j.spec.ID}
	}
	for len(c.endedBatches) > 0 && c.now.Sub(c.endedBatches[0].last) > c.policy.KeepEnded {
		batch := c.endedBatches[0]
		c.endedBatches[0] = nil
		c.endedBatches = c.endedBatches[1:]
		for _, id := range batch.jobs {
			delete(c.jobs, id)
		}
		c.removals = append(c.removals, tablestore.Name{Table: EndedTable, Key: batch.key})
	}
}

// refuseUncommitted refuses submissions that no commit carries yet, so that
// callers can try elsewhere or later while the store is away.
func (c *Cell) refuseUncommitted() {
	kept := c.dirty[:0]
	for _, j := range c.dirty {
		if !c.mayRefuse(j) {
			kept = append(kept, j)
			continue
		}
		c.answer(&j.waiting, Refused, retryAfterStore)
		c.answer(&j.cancels, NoSuchJob, 0)
		c.decide(Decision{Event: "refuse", Job: j.spec.ID, Reason: "store does not answer", Value: int64(c.now.Sub(j.accepted) / time.Millisecond)})
		j.state = jobCancelled // advice that arrives late finds nothing to start
		delete(c.jobs, j.spec.ID)
	}
	clear(c.dirty[len(kept):])
	c.dirty = kept
}

// setStoreAway answers the submissions that wait, once the store is away:
// those that no commit carries are refused, the others are told that the
// outcome is open. Holding them would cost their callers the time in which
// they could ask again.
func (c *Cell) setStoreAway(away bool) {
	c.storeAway = away
	if !away {
		return
	}
	for _, j := range c.committing {
		c.answer(&j.waiting, Unsettled, retryAfterStore)
		c.answer(&j.cancels, Unsettled, retryAfterStore)
	}
	c.refuseUncommitted()
}

// handOver answers the submissions that no commit of this leader carries, so
// that the instances that passed them on ask the next leader.
func (c *Cell) handOver() {
	for _, j := range c.dirty {
		if !j.durable && j.writing == 0 {
			c.answer(&j.waiting, NotTaken, 0)
		}
	}
}

func (c *Cell) mayRefuse(j *job) bool {
	return !j.durable && j.writing == 0 && (c.storeAway || c.now.Sub(j.accepted) > c.policy.CommitWait)
}

// retryAfterStore is what a refused caller is told while the store does not
// answer; its outages last several seconds.
const retryAfterStore = time.Second

func (c *Cell) answer(refs *[]Ref, verdict Verdict, retryAfter time.Duration) {
	for _, ref := range *refs {
		c.emit(Reply{Ref: ref, Verdict: verdict, RetryAfter: retryAfter})
	}
	*refs = nil
}
