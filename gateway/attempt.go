package gateway

import (
	"bufio"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// maxBuffered is the largest response that is read completely before it is
// forwarded, and the largest request body that can be sent again.
const maxBuffered = router.MaxStoredBody

// runAttempt sends the request to an executor and reports whether the handler
// can return: the response is complete, or a stream forwards it, or the caller
// disconnected.
func (c *call) runAttempt(send router.Send) bool {
	sentAt := c.g.opts.Now()
	if sentAt >= send.Deadline || c.disconnected.Load() {
		return c.attemptFailed(send, router.NotTried)
	}
	conn, err := c.g.pools.get(send.Executor, send.Address).take(!c.req.Idempotent)
	if err != nil {
		return c.attemptFailed(send, connectErrorKind(err))
	}
	c.attempts[0].attach(conn, &send)
	if c.disconnected.Load() || c.g.opts.Now() >= send.Deadline {
		return c.abortAttempt(conn, send, router.NotTried)
	}
	if err := c.exchange(conn, &send, sentAt); err != nil {
		return c.abortAttempt(conn, send, router.NoResponse)
	}
	if !(send.MayRetry && isRetriable(&conn.responseHead)) && !c.selectWinner(&send) {
		return c.abortAttempt(conn, send, router.Superseded)
	}
	return c.forward(conn, send, &conn.responseHead, c.g.opts.Now().Sub(sentAt))
}

// connectErrorKind returns the result kind for an error of pool.take. A failed
// dial counts as a failure of the executor; a lack of connections at this
// instance does not.
func connectErrorKind(err error) router.ResultKind {
	if errors.Is(err, errNoConnection) {
		return router.NotTried
	}
	return router.NotSent
}

var errRequestIDMismatch = errors.New("the request identifier in the executor's response does not match the request")

// exchange sends the request and reads the head of the response.
func (c *call) exchange(conn *execConn, send *router.Send, sentAt structs.Timestamp) error {
	if err := c.body.writeRequest(conn.writer, *c.requestHead, send.Address, send.Deadline.Sub(sentAt)); err != nil {
		return err
	}
	if err := readResponseHead(conn, &conn.responseHead); err != nil {
		return err
	}
	if !conn.acceptRequestID(&conn.responseHead, c.req.ID) {
		c.g.metrics.mismatchedResponses.Inc()
		return errRequestIDMismatch
	}
	return nil
}

// isRetriable reports whether a response can be dropped in favour of the
// response of another attempt.
func isRetriable(head *fasthttp.ResponseHeader) bool {
	length := head.ContentLength()
	return router.IsRetriableStatus(head.StatusCode()) && length >= 0 && length <= maxBuffered
}

// abortAttempt closes the attempt's connection and reports the result of the
// attempt to the router. A superseded attempt keeps its slot until its executor
// is done.
func (c *call) abortAttempt(conn *execConn, send router.Send, kind router.ResultKind) bool {
	if kind == router.NoResponse && c.activeAttemptOf(&send).isSuperseded() {
		c.holdSlot(conn, send)
		return c.disconnected.Load()
	}
	c.activeAttemptOf(&send).detach()
	conn.pool.discard(conn)
	return c.attemptFailed(send, kind)
}

// attemptFailed reports an attempt without a response to the router. It returns
// true if the caller disconnected; otherwise the router sends another action.
func (c *call) attemptFailed(send router.Send, kind router.ResultKind) bool {
	disconnected := c.disconnected.Load()
	switch {
	case kind == router.NotSent || kind == router.NotTried:
	case disconnected:
		kind = router.Cancelled
	case c.winner.CompareAndSwap(int32(send.Attempt), 0): // another attempt may be selected now
	case c.winner.Load() != 0:
		kind = router.Superseded
	}
	c.attemptEnded(send.Attempt, router.Result{Kind: kind, Replayable: c.body.replayable()}, disconnected)
	if disconnected {
		c.ctx.SetConnectionClose()
	}
	return disconnected
}

var errTooManyInterim = errors.New("the executor sent too many interim (1xx) responses")

// readResponseHead reads the head of the final response and skips interim
// responses.
func readResponseHead(conn *execConn, head *fasthttp.ResponseHeader) error {
	const maxInterim = 8 // 1xx responses; more of them are treated as an error
	head.Reset()
	head.SetNoDefaultContentType(true)
	for range maxInterim {
		if err := head.Read(conn.reader); err != nil {
			return err
		}
		if status := head.StatusCode(); status >= 200 || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
		head.Reset()
		head.SetNoDefaultContentType(true)
	}
	return errTooManyInterim
}

// acceptRequestID reports whether the response may belong to the request with
// the given identifier. If the response carries an identifier, the two must
// match; otherwise a late or duplicate response could reach another caller. A
// connection whose responses carry no identifier is used for one request only.
func (conn *execConn) acceptRequestID(head *fasthttp.ResponseHeader, id string) bool {
	echoed := head.Peek(HeaderRequestID)
	if len(echoed) == 0 {
		conn.echoesRequestID = false
		return !conn.used
	}
	return string(echoed) == id
}

// forward forwards a response to the caller: a small one after it was read
// completely, any other as a stream. It reports whether the handler can return.
func (c *call) forward(conn *execConn, send router.Send, head *fasthttp.ResponseHeader, latency time.Duration) bool {
	status := head.StatusCode()
	length := head.ContentLength()
	if status < 200 {
		return c.abortAttempt(conn, send, router.NoResponse)
	}
	if c.ctx.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		copyResponseHead(&c.ctx.Response, head)
		return c.finishBuffered(conn, send, head, latency)
	}
	if length < -1 {
		// A response that is delimited by the end of the connection cannot
		// be distinguished from a truncated one.
		return c.abortAttempt(conn, send, router.NoResponse)
	}
	if length < 0 || length > maxBuffered {
		c.streamResponse(conn, send, head, latency)
		return true
	}
	body := c.ctx.Response.SwapBody(nil)
	body = append(body[:0], make([]byte, length)...)
	if _, err := io.ReadFull(conn.reader, body); err != nil {
		return c.abortAttempt(conn, send, router.NoResponse)
	}
	copyResponseHead(&c.ctx.Response, head)
	c.ctx.Response.SwapBody(body)
	return c.finishBuffered(conn, send, head, latency)
}

