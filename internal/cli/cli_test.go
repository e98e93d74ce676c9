package cli

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

const bureauDir = "../../examples/bureau/"

// check runs a command line against a server and compares the exit code and the
// output.
func check(t *testing.T, server string, code int, wantOut, wantErr string, args ...string) {
	t.Helper()
	gotCode, out, diagnostics := runCLI(context.Background(), "", append([]string{"--server", server}, args...)...)
	if gotCode != code || !strings.Contains(out, wantOut) || !strings.Contains(diagnostics, wantErr) {
		t.Errorf("%v: code %d, want %d\nout (want %q):\n%s\nerr (want %q):\n%s", args, gotCode, code, wantOut, out, wantErr, diagnostics)
	}
	if code != ExitSuccess && (!strings.Contains(diagnostics, "remedy: ") || strings.Contains(diagnostics, "goroutine")) {
		t.Errorf("%v: error without remedy or with a stack trace: %s", args, diagnostics)
	}
}

// Guards against commands that are missing, call the wrong endpoint, or end with
// the wrong exit code.
func TestCommands(t *testing.T) {
	server := serveBackend(t, newFakeBackend(t), "")
	job := bureauDir + "jobs/recalibration.yaml"
	cases := []struct {
		code int
		out  string
		err  string
		args string
	}{
		{0, "instance a, settings version 1", "", "version"},
		{0, "# settings version 1 by setup", "", "settings get"},
		{0, "/bureau/dispatch", "", "settings get --path /bureau/dispatch/hospitals"},
		{1, "", "no branch \"/x\"", "settings get --path /x"},
		{1, "", "version 9 does not exist", "settings get --version 9"},
		{0, "first", "", "settings history"},
		{2, "", "--limit", "settings history --limit 0"},
		{0, "suspect", "", "settings status"},
		{0, "no changes", "", "settings diff -f " + bureauDir + "settings.yaml"},
		{2, "", "give either -f FILE or two", "settings diff 1"},
		{2, "", "no reason is given", "settings apply -f " + bureauDir + "settings.yaml"},
		{2, "", "is not table, json or yaml", "worker list --output xml"},
		{0, "recalibration-report-2027-01-15", "", "job submit -f " + job},
		{0, "recalibration-report-2027-01-15", "", "job submit -f " + job},
		{0, "recalibration-report-2027-01-15", "", "job list"},
		{0, "recalibration-2027-01-15/0", "", "job describe recalibration-2027-01-15"},
		{1, "", "does not exist", "job describe none"},
		{2, "", "not valid", "job describe a/b"},
		{0, "recalibration-2027-01-15", "", "job cancel recalibration-2027-01-15"},
		{0, "remedy: lower the request", "", "job explain recalibration-2027-01-15"},
		{2, "", "Job", "job submit -f " + bureauDir + "settings.yaml"},
		{0, "oshima-c-w04", "", "worker list"},
		{0, "draining", "", "worker drain w1"},
		{0, "w1", "", "worker undrain w1"},
		{0, "w1", "", "worker confirm-stopped w1"},
		{2, "", "give one worker", "worker drain"},
		{0, "s1,s2", "", "instance list"},
		{0, "leaving,draining", "", "instance drain a"},
		{0, "store unreachable", "", "queue list"},
		{2, "", "unknown command", "queue lst"},
		{2, "", "unknown command", "bogus"},
		{2, "", "not defined", "queue list --bogus"},
		{2, "", "unexpected argument", "queue list x"},
		{0, "USAGE", "", "settings --help"},
		{0, "complet", "", "completion bash"},
	}
	for _, c := range cases {
		check(t, server, c.code, c.out, c.err, strings.Fields(c.args)...)
	}
	check(t, closedAddress(t), ExitUnreachable, "", "--server", "worker", "list")
	check(t, "nonsense", ExitBadInput, "", "is not IP:port", "worker", "list")
}

// Guards against worker list --domain showing workers of other failure domains.
func TestWorkerFilter(t *testing.T) {
	server := serveBackend(t, newFakeBackend(t), "")
	_, out, _ := runCLI(context.Background(), "", "--server", server, "worker", "list", "--domain", "oshima-c")
	if lines := strings.Count(out, "\n"); lines != 5 || strings.Contains(out, "oshima-a") {
		t.Errorf("want a header and 4 workers of oshima-c, got:\n%s", out)
	}
}

