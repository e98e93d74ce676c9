package scheduler

import (
	"container/heap"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// fastPoll is the time between two calls to a worker with work in
	// transition, and the resolution at which ends of tasks are seen.
	fastPoll = 400 * time.Millisecond
	// lateLooks divides the age of an attempt past its estimate into the time
	// until the next look.
	lateLooks = 8
	// ackWithin is how long an acknowledgement waits for another call to its
	// worker.
	ackWithin = 2 * time.Second
	// forever is later than any other time.
	forever = structs.Timestamp(1 << 62)
	// resendAfter is the time after which an unanswered start or stop is sent
	// again. Workers start an attempt at most once, so this is safe.
	resendAfter = time.Second
	// idlePoll is the time between two calls to a worker without tasks.
	idlePoll = 10 * time.Second
	// replaceAfter is how long a worker may fail to answer before replicas of
	// services on it are replaced; one lost call replaces nothing.
	replaceAfter = 2 * time.Second
	// silentAfter is the part of a lease after which a worker without any
	// report counts as unreachable.
	silentAfter = 2
)

// worker is what the shard knows about one worker.
type worker struct {
	id       structs.WorkerID
	info     structs.Worker
	listed   bool
	tasks    []*task               // placed here, in no particular order
	acks     []provider.AttemptRef // for the next call
	ending   map[provider.AttemptRef]ending
	reportAt structs.Timestamp // of the newest report, by the worker's clock
	heard    structs.Timestamp // when the newest report arrived
	asked    structs.Timestamp // first call since the last report; 0 if none is open
	down     structs.Timestamp // since when it does not answer; 0 if it does
	replaced bool              // its replicas have been replaced
	due      structs.Timestamp // next call
	pos      int               // index in the heap of due workers
	health   workerHealth
}

// sent notes that a call is under way.
func (w *worker) sent(now structs.Timestamp) {
	if w.asked == 0 {
		w.asked = now
	}
}

// dueHeap orders workers by their next call.
type dueHeap []*worker

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].id < h[j].id
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *dueHeap) Push(x any) {
	w := x.(*worker)
	w.pos = len(*h)
	*h = append(*h, w)
}
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}

// worker returns the record of a worker, which is added if it is not known.
func (s *State) worker(id structs.WorkerID) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id, ending: map[provider.AttemptRef]ending{}, due: s.now}
		s.workers[id] = w
		heap.Push(&s.due, w)
	}
	return w
}

// callAt moves the next call of the worker to at if that is earlier.
func (s *State) callAt(w *worker, at structs.Timestamp) {
	if at < w.due {
		w.due = at
		heap.Fix(&s.due, w.pos)
	}
}

// serveWorkers calls the workers that are due: renewals, starts and stops
// that were not answered, or only a question for a report.
func (s *State) serveWorkers() {
	for len(s.due) > 0 && !s.due[0].due.After(s.now) {
		w := s.due[0]
		s.serve(w)
		w.due = max(w.due, s.now.Add(fastPoll))
		heap.Fix(&s.due, 0)
	}
}

func (s *State) serve(w *worker) {
	if w.info.State == structs.Gone {
		w.due = s.now.Add(time.Hour)
		return
	}
	s.noteSilence(w)
	batch := s.outbox.batch(w.id)
	if w.down != 0 {
		s.replaceReplicas(w)
		w.due = s.now.Add(resendAfter)
		return
	}
	for _, t := range w.tasks {
		s.serveTask(t, batch)
	}
	w.due = s.nextCall(w)
}

// nextCall returns when the worker next needs a call.
func (s *State) nextCall(w *worker) structs.Timestamp {
	next := s.now.Add(min(idlePoll, s.policy.Lease/3))
	if len(w.acks) > 0 {
		next = s.now.Add(ackWithin)
	}
	for _, t := range w.tasks {
		next = min(next, s.nextLook(t), s.renewalDue(t))
	}
	return next
}

// renewalDue returns when the attempt's lease must be renewed at the latest.
// It depends on the lease alone: reports that arrive often move the next call
// again and again, and must not put off the renewal.
func (s *State) renewalDue(t *task) structs.Timestamp {
	a := t.live
	if !a.running || a.stop != stopNone || !a.leaseEnd.Before(s.horizon) {
		return forever
	}
	return max(s.now, a.leaseEnd.Add(-s.policy.Lease/2))
}

