package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// Limits bound what one caller or one request may use.
type Limits struct {
	MaxBodyBytes   int64         // of a request
	MaxHeaderBytes int           // of a request's or an answer's head
	MaxConnections int           // of callers
	ReadTimeout    time.Duration // for the head and the body of a request
	WriteTimeout   time.Duration // for an answer that is not streamed
	IdleTimeout    time.Duration // between two requests of a connection
	DialTimeout    time.Duration // to an executor
}

// Default limits.
const (
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConnections = 4096
	DefaultReadTimeout    = time.Minute
	DefaultWriteTimeout   = 5 * time.Minute
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultDialTimeout    = time.Second
	DefaultRetention      = 24 * time.Hour
	DefaultTickInterval   = 5 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Instance structs.InstanceID
	Location structs.Location
	Policy   router.Policy // router.DefaultPolicy() if it has no classes
	Limits   Limits
	// AwaitPolicy keeps /readyz at 503 until SetPolicy, so that the load
	// balancer sends nothing before the settings are known.
	AwaitPolicy bool

	// Table holds the claims of non-idempotent requests. Without it they are
	// refused.
	Table  provider.Table
	Logger hclog.Logger
	// SendCredits sends a message to the owner of the executors of
	// message.Region. It must not block for long and may lose messages.
	// Without it the gateway uses the full slots of every executor.
	SendCredits func(message credits.Message)
	// Metrics receives the gateway's counters and histograms.
	Metrics *metrics.Set

	// Retention is how long the outcome of a non-idempotent request is kept.
	Retention time.Duration
	// DrainDelay is how long a drain keeps taking requests after /readyz
	// turned 503, so that the load balancer sees it first.
	DrainDelay time.Duration
	// Seed is for the router's randomness. 0 takes one from the clock.
	Seed uint64
	// Now is the clock, for tests; nil is the system's clock.
	Now func() structs.Timestamp
	// TickInterval is how often deadlines, retries and leases are checked.
	// Negative: only when Tick is called.
	TickInterval time.Duration
}

func (o Options) withDefaults() Options {
	if len(o.Policy.Classes) == 0 {
		o.Policy = router.DefaultPolicy()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Now == nil {
		o.Now = func() structs.Timestamp { return structs.TimestampOf(time.Now()) }
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.TickInterval, DefaultTickInterval)
	o.Limits = o.Limits.withDefaults()
	return o
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.ReadTimeout, DefaultReadTimeout)
	setDefault(&l.WriteTimeout, DefaultWriteTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.DialTimeout, DefaultDialTimeout)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
