package gateway

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/router"
)

// Headers of requests and responses between callers, instances and executors.
const (
	HeaderRequestID  = "Mangodrum-Request-Id"
	HeaderTeam       = "Mangodrum-Team"
	HeaderClass      = "Mangodrum-Class"
	HeaderDeadline   = "Mangodrum-Deadline-Ms"
	HeaderIdempotent = "Mangodrum-Idempotent"
	HeaderOutcome    = "Mangodrum-Outcome"
)

// isHopByHop reports whether a header applies to a single connection and is not
// forwarded. This includes the framing headers because the gateway frames
// bodies itself.
func isHopByHop(key []byte) bool {
	switch string(key) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}

// isConnectionOption reports whether the Connection header lists key.
func isConnectionOption(connection []byte, key []byte) bool {
	if len(connection) == 0 {
		return false
	}
	for name := range bytes.SplitSeq(connection, []byte(",")) {
		if strings.EqualFold(string(bytes.TrimSpace(name)), string(key)) {
			return true
		}
	}
	return false
}

// requestHeadPool holds buffers for appendRequestHead.
var requestHeadPool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// buildRequestHead builds the part of the head that all attempts share.
// Attempts may read it concurrently.
func (c *call) buildRequestHead() {
	c.requestHead = requestHeadPool.Get().(*[]byte)
	*c.requestHead = appendRequestHead((*c.requestHead)[:0], c.ctx, c.req, c.body.length)
}

// appendRequestHead appends the head of the request to an executor, without the
// headers that writeRequestHead adds for each attempt.
func appendRequestHead(dst []byte, ctx *fasthttp.RequestCtx, req router.Request, length int) []byte {
	dst = append(dst, ctx.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, executorPath(ctx)...)
	if query := ctx.URI().QueryString(); len(query) > 0 {
		dst = append(dst, '?')
		dst = append(dst, query...)
	}
	dst = append(dst, " HTTP/1.1\r\n"...)
	connection := ctx.Request.Header.Peek("Connection")
	for key, value := range ctx.Request.Header.All() {
		if isHopByHop(key) || isGatewayRequestHeader(key) || isConnectionOption(connection, key) {
			continue
		}
		dst = append(dst, key...)
		dst = append(dst, ": "...)
		dst = append(dst, value...)
		dst = append(dst, "\r\n"...)
	}
	dst = append(dst, HeaderRequestID+": "...)
	dst = append(dst, req.ID...)
	dst = append(dst, "\r\n"...)
	switch {
	case length < 0:
		dst = append(dst, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || mayHaveBody(ctx):
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(length), 10)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// writeRequestHead writes the head for one attempt: the part that all attempts
// share, the executor's address and the time left until the deadline. Errors
// are returned when the writer is flushed.
func writeRequestHead(w *bufio.Writer, head []byte, host string, timeLeft time.Duration) {
	_, _ = w.Write(head)
	_, _ = w.WriteString("Host: ")
	_, _ = w.WriteString(host)
	_, _ = w.WriteString("\r\n" + HeaderDeadline + ": ")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), max(1, timeLeft.Milliseconds()), 10))
	_, _ = w.WriteString("\r\n\r\n")
}

func isGatewayRequestHeader(key []byte) bool {
	switch string(key) {
	case "Host", HeaderRequestID, HeaderDeadline:
		return true
	}
	return false
}

func mayHaveBody(ctx *fasthttp.RequestCtx) bool { return ctx.IsPost() || ctx.IsPut() || ctx.IsPatch() }

// copyResponseHead copies the status and headers of the executor's response to
// the response to the caller.
func copyResponseHead(response *fasthttp.Response, head *fasthttp.ResponseHeader) {
	response.Reset()
	response.SetStatusCode(head.StatusCode())
	response.Header.SetNoDefaultContentType(true)
	connection := head.Peek("Connection")
	for key, value := range head.All() {
		if isHopByHop(key) || isGatewayResponseHeader(key) || isConnectionOption(connection, key) {
			continue
		}
		response.Header.AddBytesKV(key, value)
	}
}

func isGatewayResponseHeader(key []byte) bool {
	switch string(key) {
	case HeaderOutcome, HeaderRequestID, "Date":
		return true
	}
	return false
}
