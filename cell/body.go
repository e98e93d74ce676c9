package cell

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/workflow"
)

const (
	// maxCallerBody applies if the configuration sets no limit or a higher one.
	maxCallerBody = 1 << 20 // bytes
	// freeBodyBytes are the bytes of a body that callerConnBytes allows for. The bodies
	// of ordinary jobs are shorter.
	freeBodyBytes = 8 << 10
	// bodyCost is the memory for each further byte: the body, its decoded form, and the
	// copies on the way to the leader.
	bodyCost = 4
	// retryAfterBusy is the Retry-After value while other requests hold the memory that
	// a request needs.
	retryAfterBusy = time.Second
)

// maxBody returns the limit, in bytes, of the body of a request.
func (i *Instance) maxBody() int {
	if config := i.config.current.Load(); config != nil && config.MaxBody > 0 {
		return min(config.MaxBody, maxCallerBody)
	}
	return maxCallerBody
}

// readCallerBody reads the body of a request, judging its length before and while it
// arrives. It answers the request and returns false if the body cannot be taken. Otherwise
// the connection is not closed to make room until the request is answered.
func (i *Instance) readCallerBody(ctx *fasthttp.RequestCtx) ([]byte, bool) {
	limit := i.maxBody()
	conn := inbound.Of(ctx.Conn())
	stream := ctx.RequestBodyStream()
	if stream == nil {
		stream = bytes.NewReader(nil)
	}
	body, err := inbound.ReadBody(stream, conn, ctx.Request.Header.ContentLength(), inbound.BodyLimits{MaxBytes: limit, FreeBytes: freeBodyBytes, Factor: bodyCost})
	switch {
	case inbound.IsTooLong(&ctx.Request.Header), errors.Is(err, inbound.ErrTooLarge):
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, 0, "the body is larger than the "+strconv.Itoa(limit)+" bytes of the configuration")
		return nil, false
	case errors.Is(err, inbound.ErrBusy):
		writeError(ctx, fasthttp.StatusServiceUnavailable, retryAfterBusy, "too many requests are being received; the job was not accepted")
		return nil, false
	case err != nil:
		ctx.SetConnectionClose() // where the next request begins is not known
		writeError(ctx, fasthttp.StatusBadRequest, 0, "the body did not arrive completely; the job was not accepted")
		return nil, false
	}
	if !conn.Begin() {
		ctx.SetConnectionClose() // closed to make room before anything was done
		return nil, false
	}
	return body, true
}

// decodeJob decodes the body of a submission. Long bodies are decoded one at a time, so that
// many of them delay neither short ones nor the messages of the cell.
func (i *Instance) decodeJob(id string, body []byte) (workflow.Job, error) {
	if len(body) > freeBodyBytes {
		i.longDecodes.Lock()
		defer i.longDecodes.Unlock()
	}
	return i.options.Codec.DecodeJob(id, body)
}