// Guards against JSON or YAML output that does not parse, and against differences
// between the two.
func TestOutputFormats(t *testing.T) {
	server := serveBackend(t, newFakeBackend(t), "")
	for _, args := range []string{"worker list", "settings get", "settings history", "queue list", "version", "instance list"} {
		line := append([]string{"--server", server}, strings.Fields(args)...)
		_, jsonText, _ := runCLI(context.Background(), "", append(line, "-o", "json")...)
		_, yamlText, _ := runCLI(context.Background(), "", append(line, "--output", "yaml")...)
		var fromJSON, fromYAML any
		if err := json.Unmarshal([]byte(jsonText), &fromJSON); err != nil {
			t.Errorf("%s: %v", args, err)
		}
		if err := yaml.Unmarshal([]byte(yamlText), &fromYAML); err != nil {
			t.Errorf("%s: %v", args, err)
		}
		a, _ := json.Marshal(fromJSON)
		b, _ := json.Marshal(fromYAML)
		if len(a) < 10 || string(a) != string(b) {
			t.Errorf("%s: JSON and YAML differ:\n%s\n%s", args, a, b)
		}
	}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against a settings file that loses its base version between get and
// apply: the second of two operators who edit the same version must get a
// conflict.
func TestEditApplyConflict(t *testing.T) {
	backend := newFakeBackend(t)
	server := serveBackend(t, backend, "")
	_, text, _ := runCLI(context.Background(), "", "--server", server, "settings", "get")
	first := writeFile(t, strings.Replace(text, "weight: 800", "weight: 900", 1))
	second := writeFile(t, strings.Replace(text, "weight: 800", "weight: 700", 1))

	check(t, server, 0, "800 -> 900", "", "settings", "diff", "-f", first)
	check(t, server, 0, "nothing was applied", "", "settings", "apply", "-f", first, "--dry-run")
	backend.lag = 2
	check(t, server, 0, "version 2 accepted", "waiting for b (version 1, suspect)\nversion 2 is in force at all 3 instances",
		"settings", "apply", "-f", first, "--reason", "r", "--author", "x", "--wait")
	check(t, server, ExitConflict, "", "version 2 by x: /bureau/dispatch/hospitals weight: 800 -> 900",
		"settings", "apply", "-f", second, "--reason", "r", "--author", "y")
	check(t, server, 0, "weight: 800 -> 900", "", "settings", "diff", "1", "2")
	check(t, server, 0, "version 3 accepted", "", "settings", "rollback", "1", "--reason", "back", "--author", "x")
	check(t, server, 0, "no changes: version 3", "no base given", "settings", "apply", "-f", bureauDir+"settings.yaml", "--reason", "r", "--author", "x")
	backend.lag = 1_000_000
	check(t, server, ExitFailure, "", "not yet in force at: b", "settings", "apply", "-f", writeFile(t, strings.Replace(text, "weight: 800", "weight: 600", 1)),
		"--base", "3", "--reason", "r", "--author", "x", "--wait", "--wait-timeout", "300ms")
	backend.applyErr = errs.New(errs.OutcomeUnknown, "repeat", "reply lost")
	check(t, server, ExitFailure, "", "--change-id c-7 --base 4", "settings", "apply", "-f", second, "--base", "4", "--change-id", "c-7", "--reason", "r", "--author", "x")
}

// Guards against a check command that stops at the first problem or file.
func TestCheckCommand(t *testing.T) {
	bad := writeFile(t, "apiVersion: mangodrum/v1\nkind: Settings\nclasses:\n  - {name: a, urgency: slow, weight: 0}\nbranches: [{path: /}]\n")
	code, out, diagnostics := runCLI(context.Background(), "", "check", "--config", bureauDir+"instance-1.yaml", "--config", bad, "--config", bad+".none")
	if code != ExitBadInput || !strings.Contains(out, "ok: instance bureau-1") {
		t.Errorf("code %d, out %s", code, out)
	}
	lines := strings.Split(strings.TrimSpace(diagnostics), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], bad+":4: classes[0].urgency") || !strings.Contains(lines[1], "weight") {
		t.Errorf("diagnostics:\n%s", diagnostics)
	}
	if code, out, _ := runCLI(context.Background(), "apiVersion: mangodrum/v1\nkind: Request\nservice: s\nteam: /b\n", "check", "--config", "-"); code != 0 || !strings.Contains(out, "request to service s") {
		t.Errorf("standard input: code %d, %s", code, out)
	}
}

