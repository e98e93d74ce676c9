package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

const (
	// workerRequestTimeout bounds a start or stop request. It allows for a round
	// trip of 60 ms and a lost packet. The dispatcher repeats requests without an
	// answer.
	workerRequestTimeout = 400 * time.Millisecond
	// leaseTimeout is the time for a renewal in addition to the worker's wait.
	leaseTimeout = 500 * time.Millisecond
	// adviceTimeout is the time for a call to the advisor in addition to its
	// expected processing time.
	adviceTimeout = 1200 * time.Millisecond
)

// execute performs the effects that the dispatcher has decided on at the given time.
func (l *leader) execute(effects []structs.Effect, decidedAt structs.Timestamp) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.StartTask:
			l.spawn("start", func() {
				outcome := l.startTask(e, decidedAt)
				l.post(dispatch.StartAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: outcome})
			})
		case dispatch.StopTask:
			l.spawn("stop", func() {
				outcome := l.instance.options.Workers.Stop(&e.Worker, e.Order, workerRequestTimeout)
				l.post(dispatch.StopAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: outcome})
			})
		case dispatch.RenewLease:
			l.spawn("renew", func() {
				report, outcome := l.renewLease(e, decidedAt)
				l.post(dispatch.LeaseAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, SentAt: decidedAt, Wait: e.Order.Wait, Report: report, Outcome: outcome})
			})
		case dispatch.RequestAdvice:
			l.requestAdvice(e)
		case dispatch.Reply:
			if ch := l.replies[e.Call]; ch != nil {
				delete(l.replies, e.Call)
				ch <- e
			}
		case dispatch.StepDown:
			l.depose(e.Reason, 0)
		case dispatch.Decision:
			l.logDecision(e)
		case dispatch.Observation:
			l.instance.metrics.observe(e.Name, "queue", e.Queue, e.Value)
		}
	}
}

// maxRequestDelay is how long after its decision a start request or a renewal may be
// sent. A leader that is short of processor time is late by several hundred milliseconds;
// one that was paused for longer may have been replaced.
const maxRequestDelay = time.Second

// maySend reports whether a request that was decided on at the given time may still be
// sent. The process may have been paused since, and another instance may lead. A worker
// that has restarted meanwhile has received no fencing token, and would carry out a
// request of the earlier leader.
func (l *leader) maySend(decidedAt structs.Timestamp) bool {
	l.instance.logSuspension(l.instance.clock.Adjust()) // the machine may have been suspended since the last tick
	if l.ctx.Err() == nil && l.now().Sub(decidedAt) <= maxRequestDelay {
		return true
	}
	l.instance.metrics.count("requests_dropped", "reason", "late")
	return false
}

// startTask sends a start request that was decided on at the given time.
func (l *leader) startTask(e dispatch.StartTask, decidedAt structs.Timestamp) workflow.Outcome {
	if !l.maySend(decidedAt) {
		return workflow.Dropped
	}
	return l.instance.options.Workers.Start(&e.Worker, e.Order, workerRequestTimeout)
}

// renewLease sends a renewal that was decided on at the given time. One that grants no
// lease and acknowledges nothing is harmless at any time.
func (l *leader) renewLease(e dispatch.RenewLease, decidedAt structs.Timestamp) (workflow.Report, workflow.Outcome) {
	if (e.Order.Deadline != 0 || e.Order.AcknowledgedThrough != 0) && !l.maySend(decidedAt) {
		return workflow.Report{}, workflow.Unanswered
	}
	return l.instance.options.Workers.Lease(&e.Worker, e.Order, e.Order.Wait+leaseTimeout)
}

