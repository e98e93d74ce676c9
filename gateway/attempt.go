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

// maxBuffered bounds the answers that are read completely before they are
// passed on, and the request bodies that can be sent again.
const maxBuffered = router.MaxStoredBody

// attempt sends the request to an executor and reports whether the handler is
// done: the answer is in the response, or a stream passes it on.
func (c *call) attempt(send router.Send) bool {
	sentAt := c.g.opts.Now()
	if sentAt >= send.Deadline || c.gone.Load() {
		return c.failed(send, router.NotTried)
	}
	conn, err := c.g.pools.get(send.Executor, send.Address).take(!c.req.Idempotent)
	if err != nil {
		return c.failed(send, notSentKind(err))
	}
	c.flights[0].attach(conn, &send)
	if c.gone.Load() || c.g.opts.Now() >= send.Deadline {
		return c.abort(conn, send, router.NotTried)
	}
	if err := c.exchange(conn, &send, sentAt); err != nil {
		return c.abort(conn, send, router.Broken)
	}
	if !(send.MayRetry && isRetriable(&conn.head)) && !c.win(&send) {
		return c.abort(conn, send, router.Superseded)
	}
	return c.pass(conn, send, &conn.head, c.g.opts.Now().Sub(sentAt))
}

// notSentKind tells a failed dial, which counts against the executor, from a
// lack of connections here.
func notSentKind(err error) router.ResultKind {
	if errors.Is(err, errNoConnection) {
		return router.NotTried
	}
	return router.NotSent
}

var errIdentifier = errors.New("the executor's answer is for another request")

// exchange sends the request and reads the head of its answer.
func (c *call) exchange(conn *execConn, send *router.Send, sentAt structs.Timestamp) error {
	if err := c.body.writeRequest(conn.writer, *c.head, send.Address, send.Deadline.Sub(sentAt)); err != nil {
		return err
	}
	if err := readHead(conn, &conn.head); err != nil {
		return err
	}
	if !conn.acceptIdentifier(&conn.head, c.req.ID) {
		c.g.metrics.mismatched.Inc()
		return errIdentifier
	}
	return nil
}

// isRetriable reports whether an answer can be dropped for that of another
// attempt.
func isRetriable(head *fasthttp.ResponseHeader) bool {
	length := head.ContentLength()
	return router.IsRetriableStatus(head.StatusCode()) && length >= 0 && length <= maxBuffered
}

// abort closes the attempt's connection and reports how the attempt ended.
func (c *call) abort(conn *execConn, send router.Send, kind router.ResultKind) bool {
	if kind == router.Broken && c.flightOf(&send).isSuperseded() {
		c.linger(conn, send)
		return c.gone.Load()
	}
	c.flightOf(&send).detach()
	conn.pool.discard(conn)
	return c.failed(send, kind)
}

// failed reports an attempt without an answer. The router's next action
// follows unless the caller left.
func (c *call) failed(send router.Send, kind router.ResultKind) bool {
	gone := c.gone.Load()
	switch {
	case kind == router.NotSent || kind == router.NotTried:
	case gone:
		kind = router.Cancelled
	case c.winner.CompareAndSwap(int32(send.Attempt), 0): // another attempt may win now
	case c.winner.Load() != 0:
		kind = router.Superseded
	}
	c.attemptEnded(send.Attempt, router.Result{Kind: kind, Replayable: c.body.replayable()}, gone)
	if gone {
		c.ctx.SetConnectionClose()
	}
	return gone
}

var errFraming = errors.New("the executor's answer has no length")

// readHead reads the head of the final answer.
func readHead(conn *execConn, head *fasthttp.ResponseHeader) error {
	const maxInterim = 8 // 1xx answers; more of them are a fault
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
	return errFraming
}

// acceptIdentifier reports whether the answer may belong to the request. On
// connections whose answers carry identifiers it must match; otherwise a late
// or doubled answer could reach another caller. A connection whose answers
// carry none is used for one request only.
func (conn *execConn) acceptIdentifier(head *fasthttp.ResponseHeader, id string) bool {
	echoed := head.Peek(HeaderRequestID)
	if len(echoed) == 0 {
		conn.echoes = false
		return !conn.used
	}
	return string(echoed) == id
}

