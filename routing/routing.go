// Package routing finds the queue for a caller's request in the operators'
// configuration. It does no I/O.
package routing

import (
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/workflow"
)

// Route sends the requests of a host and path prefix to a queue.
type Route struct {
	Host    string
	Prefix  string
	Timeout time.Duration // maximum time to answer a request; 0: no limit
	Queue   workflow.Queue
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	MaxBody int // maximum size of a request body in bytes
}

// Find returns the route for host with the longest matching path prefix, and the
// rest of the path after the prefix. It returns nil if no route matches.
func (c *Config) Find(host, path string) (*Route, string) {
	var found *Route
	for n := range c.Routes {
		route := &c.Routes[n]
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if found == nil || len(route.Prefix) > len(found.Prefix) {
			found = route
		}
	}
	if found == nil {
		return nil, ""
	}
	return found, path[len(found.Prefix):]
}
