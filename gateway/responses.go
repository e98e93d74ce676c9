package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/router"
)

// ErrorBody is the body of every error response that the gateway itself
// generates.
type ErrorBody struct {
	Kind      errs.Kind `json:"kind"`
	Message   string    `json:"message"`
	Remedy    string    `json:"remedy"`
	RequestID string    `json:"request_id"`
}

func writeError(ctx *fasthttp.RequestCtx, id string, status int, outcome router.Outcome,
	kind errs.Kind, message, remedy string) {
	body, _ := json.Marshal(ErrorBody{Kind: kind, Message: message, Remedy: remedy, RequestID: id})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderOutcome, string(outcome))
	if id != "" {
		ctx.Response.Header.Set(HeaderRequestID, id)
	}
	ctx.SetBody(body)
}

// refusal is the response to a request that the router refused.
type refusal struct {
	status  int
	message string
	remedy  string
}

const (
	retryLater   = "send the request again after the time in Retry-After"
	checkOutcome = "an idempotent request may be sent again; otherwise check with the service whether it ran"
)

var refusals = map[router.Reason]refusal{
	router.ReasonQueueFull:            {fasthttp.StatusTooManyRequests, "the queue of the class is full", retryLater},
	router.ReasonTeamQueueFull:        {fasthttp.StatusTooManyRequests, "the team's queue in the class is full", retryLater},
	router.ReasonDeadlinePassed:       {fasthttp.StatusGatewayTimeout, "the deadline passed before the request could start", "send it with a later deadline, or when the load is lower"},
	router.ReasonDeadlineCannotBeMet:  {fasthttp.StatusServiceUnavailable, "the expected wait exceeds the deadline", "send it after the time in Retry-After or with a later deadline"},
	router.ReasonUnknownClass:         {fasthttp.StatusBadRequest, "the class does not exist", "name a class of the settings"},
	router.ReasonUnknownService:       {fasthttp.StatusNotFound, "the service has no executors", "check the name of the service, or send the request when it has executors"},
	router.ReasonDraining:             {fasthttp.StatusServiceUnavailable, "the instance is draining", "send the request to another instance"},
	router.ReasonExecutorsUnreachable: {fasthttp.StatusServiceUnavailable, "no executor of the service can take the request", retryLater},
	router.ReasonAttemptFailed:        {fasthttp.StatusServiceUnavailable, "the executor could not be reached", retryLater},
	router.ReasonTableUnavailable:     {fasthttp.StatusServiceUnavailable, "the table that records requests is unavailable", retryLater},
	router.ReasonClaimUnknown:         {fasthttp.StatusBadGateway, "it is not known whether the request was recorded", checkOutcome},
	router.ReasonRepeatOfUnfinished:   {fasthttp.StatusBadGateway, "an earlier request with this identifier has no known outcome", checkOutcome},
	router.ReasonCutByDrain:           {fasthttp.StatusServiceUnavailable, "the instance stopped", retryLater},
}

// writeRefusal responds to a request that the router refused.
func writeRefusal(ctx *fasthttp.RequestCtx, id string, e router.Refuse) {
	r := refusals[e.Reason]
	if e.Outcome == router.OutcomeUnknown {
		writeUnknownOutcome(ctx, id, e.Reason, r)
		return
	}
	kind := errs.NotRun
	if r.status == fasthttp.StatusBadRequest || r.status == fasthttp.StatusNotFound {
		kind = errs.InvalidInput
	}
	writeError(ctx, id, r.status, router.NotRun, kind, r.message, r.remedy)
	ctx.Response.Header.Set("Retry-After", retryAfter(e.RetryAfter))
}

func writeUnknownOutcome(ctx *fasthttp.RequestCtx, id string, reason router.Reason, r refusal) {
	message := r.message
	switch reason {
	case router.ReasonAttemptFailed:
		message = "the executor was sent the request and gave no complete answer"
	case router.ReasonDeadlinePassed:
		message = "the deadline passed before the outcome was known"
	}
	writeError(ctx, id, fasthttp.StatusBadGateway, router.OutcomeUnknown, errs.OutcomeUnknown, message, checkOutcome)
}

// retryAfter formats d for the header Retry-After: in whole seconds, rounded
// up, at least one.
func retryAfter(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// HeaderStored marks the response to a repeat of a finished request. Its value
// is "complete", or "status-only" if the body was too long to be stored.
const HeaderStored = "Mangodrum-Stored"

// writeStoredResponse responds to a repeat of a finished request.
func writeStoredResponse(ctx *fasthttp.RequestCtx, id string, stored router.StoredResponse) {
	header := &ctx.Response.Header
	ctx.SetStatusCode(stored.Status)
	header.Set(HeaderOutcome, string(stored.Outcome))
	header.Set(HeaderRequestID, id)
	if stored.Truncated {
		header.Set(HeaderStored, "status-only")
		return
	}
	header.Set(HeaderStored, "complete")
	header.SetNoDefaultContentType(true)
	if stored.ContentType != "" {
		header.SetContentType(stored.ContentType)
	}
	ctx.SetBody(stored.Body)
}
