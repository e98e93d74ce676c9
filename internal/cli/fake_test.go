package cli

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/examples"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// fakeBackend is a backend with the settings of the bureau example in a real
// settings store, and with fixed workers and instances. Methods that no test
// calls panic.
type fakeBackend struct {
	operatorapi.Backend
	store *settings.Store

	mu       sync.Mutex
	jobs     map[structs.JobID]structs.Job
	lag      int // number of status calls that report instance b one version behind
	applyErr error
}

func newFakeBackend(t *testing.T) *fakeBackend {
	t.Helper()
	table := standin.NewStore()
	store := settings.NewStore(table, table.Objects(), func() structs.Timestamp { return 1e18 }, nil)
	tree, err := examples.Settings("bureau")
	if err != nil {
		t.Fatal(err)
	}
	first := settings.Commit{Author: "setup", Reason: "first", ChangeID: "first", Tree: tree}
	if _, err := store.Commit(context.Background(), first); err != nil {
		t.Fatal(err)
	}
	return &fakeBackend{store: store, jobs: map[structs.JobID]structs.Job{}}
}

func (f *fakeBackend) Version(context.Context) (operatorapi.VersionInfo, error) {
	return operatorapi.VersionInfo{Version: "v9", Go: "go1", Instance: "a", SettingsVersion: 1}, nil
}

func (f *fakeBackend) Settings(ctx context.Context, q operatorapi.SettingsQuery) (operatorapi.SettingsResponse, error) {
	if q.Version == 0 {
		head, err := f.store.Head(ctx)
		if err != nil {
			return operatorapi.SettingsResponse{}, err
		}
		q.Version = head.Number
	}
	version, err := f.store.Version(ctx, q.Version)
	if err != nil {
		return operatorapi.SettingsResponse{}, err
	}
	tree, err := f.store.Load(ctx, q.Version)
	if err != nil {
		return operatorapi.SettingsResponse{}, err
	}
	reply := operatorapi.SettingsResponse{Version: version, Path: q.Path}
	if q.Path == "" {
		reply.YAML = string(tree.Encode())
		return reply, nil
	}
	if _, err := tree.Resolve(q.Path); err != nil {
		return operatorapi.SettingsResponse{}, err
	}
	reply.Fields = tree.ResolveFields(q.Path)
	return reply, nil
}

func (f *fakeBackend) ApplySettings(ctx context.Context, r operatorapi.ApplyRequest) (operatorapi.ApplyResponse, error) {
	if f.applyErr != nil {
		return operatorapi.ApplyResponse{}, f.applyErr
	}
	head, err := f.store.Head(ctx)
	if err != nil {
		return operatorapi.ApplyResponse{}, err
	}
	old, err := f.store.Load(ctx, head.Number)
	if err != nil {
		return operatorapi.ApplyResponse{}, err
	}
	if r.RollbackTo != 0 {
		version, err := f.store.Rollback(ctx, r.RollbackTo, settings.Commit{Base: r.BaseVersion, Author: r.Author, Reason: r.Reason, ChangeID: r.ChangeID})
		return operatorapi.ApplyResponse{Version: version}, err
	}
	tree, err := settings.Decode("request", []byte(r.YAML))
	if err != nil {
		return operatorapi.ApplyResponse{}, err
	}
	reply := operatorapi.ApplyResponse{Impact: settings.ImpactOf(old, tree, nil), DryRun: r.DryRun}
	if r.DryRun {
		return reply, nil
	}
	commit := settings.Commit{Base: r.BaseVersion, Author: r.Author, Reason: r.Reason, ChangeID: r.ChangeID, Tree: tree}
	reply.Version, err = f.store.Commit(ctx, commit)
	return reply, err
}

func (f *fakeBackend) SettingsHistory(ctx context.Context, q operatorapi.HistoryQuery) (operatorapi.HistoryResponse, error) {
	versions, err := f.store.History(ctx, q.BeforeVersion, q.Limit)
	return operatorapi.HistoryResponse{Versions: versions}, err
}

