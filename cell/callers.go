package cell

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

const (
	callerReadBufferSize = 17 << 10 // bytes; limits the size of a request's headers
	callerIdleTimeout    = 60 * time.Second
	// callerReadTimeout bounds the time in which a request arrives, and callerWriteTimeout
	// that in which its answer is read. Answers are short.
	callerReadTimeout  = 60 * time.Second
	callerWriteTimeout = 10 * time.Second
	// responseMargin is the part of a caller's timeout that is kept for sending
	// the response.
	responseMargin = 60 * time.Millisecond
	// maxCallerTimeout bounds the time that a caller may ask an answer to wait.
	maxCallerTimeout = 60 * time.Second
	// defaultCallerTimeout applies to requests without a timeout.
	defaultCallerTimeout = 3 * time.Second
	// leaderWait is how long a request waits until a leader is known. A change
	// of leader takes about 1.5 s.
	leaderWait = 2 * time.Second
	// callAttemptTimeout bounds one call to the leader, so that a call that is
	// lost with a connection is repeated within the caller's timeout.
	callAttemptTimeout = 1100 * time.Millisecond
	// minCallTime is enough for a call from another region, with a round trip of
	// 60 ms, and a commit. A call with less time left is not made, because its
	// outcome would probably remain unknown.
	minCallTime = 150 * time.Millisecond
	// retryAfterNoLeader is the Retry-After value while no leader is known.
	retryAfterNoLeader = time.Second
)

const internalErrorText = "internal error; report this bug with the request"

func (i *Instance) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: i.handler("request", i.serveCaller), Name: "mangodrum", ReadBufferSize: callerReadBufferSize, WriteBufferSize: 1024,
		ReadTimeout: callerReadTimeout, WriteTimeout: callerWriteTimeout, IdleTimeout: callerIdleTimeout,
		HeaderReceived: func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
			inbound.JudgeLength(header, i.maxBody())
			return fasthttp.RequestConfig{}
		},
		StreamRequestBody: true, DisablePreParseMultipartForm: true, ReduceMemoryUsage: true,
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{},
	}
}

// discardLogger drops the log lines of the HTTP servers: there would be one for each
// malformed request. The listeners and the statuses of answers are counted.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// serveCaller handles one request of a caller.
func (i *Instance) serveCaller(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	if !ctx.IsPost() && !inbound.Of(ctx.Conn()).Begin() { // readCallerBody begins the others
		ctx.SetConnectionClose() // closed to make room before anything was done
		return
	}
	if i.draining.Load() {
		ctx.SetConnectionClose()
	}
	config := i.config.current.Load()
	if config == nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, "no configuration has arrived yet")
		return
	}
	route, id := config.Find(hostName(ctx), string(ctx.Path()))
	if route == nil {
		writeError(ctx, fasthttp.StatusNotFound, 0, "no queue has this host and path")
		return
	}
	i.serveRoute(ctx, route, id)
	i.metrics.observe("request", "queue", route.Queue.Name, time.Since(started))
	i.metrics.count("answers", "status", strconv.Itoa(ctx.Response.StatusCode()))
}

// callerDeadline returns when a request that has arrived by now has to be answered.
func (i *Instance) callerDeadline(ctx *fasthttp.RequestCtx, route *routing.Route) time.Time {
	return time.Now().Add(i.callerTimeout(ctx, route) - responseMargin)
}

// callerTimeout returns the time in which a request has to be answered.
func (i *Instance) callerTimeout(ctx *fasthttp.RequestCtx, route *routing.Route) time.Duration {
	timeout := i.options.Codec.DecodeCallerTimeout(ctx.Request.Header.Peek(i.options.PlatformNames.TimeoutHeader), defaultCallerTimeout)
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return min(timeout, maxCallerTimeout)
}

// hostName returns the host of the request without its port.
func hostName(ctx *fasthttp.RequestCtx) string {
	name, _, _ := strings.Cut(string(ctx.Host()), ":")
	return name
}