// decisionValueKeys is the log key of a decision's value, by event.
var decisionValueKeys = map[string]string{
	"accept": "since_submit_ms", "refuse": "since_submit_ms",
	"start": "since_ready_ms", "stop": "percent", "run_ended": "failed_runs", "run_lost": "lease_left_ms", "start_unanswered": "tries",
	"job_done": "since_submit_ms", "job_failed": "since_submit_ms", "job_cancelled": "since_submit_ms",
	"advice": "good_workers", "task_stalled": "percent", "quarantine": "failures",
	"worker_silent": "runs", "worker_restarted": "runs", "address_taken": "runs", "lease_over": "runs", "worker_gone": "since_change_ms", "worker_back": "missed_renewals",
	"worker_draining": "remaining_ms", "recovery_complete": "jobs",
	"lost_run_listed": "since_loss_ms", "ends_forgotten": "ends", "worker_listed_late": "since_change_ms", "late_request_fenced": "token", "pause_noticed": "paused_ms", "grants_closed": "ends_in_ms",
}

// logDecision logs and counts a decision of the dispatcher.
func (l *leader) logDecision(d dispatch.Decision) {
	l.instance.metrics.count("decisions", "event", d.Event)
	switch d.Event {
	case "run_lost":
		l.instance.metrics.count("runs_lost", "reason", d.Reason)
	case "lost_run_listed":
		l.instance.metrics.count("lost_runs_listed", "reason", d.Reason)
	}
	args := make([]any, 0, 30)
	if d.Job != "" {
		args = append(args, "job", string(d.Job))
	}
	if d.Task != "" {
		args = append(args, "task", d.Task)
	}
	if d.Worker != "" {
		args = append(args, "worker", string(d.Worker))
	}
	if d.Run != 0 {
		args = append(args, "run", d.Run)
	}
	if d.Incarnation != 0 {
		args = append(args, "incarnation", int64(d.Incarnation))
	}
	if d.Reason != "" {
		args = append(args, "reason", d.Reason)
	}
	if d.State != "" {
		args = append(args, "state", d.State)
	}
	if key := decisionValueKeys[d.Event]; key != "" {
		args = append(args, key, d.Value)
	}
	if e := d.Earlier; e != nil {
		args = append(args, "earlier_worker", string(e.Worker), "earlier_incarnation", int64(e.Incarnation), "earlier_run", e.Run,
			"earlier_lease_left_ms", int64(e.LeaseLeft/time.Millisecond))
	}
	if e := d.Evidence; e != nil {
		args = append(args, "proof_age_ms", int64(e.ProofAge/time.Millisecond), "open_starts", e.OpenStarts,
			"past_deadline_ms", int64(e.PastDeadline/time.Millisecond))
	}
	l.log.Info(d.Event, args...)
}

// connectedInstances returns this instance and the followers that replied to a
// heartbeat recently.
func (l *leader) connectedInstances() []structs.InstanceID {
	list := []structs.InstanceID{l.instance.options.ID}
	for _, f := range l.followers() {
		list = append(list, f.id)
	}
	return list
}

// followers returns the followers that replied to a heartbeat recently.
func (l *leader) followers() []followerInfo {
	const recent = 800 * time.Millisecond // six heartbeats
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	var list []followerInfo
	for id, m := range l.peers {
		if m.heartbeatReplyAt != 0 && l.now().Sub(m.heartbeatReplyAt) < recent {
			list = append(list, followerInfo{id, m.processorShare, m.roundTrip, m.uptime})
		}
	}
	return list
}

// requestAdvice calls the advisor through the instance that the dispatcher
// chose.
func (l *leader) requestAdvice(e dispatch.RequestAdvice) {
	wait := e.Expected + adviceTimeout
	call := adviseCall{Step: e.Step, Workers: e.Workers, Timeout: wait}
	l.spawn("advise", func() {
		started := time.Now()
		var reply adviseReply
		if e.Via == l.instance.options.ID {
			reply = l.instance.advise(call)
		} else if err := l.instance.call(e.Via, methodAdvise, call, &reply, wait); err != nil {
			l.log.Warn("advisor call failed", "step", e.Step, "via", e.Via, "error", err)
			reply.Failed = true
		}
		l.instance.metrics.observe("advice", "via", string(e.Via), time.Since(started))
		l.post(dispatch.AdviceAnswered{
			Step: e.Step, Workers: e.Workers, Via: e.Via, Expected: e.Expected, Advice: reply.Advice, Failed: reply.Failed,
		})
	})
}