func (f *fakeBackend) SettingsStatus(ctx context.Context) (operatorapi.SettingsStatus, error) {
	head, err := f.store.Head(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	laggingVersion := head.Number
	if f.lag > 0 {
		f.lag--
		laggingVersion--
	}
	return operatorapi.SettingsStatus{LatestKnownVersion: head.Number, Instances: []operatorapi.InstanceSettings{
		{Instance: "a", Version: head.Number, Health: operatorapi.InstanceLive},
		{Instance: "b", Version: laggingVersion, Health: operatorapi.InstanceSuspect},
		{Instance: "dead", Version: 0, Health: operatorapi.InstanceDead},
	}}, err
}

func (f *fakeBackend) SubmitJob(_ context.Context, job structs.Job) (operatorapi.JobStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.jobs[job.ID]; ok && old.Count != job.Count {
		return operatorapi.JobStatus{}, errs.New(errs.Conflict, "use another identifier", "job %s exists", job.ID)
	}
	f.jobs[job.ID] = job
	return operatorapi.JobStatus{Job: job, Shard: "s1", Tasks: operatorapi.TaskCounts{Pending: job.Count}}, nil
}

// Jobs returns one job per page to test paging.
func (f *fakeBackend) Jobs(_ context.Context, q operatorapi.JobQuery) (operatorapi.JobList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next structs.JobID
	for id := range f.jobs {
		if id > q.After && (next == "" || id < next) {
			next = id
		}
	}
	if next == "" {
		return operatorapi.JobList{}, nil
	}
	return operatorapi.JobList{Jobs: []operatorapi.JobStatus{{Job: f.jobs[next]}}, Next: next}, nil
}

func (f *fakeBackend) Job(_ context.Context, id structs.JobID) (operatorapi.JobDetail, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job, ok := f.jobs[id]
	if !ok {
		return operatorapi.JobDetail{}, errs.New(errs.NotFound, "list the jobs with: mangodrum job list", "job %q does not exist", id)
	}
	task := structs.Task{ID: structs.TaskIDFor(id, 0), State: structs.TaskRunning, Worker: "w1"}
	return operatorapi.JobDetail{JobStatus: operatorapi.JobStatus{Job: job}, TaskList: []structs.Task{task}}, nil
}

func (f *fakeBackend) CancelJob(ctx context.Context, id structs.JobID) (operatorapi.JobStatus, error) {
	detail, err := f.Job(ctx, id)
	return detail.JobStatus, err
}

func (f *fakeBackend) ExplainJob(_ context.Context, id structs.JobID) (operatorapi.JobExplanation, error) {
	return operatorapi.JobExplanation{Job: id, State: "pending", Summary: "no worker is large enough", Remedy: "lower the request",
		Reasons: []operatorapi.ReasonCount{{Reason: "too little memory", Workers: 50}}}, nil
}

func (f *fakeBackend) Workers(context.Context) (operatorapi.WorkerList, error) {
	workers, _, _, err := examples.Cell("bureau")
	list := operatorapi.WorkerList{}
	for _, w := range workers {
		list.Workers = append(list.Workers, operatorapi.WorkerStatus{Worker: w})
	}
	return list, err
}

func (f *fakeBackend) ActOnWorker(_ context.Context, id structs.WorkerID, action operatorapi.WorkerAction) (operatorapi.WorkerStatus, error) {
	return operatorapi.WorkerStatus{Worker: structs.Worker{ID: id, State: structs.Live}, Draining: action == operatorapi.WorkerDrain}, nil
}

func (f *fakeBackend) Instances(context.Context) (operatorapi.InstanceList, error) {
	info := structs.InstanceInfo{ID: "a"}
	return operatorapi.InstanceList{Instances: []operatorapi.InstanceStatus{{Info: info, Health: operatorapi.InstanceLive, Shards: []structs.ShardID{"s1", "s2"}}}}, nil
}

func (f *fakeBackend) DrainInstance(_ context.Context, id structs.InstanceID) (operatorapi.InstanceStatus, error) {
	return operatorapi.InstanceStatus{Info: structs.InstanceInfo{ID: id}, Health: operatorapi.InstanceLeaving, Draining: true}, nil
}

func (f *fakeBackend) Queues(context.Context) (operatorapi.QueueList, error) {
	return operatorapi.QueueList{
		Queues: []operatorapi.QueueStatus{{Shard: "s1", Team: "/bureau", Class: "urgent", Depth: 3, OldestAge: time.Second}},
		Store:  operatorapi.StoreHealth{LastError: "timeout"},
	}, nil
}

// serveBackend starts an operators' API server with the backend and returns its
// address.
func serveBackend(t *testing.T, backend operatorapi.Backend, secret string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := operatorapi.NewServer(backend, operatorapi.Options{Secret: secret})
	done := make(chan error, 1)
	go func() { done <- operatorapi.Serve(server, listener) }()
	t.Cleanup(func() {
		if err := server.ShutdownWithTimeout(time.Second); err != nil {
			t.Error(err)
		}
		<-done
	})
	return listener.Addr().String()
}

// serveCallers starts a server in place of an instance's listener for callers
// and returns its address. The server answers with the given status and outcome
// and with the method, path, headers and body of the request.
func serveCallers(t *testing.T, status int, outcome string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.Response.Header.Set("Mangodrum-Outcome", outcome)
		ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.Path()) + " team=" + string(ctx.Request.Header.Peek("Mangodrum-Team")) +
			" class=" + string(ctx.Request.Header.Peek("Mangodrum-Class")) + " idempotent=" + string(ctx.Request.Header.Peek("Mangodrum-Idempotent")) +
			" deadline=" + string(ctx.Request.Header.Peek("Mangodrum-Deadline-Ms")) + " body=" + string(ctx.PostBody()))
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		<-done
	})
	return listener.Addr().String()
}

// closedAddress returns a loopback address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// runCLI executes a command line and returns the exit code, standard output and
// standard error.
func runCLI(ctx context.Context, input string, args ...string) (int, string, string) {
	var out, diagnostics bytes.Buffer
	code := Run(ctx, append([]string{"mangodrum"}, args...), Streams{In: bytes.NewBufferString(input), Out: &out, Err: &diagnostics})
	return code, out.String(), diagnostics.String()
}
