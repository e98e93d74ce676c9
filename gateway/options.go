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

// Limits bounds the resources of callers, requests and connections.
type Limits struct {
	MaxBodyBytes   int64         // size of a request's body
	MaxHeaderBytes int           // size of the head of a request or a response
	MaxConnections int           // open connections of callers
	MaxHeldBytes   int64         // kept of all requests together, beyond freeBodyBytes of each
	ReadTimeout    time.Duration // for reading the head and the body of a request
	WriteTimeout   time.Duration // for writing a response that is not streamed
	IdleTimeout    time.Duration // between two requests on a connection
	DialTimeout    time.Duration // for connecting to an executor
}

// Defaults of Limits and Options.
const (
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConnections = 4096
	DefaultMaxHeldBytes   = 64 << 20
	DefaultReadTimeout    = time.Minute
	DefaultWriteTimeout   = 5 * time.Minute
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultDialTimeout    = time.Second
	DefaultRetention      = 24 * time.Hour
	DefaultTickInterval   = 5 * time.Millisecond
)

// Options configures a Gateway.
type Options struct {
	Instance structs.InstanceID
	Location structs.Location
	Policy   router.Policy // router.DefaultPolicy() if it has no classes
	Limits   Limits
	// AwaitPolicy keeps /readyz at 503 until SetPolicy is called, so that the
	// load balancer sends no requests before the settings are known.
	AwaitPolicy bool

	// Table holds the claims of non-idempotent requests. If it is nil, these
	// requests are refused.
	Table  provider.Table
	Logger hclog.Logger
	// SendCreditMessage sends a message to the owner of the executors of
	// message.Region. It must not block for long and may lose messages. If it
	// is nil, the gateway uses all slots of every executor.
	SendCreditMessage func(message credits.Message)
	// Metrics receives the gateway's counters and histograms.
	Metrics *metrics.Set

	// Retention is how long the outcome of a non-idempotent request is kept.
	Retention time.Duration
	// DrainDelay is how long a drain still accepts requests after /readyz
	// changed to 503, so that the load balancer stops sending first.
	DrainDelay time.Duration
	// Seed seeds the router's random numbers; 0 means a seed from the clock.
	Seed uint64
	// Now is the clock; nil means the system's clock. Tests set it.
	Now func() structs.Timestamp
	// TickInterval is how often deadlines, retries and leases are checked. If
	// it is negative, they are checked only when Tick is called.
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
	setDefault(&l.MaxHeldBytes, DefaultMaxHeldBytes)
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
