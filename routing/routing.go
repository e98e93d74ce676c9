// Package routing finds the queue of a caller's request in the operators'
// configuration. It has no I/O.
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
	Timeout time.Duration // longest time for one answer
	Queue   workflow.Queue
}

// Table is one version of the operators' configuration.
type Table struct {
	Version uint64
	Routes  []Route
	MaxBody int // bytes of a caller's request
}

// Find returns the route with the longest prefix of path for host, and the
// rest of the path behind the prefix.
func (t *Table) Find(host, path string) (*Route, string) {
	var found *Route
	for n := range t.Routes {
		route := &t.Routes[n]
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
