package standin

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/structs"
)

// maxExecutorBody is above the largest body that an instance forwards by
// default; a smaller limit would close the connection in the middle of a request.
const maxExecutorBody = 128 << 20

// ExecutorServer is a simulated executor: an HTTP server with a limited number
// of slots and connections. It echoes the request's identifier and body. The
// query parameters "sleep" (a duration), "status" and "size" (bytes of the body)
// change the response.
type ExecutorServer struct {
	Info structs.Executor

	server           *fasthttp.Server
	group            conc.WaitGroup
	activeRequests   atomic.Int64
	rejectedRequests atomic.Int64
	served           atomic.Int64
}

// StartExecutor listens on a free loopback port and serves until Close.
func StartExecutor(info structs.Executor) (*ExecutorServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	info.Address = listener.Addr().String()
	e := &ExecutorServer{Info: info}
	e.server = &fasthttp.Server{
		Handler:            e.handle,
		Concurrency:        info.Connections,
		MaxRequestBodySize: maxExecutorBody,
		ReadTimeout:        time.Minute,
		WriteTimeout:       time.Minute,
	}
	e.group.Go(func() { _ = e.server.Serve(listener) })
	return e, nil
}

// Close stops the server after the requests that are in progress.
func (e *ExecutorServer) Close() error {
	err := e.server.Shutdown()
	e.group.Wait()
	return err
}

// RejectedRequests returns how many requests arrived while all slots were busy.
func (e *ExecutorServer) RejectedRequests() int64 { return e.rejectedRequests.Load() }

// Served returns the number of requests executed.
func (e *ExecutorServer) Served() int64 { return e.served.Load() }

func (e *ExecutorServer) handle(ctx *fasthttp.RequestCtx) {
	defer e.activeRequests.Add(-1)
	if e.activeRequests.Add(1) > int64(e.Info.Slots) {
		e.rejectedRequests.Add(1)
		ctx.Error("all slots are busy", fasthttp.StatusServiceUnavailable)
		return
	}
	args := ctx.QueryArgs()
	if d, err := time.ParseDuration(string(args.Peek("sleep"))); err == nil {
		time.Sleep(min(d, time.Minute))
	}
	e.served.Add(1)
	if status, err := strconv.Atoi(string(args.Peek("status"))); err == nil {
		ctx.SetStatusCode(status)
	}
	ctx.Response.Header.Set("Executor", string(e.Info.ID))
	ctx.Response.Header.SetBytesV("Mangodrum-Request-Id", ctx.Request.Header.Peek("Mangodrum-Request-Id"))
	if size, err := strconv.Atoi(string(args.Peek("size"))); err == nil && size >= 0 {
		ctx.Response.SetBodyRaw(make([]byte, min(size, 64<<20)))
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.Response.AppendBody(ctx.Request.Header.Peek("Mangodrum-Request-Id"))
	ctx.Response.AppendBodyString(" ")
	ctx.Response.AppendBody(ctx.Request.Body())
}
