package cell

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// replyMargin is the part of a call's time that is kept for the reply: a way of
// 30 ms, a tick of the leader and some processor time.
const replyMargin = 100 * time.Millisecond

// handleJobCall runs a call from a caller of this or another instance on the
// leader's loop and waits for the reply.
func (l *leader) handleJobCall(method string, in jobCall, timeout time.Duration) jobReply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	result := make(chan jobReply, 1)
	reply := make(chan dispatch.Reply, 1) // buffered, because no reply is read after the timeout
	var started atomic.Bool
	select {
	case l.inbox <- func() {
		started.Store(true)
		if recovered := panics.Try(func() { l.processJobCall(method, in, result, reply) }); recovered != nil {
			// The answer ends the call, so that it does not follow to the next leader.
			result <- jobReply{Verdict: dispatch.InternalError}
			panic(recovered.AsError())
		}
	}:
	case <-l.ctx.Done():
		return jobReply{NotLeader: true}
	}
	select {
	case r := <-result:
		return r
	case r := <-reply:
		return newJobReply(r)
	case <-timer.C:
		return jobReply{Verdict: dispatch.Unknown}
	case <-l.ended:
		// All replies have been sent; the one to this call may be among them.
		select {
		case r := <-reply:
			return newJobReply(r)
		default:
		}
		if started.Load() && (method == methodSubmit || method == methodCancel) {
			return jobReply{Verdict: dispatch.Unknown}
		}
		return jobReply{NotLeader: true}
	}
}

func newJobReply(r dispatch.Reply) jobReply {
	if r.Verdict == dispatch.NotAccepted {
		return jobReply{NotLeader: true}
	}
	return jobReply{Verdict: r.Verdict, RetryAfter: r.RetryAfter}
}

// processJobCall runs on the leader's loop. It sends the answer to result, or
// registers reply for the dispatcher's answer.
func (l *leader) processJobCall(method string, in jobCall, result chan jobReply, reply chan dispatch.Reply) {
	if (method == methodState || method == methodCancel) && !l.knows(in.ID) && !l.isConfirmed() {
		result <- jobReply{NotLeader: true}
		return
	}
	switch method {
	case methodState:
		state, known := l.dispatcher.State(in.ID)
		if !known && l.dispatcher.IsPending(in.ID) {
			state = workflow.Pending
		}
		result <- jobReply{State: state}
	case methodWaiting:
		result <- jobReply{Waiting: l.dispatcher.WaitingJobs(in.Name)}
	case methodSubmit, methodCancel:
		l.lastRef++
		l.replies[l.lastRef] = reply
		var deadline structs.Timestamp
		if in.TimeLeft > 0 {
			deadline = l.now().Add(max(in.TimeLeft-replyMargin, 1))
		}
		if method == methodCancel {
			l.reduce(dispatch.CancelJob{Call: l.lastRef, ID: in.ID, Deadline: deadline})
			return
		}
		l.reduce(dispatch.SubmitJob{Call: l.lastRef, Job: *in.Job, Queue: *in.Queue, Request: in.Request, Deadline: deadline})
	}
}

// knows reports whether the job was submitted to this leader or is stored.
func (l *leader) knows(id structs.JobID) bool {
	_, stored := l.dispatcher.State(id)
	return stored || l.dispatcher.IsPending(id)
}

// isConfirmed reports whether no other instance can have become the leader, so that
// a job which this leader does not know does not exist. A process that was paused
// may have been replaced meanwhile: the last commit that proves the leadership must
// be younger than the row of a leader has to be for another one to claim it.
func (l *leader) isConfirmed() bool {
	l.instance.logSuspension(l.instance.clock.Adjust())
	return l.now().Sub(l.confirmedAt) < leadership.MinUnchangedTime
}
