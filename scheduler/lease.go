package scheduler

import (
	"container/heap"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// leaseExpiry is an attempt on a worker that does not answer, with the time
// after which the attempt certainly does not run.
type leaseExpiry struct {
	at      structs.Timestamp
	task    structs.TaskID
	attempt int
}

type expiryHeap []leaseExpiry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].task < h[j].task
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)   { *h = append(*h, x.(leaseExpiry)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	*h = (*h)[:last]
	return v
}

// mayRunUntil returns the time after which the attempt certainly does not run,
// even without a report of its worker.
func (t *task) mayRunUntil() structs.Timestamp {
	return max(t.NotAfter, t.live.leaseEnd).Add(provider.ClockBound)
}

func (s *State) scheduleExpiry(t *task) {
	heap.Push(&s.expiries, leaseExpiry{t.mayRunUntil(), t.ID, t.Attempt})
}

// endExpiredAttempts ends the attempts that certainly do not run any more.
func (s *State) endExpiredAttempts() {
	for len(s.expiries) > 0 && s.expiries[0].at.Before(s.now) && !s.stalled() {
		v := heap.Pop(&s.expiries).(leaseExpiry)
		t := s.tasks[v.task]
		if t == nil || t.Phase != phasePlaced || t.Attempt != v.attempt || !t.live.unconfirmed {
			continue
		}
		if !t.mayRunUntil().Before(s.now) {
			s.scheduleExpiry(t)
			continue
		}
		s.endAttempt(t, provider.RunLeaseExpired, "its worker did not answer until the lease end")
	}
}

// sendStart sends the start of an attempt whose record is durable. It ends the
// attempt instead if it is too late, no longer wanted or its worker does not
// answer.
func (s *State) sendStart(t *task, attemptNumber int) {
	if t.Phase != phasePlaced || t.Attempt != attemptNumber || t.live == nil || t.live.sent {
		return
	}
	a := t.live
	a.durable = true
	w := s.workers[t.Worker]
	end := min(s.now.Add(s.policy.Lease), s.horizon)
	switch {
	case a.stopReason != stopNone:
		s.endAttempt(t, provider.RunStopped, "not sent: no longer wanted")
	case s.now.After(t.NotAfter) || !end.After(s.now):
		s.counters.ExpiredStarts++
		s.endAttempt(t, provider.RunRefused, "not sent: its record was durable too late")
	case w.downSince != 0:
		s.endAttempt(t, provider.RunRefused, "not sent: its worker does not answer")
	default:
		a.sent = true
		a.sentAt = s.now
		a.leaseEnd = end
		b := s.outbox.batch(t.Worker)
		b.Starts = append(b.Starts, s.startCommand(t))
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

func (s *State) startCommand(t *task) provider.StartTask {
	return provider.StartTask{
		Task: t.ID, Attempt: t.Attempt, Resources: t.Reserved, Command: t.job.Spec.Command,
		NotAfter: t.NotAfter, LeaseEnd: t.live.leaseEnd,
	}
}

// requestStop sends a stop for an attempt. An attempt whose start has not been
// sent ends when its start record is committed.
func (s *State) requestStop(t *task, reason stopReason) {
	a := t.live
	if a.stopReason == stopFinal || a.stopReason == reason {
		return
	}
	a.stopReason = reason
	if !a.sent {
		return
	}
	a.stopAt = s.now
	w := s.workers[t.Worker]
	if w.downSince == 0 {
		b := s.outbox.batch(t.Worker)
		b.Stops = append(b.Stops, provider.AttemptRef{Task: t.ID, Attempt: t.Attempt})
	}
	s.callAt(w, s.now.Add(resendAfter))
}

// confirmStopped ends the attempts on a worker after an operator confirmed that
// nothing runs there. The worker refuses a start still in transit only after
// its not-after time, so attempts that may have one end after that time.
func (s *State) confirmStopped(e ConfirmStopped) {
	w := s.workers[e.Worker]
	if w == nil {
		s.replyError(e.Call, errs.New(errs.NotFound, "list the workers of the shard", "worker %q does not exist", e.Worker))
		return
	}
	if s.stalled() {
		s.replyError(e.Call, errStalled(s.cfg.Shard))
		return
	}
	s.endStoppedAttempts(w, s.now, "its end was confirmed by an operator")
	for _, t := range w.tasks {
		t.live.unconfirmed = true
		t.live.leaseEnd = t.NotAfter
		s.scheduleExpiry(t)
	}
	s.replyAfter(s.lastSequence(), Reply{Call: e.Call})
}

// endStoppedAttempts ends the attempts on a worker on which nothing runs. If
// the worker is not gone, attempts whose start may still arrive stay.
func (s *State) endStoppedAttempts(w *worker, now structs.Timestamp, message string) {
	gone := w.info.State == structs.Gone
	for _, t := range append([]*task(nil), w.tasks...) {
		if !gone && t.live.sent && !now.After(t.NotAfter.Add(provider.ClockBound)) {
			continue
		}
		if t.Phase == phasePlaced {
			s.endAttempt(t, provider.RunLeaseExpired, message)
		}
	}
}
