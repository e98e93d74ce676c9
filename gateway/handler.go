package gateway

import (
	"bytes"
	"crypto/rand"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// servicesPrefix is the prefix of the paths of all requests to services.
const servicesPrefix = "/v1/services/"

// maxIDBytes limits the length of identifiers, teams and classes, which are
// used as keys.
const maxIDBytes = 128

func (g *Gateway) newServer() *fasthttp.Server {
	limits := g.opts.Limits
	return &fasthttp.Server{
		Handler:        g.handleBounded,
		ErrorHandler:   handleBadRequest,
		Name:           "mangodrum",
		ReadBufferSize: limits.MaxHeaderBytes,
		HeaderReceived: func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
			inbound.JudgeLength(header, int(min(limits.MaxBodyBytes, math.MaxInt)))
			return fasthttp.RequestConfig{}
		},
		ReadTimeout:                   limits.ReadTimeout,
		WriteTimeout:                  limits.WriteTimeout,
		IdleTimeout:                   limits.IdleTimeout,
		Concurrency:                   2*limits.MaxConnections + 1, // callerListener enforces the limit; closed connections end later
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
		DisableHeaderNamesNormalizing: false,
	}
}

// discardLogger drops the log lines of the HTTP server. The gateway has counters
// instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// handleBadRequest responds to a request that is not valid HTTP or exceeds a
// limit of the HTTP server.
func handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	message, remedy := "cannot read the request: "+err.Error(), "send a valid HTTP/1.1 request"
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
		message = "the headers of the request are too long" // err would quote the headers
		remedy = "send fewer or shorter headers"
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		status = fasthttp.StatusRequestTimeout
		remedy = "send the whole request in time"
	}
	writeError(ctx, "", status, router.NotRun, errs.InvalidInput, message, remedy)
	ctx.SetConnectionClose()
}

// handleBounded serves one request of a caller, and then releases what it holds. A
// response that is streamed is written afterwards; its stream releases that.
func (g *Gateway) handleBounded(ctx *fasthttp.RequestCtx) {
	g.handle(ctx)
	if !ctx.Response.IsBodyStream() {
		boundOf(ctx.Conn()).Done()
	}
}

// handle serves one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	path := ctx.URI().PathOriginal()
	if string(path) == "/readyz" {
		g.readyz(ctx)
		return
	}
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	req, problem := g.parse(ctx, path)
	if problem != nil {
		g.reject(ctx, req.ID, problem)
		return
	}
	if inbound.IsTooLong(&ctx.Request.Header) {
		g.reject(ctx, req.ID, bodyProblem(errBodyTooLarge))
		return
	}
	c := g.newCall(ctx, req)
	if err := c.body.readPrefix(ctx, g.opts.Limits.MaxBodyBytes); err != nil {
		g.rejectBody(ctx, req.ID, err)
		return
	}
	if !boundOf(c.caller).Begin() {
		ctx.SetConnectionClose() // closed to make room before anything was done
		return
	}
	c.req.Replayable = c.body.rest == nil
	c.buildRequestHead()
	c.admit()
	c.run()
}

