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
// flush to a slow store and short enough for an operator who waits.
const callTimeout = 5 * time.Second

// pendingCalls matches replies to the calls that wait for them, by a reference
// number that no other table has, nor that of an earlier process.
type pendingCalls[T any] struct {
	mu      sync.Mutex
	ids     peer.CallIDs
	replies map[uint64]chan T
}

// open registers a call and returns its reference number and the channel that
// receives its reply.
func (t *pendingCalls[T]) open() (uint64, chan T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replies == nil {
		t.replies = map[uint64]chan T{}
	}
	ref := t.ids.Next()
	reply := make(chan T, 1)
	t.replies[ref] = reply
	return ref, reply
}

// close ends a call; replies to it are dropped from then on.
func (t *pendingCalls[T]) close(ref uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.replies, ref)
}

// deliver passes a reply to the call that waits for it. Late and duplicate
// replies are dropped. It returns false for a reply to a call of an earlier process.
func (t *pendingCalls[T]) deliver(ref uint64, reply T) bool {
	t.mu.Lock()
	own := t.ids.IsOwn(ref)
	replyChan := t.replies[ref]
	delete(t.replies, ref)
	t.mu.Unlock()
	if replyChan != nil {
		replyChan <- reply
	}
	return own
}

// peerCalls sends calls to other instances and waits for the replies.
type peerCalls struct {
	send    func(structs.InstanceID, peer.Message) bool
	pending pendingCalls[peer.Reply]
}

// call sends a call to a peer and waits for its reply. If no reply arrives, it
// returns an error of kind errs.OutcomeUnknown, because the peer may have
// carried out the call.
func (t *peerCalls) call(ctx context.Context, to structs.InstanceID, call peer.Call) ([]byte, error) {
	body, err := peer.Encode(call)
	if err != nil {
		return nil, err
	}
	ref, reply := t.pending.open()
	defer t.pending.close(ref)
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
