package operatorapi

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// stubBackend records the input of the last call and returns fixed values.
// Methods that are not overridden panic.
type stubBackend struct {
	Backend
	lastInput any
	err       error
}

func (b *stubBackend) Version(context.Context) (VersionInfo, error) {
	return VersionInfo{Version: "v1", SettingsVersion: 7}, b.err
}

func (b *stubBackend) Settings(_ context.Context, query SettingsQuery) (SettingsResponse, error) {
	b.lastInput = query
	return SettingsResponse{Version: settings.Version{Number: 7}, YAML: "y"}, b.err
}

func (b *stubBackend) ApplySettings(_ context.Context, request ApplyRequest) (ApplyResponse, error) {
	b.lastInput = request
	return ApplyResponse{Version: settings.Version{Number: 8}}, b.err
}

func (b *stubBackend) SubmitJob(_ context.Context, job structs.Job) (JobStatus, error) {
	b.lastInput = job
	return JobStatus{Job: job}, b.err
}

func (b *stubBackend) Jobs(_ context.Context, query JobQuery) (JobList, error) {
	b.lastInput = query
	return JobList{Next: "n"}, b.err
}

func (b *stubBackend) Job(_ context.Context, id structs.JobID) (JobDetail, error) {
	b.lastInput = id
	return JobDetail{}, b.err
}

func (b *stubBackend) ActOnWorker(_ context.Context, id structs.WorkerID, action WorkerAction) (WorkerStatus, error) {
	b.lastInput = string(id) + ":" + string(action)
	return WorkerStatus{}, b.err
}

func startServer(t *testing.T, backend Backend, options Options) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := NewServer(backend, options)
	done := make(chan error, 1)
	go func() { done <- Serve(app, listener) }()
	t.Cleanup(func() {
		if err := app.ShutdownWithTimeout(time.Second); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// Guards against arguments and results that are lost or changed between client
// and backend.
func TestCallsReachBackendUnchanged(t *testing.T) {
	backend := &stubBackend{}
	client := NewClient(startServer(t, backend, Options{}), "")
	defer client.Close()
	ctx := context.Background()
	if v, err := client.Version(ctx); err != nil || v.SettingsVersion != 7 {
		t.Errorf("version %+v, %v", v, err)
	}
	query := SettingsQuery{Version: 3, Path: "/b/x"}
	if r, err := client.Settings(ctx, query); err != nil || backend.lastInput != query || r.YAML != "y" {
		t.Errorf("settings %+v, %v, got %v", r, err, backend.lastInput)
	}
	apply := ApplyRequest{BaseVersion: 7, Author: "a", Reason: "r", ChangeID: "c1", YAML: "y"}
	if r, err := client.ApplySettings(ctx, apply); err != nil || backend.lastInput != apply || r.Version.Number != 8 {
		t.Errorf("apply %+v, %v, got %v", r, err, backend.lastInput)
	}
	jobs := JobQuery{Team: "/b", Class: "urgent", ActiveOnly: true, After: "j", Limit: 9}
	if r, err := client.Jobs(ctx, jobs); err != nil || backend.lastInput != jobs || r.Next != "n" {
		t.Errorf("jobs %+v, %v, got %v", r, err, backend.lastInput)
	}
	if _, err := client.ActOnWorker(ctx, "w-1", WorkerConfirmStopped); err != nil || backend.lastInput != "w-1:confirm-stopped" {
		t.Errorf("worker action %v, got %v", err, backend.lastInput)
	}
	job := structs.Job{ID: "j1", Team: "/b", Kind: structs.KindGang, Count: 2, Resources: structs.Resources{MilliCPU: 1, MemoryBytes: 1}}
	if r, err := client.SubmitJob(ctx, job); err != nil || r.Job.ID != "j1" || r.Job.Count != 2 {
		t.Errorf("submit %+v, %v", r, err)
	}
}

// Guards against error kinds, remedies and lists of problems that change
// between backend and client, and against two kinds with the same HTTP status.
func TestErrorsKeepTheirKind(t *testing.T) {
	backend := &stubBackend{}
	client := NewClient(startServer(t, backend, Options{}), "")
	defer client.Close()
	seen := map[int]errs.Kind{}
	for kind, status := range statusByKind {
		if other, ok := seen[status]; ok {
			t.Errorf("%s and %s share status %d", kind, other, status)
		}
		seen[status] = kind
		backend.err = errs.Wrap(errors.New("cause"), kind, "do this", "detail")
		_, err := client.Version(context.Background())
		if errs.KindOf(err) != kind || errs.RemedyOf(err) != "do this" || err.Error() != backend.err.Error() {
			t.Errorf("%s arrived as %v", kind, err)
		}
	}
	report := strictyaml.NewReport("f")
	report.Add("a", "fix a", "wrong")
	report.Add("b", "fix b", "wrong")
	backend.err = report.Err()
	if _, err := client.Version(context.Background()); !errs.Is(err, errs.InvalidInput) || err.Error() != backend.err.Error() {
		t.Errorf("problems arrived as %v", err)
	}
	backend.err = errors.New("without kind")
	if _, err := client.Version(context.Background()); !errs.Is(err, errs.Failed) {
		t.Errorf("error without kind arrived as %v", err)
	}
}

// Guards against invalid input that reaches the backend.
func TestServerRejectsInvalidInput(t *testing.T) {
	backend := &stubBackend{}
	address := startServer(t, backend, Options{MaxBody: 2000})
	client := NewClient(address, "")
	defer client.Close()
	ctx := context.Background()
	if _, err := client.Job(ctx, "a/b"); !errs.Is(err, errs.InvalidInput) {
		t.Errorf("slash in a job identifier: %v", err)
	}
	if _, err := client.SubmitJob(ctx, structs.Job{ID: "a/b"}); !errs.Is(err, errs.InvalidInput) {
		t.Errorf("slash in a submitted identifier: %v", err)
	}
	if _, err := client.ApplySettings(ctx, ApplyRequest{YAML: "y", ChangeID: "c"}); !errs.Is(err, errs.InvalidInput) {
		t.Errorf("change without author: %v", err)
	}
	for _, path := range []string{"/v1/jobs/a%2Fb", "/v1/jobs/a%20b"} {
		if status, _, err := fasthttp.Get(nil, "http://"+address+path); err != nil || status < 400 || status >= 500 {
			t.Errorf("%s: status %d, %v", path, status, err)
		}
	}
	cases := []struct{ name, kind, body string }{
		{"unknown field", "application/json", `{"id": "j", "idd": 1}`},
		{"second object", "application/json", `{} {}`},
		{"form", "application/x-www-form-urlencoded", `{}`},
	}
	for _, c := range cases {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + "/v1/jobs")
		request.Header.SetMethod("POST")
		request.Header.SetContentType(c.kind)
		request.SetBodyString(c.body)
		if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != 400 {
			t.Errorf("%s: status %d, %v", c.name, response.StatusCode(), err)
		}
	}
	if backend.lastInput != nil {
		t.Errorf("the backend was called with %v", backend.lastInput)
	}
}

// Guards against missing limits of body and header sizes, and against a panic
// of the backend that ends the process.
func TestSizeLimitsAndPanics(t *testing.T) {
	address := startServer(t, &stubBackend{}, Options{MaxBody: 2000, MaxHeader: 2000})
	cases := []struct {
		name         string
		header, body int
		status       int
	}{{"body", 10, 3000, 413}, {"header", 4000, 10, 431}}
	for _, c := range cases {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + "/v1/settings")
		request.Header.SetMethod("POST")
		request.Header.Set("X-Fill", strings.Repeat("x", c.header))
		request.SetBodyString(strings.Repeat("y", c.body))
		err := fasthttp.Do(request, response)
		// The server may respond and close the connection while the client is
		// still writing. The client then reports the connection reset and not
		// the response.
		for tries := 1; errors.Is(err, syscall.ECONNRESET) && tries < 100; tries++ {
			err = fasthttp.Do(request, response)
		}
		if err != nil || response.StatusCode() != c.status {
			t.Errorf("%s: status %d, %v", c.name, response.StatusCode(), err)
		}
	}
	client := NewClient(address, "")
	defer client.Close()
	if _, err := client.Queues(context.Background()); !errs.Is(err, errs.Failed) || !strings.Contains(err.Error(), "internal error") {
		t.Errorf("panic of the backend: %v", err)
	}
	if _, err := client.Version(context.Background()); err != nil {
		t.Errorf("call after the panic: %v", err)
	}
}

