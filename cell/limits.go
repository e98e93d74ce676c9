package cell

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/peer"
)

// Limits are those of the process. What clients can use of it is a share of them, so that
// the sum of all shares leaves memory and descriptors for the cell's own work; see
// docs/client-limits.md.
type Limits struct {
	MemoryBytes int64 // 0: defaultMemoryBytes
	Descriptors int   // 0: defaultDescriptors
}

const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 4096
)

func (l Limits) withDefaults() Limits {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = defaultMemoryBytes
	}
	if l.Descriptors <= 0 {
		l.Descriptors = defaultDescriptors
	}
	return l
}

const (
	// callerConnBytes is what a connection of a caller takes at most without Conn.Hold:
	// its buffers, a goroutine, and a request of freeBodyBytes in all its forms.
	callerConnBytes = 64 << 10
	// callerConnShare is the part of the memory that the connections of callers may take,
	// callerHeldShare the part for larger bodies and what becomes of them.
	callerConnShare = 5
	callerHeldShare = 12
	// jobMemoryShare is the part of the memory for the jobs of a leader.
	jobMemoryShare = 6
	// callShare is the part of the memory for requests that other instances pass on.
	callShare = 16
	// messageShare is the part of the memory for messages of other instances that arrive.
	messageShare = 16
	// maxMessageBytes is the longest message between instances: a call to the store or
	// its answer, which the store limits to 1 MB in a longer encoding.
	maxMessageBytes = 2 << 20
	// callerDescriptorShare is the part of the descriptors for connections of callers. The
	// rest is for workers, the store, peers and files.
	callerDescriptorShare = 2
	// minConnections keeps a listener usable if its share is very small.
	minConnections = 8
)

// JobMemory returns the memory that a leader has for jobs.
func (l Limits) JobMemory() int64 { return l.MemoryBytes / jobMemoryShare }

// callMemory returns the memory for the calls of other instances that a leader processes.
func (l Limits) callMemory() int64 { return l.MemoryBytes / callShare }

// queueMemory returns the memory for messages that wait to be sent to other instances.
func (l Limits) queueMemory() int64 { return max(l.MemoryBytes/messageShare, 2*maxMessageBytes) }

// callers returns the bounds of the callers' listener.
func (l Limits) callers() inbound.Limits {
	connections := min(l.MemoryBytes/callerConnShare/callerConnBytes, int64(l.Descriptors/callerDescriptorShare))
	return inbound.Limits{
		Connections: max(int(connections), minConnections), HeldBytes: l.MemoryBytes / callerHeldShare,
		Refusal: refusal("503 Service Unavailable", "too many requests are being processed; nothing was done with this one"),
	}
}

// auxiliary returns the bounds of a listener that a few clients of the operators use.
func (l Limits) auxiliary() inbound.Limits {
	const share, most = 64, 64
	return inbound.Limits{Connections: min(max(l.Descriptors/share, minConnections), most)}
}

// refusal returns a response for a connection whose request is not read.
func refusal(status, text string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nRetry-After: 1\r\nConnection: close\r\n\r\n" + text
}

// peers returns the bounds of the peers' listener.
func (l Limits) peers() inbound.Limits {
	const share, most = 8, 256
	return inbound.Limits{
		Connections: min(max(l.Descriptors/share, minConnections), most),
		HeldBytes:   max(l.MemoryBytes/messageShare, peer.MaxHeldBytes(maxMessageBytes)),
	}
}

// boundListener returns a listener whose connections stay within limits, and shows its
// totals as metrics.
func (i *Instance) boundListener(name string, inner net.Listener, limits inbound.Limits) net.Listener {
	bounded := inbound.NewListener(inner, limits)
	gauge := func(metric string, value func(inbound.Counts) float64) {
		i.metrics.set.NewGauge(fmt.Sprintf("mangodrum_cell_connections_%s{listener=%q}", metric, name), func() float64 { return value(bounded.Counts()) })
	}
	gauge("open", func(c inbound.Counts) float64 { return float64(c.Open) })
	gauge("evicted_total", func(c inbound.Counts) float64 { return float64(c.Evicted) })
	gauge("refused_total", func(c inbound.Counts) float64 { return float64(c.Refused) })
	gauge("accept_failures_total", func(c inbound.Counts) float64 { return float64(c.Failed) })
	return bounded
}

// Bounds of one request of a listener that probes and scrapes use. They have no bodies.
const (
	auxiliaryBodyBytes    = 1 << 10
	auxiliaryReadTimeout  = 10 * time.Second // for a request, also the first of a connection
	auxiliaryWriteTimeout = 10 * time.Second
	auxiliaryIdleTimeout  = 60 * time.Second
)

// newAuxiliaryServer returns a server for probes and scrapes.
func newAuxiliaryServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "mangodrum", MaxRequestBodySize: auxiliaryBodyBytes, ReadTimeout: auxiliaryReadTimeout,
		WriteTimeout: auxiliaryWriteTimeout, IdleTimeout: auxiliaryIdleTimeout, Logger: discardLogger{},
	}
}
