package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// panickingDispatcher panics on events of one kind and counts the calls after that.
type panickingDispatcher struct {
	kind     string
	panicked bool
	after    int
}

func (d *panickingDispatcher) Reduce(_ structs.Timestamp, event structs.Event) []structs.Effect {
	if d.panicked {
		d.after++
	}
	if event.Kind() == d.kind {
		d.panicked = true
		panic("injected")
	}
	return nil
}
func (d *panickingDispatcher) PlaceTasks(now structs.Timestamp) []structs.Effect {
	return d.Reduce(now, placementEvent{})
}
func (d *panickingDispatcher) Recover([]tablestore.Row, structs.Timestamp) error { return nil }
func (d *panickingDispatcher) NeedsCommit() bool                                 { return false }
func (d *panickingDispatcher) ConfirmLeadership(structs.Timestamp)               {}
func (d *panickingDispatcher) SetStoreClockAhead(time.Duration)                  {}
func (d *panickingDispatcher) State(structs.JobID) (workflow.State, bool)        { return "", false }
func (d *panickingDispatcher) IsPending(structs.JobID) bool                      { return false }
func (d *panickingDispatcher) WaitingJobs(string) int                            { return 0 }
func (d *panickingDispatcher) NextCommit(now structs.Timestamp) (dispatch.Commit, error) {
	d.Reduce(now, commitEvent{})
	return dispatch.Commit{}, nil
}

// placementEvent and commitEvent stand for the calls of a dispatcher that are not
// events.
type (
	placementEvent struct{}
	commitEvent    struct{}
)

func (placementEvent) Kind() string { return "placement" }
func (commitEvent) Kind() string    { return "commit" }

// newTestLeader returns a leader whose dispatcher panics on events of one kind.
func newTestLeader(t *testing.T, kind string) (*leader, *panickingDispatcher) {
	t.Helper()
	i := New(Options{ID: "self", StopGrace: 6 * time.Second, Logger: hclog.NewNullLogger(), Store: &refusingStore{}})
	t.Cleanup(func() { i.cancel(); i.transport.Close() })
	d := &panickingDispatcher{kind: kind}
	l := newLeader(i, claimedRow{row: leadership.Row{Epoch: 1}})
	l.dispatcher = d
	if !i.setLeader(l, i.options.ID, 1) {
		t.Fatal("the leader is not known to its instance")
	}
	return l, d
}

// TestPanicEndsLeadershipOnly guards against an instance that is lost for the cell
// after a panic in the decisions of its leader. The panic ended the goroutine of the
// election without a trace; the instance still took itself for the leader, answered
// no call and never led again. After a panic nothing may be decided on the
// half-changed state, and the instance must be able to follow.
func TestPanicEndsLeadershipOnly(t *testing.T) {
	events := []structs.Event{
		dispatch.SubmitJob{}, dispatch.CancelJob{}, dispatch.WorkerListed{}, dispatch.WorkerUnlisted{},
		dispatch.LeaseAnswered{}, dispatch.StartAnswered{}, dispatch.StopAnswered{}, dispatch.AdviceAnswered{},
		dispatch.InstancesConnected{}, dispatch.LeadershipEnded{}, dispatch.StoreHealth{}, dispatch.Committed{}, dispatch.Tick{},
		placementEvent{}, commitEvent{},
	}
	for _, event := range events {
		t.Run(event.Kind(), func(t *testing.T) {
			l, d := newTestLeader(t, event.Kind())
			waiting := make(chan dispatch.Reply, 1)
			l.replies[1] = waiting
			ran := make(chan struct{})
			go func() { l.run(); l.end(); close(ran) }()
			l.post(event)
			select {
			case <-ran:
			case <-time.After(5 * time.Second):
				t.Fatal("the leadership has not ended after 5 s")
			}
			if !d.panicked || d.after != 0 {
				t.Errorf("panicked: %t, calls of the dispatcher after that: %d, want none", d.panicked, d.after)
			}
			if r := <-waiting; r.Verdict != dispatch.Unknown {
				t.Errorf("a waiting call got %q, want unknown, so that it is repeated at the next leader", r.Verdict)
			}
			if local, remote, _ := l.instance.currentLeader(); local != nil || remote != "" {
				t.Error("the instance still takes itself for the leader")
			}
		})
	}
}

// TestPoisonedCallIsAnswered guards against a call that makes one leader after the
// other panic, because its instance repeats it at the next leader.
func TestPoisonedCallIsAnswered(t *testing.T) {
	l, _ := newTestLeader(t, dispatch.SubmitJob{}.Kind())
	ran := make(chan struct{})
	go func() { l.run(); l.end(); close(ran) }()
	reply := l.handleJobCall(methodSubmit, jobCall{ID: "j", Job: &workflow.Job{}, Queue: &workflow.Queue{}}, 5*time.Second)
	if reply.Verdict != dispatch.InternalError || reply.NotLeader {
		t.Errorf("reply %+v, want an internal error", reply)
	}
	<-ran
}

// TestHandlerPanicIsAnswered guards against one request that ends the process, since
// the HTTP server does not catch panics of its handlers.
func TestHandlerPanicIsAnswered(t *testing.T) {
	l, _ := newTestLeader(t, "")
	defer l.end()
	var ctx fasthttp.RequestCtx
	l.instance.handler("request", func(*fasthttp.RequestCtx) { panic("injected") })(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusInternalServerError {
		t.Errorf("status %d, want 500", ctx.Response.StatusCode())
	}
}

// TestRandomPeerMessages guards against a panic on messages that another build or a
// stranger sends: random bodies of every kind.
func TestRandomPeerMessages(t *testing.T) {
	l, _ := newTestLeader(t, "")
	defer l.end()
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 20_000 {
		body := make([]byte, rng.IntN(40))
		for k := range body {
			body[k] = byte(rng.Uint32())
		}
		m := peer.Message{From: "x", Kind: peer.Kind(rng.IntN(10)), CallID: uint64(n), Body: body}
		if m.Kind == peer.KindCall {
			m.Body, _ = peer.Encode(peer.Call{Method: []string{methodAdvise, methodStore, "other"}[rng.IntN(3)], Body: body})
		}
		l.instance.receive(m)
	}
}