// Guards against a server that accepts requests without the configured secret.
func TestSecretIsRequired(t *testing.T) {
	address := startServer(t, &stubBackend{}, Options{Secret: "s3", CheckReady: func() error { return errors.New("no settings yet") }})
	for secret, want := range map[string]errs.Kind{"": errs.Denied, "s": errs.Denied, "s3": ""} {
		client := NewClient(address, secret)
		if _, err := client.Version(context.Background()); errs.KindOf(err) != want {
			t.Errorf("secret %q: %v", secret, err)
		}
		client.Close()
	}
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 401, "/v1/none": 401} {
		status, _, err := fasthttp.Get(nil, "http://"+address+path)
		if err != nil || status != want {
			t.Errorf("%s: status %d, %v", path, status, err)
		}
	}
}

// Guards against reporting an unreachable server as an unknown outcome, and
// against reporting a lost response as a call that was not carried out.
func TestTransportErrors(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	done := make(chan struct{})
	go func() { // accepts two connections and closes them after the request
		defer close(done)
		for range 2 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
		}
	}()
	client := NewClient(address, "")
	if _, err := client.CancelJob(context.Background(), "j"); !errs.Is(err, errs.OutcomeUnknown) {
		t.Errorf("lost reply: %v", err)
	}
	if _, err := client.Version(context.Background()); !errs.Is(err, errs.Unreachable) {
		t.Errorf("lost reply to a read: %v", err)
	}
	<-done
	_ = listener.Close()
	if _, err := client.CancelJob(context.Background(), "j"); !errs.Is(err, errs.Unreachable) {
		t.Errorf("refused connection: %v", err)
	}
}
