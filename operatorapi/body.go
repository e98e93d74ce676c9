package operatorapi

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/inbound"
)

const (
	// freeBodyBytes are the bytes of a body that the limit on connections allows for.
	freeBodyBytes = 16 << 10
	// bodyCost is the memory for each further byte, with what the body is decoded into.
	bodyCost = 4
)

// MaxHeldBytes returns the memory, counted as by inbound.Conn.Hold, that one body of the
// default limit holds at most.
func MaxHeldBytes() int64 { return defaultMaxBody * bodyCost }

// longBodies is held while a long body is processed: two bytes may become a whole object, so
// many of them at a time could take more memory than the instance has.
var longBodies sync.Mutex

// releaseHeld releases what a request holds when it has been processed.
func releaseHeld(c fiber.Ctx) error {
	defer inbound.Of(c.RequestCtx().Conn()).Done()
	return c.Next()
}

// readBody reads the body of an authenticated request, judging its length before and while it
// arrives, and processes long bodies one at a time.
func (s *server) readBody(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	conn := inbound.Of(ctx.Conn())
	if inbound.IsTooLong(&ctx.Request.Header) {
		return fiber.ErrRequestEntityTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		if !conn.Begin() {
			ctx.SetConnectionClose() // closed to make room before anything was done
			return nil
		}
		return c.Next()
	}
	limits := inbound.BodyLimits{MaxBytes: orDefault(s.options.MaxBody, defaultMaxBody), FreeBytes: freeBodyBytes, Factor: bodyCost}
	body, err := inbound.ReadBody(stream, conn, ctx.Request.Header.ContentLength(), limits)
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		ctx.SetConnectionClose()
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, inbound.ErrBusy):
		ctx.SetConnectionClose()
		c.Set(fiber.HeaderRetryAfter, "1")
		return errs.New(errs.NotRun, "send the request again later", "too many requests are being received")
	case err != nil:
		ctx.SetConnectionClose()
		return errs.New(errs.InvalidInput, "send the whole body", "the body did not arrive completely")
	}
	if !conn.Begin() {
		ctx.SetConnectionClose()
		return nil
	}
	ctx.Request.SetBodyRaw(body)
	if len(body) > freeBodyBytes {
		longBodies.Lock()
		defer longBodies.Unlock()
	}
	return c.Next()
}
