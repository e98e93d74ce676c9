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

	"github.com/mangodrum/mangodrum/errs"
)

// defaultMaxBody bounds the bodies of calls, in bytes.
const defaultMaxBody = 4 << 20

// Options configures the operators' listener. Zero values stand for the
// defaults.
type Options struct {
	Secret         string        // required from clients unless empty
	MaxBody        int           // bytes; default 4 MiB
	MaxHeader      int           // bytes; default 16 KiB
	MaxConnections int           // default 256
	ReadTimeout    time.Duration // default 10 s
	WriteTimeout   time.Duration // default 30 s
	IdleTimeout    time.Duration // default 60 s
	CallTimeout    time.Duration // of one call of the backend; default 15 s

	// Ready reports why the instance is not ready; nil means that it is
	// ready as soon as it serves.
	Ready func() error
	// Metrics writes further metrics after the process's own.
	Metrics func(io.Writer)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) config() fiber.Config {
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
		ErrorHandler:                 writeError,
	}
}

// server binds the routes to a backend.
type server struct {
	backend Backend
	options Options
	timeout time.Duration
	set     *metrics.Set
	faults  *metrics.Counter // calls that ended with a panic of the backend
	denied  *metrics.Counter // calls without the shared secret
}

// NewServer returns an app that serves the backend. The caller serves it with
// Serve and ends it with app.ShutdownWithTimeout.
func NewServer(backend Backend, options Options) *fiber.App {
	s := &server{
		backend: backend, options: options, timeout: orDefault(options.CallTimeout, 15*time.Second),
		set: metrics.NewSet(),
	}
	s.faults = s.set.NewCounter("mangodrum_operator_api_faults_total")
	s.denied = s.set.NewCounter("mangodrum_operator_api_denied_total")
	app := fiber.New(options.config())
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", s.readyz)
	servePage(app)
	app.Use(s.authenticate)
	app.Get("/metrics", s.metrics)
	s.routes(app)
	return app
}

// Serve accepts connections on listener until the app is shut down.
func Serve(app *fiber.App, listener net.Listener) error {
	return app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *server) readyz(c fiber.Ctx) error {
	if s.options.Ready == nil {
		return c.SendString("ready\n")
	}
	if err := s.options.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (s *server) metrics(c fiber.Ctx) error {
	var out bytes.Buffer
	metrics.WriteProcessMetrics(&out)
	s.set.WritePrometheus(&out)
	if s.options.Metrics != nil {
		s.options.Metrics(&out)
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(out.Bytes())
}

// authenticate requires the shared secret. Hashes are compared, so that the
// time of the comparison does not depend on the length of the secret.
func (s *server) authenticate(c fiber.Ctx) error {
	if s.options.Secret == "" {
		return c.Next()
	}
	want := sha256.Sum256([]byte(s.options.Secret))
	have := sha256.Sum256([]byte(c.Get(SecretHeader)))
	if subtle.ConstantTimeCompare(want[:], have[:]) != 1 {
		s.denied.Inc()
		return errs.New(errs.Denied, "give the operators' secret with --secret-file", "the shared secret is missing or wrong")
	}
	return c.Next()
}

// remedyOf returns the remedy for a request that no endpoint handled.
func remedyOf(status int) string {
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
	var routing *fiber.Error
	if errors.As(err, &routing) {
		kind := kindOf(routing.Code)
		err = errs.New(kind, remedyOf(routing.Code), "%s %s: %s", c.Method(), c.Path(), routing.Message)
		return c.Status(routing.Code).JSON(BodyOf(err))
	}
	return c.Status(StatusOf(err)).JSON(BodyOf(err))
}

// call runs one call of the backend within the time limit and sends its
// result. A panic fails the call and not the instance, which serves callers as
// well.
func call[T any](s *server, c fiber.Ctx, run func(ctx context.Context) (T, error)) error {
	ctx, cancel := context.WithTimeout(c.Context(), s.timeout)
	defer cancel()
	var result T
	var err error
	if fault := panics.Try(func() { result, err = run(ctx) }); fault != nil {
		s.faults.Inc()
		return errs.New(errs.Failed, "report this fault with the call", "internal fault in %s %s: %v", c.Method(), c.Path(), fault.Value)
	}
	if err != nil {
		return err
	}
	return c.JSON(result)
}

// decodeBody reads the JSON body strictly. The content type is required
// because browsers cannot send it to another origin without permission.
func decodeBody(c fiber.Ctx, target any) error {
	kind, _, _ := strings.Cut(c.Get(fiber.HeaderContentType), ";")
	if kind != fiber.MIMEApplicationJSON {
		return errs.New(errs.InvalidInput, "send Content-Type: application/json", "content type is %q", kind)
	}
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "send the JSON object of the reference", "decode the body")
	}
	if decoder.More() {
		return errs.New(errs.InvalidInput, "send one JSON object", "the body has data after its end")
	}
	return nil
}
