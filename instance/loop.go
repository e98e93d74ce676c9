package instance

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// tickInterval is the period of core.Tick. It equals the journal's flush
	// interval, which is the shortest period in the reducer.
	tickInterval = 50 * time.Millisecond
	// inboxSize is large enough for bursts of results to queue without
	// blocking the goroutines that post them.
	inboxSize = 4096
)

// message is one entry of the inbox: an event, or a function that the event
// loop runs between two events and that reads the state.
type message struct {
	event structs.Event
	read  func(now structs.Timestamp, state *core.State)
	done  chan struct{} // closed when read has returned
}

// loop is the event loop: it handles messages and ticks until ctx is done. No
// other goroutine accesses the reducer's state.
func (i *Instance) loop(ctx context.Context) {
	defer close(i.loopEnded)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.reduce(core.Tick{})
		case m := <-i.inbox:
			i.handleMessage(m)
		}
	}
}

func (i *Instance) handleMessage(m message) {
	if m.read == nil {
		i.reduce(m.event)
		return
	}
	m.read(i.now(), i.state)
	close(m.done)
}

// reduce passes an event to the reducer and carries out the effects.
func (i *Instance) reduce(event structs.Event) {
	i.reducerMetrics.CountEvent(event)
	effects := i.state.Reduce(i.now(), event)
	for _, effect := range effects {
		i.reducerMetrics.CountEffect(effect)
		i.performEffect(effect)
	}
}

// post queues an event for the reducer and blocks while the inbox is full. It
// drops the event if the instance has stopped.
func (i *Instance) post(event structs.Event) {
	select {
	case i.inbox <- message{event: event}:
	case <-i.stopped:
	}
}

// tryPost queues an event, or drops it if the inbox is full. It is for messages
// that may be lost and that the event loop itself can cause: the loop would
// block forever in post if the inbox were full.
func (i *Instance) tryPost(event structs.Event) {
	select {
	case i.inbox <- message{event: event}:
	default:
		i.metrics.droppedMessages.Inc()
	}
}

// readState runs f in the event loop, between two events. It returns false if
// the loop has ended. It does not return while f may still run, so f can write
// to the caller's variables.
func (i *Instance) readState(f func(now structs.Timestamp, state *core.State)) bool {
	m := message{read: f, done: make(chan struct{})}
	select {
	case i.inbox <- m:
	case <-i.loopEnded:
		return false
	}
	select {
	case <-m.done:
		return true
	case <-i.loopEnded:
		return false
	}
}

func (i *Instance) now() structs.Timestamp { return structs.TimestampOf(time.Now()) }