// replan moves the next call of a worker that has just reported.
func (s *State) replan(w *worker) {
	if w.down == 0 {
		w.due = s.nextCall(w)
		heap.Fix(&s.due, w.pos)
	}
}

// serveTask adds what the attempt needs to the batch.
func (s *State) serveTask(t *task, batch *provider.WorkerBatch) {
	a := t.live
	ref := provider.AttemptRef{Task: t.ID, Attempt: t.Attempt}
	if a.stop != stopNone {
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
	if a.sent && !a.unknown && s.now.Sub(a.sentAt) >= resendAfter && !s.now.After(t.NotAfter) {
		a.sentAt = s.now
		batch.Starts = append(batch.Starts, s.startOf(t))
	}
}

// renew extends the lease of a running attempt once a third has passed.
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

// nextLook returns when the attempt next needs a call to its worker.
func (s *State) nextLook(t *task) structs.Timestamp {
	a := t.live
	switch {
	case !a.sent:
		return forever
	case a.preempt != 0 && a.stop == stopNone:
		return s.now.Add(fastPoll)
	case !a.running || a.stop != stopNone:
		return s.now.Add(resendAfter)
	case t.job.Spec.Kind == structs.KindService:
		return forever
	}
	expected := a.since.Add(s.runTimeOf(t.job))
	if expected.After(s.now) {
		return expected.Add(fastPoll / 4)
	}
	// An attempt past its estimate is looked at less often as it grows older,
	// which bounds the calls and keeps the delay a small part of its run time.
	late := s.now.Sub(a.since) / lateLooks
	return s.now.Add(max(late, fastPoll))
}

// noteSilence treats a worker that did not report for half a lease as one
// that cannot be reached, even if no call failed.
func (s *State) noteSilence(w *worker) {
	if w.down == 0 && w.asked != 0 && s.now.Sub(w.asked) > s.policy.Lease/silentAfter {
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

// markDown stops renewals, so that the leases on the worker come to an end.
func (s *State) markDown(w *worker) {
	if w.down != 0 {
		s.replaceReplicas(w)
		return
	}
	w.down = s.now
	s.updateSchedulable(w)
	for _, t := range w.tasks {
		t.live.unknown = true
		s.waitOut(t)
	}
}

// replaceReplicas starts new replicas for those on a worker that does not
// answer. The old ones are stopped when the worker is seen again.
func (s *State) replaceReplicas(w *worker) {
	if w.replaced || s.now.Sub(w.down) < replaceAfter || s.stalled() {
		return
	}
	w.replaced = true
	for _, t := range w.tasks {
		s.replace(t, "its worker "+string(w.id)+" does not answer")
	}
}

// updateSchedulable tells the index whether the worker may take new work.
func (s *State) updateSchedulable(w *worker) {
	_, quarantined := s.quarantine[w.id]
	ok := w.down == 0 && !s.drained[w.id] && !quarantined
	claim := s.claims.byWorker[w.id]
	s.index.SetSchedulable(w.id, ok && claim == nil)
	if claim != nil && !ok {
		s.claims.drop(s, claim.job)
	}
	s.dirty = true
}

// listWorkers takes over what the directory says. Absent workers stay.
func (s *State) listWorkers(list []structs.Worker) {
	changed := false
	for _, info := range list {
		changed = s.listWorker(info) || changed
	}
	if changed {
		s.fleetChanged()
	}
}

func (s *State) listWorker(info structs.Worker) bool {
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
		s.settleAll(w, s.now, "its worker "+string(w.id)+" is gone")
	case info.State == structs.Leaving:
		s.moveReplicas(w)
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

// capacity returns what all listed workers hold that are not gone.
func (s *State) capacity() structs.Resources {
	var total structs.Resources
	for _, w := range s.workers {
		if w.listed && w.info.State != structs.Gone {
			total = total.Add(w.info.Capacity)
		}
	}
	return total
}

// fleetChanged reconsiders what depends on the list of workers.
func (s *State) fleetChanged() {
	total := s.capacity()
	s.unit = unitOf(total, s.unit)
	s.queue.SetCapacity(s.unit.cost(total))
	s.quota.setCapacity(total)
	s.fleet++
	clear(s.shapes)
	s.reconsiderHeld()
	s.dirty = true
}
