// Package gateway carries out the effects of package router: it listens for
// callers, sends requests to executors over HTTP/1.1, streams the answers
// back and writes claims to the platform's table.
//
// The router's state is guarded by one mutex. Effects are carried out while
// it is held and never block; everything that blocks runs in the goroutine of
// the caller's connection or in one of the gateway's few background loops.
package gateway
