package scheduler

import (
	"container/heap"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// wait is an attempt on a worker that does not answer, and the time after
// which it certainly does not run.
type wait struct {
	until   structs.Timestamp
	task    structs.TaskID
	attempt int
}

type waitHeap []wait

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].until != h[j].until {
		return h[i].until < h[j].until
	}
	return h[i].task < h[j].task
}
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *waitHeap) Push(x any)   { *h = append(*h, x.(wait)) }
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	*h = (*h)[:last]
	return v
}

// mayRunUntil returns the time after which the attempt certainly does not run
// without a word of its worker.
func (t *task) mayRunUntil() structs.Timestamp {
	return max(t.NotAfter, t.live.leaseEnd).Add(provider.ClockBound)
}

func (s *State) waitOut(t *task) {
	heap.Push(&s.waits, wait{t.mayRunUntil(), t.ID, t.Attempt})
}

// endWaits settles the attempts whose wait is over.
func (s *State) endWaits() {
	for len(s.waits) > 0 && s.waits[0].until.Before(s.now) && !s.stalled() {
		v := heap.Pop(&s.waits).(wait)
		t := s.tasks[v.task]
		if t == nil || t.Phase != phasePlaced || t.Attempt != v.attempt || !t.live.unknown {
			continue
		}
		if !t.mayRunUntil().Before(s.now) {
			s.waitOut(t)
			continue
		}
		s.settle(t, provider.RunLapsed, "its worker did not answer until the lease end")
	}
}

// sendStart sends the start of an attempt whose record is durable, or gives
// the attempt up if it is too late or no longer wanted.
func (s *State) sendStart(t *task, attemptNumber int) {
	if t.Phase != phasePlaced || t.Attempt != attemptNumber || t.live == nil || t.live.sent {
		return
	}
	a := t.live
	a.durable = true
	w := s.workers[t.Worker]
	end := min(s.now.Add(s.policy.Lease), s.horizon)
	switch {
	case a.stop != stopNone:
		s.settle(t, provider.RunStopped, "not sent: no longer wanted")
	case s.now.After(t.NotAfter) || !end.After(s.now):
		s.counts.Expired++
		s.settle(t, provider.RunRefused, "not sent: its record was durable too late")
	case w.down != 0:
		s.settle(t, provider.RunRefused, "not sent: its worker does not answer")
	default:
		a.sent = true
		a.sentAt = s.now
		a.leaseEnd = end
		b := s.outbox.batch(t.Worker)
		b.Starts = append(b.Starts, s.startOf(t))
		s.callAt(w, s.now.Add(resendAfter))
		s.observeWait(t)
	}
}

func (s *State) observeWait(t *task) {
	if t.Attempt != 1 {
		return
	}
	spec := &t.job.Spec
	s.effects = append(s.effects, WaitObserved{
		Team: spec.Team, Class: spec.Class, Wait: max(s.now.Sub(max(t.Enqueued, spec.NotBefore)), 0),
	})
}

func (s *State) startOf(t *task) provider.StartTask {
	return provider.StartTask{
		Task: t.ID, Attempt: t.Attempt, Resources: t.Reserved, Command: t.job.Spec.Command,
		NotAfter: t.NotAfter, LeaseEnd: t.live.leaseEnd,
	}
}

// stop asks for the end of an attempt. An attempt whose start was not sent
// ends at its commit.
func (s *State) stop(t *task, reason stopReason) {
	a := t.live
	if a.stop == stopEnd || a.stop == reason {
		return
	}
	a.stop = reason
	if !a.sent {
		return
	}
	a.stopAt = s.now
	w := s.workers[t.Worker]
	if w.down == 0 {
		b := s.outbox.batch(t.Worker)
		b.Stops = append(b.Stops, provider.AttemptRef{Task: t.ID, Attempt: t.Attempt})
	}
	s.callAt(w, s.now.Add(resendAfter))
}

// confirmStopped settles what was on the worker by the operator's word. A
// start that is still under way is refused by its not-after time, so such
// attempts wait for that time.
func (s *State) confirmStopped(e ConfirmStopped) {
	w := s.workers[e.Worker]
	if w == nil {
		s.replyError(e.Call, errs.New(errs.NotFound, "list the workers of the shard", "there is no worker %q", e.Worker))
		return
	}
	if s.stalled() {
		s.replyError(e.Call, errStalled(s.cfg.Shard))
		return
	}
	s.settleAll(w, s.now, "its end was confirmed by an operator")
	for _, t := range w.tasks {
		t.live.unknown = true
		t.live.leaseEnd = t.NotAfter
		s.waitOut(t)
	}
	s.replyAfter(s.lastSequence(), Reply{Call: e.Call})
}

// settleAll settles the attempts on a worker that certainly do not run.
// Attempts whose start may still arrive after the word on a live worker stay.
func (s *State) settleAll(w *worker, now structs.Timestamp, message string) {
	gone := w.info.State == structs.Gone
	for _, t := range append([]*task(nil), w.tasks...) {
		if !gone && t.live.sent && !now.After(t.NotAfter.Add(provider.ClockBound)) {
			continue
		}
		if t.Phase == phasePlaced {
			s.settle(t, provider.RunLapsed, message)
		}
	}
}
