package scheduler

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// fastPollInterval is the time between two calls to a worker on which
	// attempts start or stop, and the resolution at which ends of tasks are
	// observed.
	fastPollInterval = 400 * time.Millisecond
	// overduePollDivisor divides the age of an attempt that runs longer than
	// estimated; the result is the time until its next poll.
	overduePollDivisor = 8
	// maxAckDelay is how long an acknowledgement waits for another call to its
	// worker.
	maxAckDelay = 2 * time.Second
	// maxTimestamp is later than any other time.
	maxTimestamp = structs.Timestamp(1 << 62)
	// resendAfter is the time after which an unanswered start or stop is sent
	// again. Workers start an attempt at most once, so this is safe.
	resendAfter = time.Second
	// idlePollInterval is the maximum time between two calls to a worker that answers.
	idlePollInterval = 10 * time.Second
	// replaceAfter is how long a worker may fail to answer before replicas of
	// services on it are replaced, so that one lost call has no effect.
	replaceAfter = 2 * time.Second
	// silenceLeaseDivisor divides the lease; a worker that sends no report for
	// the resulting time counts as unreachable.
	silenceLeaseDivisor = 2
)

// worker is the state of one worker.
type worker struct {
	id               structs.WorkerID
	info             structs.Worker
	listed           bool
	tasks            []*task               // tasks placed on the worker, in no particular order
	acks             []provider.AttemptRef // acknowledgements for the next call
	completions      map[provider.AttemptRef]completion
	lastReportAt     structs.Timestamp // time of the newest report, by the worker's clock
	lastHeard        structs.Timestamp // when the newest report arrived
	unansweredSince  structs.Timestamp // first call since the last report; 0 if none is open
	downSince        structs.Timestamp // start of the time without answers; 0 if it answers
	replicasReplaced bool              // replicas on it have been replaced since it is down
	nextCallAt       structs.Timestamp // time of the next call
	heapIndex        int               // index in callHeap
	health           workerHealth
}

// noteCall records the time of the first call without an answer.
func (w *worker) noteCall(now structs.Timestamp) {
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
}

// callHeap orders workers by the time of their next call.
type callHeap []*worker

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	if h[i].nextCallAt != h[j].nextCallAt {
		return h[i].nextCallAt < h[j].nextCallAt
	}
	return h[i].id < h[j].id
}
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *callHeap) Push(x any) {
	w := x.(*worker)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}
func (h *callHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}

// worker returns the state of a worker and adds it if it is unknown.
func (s *State) worker(id structs.WorkerID) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id, completions: map[provider.AttemptRef]completion{}, nextCallAt: s.now}
		s.workers[id] = w
		heap.Push(&s.calls, w)
	}
	return w
}

// callAt moves the next call of the worker to at if that is earlier.
func (s *State) callAt(w *worker, at structs.Timestamp) {
	if at < w.nextCallAt {
		w.nextCallAt = at
		heap.Fix(&s.calls, w.heapIndex)
	}
}

// callDueWorkers calls the workers that are due. A call carries lease renewals
// and unanswered starts and stops, or only polls for a report.
func (s *State) callDueWorkers() {
	for len(s.calls) > 0 && !s.calls[0].nextCallAt.After(s.now) {
		w := s.calls[0]
		s.callWorker(w)
		w.nextCallAt = max(w.nextCallAt, s.now.Add(fastPollInterval))
		heap.Fix(&s.calls, 0)
	}
}

func (s *State) callWorker(w *worker) {
	if w.info.State == structs.Gone {
		w.nextCallAt = s.now.Add(time.Hour)
		return
	}
	s.checkSilence(w)
	batch := s.outbox.batch(w.id)
	if w.downSince != 0 {
		s.replaceReplicas(w)
		w.nextCallAt = s.now.Add(resendAfter)
		return
	}
	for _, t := range w.tasks {
		s.addTaskCommands(t, batch)
	}
	w.nextCallAt = s.nextCall(w)
}

// nextCall returns the time of the next call that the worker needs.
func (s *State) nextCall(w *worker) structs.Timestamp {
	next := s.now.Add(min(idlePollInterval, s.policy.Lease/3))
	if len(w.acks) > 0 {
		next = s.now.Add(maxAckDelay)
	}
	for _, t := range w.tasks {
		next = min(next, s.nextPoll(t), s.renewalDue(t))
	}
	return next
}

// renewalDue returns the latest time at which the attempt's lease must be
// renewed. It depends only on the lease, because each report reschedules the
// next call and frequent reports must not delay the renewal.
func (s *State) renewalDue(t *task) structs.Timestamp {
	a := t.live
	if !a.running || a.stopReason != stopNone || !a.leaseEnd.Before(s.horizon) {
		return maxTimestamp
	}
	return max(s.now, a.leaseEnd.Add(-s.policy.Lease/2))
}

// rescheduleCall computes the next call of a worker that has just reported.
func (s *State) rescheduleCall(w *worker) {
	if w.downSince == 0 {
		w.nextCallAt = s.nextCall(w)
		heap.Fix(&s.calls, w.heapIndex)
	}
}

// addTaskCommands adds the commands that the attempt needs to the batch: a
// repeated stop or start, or a lease renewal.
func (s *State) addTaskCommands(t *task, batch *provider.WorkerBatch) {
	a := t.live
	ref := provider.AttemptRef{Task: t.ID, Attempt: t.Attempt}
	if a.stopReason != stopNone {
		if a.sent && s.now.Sub(a.stopAt) >= resendAfter {
			a.stopAt = s.now
			batch.Stops = append(batch.Stops, ref)
		}
		return
	}
	if a.running {
		s.renew(t, batch)
		return
	}
	if a.sent && !a.unconfirmed && s.now.Sub(a.sentAt) >= resendAfter && !s.now.After(t.NotAfter) {
		a.sentAt = s.now
		batch.Starts = append(batch.Starts, s.startCommand(t))
	}
}

