package instance

import (
	"context"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
)

// callTimeout bounds a call to another instance. It is longer than a journal
// flush to a slow store and shorter than an operator's patience.
const callTimeout = 5 * time.Second

// waitTable matches answers to the calls that wait for them.
type waitTable[T any] struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan T
}

func (t *waitTable[T]) open() (uint64, chan T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]chan T{}
	}
	t.next++
	answer := make(chan T, 1)
	t.waiting[t.next] = answer
	return t.next, answer
}

func (t *waitTable[T]) close(ref uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ref)
}

// deliver hands an answer to the call that waits for it; a late or doubled
// one is dropped.
func (t *waitTable[T]) deliver(ref uint64, answer T) {
	t.mu.Lock()
	waiting := t.waiting[ref]
	delete(t.waiting, ref)
	t.mu.Unlock()
	if waiting != nil {
		waiting <- answer
	}
}

// callTable carries calls to other instances.
type callTable struct {
	send  func(structs.InstanceID, peer.Message) bool
	table waitTable[peer.Reply]
}

// call sends call to a peer and waits for its reply. Without a reply the
// outcome is unknown.
func (t *callTable) call(ctx context.Context, to structs.InstanceID, call peer.Call) ([]byte, error) {
	body, err := peer.Encode(call)
	if err != nil {
		return nil, err
	}
	ref, reply := t.table.open()
	defer t.table.close(ref)
	if !t.send(to, peer.Message{Kind: peer.KindCall, CallID: ref, Body: body}) {
		return nil, errs.New(errs.NotRun, "try again in a few seconds", "instance %q is not connected", to)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case r := <-reply:
		return r.Body, r.Err()
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.OutcomeUnknown,
			"check the state, or send the same identifier again", "no reply from instance %q to %q", to, call.Method)
	}
}
