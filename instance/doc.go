// Package instance is the shell around the reducer: it turns the network, the
// platform and the clock into events and carries out the reducer's effects.
//
// One goroutine owns the reducer's state. Everything else reaches it through
// the inbox, and no effect blocks that goroutine.
package instance
