package cell

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

const (
	callersReadBuffer = 17 << 10 // bytes; bounds the headers of a request
	callersIdle       = 60 * time.Second
	maxCallerBody     = 1 << 20 // bytes, where the configuration sets no limit
	// answerMargin is left of a caller's time for the answer's way.
	answerMargin = 60 * time.Millisecond
	// defaultCallerWait stands for a request that names no time.
	defaultCallerWait = 3 * time.Second
	// leaderWait is how long a request waits for a leader; a change of leader
	// takes about 1.5 s.
	leaderWait = 2 * time.Second
	// callTry bounds one call to the leader, so that a call lost with a
	// connection is repeated within the caller's time.
	callTry = 1100 * time.Millisecond
	// shortestCall is the least time in which a call from another region, 60 ms
	// both ways, and a commit are done with some certainty. A call with less
	// time left is not made: its outcome would stay open.
	shortestCall = 150 * time.Millisecond
	// retryAfterNoLeader is what a caller is told while no leader is known.
	retryAfterNoLeader = time.Second
)

func (i *Instance) callersServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: i.serveCaller, Name: "mangodrum", ReadBufferSize: callersReadBuffer, WriteBufferSize: 1024,
		IdleTimeout: callersIdle, MaxRequestBodySize: maxCallerBody, ReduceMemoryUsage: true,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
}

// serveCaller answers one request of a caller.
func (i *Instance) serveCaller(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	if i.draining.Load() {
		ctx.SetConnectionClose()
	}
	table := i.config.table.Load()
	if table == nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, "no configuration has arrived yet")
		return
	}
	route, id := table.Find(host(ctx), string(ctx.Path()))
	if route == nil {
		refuse(ctx, fasthttp.StatusNotFound, 0, "no queue has this host and path")
		return
	}
	deadline := started.Add(i.callerWait(ctx, route) - answerMargin)
	i.serveRoute(ctx, route, id, deadline)
	i.metrics.observe("request", "queue", route.Queue.Name, time.Since(started))
	i.metrics.count("answers", "status", strconv.Itoa(ctx.Response.StatusCode()))
}

func (i *Instance) callerWait(ctx *fasthttp.RequestCtx, route *routing.Route) time.Duration {
	wait := i.options.Formats.CallerWait(ctx.Request.Header.Peek(i.options.Names.WaitHeader), defaultCallerWait)
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

func host(ctx *fasthttp.RequestCtx) string {
	name, _, _ := strings.Cut(string(ctx.Host()), ":")
	return name
}

func (i *Instance) serveRoute(ctx *fasthttp.RequestCtx, route *routing.Route, id string, deadline time.Time) {
	switch {
	case id == "" && ctx.IsGet():
		i.serveWaiting(ctx, route, deadline)
	case !i.options.Formats.IsJobID(id):
		refuse(ctx, fasthttp.StatusNotFound, 0, "the path names no job")
	case ctx.IsPost():
		i.serveSubmit(ctx, route, id, deadline)
	case ctx.IsGet():
		i.serveState(ctx, id, deadline)
	case ctx.IsDelete():
		i.serveCancel(ctx, id, deadline)
	default:
		refuse(ctx, fasthttp.StatusMethodNotAllowed, 0, "use POST, GET or DELETE")
	}
}

func (i *Instance) serveSubmit(ctx *fasthttp.RequestCtx, route *routing.Route, id string, deadline time.Time) {
	job, err := i.options.Formats.Job(id, ctx.PostBody())
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, 0, err.Error())
		return
	}
	reply, err := i.askLeader(methodSubmit, jobCall{ID: job.ID, Job: &job, Queue: &route.Queue}, deadline)
	i.logAnswer("submit", id, reply, err)
	switch {
	case errs.Is(err, errs.NotRun):
		refuse(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
	case err != nil || reply.Verdict == dispatch.CommitPending:
		refuse(ctx, fasthttp.StatusGatewayTimeout, reply.RetryAfter, "the outcome is open; send the job again")
	case reply.Verdict == dispatch.Refused:
		refuse(ctx, fasthttp.StatusServiceUnavailable, reply.RetryAfter, "the job was not accepted")
	default:
		writeJSON(ctx, i.options.Formats.State(workflow.Pending))
	}
}

