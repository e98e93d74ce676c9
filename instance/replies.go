package instance

import (
	"context"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/scheduler"
)

// schedulerCalls waits for the replies of shards' schedulers at this instance.
type schedulerCalls struct{ pending pendingCalls[scheduler.Reply] }

// call passes a new call identifier to post, which posts the event, and waits
// for the reply. Without a reply it returns an error of kind
// errs.OutcomeUnknown.
func (t *schedulerCalls) call(ctx context.Context, post func(scheduler.CallID)) (scheduler.Reply, error) {
	ref, reply := t.pending.open()
	defer t.pending.close(ref)
	post(scheduler.CallID(ref))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case r := <-reply:
		return r, r.Err
	case <-ctx.Done():
		return scheduler.Reply{}, errs.Wrap(ctx.Err(), errs.OutcomeUnknown,
			"check the state, or send the same identifier again", "the change was not confirmed as durable in time")
	}
}

func (t *schedulerCalls) deliver(ref uint64, reply scheduler.Reply) { t.pending.deliver(ref, reply) }
