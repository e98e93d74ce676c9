package instance

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// tickInterval is the journal's flush interval, the shortest period that
	// the reducer needs.
	tickInterval = 50 * time.Millisecond
	// inboxSize lets bursts of results queue without blocking their senders.
	inboxSize = 4096
)

// message is one entry of the inbox: an event, or a function that reads the
// state between two events.
type message struct {
	event structs.Event
	query func(now structs.Timestamp, state *core.State)
	done  chan struct{}
}

// loop owns the reducer's state until ctx ends.
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
			i.handle(m)
		}
	}
}

func (i *Instance) handle(m message) {
	if m.query == nil {
		i.reduce(m.event)
		return
	}
	m.query(i.now(), i.state)
	close(m.done)
}

func (i *Instance) reduce(event structs.Event) {
	i.counters.Event(event)
	effects := i.state.Reduce(i.now(), event)
	for _, effect := range effects {
		i.counters.Effect(effect)
		i.perform(effect)
	}
}

// post queues an event for the reducer. It drops the event if the instance
// has stopped.
func (i *Instance) post(event structs.Event) {
	select {
	case i.inbox <- message{event: event}:
	case <-i.stopped:
	}
}

// tryPost queues an event unless the inbox is full. It is for messages that may
// be lost and that the loop itself can cause: post would block the loop.
func (i *Instance) tryPost(event structs.Event) {
	select {
	case i.inbox <- message{event: event}:
	default:
		i.metrics.dropped.Inc()
	}
}

// query runs f between two events. It returns false if the loop has ended. It
// does not return while f may still run, so f can write to the caller's
// variables.
func (i *Instance) query(f func(now structs.Timestamp, state *core.State)) bool {
	m := message{query: f, done: make(chan struct{})}
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