func (i *Instance) serveCancel(ctx *fasthttp.RequestCtx, id string, deadline time.Time) {
	reply, err := i.askLeader(methodCancel, jobCall{ID: structs.JobID(id)}, deadline)
	i.logAnswer("cancel", id, reply, err)
	switch {
	case errs.Is(err, errs.NotRun):
		refuse(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
	case err != nil || reply.Verdict == dispatch.CommitPending:
		refuse(ctx, fasthttp.StatusGatewayTimeout, reply.RetryAfter, "the outcome is open; cancel again")
	case reply.Verdict == dispatch.NoSuchJob:
		refuse(ctx, fasthttp.StatusGone, 0, "no such job")
	default:
		writeJSON(ctx, i.options.Formats.State(workflow.Cancelled))
	}
}

func (i *Instance) serveState(ctx *fasthttp.RequestCtx, id string, deadline time.Time) {
	reply, err := i.askLeader(methodState, jobCall{ID: structs.JobID(id)}, deadline)
	switch {
	case err != nil:
		refuse(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
	case reply.State == "":
		i.logAnswer("state", id, reply, nil)
		refuse(ctx, fasthttp.StatusGone, 0, "no such job")
	default:
		writeJSON(ctx, i.options.Formats.State(reply.State))
	}
}

func (i *Instance) serveWaiting(ctx *fasthttp.RequestCtx, route *routing.Route, deadline time.Time) {
	reply, err := i.askLeader(methodWaiting, jobCall{Name: route.Queue.Name}, deadline)
	if err != nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
		return
	}
	writeJSON(ctx, i.options.Formats.Waiting(reply.Waiting))
}

func (i *Instance) logAnswer(what, id string, reply jobReply, err error) {
	i.log.Info(what, "job", id, "verdict", string(reply.Verdict), "error", errText(err))
}

// askLeader carries out a call at the leader, wherever it is. All calls are
// idempotent, so one whose reply is lost is repeated. The error is NotRun if
// no leader can have received the call.
func (i *Instance) askLeader(method string, in jobCall, deadline time.Time) (jobReply, error) {
	noLeaderUntil := time.Now().Add(leaderWait)
	sent := false
	for {
		local, remote, changed := i.current()
		left := time.Until(deadline)
		var reply jobReply
		switch {
		case left < shortestCall:
			// too late to ask; nothing more is sent
		case local != nil:
			reply = local.jobCall(method, in, left)
			sent = sent || !reply.NotLeader
			if !reply.NotLeader && reply.Verdict != dispatch.Unknown {
				return reply, nil
			}
		case remote != "":
			err := i.call(remote, method, in, &reply, min(left, callTry))
			if err == nil && !reply.NotLeader && reply.Verdict != dispatch.Unknown {
				return reply, nil
			}
			sent = sent || errs.Is(err, errs.OutcomeUnknown) || reply.Verdict == dispatch.Unknown
		}
		// Once a leader may have taken the call, only the next one can tell what
		// became of it, and the caller has nothing better to do than to wait.
		wait := time.Until(deadline) - shortestCall
		if !sent {
			wait = min(wait, time.Until(noLeaderUntil))
		}
		if wait <= 0 {
			if sent {
				return jobReply{}, errs.New(errs.OutcomeUnknown, "send it again", "the leader did not answer")
			}
			return jobReply{}, errs.New(errs.NotRun, "send it again later", "no leader is known")
		}
		i.waitChange(changed, wait)
	}
}

// leaderPoll bounds the wait for a change of the leader, since a lost
// connection may come back without one.
const leaderPoll = 60 * time.Millisecond

func (i *Instance) waitChange(changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(min(wait, leaderPoll))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-i.ctx.Done():
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// refuse writes an error with a text and, if given, a time to come back.
func refuse(ctx *fasthttp.RequestCtx, status int, retryAfter time.Duration, text string) {
	ctx.SetStatusCode(status)
	if retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(text)
}
