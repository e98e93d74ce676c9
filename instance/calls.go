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

// callTable matches replies of peers to the calls that wait for them.
type callTable struct {
	send func(structs.InstanceID, peer.Message) bool

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan peer.Reply
}

func newCallTable(send func(structs.InstanceID, peer.Message) bool) *callTable {
	return &callTable{send: send, waiting: map[uint64]chan peer.Reply{}}
}

// call sends call to a peer and waits for its reply. Without a reply the
// outcome is unknown.
func (t *callTable) call(ctx context.Context, to structs.InstanceID, call peer.Call) ([]byte, error) {
	body, err := peer.Encode(call)
	if err != nil {
		return nil, err
	}
	ref, reply := t.open()
	defer t.close(ref)
	if !t.send(to, peer.Message{Kind: peer.KindCall, Ref: ref, Body: body}) {
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

func (t *callTable) open() (uint64, chan peer.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	reply := make(chan peer.Reply, 1)
	t.waiting[t.next] = reply
	return t.next, reply
}

func (t *callTable) close(ref uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ref)
}

// deliver hands a reply to the call that waits for it; a late or doubled one
// is dropped.
func (t *callTable) deliver(ref uint64, reply peer.Reply) {
	t.mu.Lock()
	waiting := t.waiting[ref]
	delete(t.waiting, ref)
	t.mu.Unlock()
	if waiting != nil {
		waiting <- reply
	}
}
