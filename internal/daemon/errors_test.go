package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/gateway"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/provider/standin"
)

// runToEnd runs a process until it exits and returns its exit code and standard
// error.
func runToEnd(t *testing.T, args string) (int, string) {
	t.Helper()
	p, out := startProcess(t, args)
	_, _ = out.ReadString(0)
	<-p.ended
	return p.code, p.stderr.String()
}

// checkErrorLine requires a single line with a remedy and no stack trace.
func checkErrorLine(t *testing.T, what, text string) {
	t.Helper()
	if strings.Count(strings.TrimSpace(text), "\n") != 0 || !strings.Contains(text, "remedy:") || strings.Contains(text, "goroutine") {
		t.Errorf("%s: %q, want one line with a remedy", what, text)
	}
}

// Guards against failed starts that print a stack trace, lack a remedy or have
// the wrong exit code.
func TestFailedStarts(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("apiVersion: ["), 0o600); err != nil {
		t.Fatal(err)
	}
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	for _, test := range []struct {
		args string
		code int
	}{
		{"run --config " + bad, ExitUsage},
		{"run --config " + bad + ".absent", ExitUsage},
		{"dev --example nowhere", ExitUsage},
		{"dev --port-base 70000", ExitUsage},
		{"dev --log-level loud", ExitUsage},
		{"standin --listen " + occupied.Addr().String(), ExitFailed},
	} {
		code, text := runToEnd(t, test.args)
		if code != test.code {
			t.Errorf("%s: exit code %d, want %d; %s", test.args, code, test.code, text)
		}
		checkErrorLine(t, test.args, text)
	}
}

// send sends a request with one header and returns the status and body of the
// response.
func send(t *testing.T, method, url, header, value string, body []byte) (int, string) {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI(url)
	request.Header.SetMethod(method)
	request.Header.Set(header, value)
	request.SetBody(body)
	client := &fasthttp.Client{ReadBufferSize: 1 << 16}
	if err := client.Do(request, response); err != nil {
		t.Fatalf("%s %s: %v", method, url, err)
	}
	return response.StatusCode(), string(response.Body())
}

// Guards against invalid requests that crash an instance or get an error
// without a remedy.
func TestBadInputAtListeners(t *testing.T) {
	cell := startCell(t, "bureau")
	operators, callers := "http://"+cell.operators[0], "http://"+cell.callers[0]
	long := strings.Repeat("x", 40_000)
	for _, test := range []struct {
		name, method, url, header, value string
		body                             []byte
		status                           int
	}{
		{"bad JSON", "POST", operators + "/v1/jobs", "Content-Type", "application/json", []byte("{bad"), 400},
		{"bad CBOR", "POST", operators + "/v1/jobs", "Content-Type", "application/cbor", []byte{0xff}, 400},
		{"bad YAML", "POST", operators + "/v1/settings", "Content-Type", "application/json",
			[]byte(`{"base":1,"author":"a","reason":"r","change_id":"c","yaml":"apiVersion: ["}`), 400},
		{"long header", "GET", operators + "/v1/version", "X-Long", long, nil, 431},
		{"caller's long header", "GET", callers + "/v1/services/dispatch/x", "X-Long", long, nil, 431},
		{"unknown service", "GET", callers + "/v1/services/nothing/x", "Mangodrum-Team", "/bureau/dispatch", nil, 404},
	} {
		status, body := send(t, test.method, test.url, test.header, test.value, test.body)
		if status != test.status || !strings.Contains(body, `"remedy":"`) || strings.Contains(body, "goroutine") || len(body) > 600 {
			t.Errorf("%s: status %d, want %d with a remedy; %.300s", test.name, status, test.status, body)
		}
	}
	if answer := postHeadOnly(t, cell.operators[0], 5<<20); !strings.HasPrefix(answer, "HTTP/1.1 413") || !strings.Contains(answer, `"remedy":"`) {
		t.Errorf("long body: %q, want 413 with a remedy", answer)
	}
	checkRequests(t, cell, "bureau")
	if err := cell.stop(); err != nil {
		t.Error(err)
	}
}

// postHeadOnly sends the head of a POST request that announces a body of the
// given length, without the body, and returns the raw response.
func postHeadOnly(t *testing.T, address string, length int) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", length)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// Guards against peers with another protocol version or secret that are
// accepted, or rejected without a remedy.
func TestWrongPeerIsRefused(t *testing.T) {
	c := startProcesses(t)
	list, err := c.client(0).Instances(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	peers := "http://" + list.Instances[0].Info.PeerAddress + "/peer"
	for header, value := range map[string]string{"Mangodrum-Peer-Version": "99", "Authorization": "Bearer wrong"} {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI(peers)
		request.Header.Set("Mangodrum-Peer-Version", "1")
		request.Header.Set(header, value)
		if err := fasthttp.Do(request, response); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode() != 403 {
			t.Errorf("%s %s: status %d, want 403", header, value, response.StatusCode())
		}
		checkErrorLine(t, header, string(response.Body()))
	}
}

// Guards against accepted work that is lost while the store is full, and
// against a cell that does not recover afterwards.
func TestFullStore(t *testing.T) {
	c := startProcesses(t)
	if err := c.submit(0, "before", "", 5, "3s"); err != nil {
		t.Fatal(err)
	}
	c.control(standin.OpFault, standin.FaultRequest{MaxBytes: 1})
	reply, err := c.client(0).Settings(context.Background(), operatorapi.SettingsQuery{})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.client(0).ApplySettings(context.Background(), operatorapi.ApplyRequest{
		BaseVersion: reply.Version.Number, Author: "test", Reason: "full", ChangeID: "full", YAML: strings.Replace(reply.YAML, "queue_limit: ", "queue_limit: 1", 1),
	})
	if !errs.Is(err, errs.NotRun) || !strings.Contains(err.Error(), "store is full") {
		t.Errorf("settings on a full store: %v, want not-run with the cause", err)
	}
	if err := c.submit(0, "during", "", 1, "10ms"); !errs.Is(err, errs.NotRun) && !errs.Is(err, errs.OutcomeUnknown) {
		t.Errorf("job on a full store: %v, want not-run or outcome-unknown", err)
	}
	c.control(standin.OpFault, standin.FaultRequest{})
	c.waitSucceeded(1, "before", 5)
	eventually(t, "the job is accepted on retry", func() error { return c.submit(0, "during", "", 1, "10ms") })
	c.waitSucceeded(2, "during", 1)
	c.checkSafety()
}

// Guards against limits of the instance file that are read but not applied.
func TestGatewayLimitsFromConfig(t *testing.T) {
	got := gatewayLimits(config.Limits{
		MaxBody: 1, MaxHeader: 2, MaxConnections: 3, ReadTimeout: 4, WriteTimeout: 5, IdleTimeout: 6,
	})
	want := gateway.Limits{
		MaxBodyBytes: 1, MaxHeaderBytes: 2, MaxConnections: 3, ReadTimeout: 4, WriteTimeout: 5, IdleTimeout: 6,
	}
	if got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
}