// Guards against a secret that is not sent, and against a missing or empty secret
// without a clear error.
func TestSecret(t *testing.T) {
	server := serveBackend(t, newFakeBackend(t), "s3")
	check(t, server, ExitFailure, "", "--secret-file", "version")
	check(t, server, 0, "instance a", "", "version", "--secret-file", writeFile(t, "s3\n"))
	check(t, server, ExitBadInput, "", "is empty", "version", "--secret-file", writeFile(t, "\n"))
}

// Guards against a request without its headers, and against an exit code that
// does not follow from the outcome.
func TestRequestSend(t *testing.T) {
	server := serveBackend(t, newFakeBackend(t), "")
	callers := serveCallers(t, 200, "answered")
	check(t, server, 0, "GET /v1/services/dispatch/ team=/bureau/dispatch class=urgent", "", "request", "send", "--to", callers)
	check(t, server, 0, "PUT /v1/services/dispatch/orders/hospital-17-east team=/bureau/dispatch/hospitals class=urgent idempotent= deadline=3000",
		"", "request", "send", "--to", callers, "-f", bureauDir+"requests/repair-order.yaml")
	check(t, server, 0, "idempotent=false", "", "request", "send", "--to", callers, "-f", bureauDir+"requests/renewal-invoice.yaml")
	check(t, server, 0, "team=/bureau/billing class=normal idempotent=true deadline=1500 body=x", "",
		"request", "send", "--to", callers, "--team", "/bureau/billing", "--body", "x", "--idempotent", "--deadline", "1500ms")
	check(t, closedAddress(t), 0, "class= ", "left to the instance", "request", "send", "--to", callers)
	check(t, server, ExitBadInput, "", "service", "request", "send", "--to", callers, "--service", "a/b")
	check(t, server, ExitUnreachable, "", "--to", "request", "send", "--to", closedAddress(t))
	for outcome, status := range map[string]int{"not-run": 503, "outcome-unknown": 502, "ran-and-failed": 500, "": 404, "answered": 404} {
		check(t, server, ExitFailure, "outcome "+orDash(outcome), "", "request", "send", "--to", serveCallers(t, status, outcome))
	}
}

// Guards against --watch that ends after one repeat, or that does not end when
// its context is cancelled.
func TestWatch(t *testing.T) {
	server := serveBackend(t, newFakeBackend(t), "")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	repeats := 0
	out := writerFunc(func(p []byte) (int, error) {
		if strings.Contains(string(p), "SHARD") {
			if repeats++; repeats == 3 {
				cancel()
			}
		}
		return len(p), nil
	})
	code := Run(ctx, []string{"mangodrum", "--server", server, "queue", "list", "--watch", "--interval", "100ms"}, Streams{Out: out, Err: out})
	if code != 0 || repeats != 3 {
		t.Errorf("got code %d after %d repeats, want 0 after 3", code, repeats)
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against a panic that is printed with a stack trace.
func TestPanicIsPrintedInOneLine(t *testing.T) {
	out := writerFunc(func([]byte) (int, error) { panic("boom") })
	var diagnostics strings.Builder
	code := Run(context.Background(), []string{"mangodrum", "version", "--client"}, Streams{Out: out, Err: &diagnostics})
	if code != ExitFailure || strings.Count(diagnostics.String(), "\n") != 1 || !strings.Contains(diagnostics.String(), "boom") {
		t.Errorf("code %d, %q", code, diagnostics.String())
	}
}

// Guards against an impact that silently lacks the jobs of a shard without an owner.
func TestImpactNamesUnknownShards(t *testing.T) {
	text := impactText(settings.Impact{
		Changes:       []settings.Change{{Path: "/a", Field: "weight", Old: "1", New: "2"}},
		Teams:         []settings.TeamImpact{{Team: "a", Jobs: 1}},
		UnknownShards: []structs.ShardID{"oshima"},
	})
	if !strings.Contains(text, "oshima") || !strings.Contains(text, "could not be listed") {
		t.Errorf("text does not name the shard: %s", text)
	}
}
