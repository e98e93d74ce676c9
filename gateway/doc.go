// Package gateway executes the effects of package router: it accepts callers'
// connections, forwards requests to executors over HTTP/1.1, streams the
// responses back and writes claims to the platform's table.
//
// One mutex guards the router's state. Effects are executed while it is held
// and never block. Blocking work runs in the goroutine of the caller's
// connection, in the goroutine of a hedge or in a background loop.
package gateway
