package instance

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/provider/standin"
)

// Guards against a deadlock of the event loop: a credit grant that the loop
// delivers can cause a credit request, and posting it blocked the loop when
// its inbox was full.
func TestCreditsDoNotBlockTheLoop(t *testing.T) {
	i := &Instance{inbox: make(chan message, 1), metrics: newInstanceMetrics(metrics.NewSet()), stopped: make(chan struct{})}
	i.post(core.Tick{})
	i.requestCredits(credits.Message{Region: "north"}) // nothing reads the inbox
	if got := i.metrics.droppedMessages.Get(); got != 1 {
		t.Errorf("%d messages dropped, want 1", got)
	}
}

// Guards against a late or duplicate reply that is delivered to another call.
func TestRepliesMatchTheirCalls(t *testing.T) {
	var pending pendingCalls[peer.Reply]
	first, firstReply := pending.open()
	second, secondReply := pending.open()
	pending.deliver(second, peer.Reply{Message: "second"})
	pending.deliver(second, peer.Reply{Message: "doubled"})
	pending.close(first)
	pending.deliver(first, peer.Reply{Message: "late"})
	if got := <-secondReply; got.Message != "second" {
		t.Errorf("second call got %q", got.Message)
	}
	select {
	case got := <-firstReply:
		t.Errorf("closed call got %q", got.Message)
	default:
	}
}

// Guards against reporting a call without a reply as not run, although the
// peer may have carried it out.
func TestCallWithoutReplyHasUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := &peerCalls{send: func(structs.InstanceID, peer.Message) bool { cancel(); return true }}
	if _, err := calls.call(ctx, "peer", peer.Call{Method: methodSubmit}); !errs.Is(err, errs.OutcomeUnknown) {
		t.Errorf("call without a reply: %v", err)
	}
	calls.send = func(structs.InstanceID, peer.Message) bool { return false }
	if _, err := calls.call(context.Background(), "peer", peer.Call{}); !errs.Is(err, errs.NotRun) {
		t.Errorf("call that was not sent: %v", err)
	}
}

// slowWorkers passes each call's batch to the test and returns when the test
// releases the call.
type slowWorkers struct {
	calls   chan provider.WorkerBatch
	release chan struct{}
}

func (w *slowWorkers) Do(
	_ context.Context, worker structs.Worker, batch provider.WorkerBatch,
) (provider.WorkerReport, error) {
	w.calls <- batch
	<-w.release
	return provider.WorkerReport{Worker: worker.ID}, nil
}

// Guards against commands for one worker that are sent out of order, and
// against commands that are lost because they are queued during a call.
func TestWorkerDispatcherMergesInOrder(t *testing.T) {
	workers := &slowWorkers{calls: make(chan provider.WorkerBatch), release: make(chan struct{})}
	done := make(chan structs.WorkerID, 10)
	d := newWorkerDispatcher(context.Background(), workers,
		func(_ structs.ShardID, id structs.WorkerID, _ provider.WorkerReport, _ error) { done <- id })
	ref := func(task structs.TaskID) provider.WorkerBatch {
		return provider.WorkerBatch{Stops: []provider.AttemptRef{{Task: task, Attempt: 1}}}
	}
	worker := structs.Worker{ID: "w"}
	d.send("s", worker, ref("a"))
	if first := <-workers.calls; len(first.Stops) != 1 || first.Stops[0].Task != "a" {
		t.Fatalf("first call %+v", first)
	}
	d.send("s", worker, ref("b"))
	d.send("s", worker, ref("c"))
	workers.release <- struct{}{}
	second := <-workers.calls
	if len(second.Stops) != 2 || second.Stops[0].Task != "b" || second.Stops[1].Task != "c" {
		t.Errorf("second call %+v, want b and c in order", second)
	}
	workers.release <- struct{}{}
	d.wait()
	if len(done) != 2 {
		t.Errorf("%d results, want 2", len(done))
	}
}

// Guards against an unbounded number of team labels in the metrics.
func TestTeamLabelsAreBounded(t *testing.T) {
	m := newInstanceMetrics(metrics.NewSet())
	for n := range 2 * maxTeamLabels {
		m.observeWait(structs.TeamID("/"+string(rune('a'+n%26))+string(rune('a'+n/26))), "urgent", time.Second)
	}
	if got := len(m.teamLabels); got != maxTeamLabels {
		t.Errorf("%d team labels, want %d", got, maxTeamLabels)
	}
}

// Guards against a process that hangs when it is stopped before its servers
// have begun to serve: shutting down such a server has no effect.
func TestStopDuringStart(t *testing.T) {
	for range 20 {
		store := standin.NewStore()
		listeners := make([]net.Listener, 3)
		for n := range listeners {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listeners[n] = listener
		}
		i := New(Options{
			Info:  structs.InstanceInfo{ID: "i", Location: structs.Location{Region: "north"}, State: structs.Live},
			Table: store, Objects: store.Objects(), Directory: standin.NewDirectory(nil, nil),
			Workers:        standin.NewPool(func() structs.Timestamp { return 0 }, nil),
			CallerListener: listeners[0], OperatorListener: listeners[1], PeerListener: listeners[2],
			Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := i.Run(ctx); err != nil {
			t.Fatalf("stop during startup: %v", err)
		}
	}
}