// pass hands the answer on: small ones when they are complete, others as a
// stream.
func (c *call) pass(conn *execConn, send router.Send, head *fasthttp.ResponseHeader, latency time.Duration) bool {
	status := head.StatusCode()
	length := head.ContentLength()
	if status < 200 {
		return c.abort(conn, send, router.Broken)
	}
	if c.ctx.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		copyHead(&c.ctx.Response, head)
		return c.complete(conn, send, head, latency)
	}
	if length < -1 {
		// An answer that ends with the connection cannot be told from one
		// that was cut.
		return c.abort(conn, send, router.Broken)
	}
	if length < 0 || length > maxBuffered {
		c.stream(conn, send, head, latency)
		return true
	}
	body := c.ctx.Response.SwapBody(nil)
	body = append(body[:0], make([]byte, length)...)
	if _, err := io.ReadFull(conn.reader, body); err != nil {
		return c.abort(conn, send, router.Broken)
	}
	copyHead(&c.ctx.Response, head)
	c.ctx.Response.SwapBody(body)
	return c.complete(conn, send, head, latency)
}

// complete ends an attempt whose answer is in the response.
func (c *call) complete(conn *execConn, send router.Send, head *fasthttp.ResponseHeader, latency time.Duration) bool {
	status := head.StatusCode()
	result := router.Result{
		Kind: router.Completed, Status: status,
		Replayable: c.body.replayable(), HeadLatency: latency,
	}
	if !c.req.Idempotent {
		result.Stored = router.StoredAnswer{
			ContentType: string(head.ContentType()),
			Body:        append([]byte(nil), c.ctx.Response.Body()...),
		}
	}
	conn.finish(c.flightOf(&send).detach(), head.ConnectionClose())
	if status >= 500 && send.MayRetry {
		result.Kind = router.Buffered
		c.attemptEnded(send.Attempt, result, false)
		return false
	}
	c.attemptEnded(send.Attempt, result, true)
	c.setOutcome(status)
	return true
}

// finish gives the connection back after a complete answer, or closes it.
func (conn *execConn) finish(cancelled, closing bool) {
	if cancelled || closing {
		conn.pool.discard(conn)
		return
	}
	conn.pool.put(conn)
}

// stream passes a long or chunked answer on while it arrives.
func (c *call) stream(conn *execConn, send router.Send, head *fasthttp.ResponseHeader, latency time.Duration) {
	copyHead(&c.ctx.Response, head)
	c.setOutcome(head.StatusCode())
	length := head.ContentLength()
	s := &answerStream{
		call: c, conn: conn, flight: c.flightOf(&send), attempt: send.Attempt,
		result: router.Result{
			Kind: router.Completed, Status: head.StatusCode(), HeadLatency: latency,
			Stored: router.StoredAnswer{ContentType: string(head.ContentType())},
		},
		keep:  !c.req.Idempotent,
		close: head.ConnectionClose(),
		body:  newBodyReader(conn.reader, length),
	}
	c.ctx.Response.ImmediateHeaderFlush = true
	c.ctx.Response.SetBodyStream(s, length)
}

// answerStream passes an answer on and settles the attempt when it is closed.
type answerStream struct {
	call    *call
	conn    *execConn
	flight  *flight
	attempt int
	result  router.Result
	keep    bool // the start of the body, for repeats
	close   bool // the executor closes the connection
	body    io.Reader
	ended   bool
	failed  bool
}

// Read implements io.Reader.
func (s *answerStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if s.keep {
		s.remember(p[:n])
	}
	switch {
	case err == io.EOF:
		s.ended = true
	case err != nil:
		s.failed = true
	}
	return n, err
}

func (s *answerStream) remember(p []byte) {
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

// probe reads the end of a body whose last byte was already passed on.
func (s *answerStream) probe() {
	var buf [1]byte
	if !s.ended && !s.failed {
		if counted, ok := s.body.(*fixedReader); ok && counted.left == 0 {
			_, _ = s.Read(buf[:])
		}
	}
}

// Close implements io.Closer. fasthttp calls it when the answer was passed
// on, or when either side failed.
func (s *answerStream) Close() error {
	s.probe()
	cancelled := s.flight.detach()
	switch {
	case s.ended:
		s.conn.finish(cancelled, s.close)
	default:
		s.conn.pool.discard(s.conn)
	}
	switch {
	case s.ended:
	case s.failed && !s.call.gone.Load():
		s.result.Kind = router.CutMidAnswer
		s.call.g.metrics.responsesCut.Inc()
	default:
		s.call.gone.Store(true)
		s.result.Kind = router.Cancelled
	}
	s.call.attemptEnded(s.attempt, s.result, true)
	return nil
}

// fixedReader reads a body of known length. A connection that ends early is
// an error, never the end of the body.
type fixedReader struct {
	reader *bufio.Reader
	left   int
}

// Read implements io.Reader.
func (r *fixedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if len(p) > r.left {
		p = p[:r.left]
	}
	n, err := r.reader.Read(p)
	r.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
