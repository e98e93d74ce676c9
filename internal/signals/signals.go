// Package signals receives the signals of a daemon. From the first call of Receive to the
// end of the process no handled signal has its default action, which would end the process
// and cut the requests that it is answering.
package signals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Received holds the signals that the process gets.
type Received struct {
	// Stop ends with the first SIGINT or SIGTERM.
	Stop context.Context
	// Interrupted gets a SIGINT that follows, from an operator who does not want to wait. A
	// repeated SIGTERM says nothing new.
	Interrupted <-chan os.Signal
	// Hangups gets SIGHUP. One that comes before it is read from is kept.
	Hangups <-chan os.Signal
}

// Receive starts to receive the signals of the process and returns them. Later calls
// return the same.
var Receive = sync.OnceValue(func() *Received {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a write to a closed log fails, and ends nothing
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	interrupted := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stops
		cancel()
		for s := range stops {
			if s == syscall.SIGINT {
				interrupted <- s
				return
			}
		}
	}()
	return &Received{Stop: ctx, Interrupted: interrupted, Hangups: hangups}
})
