package instance

import (
	"context"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/scheduler"
)

// replyTable matches replies of a shard's scheduler to the calls that wait.
type replyTable struct{ table waitTable[scheduler.Reply] }

// call posts an event under a new call number and waits for its reply.
func (t *replyTable) call(ctx context.Context, post func(scheduler.CallID)) (scheduler.Reply, error) {
	ref, reply := t.table.open()
	defer t.table.close(ref)
	post(scheduler.CallID(ref))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case r := <-reply:
		return r, r.Err
	case <-ctx.Done():
		return scheduler.Reply{}, errs.Wrap(ctx.Err(), errs.OutcomeUnknown,
			"check the state, or send the same identifier again", "the change is not confirmed as durable")
	}
}

func (t *replyTable) deliver(ref uint64, reply scheduler.Reply) { t.table.deliver(ref, reply) }
