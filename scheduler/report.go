package scheduler

import (
	"fmt"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// refusedDelay keeps a refused task from being offered in a tight loop.
const refusedDelay = 500 * time.Millisecond

// ending is a completion that its worker may still list.
type ending struct {
	sequence uint64
	listed   structs.Timestamp
}

// report takes over a worker's report. Completions count in every report,
// since they are final; what runs or is absent counts only in reports newer
// than all before.
func (s *State) report(r *provider.WorkerReport) {
	w := s.worker(r.Worker)
	fresh := r.At.After(w.reportAt)
	if fresh {
		w.reportAt = r.At
		w.heard = s.now
		w.asked = 0
		s.markUp(w)
	}
	for i := range r.Tasks {
		s.reportTask(w, r, &r.Tasks[i], fresh)
	}
	if fresh {
		s.settleAbsent(w, r.At)
		w.forgetAcknowledged(r.At, s.committed)
		s.replan(w)
	}
}

func (s *State) markUp(w *worker) {
	if w.down == 0 {
		return
	}
	w.down = 0
	w.replaced = false
	s.updateSchedulable(w)
	s.callAt(w, s.now.Add(fastPoll))
}

func (s *State) reportTask(w *worker, r *provider.WorkerReport, tr *provider.TaskReport, fresh bool) {
	t := s.tasks[tr.Task]
	current := t != nil && t.Phase == phasePlaced && t.Attempt == tr.Attempt && t.Worker == w.id
	ref := provider.AttemptRef{Task: tr.Task, Attempt: tr.Attempt}
	if tr.Status != provider.RunRunning {
		s.reportCompletion(w, t, ref, tr, current, r.At)
		return
	}
	switch {
	case !fresh:
	case current:
		t.live.listed = r.At
		s.observeRunning(w, t, tr)
	case t == nil || tr.Attempt <= t.Attempt:
		b := s.outbox.batch(w.id)
		b.Stops = append(b.Stops, ref)
	}
}

// reportCompletion settles the attempt if it is the current one. The worker
// gets its acknowledgement once the record is durable.
func (s *State) reportCompletion(w *worker, t *task, ref provider.AttemptRef, tr *provider.TaskReport, current bool, at structs.Timestamp) {
	if current {
		t.live.saved = t.live.saved || tr.Checkpointed
		s.settle(t, tr.Status, tr.Message)
		w.ending[ref] = ending{s.nextSequence(), at}
		s.afterCommit(deferred{worker: w.id, ack: ref})
		return
	}
	e, known := w.ending[ref]
	if !known {
		// The attempt was settled without its worker, possibly by a record
		// that is still under way.
		e.sequence = s.lastSequence()
	}
	e.listed = max(e.listed, at)
	w.ending[ref] = e
	if e.sequence <= s.committed {
		s.acknowledge(w.id, ref)
		return
	}
	s.callAt(w, s.now.Add(resendAfter))
}

// settleAbsent settles the attempts that a fresh report does not list. After
// its not-after time an attempt that the worker does not know cannot start.
func (s *State) settleAbsent(w *worker, at structs.Timestamp) {
	for i := len(w.tasks) - 1; i >= 0; i-- {
		if i >= len(w.tasks) {
			continue
		}
		t := w.tasks[i]
		if t.live.sent && t.live.listed != at && at.After(t.NotAfter) {
			s.settle(t, provider.RunLapsed, "its worker does not know it")
		}
	}
}

func (w *worker) forgetAcknowledged(at structs.Timestamp, committed uint64) {
	for ref, e := range w.ending {
		if e.listed < at && e.sequence <= committed {
			delete(w.ending, ref)
		}
	}
}

// observeRunning notes that an attempt runs and what it uses.
func (s *State) observeRunning(w *worker, t *task, tr *provider.TaskReport) {
	a := t.live
	a.unknown = false
	a.saved = a.saved || tr.Checkpointed
	if !a.running {
		a.running = true
		a.since = s.now
	}
	if a.stop == stopNone {
		s.observeUsage(w, t, tr.Used)
	}
}

// settle ends the current attempt, which certainly does not run any more, and
// decides what becomes of the task.
func (s *State) settle(t *task, status provider.RunStatus, message string) {
	j := t.job
	s.learn(t, status)
	s.detach(t)
	switch {
	case status == provider.RunSucceeded:
		s.endTask(t, structs.TaskSucceeded, message)
	case j.Cancelled || t.Superseded:
		s.endTask(t, structs.TaskCancelled, message)
	case status == provider.RunFailed:
		s.settleFailed(t, message)
	default:
		s.requeue(t, status, message)
	}
	if j.Spec.Kind == structs.KindGang && !j.Cancelled {
		s.settleGang(j, status)
	}
}

func (s *State) endTask(t *task, state structs.TaskState, message string) {
	s.counts.Ended++
	j := t.job
	var notBefore structs.Timestamp
	if j.Spec.Kind == structs.KindService {
		notBefore = s.now.Add(s.retryDelay(j))
	}
	s.record(Record{TaskEnded: &TaskEnded{Task: t.ID, State: state, At: s.now, Message: message, NotBefore: notBefore}})
	s.noteEnd(j)
}

func (s *State) settleFailed(t *task, message string) {
	j := t.job
	limit := j.Spec.MaxAttempts
	exhausted := limit > 0 && t.Failures+1 >= limit
	switch {
	case exhausted && j.Spec.Kind == structs.KindGang:
		s.endTask(t, structs.TaskFailed, message)
		s.cancelJob(j, fmt.Sprintf("task %s of the gang failed %d times", t.ID, limit))
	case exhausted || j.Spec.Kind == structs.KindService:
		s.endTask(t, structs.TaskFailed, message)
	default:
		s.record(Record{TaskRequeued: &TaskRequeued{
			Task: t.ID, At: s.now, NotBefore: s.now.Add(s.retryDelay(j)), Failed: true, Message: message,
		}})
		s.counts.Requeued++
		s.enqueue(t)
	}
}

func (s *State) requeue(t *task, status provider.RunStatus, message string) {
	r := &TaskRequeued{Task: t.ID, At: s.now, Message: message}
	if status == provider.RunRefused {
		r.NotBefore = s.now.Add(refusedDelay)
	}
	if peak := t.job.estimate.peak; !peak.Fits(t.job.Size) {
		r.Resources = peak
	}
	s.record(Record{TaskRequeued: r})
	s.counts.Requeued++
	s.enqueue(t)
}
