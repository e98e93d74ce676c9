package operatorapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/inbound"
)

// defaultMaxBody is the default limit of request bodies, in bytes.
const defaultMaxBody = 4 << 20

// Options configures the server of the operators' API. Zero values select the
// defaults.
type Options struct {
	Secret         string        // required from clients unless empty
	MaxBody        int           // bytes; default 4 MiB
	MaxHeader      int           // bytes; default 16 KiB
	MaxConnections int           // default 256
	ReadTimeout    time.Duration // default 10 s
	WriteTimeout   time.Duration // default 30 s
	IdleTimeout    time.Duration // default 60 s
	CallTimeout    time.Duration // limit of one call of the backend; default 15 s

	// CheckReady returns an error that says why the instance is not ready, or nil
	// if it is ready. Without this function the instance is always ready.
	CheckReady func() error
	// WriteMetrics writes further metrics after those of the process and the API.
	WriteMetrics func(io.Writer)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) fiberConfig() fiber.Config {
	return fiber.Config{
		AppName:                      "mangodrum",
		BodyLimit:                    orDefault(o.MaxBody, defaultMaxBody),
		ReadBufferSize:               orDefault(o.MaxHeader, 16<<10), // fasthttp limits headers by this buffer
		Concurrency:                  orDefault(o.MaxConnections, 256),
		ReadTimeout:                  orDefault(o.ReadTimeout, 10*time.Second),
		WriteTimeout:                 orDefault(o.WriteTimeout, 30*time.Second),
		IdleTimeout:                  orDefault(o.IdleTimeout, time.Minute),
		CaseSensitive:                true,
		StrictRouting:                true,
		Immutable:                    true, // backends keep identifiers after the call
		UnescapePath:                 true,
		DisablePreParseMultipartForm: true,
		StreamRequestBody:            true, // readBody reads the body
		ErrorHandler:                 writeError,
	}
}

// server binds the routes to a backend.
type server struct {
	backend     Backend
	options     Options
	callTimeout time.Duration
	set         *metrics.Set
	panicCount  *metrics.Counter // calls that ended with a panic of the backend
	deniedCount *metrics.Counter // calls with a missing or wrong secret
}

// NewServer returns an app that exposes the backend. The caller starts it with
// Serve and stops it with app.ShutdownWithTimeout.
func NewServer(backend Backend, options Options) *fiber.App {
	s := &server{
		backend: backend, options: options, callTimeout: orDefault(options.CallTimeout, 15*time.Second),
		set: metrics.NewSet(),
	}
	s.panicCount = s.set.NewCounter("mangodrum_operator_api_faults_total")
	s.deniedCount = s.set.NewCounter("mangodrum_operator_api_denied_total")
	app := fiber.New(options.fiberConfig())
	app.Server().HeaderReceived = func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
		inbound.JudgeLength(header, orDefault(options.MaxBody, defaultMaxBody))
		return fasthttp.RequestConfig{}
	}
	app.Use(releaseHeld)
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", s.readyz)
	registerPage(app)
	app.Use(s.authenticate)
	app.Get("/metrics", s.metrics)
	app.Use(s.readBody)
	s.registerRoutes(app)
	return app
}

// Serve accepts connections on listener until the app is shut down.
func Serve(app *fiber.App, listener net.Listener) error {
	return app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *server) readyz(c fiber.Ctx) error {
	if s.options.CheckReady == nil {
		return c.SendString("ready\n")
	}
	if err := s.options.CheckReady(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (s *server) metrics(c fiber.Ctx) error {
	var out bytes.Buffer
	metrics.WriteProcessMetrics(&out)
	s.set.WritePrometheus(&out)
	if s.options.WriteMetrics != nil {
		s.options.WriteMetrics(&out)
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(out.Bytes())
}

// authenticate rejects requests without the shared secret. It compares hashes,
// so that the duration of the comparison does not depend on the length of the
// secret.
func (s *server) authenticate(c fiber.Ctx) error {
	if s.options.Secret == "" {
		return c.Next()
	}
	want := sha256.Sum256([]byte(s.options.Secret))
	have := sha256.Sum256([]byte(c.Get(SecretHeader)))
	if subtle.ConstantTimeCompare(want[:], have[:]) != 1 {
		s.deniedCount.Inc()
		return errs.New(errs.Denied, "give the operators' secret with --secret-file", "the shared secret is missing or wrong")
	}
	return c.Next()
}

// remedyForStatus returns the remedy for a request that was rejected before it
// reached an endpoint.
func remedyForStatus(status int) string {
	switch status {
	case fiber.StatusRequestEntityTooLarge:
		return "send a shorter body, for example fewer jobs or branches at a time"
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return "send fewer or shorter headers"
	}
	return "see docs/cli.md for the endpoints and limits"
}

// writeError sends an error as an ErrorBody.
func writeError(c fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		kind := kindForStatus(fiberErr.Code)
		err = errs.New(kind, remedyForStatus(fiberErr.Code), "%s %s: %s", c.Method(), c.Path(), fiberErr.Message)
		return c.Status(fiberErr.Code).JSON(NewErrorBody(err))
	}
	return c.Status(HTTPStatus(err)).JSON(NewErrorBody(err))
}

// callBackend runs one call of the backend within the call timeout and sends
// its result. It recovers from panics, so that a panic fails only this call and
// not the instance, which also serves callers.
func callBackend[T any](s *server, c fiber.Ctx, run func(ctx context.Context) (T, error)) error {
	ctx, cancel := context.WithTimeout(c.Context(), s.callTimeout)
	defer cancel()
	var result T
	var err error
	if recovered := panics.Try(func() { result, err = run(ctx) }); recovered != nil {
		s.panicCount.Inc()
		return errs.New(errs.Failed, "report this bug with the request", "internal error in %s %s: %v", c.Method(), c.Path(), recovered.Value)
	}
	if err != nil {
		return err
	}
	return c.JSON(result)
}

// decodeBody decodes the JSON body and rejects unknown fields. It requires the
// JSON content type, which browsers do not send to another origin without that
// origin's permission; this protects against cross-site requests.
func decodeBody(c fiber.Ctx, target any) error {
	mediaType, _, _ := strings.Cut(c.Get(fiber.HeaderContentType), ";")
	if mediaType != fiber.MIMEApplicationJSON {
		return errs.New(errs.InvalidInput, "send Content-Type: application/json", "content type is %q", mediaType)
	}
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "send a JSON object with the fields of this endpoint", "decode the body")
	}
	if decoder.More() {
		return errs.New(errs.InvalidInput, "send one JSON object", "the body has data after the JSON object")
	}
	return nil
}
