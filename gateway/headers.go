package gateway

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/router"
)

// Headers of the protocol with callers and executors.
const (
	HeaderRequestID  = "Mangodrum-Request-Id"
	HeaderTeam       = "Mangodrum-Team"
	HeaderClass      = "Mangodrum-Class"
	HeaderDeadline   = "Mangodrum-Deadline-Ms"
	HeaderIdempotent = "Mangodrum-Idempotent"
	HeaderOutcome    = "Mangodrum-Outcome"
)

// isHopByHop reports whether a header concerns one connection only. Framing
// headers are included: the gateway frames bodies itself.
func isHopByHop(key []byte) bool {
	switch string(key) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}

// isNamedIn reports whether the Connection header lists key.
func isNamedIn(connection []byte, key []byte) bool {
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

// writeHead writes the head of the request to an executor. Errors surface
// when the writer is flushed.
func writeHead(w *bufio.Writer, ctx *fasthttp.RequestCtx, host string, req router.Request, left time.Duration, length int) {
	_, _ = w.Write(ctx.Method())
	_ = w.WriteByte(' ')
	_, _ = w.Write(executorPath(ctx))
	if query := ctx.URI().QueryString(); len(query) > 0 {
		_ = w.WriteByte('?')
		_, _ = w.Write(query)
	}
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeLine(w, "Host", host)
	connection := ctx.Request.Header.Peek("Connection")
	for key, value := range ctx.Request.Header.All() {
		if isHopByHop(key) || isOwnRequestHeader(key) || isNamedIn(connection, key) {
			continue
		}
		_, _ = w.Write(key)
		_, _ = w.WriteString(": ")
		_, _ = w.Write(value)
		_, _ = w.WriteString("\r\n")
	}
	writeLine(w, HeaderRequestID, req.ID)
	writeNumber(w, HeaderDeadline, max(1, left.Milliseconds()))
	switch {
	case length < 0:
		writeLine(w, "Transfer-Encoding", "chunked")
	case length > 0 || mayHaveBody(ctx):
		writeNumber(w, "Content-Length", int64(length))
	}
	_, _ = w.WriteString("\r\n")
}

func writeLine(w *bufio.Writer, key, value string) {
	_, _ = w.WriteString(key)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

func writeNumber(w *bufio.Writer, key string, n int64) {
	_, _ = w.WriteString(key)
	_, _ = w.WriteString(": ")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), n, 10))
	_, _ = w.WriteString("\r\n")
}

func isOwnRequestHeader(key []byte) bool {
	switch string(key) {
	case "Host", HeaderRequestID, HeaderDeadline:
		return true
	}
	return false
}

func mayHaveBody(ctx *fasthttp.RequestCtx) bool { return ctx.IsPost() || ctx.IsPut() || ctx.IsPatch() }

// copyHead copies the executor's status and headers to the caller's answer.
func copyHead(response *fasthttp.Response, head *fasthttp.ResponseHeader) {
	response.Reset()
	response.SetStatusCode(head.StatusCode())
	response.Header.SetNoDefaultContentType(true)
	connection := head.Peek("Connection")
	for key, value := range head.All() {
		if isHopByHop(key) || isOwnAnswerHeader(key) || isNamedIn(connection, key) {
			continue
		}
		response.Header.AddBytesKV(key, value)
	}
}

func isOwnAnswerHeader(key []byte) bool {
	switch string(key) {
	case HeaderOutcome, HeaderRequestID, "Date":
		return true
	}
	return false
}