func (g *Gateway) readyz(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain")
	if g.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

// problem describes why a request is invalid.
type problem struct {
	status  int
	message string
	remedy  string
}

func (g *Gateway) reject(ctx *fasthttp.RequestCtx, id string, p *problem) {
	g.metrics.rejectedRequests.Inc()
	ctx.SetConnectionClose() // the body may not have been read
	writeError(ctx, id, p.status, router.NotRun, errs.InvalidInput, p.message, p.remedy)
}

func invalidRequest(message, remedy string) *problem {
	return &problem{status: fasthttp.StatusBadRequest, message: message, remedy: remedy}
}

// rejectBody responds to a request whose body was not taken. Nothing was run.
func (g *Gateway) rejectBody(ctx *fasthttp.RequestCtx, id string, err error) {
	if !errors.Is(err, inbound.ErrBusy) {
		g.reject(ctx, id, bodyProblem(err))
		return
	}
	g.metrics.rejectedRequests.Inc()
	ctx.SetConnectionClose()
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	writeError(ctx, id, fasthttp.StatusServiceUnavailable, router.NotRun, errs.NotRun,
		"too many requests are being received", "send the request again after the time in Retry-After")
}

func bodyProblem(err error) *problem {
	if err == errBodyTooLarge {
		return &problem{fasthttp.StatusRequestEntityTooLarge, err.Error(), "send a smaller body"}
	}
	return invalidRequest(err.Error(), "send the whole body")
}

// parse builds the router's request from the path and headers of an HTTP
// request.
func (g *Gateway) parse(ctx *fasthttp.RequestCtx, path []byte) (router.Request, *problem) {
	var req router.Request
	service, ok := serviceFromPath(path)
	if !ok {
		return req, &problem{
			fasthttp.StatusNotFound, "no such path", "call /v1/services/{service}/{path}",
		}
	}
	header := &ctx.Request.Header
	req.Service = string(service)
	req.ID = string(header.Peek(HeaderRequestID))
	req.Team = structs.TeamID(header.Peek(HeaderTeam))
	req.Class = g.classOrDefault(header.Peek(HeaderClass))
	if req.Team == "" {
		return req, invalidRequest("the header "+HeaderTeam+" is missing", "name the team that owns the request")
	}
	if !isValidKey(req.ID) || !isValidKey(string(req.Team)) || !isValidKey(string(req.Class)) {
		return req, invalidRequest("identifier, team or class is too long or has characters outside ASCII",
			"use at most 128 visible ASCII characters")
	}
	if p := parseIdempotent(ctx, &req); p != nil {
		return req, p
	}
	return req, g.parseDeadline(header.Peek(HeaderDeadline), &req)
}

// classOrDefault returns the named class, or the default class if name is
// empty.
func (g *Gateway) classOrDefault(name []byte) structs.ClassName {
	if len(name) > 0 {
		return structs.ClassName(name)
	}
	return *g.defaultClass.Load()
}

func isValidKey(s string) bool {
	if len(s) > maxIDBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func serviceFromPath(path []byte) ([]byte, bool) {
	rest, ok := bytes.CutPrefix(path, []byte(servicesPrefix))
	if !ok {
		return nil, false
	}
	service, _, _ := bytes.Cut(rest, []byte("/"))
	return service, len(service) > 0
}

// executorPath returns the path of the request to the executor.
func executorPath(ctx *fasthttp.RequestCtx) []byte {
	rest := ctx.URI().PathOriginal()[len(servicesPrefix):]
	i := bytes.IndexByte(rest, '/')
	if i < 0 {
		return []byte("/")
	}
	return rest[i:]
}

func parseIdempotent(ctx *fasthttp.RequestCtx, req *router.Request) *problem {
	switch value := string(ctx.Request.Header.Peek(HeaderIdempotent)); value {
	case "":
		req.Idempotent = ctx.IsGet() || ctx.IsHead() || ctx.IsPut() || ctx.IsDelete()
	case "true", "false":
		req.Idempotent = value == "true"
	default:
		return invalidRequest("the header "+HeaderIdempotent+" is neither true nor false", "send true or false")
	}
	if req.ID != "" {
		return nil
	}
	if !req.Idempotent {
		return invalidRequest("a request that is not idempotent has no identifier",
			"send the header "+HeaderRequestID+" with an identifier that is unique in the team, and the same one with every repeat")
	}
	req.ID = rand.Text()
	return nil
}

func (g *Gateway) parseDeadline(value []byte, req *router.Request) *problem {
	if len(value) == 0 {
		return nil
	}
	const maxMillis = int64(24 * time.Hour / time.Millisecond)
	millis, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || millis <= 0 || millis > maxMillis {
		return invalidRequest("the header "+HeaderDeadline+" is no number of milliseconds between 1 and 86400000",
			"send the time that is left for the request, in milliseconds")
	}
	req.Deadline = g.opts.Now().Add(time.Duration(millis) * time.Millisecond)
	return nil
}