func (i *Instance) serveRoute(ctx *fasthttp.RequestCtx, route *routing.Route, id string) {
	deadline := i.callerDeadline(ctx, route)
	switch {
	case id == "" && ctx.IsGet():
		i.serveQueueLength(ctx, route, deadline)
	case !i.options.Codec.IsJobID(id):
		writeError(ctx, fasthttp.StatusNotFound, 0, "the path names no job")
	case ctx.IsPost():
		i.serveSubmit(ctx, route, id)
	case ctx.IsGet():
		i.serveState(ctx, id, deadline)
	case ctx.IsDelete():
		i.serveCancel(ctx, id, deadline)
	default:
		writeError(ctx, fasthttp.StatusMethodNotAllowed, 0, "use POST, GET or DELETE")
	}
}

func (i *Instance) serveSubmit(ctx *fasthttp.RequestCtx, route *routing.Route, id string) {
	body, ok := i.readCallerBody(ctx)
	if !ok {
		return
	}
	job, err := i.decodeJob(id, body)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, 0, err.Error())
		return
	}
	if err := dispatch.CheckSize(&job, &route.Queue); err != nil {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, 0, err.Error())
		return
	}
	// The caller's wait begins now, after a body that may have arrived slowly.
	reply, err := i.callLeader(methodSubmit, jobCall{ID: job.ID, Job: &job, Queue: &route.Queue}, i.callerDeadline(ctx, route))
	i.logResult("submit", id, reply, err)
	switch {
	case errs.Is(err, errs.NotRun):
		writeError(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
	case err != nil || reply.Verdict == dispatch.CommitPending:
		writeError(ctx, fasthttp.StatusGatewayTimeout, reply.RetryAfter, "the outcome is open; send the job again")
	case reply.Verdict == dispatch.InternalError:
		writeError(ctx, fasthttp.StatusInternalServerError, 0, internalErrorText)
	case reply.Verdict == dispatch.Refused:
		writeError(ctx, fasthttp.StatusServiceUnavailable, reply.RetryAfter, "the job was not accepted")
	default:
		writeJSON(ctx, i.options.Codec.EncodeState(workflow.Pending))
	}
}

func (i *Instance) serveCancel(ctx *fasthttp.RequestCtx, id string, deadline time.Time) {
	reply, err := i.callLeader(methodCancel, jobCall{ID: structs.JobID(id)}, deadline)
	i.logResult("cancel", id, reply, err)
	switch {
	case errs.Is(err, errs.NotRun):
		writeError(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
	case err != nil || reply.Verdict == dispatch.CommitPending:
		writeError(ctx, fasthttp.StatusGatewayTimeout, reply.RetryAfter, "the outcome is open; cancel again")
	case reply.Verdict == dispatch.InternalError:
		writeError(ctx, fasthttp.StatusInternalServerError, 0, internalErrorText)
	case reply.Verdict == dispatch.NoSuchJob:
		writeError(ctx, fasthttp.StatusGone, 0, "no such job")
	default:
		writeJSON(ctx, i.options.Codec.EncodeState(workflow.Cancelled))
	}
}

func (i *Instance) serveState(ctx *fasthttp.RequestCtx, id string, deadline time.Time) {
	reply, err := i.callLeader(methodState, jobCall{ID: structs.JobID(id)}, deadline)
	switch {
	case err != nil:
		writeError(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
	case reply.Verdict == dispatch.InternalError:
		writeError(ctx, fasthttp.StatusInternalServerError, 0, internalErrorText)
	case reply.State == "":
		i.logResult("state", id, reply, nil)
		writeError(ctx, fasthttp.StatusGone, 0, "no such job")
	default:
		writeJSON(ctx, i.options.Codec.EncodeState(reply.State))
	}
}

// serveQueueLength answers with the number of jobs that wait in the queue.
func (i *Instance) serveQueueLength(ctx *fasthttp.RequestCtx, route *routing.Route, deadline time.Time) {
	reply, err := i.callLeader(methodWaiting, jobCall{Name: route.Queue.Name}, deadline)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, retryAfterNoLeader, err.Error())
		return
	}
	writeJSON(ctx, i.options.Codec.EncodeQueueLength(reply.Waiting))
}

