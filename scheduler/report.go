package scheduler

import (
	"fmt"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// refusedDelay is the delay before a refused task is tried again.
const refusedDelay = 500 * time.Millisecond

// completion is an ended attempt that its worker may still list.
type completion struct {
	sequence   uint64
	lastListed structs.Timestamp
}

// applyReport applies the report of a worker. Completions are applied from
// every report, since they are final. Running and missing attempts are applied
// only from a report that is newer than all previous ones.
func (s *State) applyReport(r *provider.WorkerReport) {
	w := s.worker(r.Worker)
	isNewest := r.ReportedAt.After(w.lastReportAt)
	if isNewest {
		w.lastReportAt = r.ReportedAt
		w.lastHeard = s.now
		w.unansweredSince = 0
		s.markUp(w)
	}
	for i := range r.Tasks {
		s.reportTask(w, r, &r.Tasks[i], isNewest)
	}
	if isNewest {
		s.endUnlistedAttempts(w, r.ReportedAt)
		w.removeAcknowledged(r.ReportedAt, s.committed)
		s.rescheduleCall(w)
	}
}

func (s *State) markUp(w *worker) {
	if w.downSince == 0 {
		return
	}
	w.downSince = 0
	w.replicasReplaced = false
	s.updateSchedulable(w)
	s.callAt(w, s.now.Add(fastPollInterval))
}

func (s *State) reportTask(w *worker, r *provider.WorkerReport, tr *provider.TaskReport, isNewest bool) {
	t := s.tasks[tr.Task]
	isCurrent := t != nil && t.Phase == phasePlaced && t.Attempt == tr.Attempt && t.Worker == w.id
	ref := provider.AttemptRef{Task: tr.Task, Attempt: tr.Attempt}
	if tr.Status != provider.RunRunning {
		s.reportCompletion(w, t, ref, tr, isCurrent, r.ReportedAt)
		return
	}
	switch {
	case !isNewest:
	case isCurrent:
		t.live.lastListed = r.ReportedAt
		s.observeRunning(w, t, tr)
	case t == nil || tr.Attempt <= t.Attempt:
		b := s.outbox.batch(w.id)
		b.Stops = append(b.Stops, ref)
	}
}

// reportCompletion ends the attempt if it is the current one. The worker gets
// an acknowledgement once the record is durable.
func (s *State) reportCompletion(w *worker, t *task, ref provider.AttemptRef, tr *provider.TaskReport, isCurrent bool, at structs.Timestamp) {
	if isCurrent {
		t.live.checkpointed = t.live.checkpointed || tr.Checkpointed
		s.endAttempt(t, tr.Status, tr.Message)
		w.completions[ref] = completion{s.nextSequence(), at}
		s.afterCommit(deferredEffect{worker: w.id, ack: ref})
		return
	}
	e, known := w.completions[ref]
	if !known {
		// The attempt was ended without a report of its worker, possibly by a
		// record that is not committed yet.
		e.sequence = s.lastSequence()
	}
	e.lastListed = max(e.lastListed, at)
	w.completions[ref] = e
	if e.sequence <= s.committed {
		s.acknowledge(w.id, ref)
		return
	}
	s.callAt(w, s.now.Add(resendAfter))
}

// endUnlistedAttempts ends the attempts that the newest report does not list,
// once their not-after time has passed: the worker can no longer start them.
func (s *State) endUnlistedAttempts(w *worker, at structs.Timestamp) {
	for i := len(w.tasks) - 1; i >= 0; i-- {
		if i >= len(w.tasks) {
			continue
		}
		t := w.tasks[i]
		if t.live.sent && t.live.lastListed != at && at.After(t.NotAfter) {
			s.endAttempt(t, provider.RunLeaseExpired, "its worker does not know it")
		}
	}
}

func (w *worker) removeAcknowledged(at structs.Timestamp, committed uint64) {
	for ref, e := range w.completions {
		if e.lastListed < at && e.sequence <= committed {
			delete(w.completions, ref)
		}
	}
}

// observeRunning records that an attempt runs and what it uses.
func (s *State) observeRunning(w *worker, t *task, tr *provider.TaskReport) {
	a := t.live
	a.unconfirmed = false
	a.checkpointed = a.checkpointed || tr.Checkpointed
	if !a.running {
		a.running = true
		a.runningSince = s.now
	}
	if a.stopReason == stopNone {
		s.observeUsage(w, t, tr.Used)
	}
}

// endAttempt ends the current attempt, which certainly does not run any more,
// and ends or requeues the task.
func (s *State) endAttempt(t *task, status provider.RunStatus, message string) {
	j := t.job
	s.recordOutcome(t, status)
	s.detachAttempt(t)
	switch {
	case status == provider.RunSucceeded:
		s.endTask(t, structs.TaskSucceeded, message)
	case j.Cancelled || t.Superseded:
		s.endTask(t, structs.TaskCancelled, message)
	case status == provider.RunFailed:
		s.handleFailure(t, message)
	default:
		s.requeue(t, status, message)
	}
	if j.Spec.Kind == structs.KindGang && !j.Cancelled {
		s.handleGangAttemptEnd(j, status)
	}
}

func (s *State) endTask(t *task, state structs.TaskState, message string) {
	s.counters.Ended++
	j := t.job
	var notBefore structs.Timestamp
	if j.Spec.Kind == structs.KindService {
		notBefore = s.now.Add(s.retryDelay(j))
	}
	s.record(Record{TaskEnded: &TaskEnded{Task: t.ID, State: state, At: s.now, Message: message, NotBefore: notBefore}})
	s.trackEnded(j)
}

func (s *State) handleFailure(t *task, message string) {
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
		s.counters.Requeued++
		s.enqueue(t)
	}
}

func (s *State) requeue(t *task, status provider.RunStatus, message string) {
	r := &TaskRequeued{Task: t.ID, At: s.now, Message: message}
	if status == provider.RunRefused {
		r.NotBefore = s.now.Add(refusedDelay)
	}
	if peak := t.job.estimate.peakUsage; !peak.Fits(t.job.Size) {
		r.Resources = peak
	}
	s.record(Record{TaskRequeued: r})
	s.counters.Requeued++
	s.enqueue(t)
}
