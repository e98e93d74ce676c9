package cell

import (
	"sync/atomic"
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/workflow"
)

// jobCall carries out a call of this or another instance.
func (l *leader) jobCall(method string, in jobCall, timeout time.Duration) jobReply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	result := make(chan jobReply, 1)
	reply := make(chan dispatch.Reply, 1) // an answer after the timeout goes nowhere
	var taken atomic.Bool
	select {
	case l.inbox <- func() { taken.Store(true); l.serve(method, in, result, reply) }:
	case <-l.ctx.Done():
		return jobReply{NotLeader: true}
	}
	select {
	case r := <-result:
		return r
	case r := <-reply:
		return replyOf(r)
	case <-timer.C:
		return jobReply{Verdict: dispatch.Unknown}
	case <-l.ended:
		// All answers have been given, one of them perhaps at this moment.
		select {
		case r := <-reply:
			return replyOf(r)
		default:
		}
		if taken.Load() && (method == methodSubmit || method == methodCancel) {
			return jobReply{Verdict: dispatch.Unknown}
		}
		return jobReply{NotLeader: true}
	}
}

func replyOf(r dispatch.Reply) jobReply {
	if r.Verdict == dispatch.NotAccepted {
		return jobReply{NotLeader: true}
	}
	return jobReply{Verdict: r.Verdict, RetryAfter: r.RetryAfter}
}

func (l *leader) serve(method string, in jobCall, result chan jobReply, reply chan dispatch.Reply) {
	switch method {
	case methodState:
		state, known := l.cell.State(in.ID)
		if !known && l.cell.IsPending(in.ID) {
			state = workflow.Pending
		}
		result <- jobReply{State: state}
	case methodWaiting:
		result <- jobReply{Waiting: l.cell.WaitingJobs(in.Name)}
	case methodSubmit, methodCancel:
		l.nextRef++
		l.replies[l.nextRef] = reply
		if method == methodCancel {
			l.reduce(dispatch.CancelJob{Call: l.nextRef, ID: in.ID})
			return
		}
		l.reduce(dispatch.SubmitJob{Call: l.nextRef, Job: *in.Job, Queue: *in.Queue})
	}
}
