package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestPausedLeaderDeniesNoJob guards against a leader that was paused, was replaced
// meanwhile, and tells a caller that a job does not exist which its successor has
// accepted. Until a commit proves its leadership again, it must not deny a job.
func TestPausedLeaderDeniesNoJob(t *testing.T) {
	l, _ := newTestLeader(t, "")
	defer l.end()
	ask := func(method string) jobReply {
		result, reply := make(chan jobReply, 1), make(chan dispatch.Reply, 1)
		l.processJobCall(method, jobCall{ID: "unknown"}, result, reply)
		select {
		case r := <-result:
			return r
		default:
			return jobReply{} // registered with the dispatcher, which answers
		}
	}
	l.confirmedAt = l.now()
	for _, method := range []string{methodState, methodCancel} {
		if r := ask(method); r.NotLeader {
			t.Errorf("%s: a confirmed leader gave no answer", method)
		}
	}
	for _, pause := range []time.Duration{leadership.MinUnchangedTime, time.Second, 30 * time.Second} {
		l.confirmedAt = l.now().Add(-pause)
		for _, method := range []string{methodState, methodCancel} {
			if r := ask(method); !r.NotLeader {
				t.Errorf("%s after a pause of %s: %+v, want no answer of this leader", method, pause, r)
			}
		}
	}
}

// TestUnusableAnswerIsNotCalledNotRun guards against telling a caller that its job
// was not accepted when the leader has answered and the answer was lost or could not
// be decoded, as from another build.
func TestUnusableAnswerIsNotCalledNotRun(t *testing.T) {
	for _, test := range []struct {
		err   error
		reply jobReply
		want  bool
	}{
		{errs.New(errs.NotRun, "", "not connected"), jobReply{}, false},
		{errs.New(errs.OutcomeUnknown, "", "no answer"), jobReply{}, true},
		{errs.New(errs.InvalidInput, "", "the reply cannot be decoded"), jobReply{}, true},
		{nil, jobReply{NotLeader: true}, false},
		{nil, jobReply{Verdict: dispatch.Unknown}, true},
	} {
		if got := mayHaveRun(test.err, test.reply); got != test.want {
			t.Errorf("error %v, reply %+v: may have run %t, want %t", test.err, test.reply, got, test.want)
		}
	}
}

// stubCodec decodes every job as the same one.
type stubCodec struct {
	Codec
	job workflow.Job
}

func (c stubCodec) DecodeJob(string, []byte) (workflow.Job, error) { return c.job, nil }

// TestJobTooLargeIsAnsweredAtOnce guards against a caller that sends a job which can never
// be stored again and again: it has to be told that the job is too large.
func TestJobTooLargeIsAnsweredAtOnce(t *testing.T) {
	i := New(Options{ID: "self", Logger: hclog.NewNullLogger(), Codec: stubCodec{job: workflow.Job{ID: "0", Spec: strings.Repeat("s", 100_000)}}})
	t.Cleanup(func() { i.cancel(); i.transport.Close() })
	i.config.current.Store(&routing.Config{})
	var ctx fasthttp.RequestCtx
	i.serveSubmit(&ctx, &routing.Route{}, "0")
	if ctx.Response.StatusCode() != fasthttp.StatusRequestEntityTooLarge || !strings.Contains(string(ctx.Response.Body()), "at most") {
		t.Errorf("status %d, body %q, want 413 with the limit", ctx.Response.StatusCode(), ctx.Response.Body())
	}
}
