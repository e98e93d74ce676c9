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

// Guards against a loop that blocks on its own inbox when a grant causes a
// request for credits while the inbox is full.
func TestCreditsDoNotBlockTheLoop(t *testing.T) {
	i := &Instance{inbox: make(chan message, 1), metrics: newInstruments(metrics.NewSet()), stopped: make(chan struct{})}
	i.post(core.Tick{})
	i.requestCredits(credits.Message{Region: "north"}) // nothing reads the inbox
	if got := i.metrics.dropped.Get(); got != 1 {
		t.Errorf("%d messages dropped, want 1", got)
	}
}

// Guards against a late or doubled reply that reaches another call.
func TestRepliesMatchTheirCalls(t *testing.T) {
	var table waitTable[peer.Reply]
	first, firstReply := table.open()
	second, secondReply := table.open()
	table.deliver(second, peer.Reply{Message: "second"})
	table.deliver(second, peer.Reply{Message: "doubled"})
	table.close(first)
	table.deliver(first, peer.Reply{Message: "late"})
	if got := <-secondReply; got.Message != "second" {
		t.Errorf("second call got %q", got.Message)
	}
	select {
	case got := <-firstReply:
		t.Errorf("closed call got %q", got.Message)
	default:
	}
}

// Guards against a call without a reply that is reported as not run.
func TestCallWithoutReplyIsOfUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	table := &callTable{send: func(structs.InstanceID, peer.Message) bool { cancel(); return true }}
	if _, err := table.call(ctx, "peer", peer.Call{Method: methodSubmit}); !errs.Is(err, errs.OutcomeUnknown) {
		t.Errorf("call without a reply: %v", err)
	}
	table.send = func(structs.InstanceID, peer.Message) bool { return false }
	if _, err := table.call(context.Background(), "peer", peer.Call{}); !errs.Is(err, errs.NotRun) {
		t.Errorf("call that was not sent: %v", err)
	}
}

// slowWorkers lets a test decide when calls return.
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

// Guards against commands for one worker that overtake each other, and against
// commands that are lost while a call runs.
func TestDispatcherKeepsOrderAndMerges(t *testing.T) {
	workers := &slowWorkers{calls: make(chan provider.WorkerBatch), release: make(chan struct{})}
	done := make(chan structs.WorkerID, 10)
	d := newDispatcher(context.Background(), workers,
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
		t.Errorf("%d answers, want 2", len(done))
	}
}

// Guards against team labels that grow without bound.
func TestTeamLabelsAreBounded(t *testing.T) {
	m := newInstruments(metrics.NewSet())
	for n := range 2 * maxTeamLabels {
		m.observeWait(structs.TeamID("/"+string(rune('a'+n%26))+string(rune('a'+n/26))), "urgent", time.Second)
	}
	if got := len(m.teams); got != maxTeamLabels {
		t.Errorf("%d team labels, want %d", got, maxTeamLabels)
	}
}

// Guards against a process that hangs because it was told to stop before its
// servers had begun to serve: their shutdown then has no effect.
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
			Workers: standin.NewPool(func() structs.Timestamp { return 0 }, nil),
			Callers: listeners[0], Operators: listeners[1], Peers: listeners[2],
			Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := i.Run(ctx); err != nil {
			t.Fatalf("stop during the start: %v", err)
		}
	}
}