// renew extends the lease of a running attempt once a third of it has passed.
func (s *State) renew(t *task, batch *provider.WorkerBatch) {
	a := t.live
	lease := s.policy.Lease
	if a.leaseEnd.Sub(s.now) > lease*2/3 && a.leaseEnd.Sub(s.now) <= lease {
		return
	}
	end := min(s.now.Add(lease), s.horizon)
	if !end.After(s.now) {
		return
	}
	a.leaseEnd = max(a.leaseEnd, end)
	batch.Renewals = append(batch.Renewals, provider.LeaseRenewal{Task: t.ID, Attempt: t.Attempt, LeaseEnd: end})
}

// nextPoll returns when the attempt next needs a call to its worker.
func (s *State) nextPoll(t *task) structs.Timestamp {
	a := t.live
	switch {
	case !a.sent:
		return maxTimestamp
	case a.preemptedAt != 0 && a.stopReason == stopNone:
		return s.now.Add(fastPollInterval)
	case !a.running || a.stopReason != stopNone:
		return s.now.Add(resendAfter)
	case t.job.Spec.Kind == structs.KindService:
		return maxTimestamp
	}
	expected := a.runningSince.Add(s.estimatedRunTime(t.job))
	if expected.After(s.now) {
		return expected.Add(fastPollInterval / 4)
	}
	// An attempt past its estimate is polled less often the longer it runs.
	// This bounds the calls and keeps the delay a small part of its run time.
	delay := s.now.Sub(a.runningSince) / overduePollDivisor
	return s.now.Add(max(delay, fastPollInterval))
}

// checkSilence marks a worker as down that has not answered calls for half a
// lease, even if no call failed.
func (s *State) checkSilence(w *worker) {
	if w.downSince == 0 && w.unansweredSince != 0 && s.now.Sub(w.unansweredSince) > s.policy.Lease/silenceLeaseDivisor {
		s.markDown(w)
	}
}

func (s *State) callFailed(id structs.WorkerID) {
	w := s.workers[id]
	if w == nil || w.info.State == structs.Gone {
		return
	}
	s.markDown(w)
	s.callAt(w, s.now.Add(resendAfter))
}

// markDown marks the worker as not answering. Its leases are no longer renewed,
// so that they expire.
func (s *State) markDown(w *worker) {
	if w.downSince != 0 {
		s.replaceReplicas(w)
		return
	}
	w.downSince = s.now
	s.updateSchedulable(w)
	for _, t := range w.tasks {
		t.live.unconfirmed = true
		s.scheduleExpiry(t)
	}
}

// replaceReplicas adds new replicas for those on a worker that does not answer.
// The old ones are stopped when the worker answers again.
func (s *State) replaceReplicas(w *worker) {
	if w.replicasReplaced || s.now.Sub(w.downSince) < replaceAfter || s.stalled() {
		return
	}
	w.replicasReplaced = true
	for _, t := range w.tasks {
		s.replaceReplica(t, "its worker "+string(w.id)+" does not answer")
	}
}

// updateSchedulable tells the index whether the worker may take new work.
func (s *State) updateSchedulable(w *worker) {
	_, quarantined := s.quarantine[w.id]
	ok := w.downSince == 0 && !s.drained[w.id] && !quarantined
	claim := s.claims.byWorker[w.id]
	s.index.SetSchedulable(w.id, ok && claim == nil)
	if claim != nil && !ok {
		s.claims.release(s, claim.job)
	}
	s.passNeeded = true
}

// updateWorkers applies a list of the directory. Workers that are not in the
// list are kept.
func (s *State) updateWorkers(list []structs.Worker) {
	changed := false
	for _, info := range list {
		changed = s.updateWorker(info) || changed
	}
	if changed {
		s.fleetChanged()
	}
}

func (s *State) updateWorker(info structs.Worker) bool {
	w := s.worker(info.ID)
	if w.listed && sameWorker(w.info, info) {
		return false
	}
	wasGone := w.info.State == structs.Gone
	w.listed = true
	w.info = info
	s.index.Upsert(info)
	s.updateSchedulable(w)
	switch {
	case info.State == structs.Gone && !wasGone:
		s.endStoppedAttempts(w, s.now, "its worker "+string(w.id)+" is gone")
	case info.State == structs.Leaving:
		s.trackServicesOn(w)
	}
	s.callAt(w, s.now)
	return true
}

func sameWorker(a, b structs.Worker) bool {
	if a.State != b.State || a.Capacity != b.Capacity || a.Location != b.Location || len(a.Labels) != len(b.Labels) {
		return false
	}
	for k, v := range a.Labels {
		if b.Labels[k] != v {
			return false
		}
	}
	return true
}

// capacity returns the total capacity of the listed workers that are not gone.
func (s *State) capacity() structs.Resources {
	var total structs.Resources
	for _, w := range s.workers {
		if w.listed && w.info.State != structs.Gone {
			total = total.Add(w.info.Capacity)
		}
	}
	return total
}

// fleetChanged updates what depends on the list of workers.
func (s *State) fleetChanged() {
	total := s.capacity()
	s.costUnit = newCostUnit(total, s.costUnit)
	s.queue.SetCapacity(s.costUnit.cost(total))
	s.quota.setCapacity(total)
	s.fleetVersion++
	clear(s.shapeFeasible)
	s.recheckInfeasible()
	s.passNeeded = true
}