// finishBuffered ends an attempt whose response was read completely. It reports
// whether the handler can return; it cannot if the router may retry.
func (c *call) finishBuffered(conn *execConn, send router.Send, head *fasthttp.ResponseHeader, latency time.Duration) bool {
	status := head.StatusCode()
	result := router.Result{
		Kind: router.Completed, Status: status,
		Replayable: c.body.replayable(), HeaderLatency: latency,
	}
	if !c.req.Idempotent {
		result.Stored = router.StoredResponse{
			ContentType: string(head.ContentType()),
			Body:        append([]byte(nil), c.ctx.Response.Body()...),
		}
	}
	conn.finish(c.activeAttemptOf(&send).detach(), head.ConnectionClose())
	if status >= 500 && send.MayRetry {
		result.Kind = router.Buffered
		c.attemptEnded(send.Attempt, result, false)
		return false
	}
	c.attemptEnded(send.Attempt, result, true)
	c.setOutcome(status)
	return true
}

// finish returns the connection to its pool after a complete response, or
// closes it.
func (conn *execConn) finish(cancelled, closeConn bool) {
	if cancelled || closeConn {
		conn.pool.discard(conn)
		return
	}
	conn.pool.put(conn)
}

// streamResponse forwards a long or chunked response while it arrives.
func (c *call) streamResponse(conn *execConn, send router.Send, head *fasthttp.ResponseHeader, latency time.Duration) {
	copyResponseHead(&c.ctx.Response, head)
	c.setOutcome(head.StatusCode())
	length := head.ContentLength()
	s := &responseStream{
		call: c, conn: conn, active: c.activeAttemptOf(&send), attempt: send.Attempt,
		result: router.Result{
			Kind: router.Completed, Status: head.StatusCode(), HeaderLatency: latency,
			Stored: router.StoredResponse{ContentType: string(head.ContentType())},
		},
		storeBody: !c.req.Idempotent,
		close:     head.ConnectionClose(),
		body:      newBodyReader(conn.reader, length),
	}
	c.ctx.Response.ImmediateHeaderFlush = true
	c.ctx.Response.SetBodyStream(s, length)
}

// responseStream reads the body of a response for the caller and reports the
// result of the attempt when it is closed.
type responseStream struct {
	call      *call
	conn      *execConn
	active    *activeAttempt
	attempt   int
	result    router.Result
	storeBody bool // keep the body for repeats of the request
	close     bool // the executor closes the connection after the response
	body      io.Reader
	complete  bool
	failed    bool
}

// Read implements io.Reader.
func (s *responseStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if s.storeBody {
		s.appendStored(p[:n])
	}
	switch {
	case err == io.EOF:
		s.complete = true
	case err != nil:
		s.failed = true
	}
	return n, err
}

func (s *responseStream) appendStored(p []byte) {
	stored := &s.result.Stored
	if stored.Truncated {
		return
	}
	if len(stored.Body)+len(p) > router.MaxStoredBody {
		stored.Truncated = true
		stored.Body = nil
		return
	}
	stored.Body = append(stored.Body, p...)
}

// readEOF marks a body of fixed length as complete if all its bytes were read
// but its end was not.
func (s *responseStream) readEOF() {
	var buf [1]byte
	if !s.complete && !s.failed {
		if fixed, ok := s.body.(*fixedLengthReader); ok && fixed.remaining == 0 {
			_, _ = s.Read(buf[:])
		}
	}
}

// Close implements io.Closer. fasthttp calls it when the response was written
// to the caller, or when either side failed.
func (s *responseStream) Close() error {
	s.readEOF()
	cancelled := s.active.detach()
	switch {
	case s.complete:
		s.conn.finish(cancelled, s.close)
	default:
		s.conn.pool.discard(s.conn)
	}
	switch {
	case s.complete:
	case s.failed && !s.call.disconnected.Load():
		s.result.Kind = router.ResponseInterrupted
		s.call.g.metrics.truncatedResponses.Inc()
	default:
		s.call.disconnected.Store(true)
		s.result.Kind = router.Cancelled
	}
	s.call.attemptEnded(s.attempt, s.result, true)
	boundOf(s.call.caller).Done()
	return nil
}

// fixedLengthReader reads a body of known length. A connection that ends early
// is an error, never the end of the body.
type fixedLengthReader struct {
	reader    *bufio.Reader
	remaining int
}

// Read implements io.Reader.
func (r *fixedLengthReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	if len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.reader.Read(p)
	r.remaining -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