func (i *Instance) logResult(operation, id string, reply jobReply, err error) {
	i.log.Info(operation, "job", id, "verdict", string(reply.Verdict), "error", errorText(err))
}

// callLeader makes a call to the leader, which may be this or another instance.
// All calls are idempotent, so a call without a reply is repeated. The error is
// NotRun if no leader can have received the call.
func (i *Instance) callLeader(method string, in jobCall, deadline time.Time) (jobReply, error) {
	in.Request = i.nextRequestID()
	noLeaderUntil := time.Now().Add(leaderWait)
	sent := false
	for {
		local, remote, changed := i.currentLeader()
		left := time.Until(deadline)
		in.TimeLeft = left
		var reply jobReply
		switch {
		case left < minCallTime:
			// too little time is left for another call
		case local != nil:
			reply = local.handleJobCall(method, in, left)
			sent = sent || !reply.NotLeader
			if !reply.NotLeader && reply.Verdict != dispatch.Unknown {
				return reply, nil
			}
		case remote != "":
			err := i.call(remote, method, in, &reply, min(left, callAttemptTimeout))
			if errs.Is(err, errs.Busy) {
				return jobReply{}, busyError(sent)
			}
			if err == nil && !reply.NotLeader && reply.Verdict != dispatch.Unknown {
				return reply, nil
			}
			sent = sent || mayHaveRun(err, reply)
		}
		// If a leader may have received the call, only the next leader knows its
		// outcome, so the call waits for it until the deadline.
		wait := time.Until(deadline) - minCallTime
		if !sent {
			wait = min(wait, time.Until(noLeaderUntil))
		}
		if wait <= 0 {
			if sent {
				return jobReply{}, errs.New(errs.OutcomeUnknown, "send it again", "the leader did not answer")
			}
			return jobReply{}, errs.New(errs.NotRun, "send it again later", "no leader is known")
		}
		i.waitForLeaderChange(changed, wait)
	}
}

// busyError is the error of a request that the leader has not taken because it processes too
// many. An earlier copy of the request may have been taken.
func busyError(sent bool) error {
	if sent {
		return errs.New(errs.OutcomeUnknown, "send it again", "the leader processes too many requests")
	}
	return errs.New(errs.NotRun, "send it again later", "the leader processes too many requests")
}

// mayHaveRun reports whether a call to another instance that ended without a usable
// answer may have taken effect. A reply that cannot be decoded is the answer to a
// call that was carried out.
func mayHaveRun(err error, reply jobReply) bool {
	return (err != nil && !errs.Is(err, errs.NotRun)) || reply.Verdict == dispatch.Unknown
}

// nextRequestID returns an identifier that no other request of any instance has.
func (i *Instance) nextRequestID() dispatch.RequestID {
	return dispatch.RequestID(strconv.FormatUint(i.process, 36) + "-" + strconv.FormatUint(i.requests.Add(1), 36))
}

// leaderPollInterval limits the wait for a change of the leader, because a lost
// connection may be restored without such a change.
const leaderPollInterval = 60 * time.Millisecond

func (i *Instance) waitForLeaderChange(changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(min(wait, leaderPollInterval))
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

// maxErrorText is the length, in bytes, at which the text of an error is cut. It may quote the
// request.
const maxErrorText = 500

// writeError writes an error response with a text and, if retryAfter is
// positive, a Retry-After header.
func writeError(ctx *fasthttp.RequestCtx, status int, retryAfter time.Duration, text string) {
	if len(text) > maxErrorText {
		text = strings.ToValidUTF8(text[:maxErrorText], "") + " (shortened)"
	}
	ctx.SetStatusCode(status)
	if retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(text)
}
