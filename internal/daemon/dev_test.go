package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

// waitTimeout bounds every wait of these tests; only a test that hangs reaches
// it.
const waitTimeout = time.Minute

// cellUnderTest is a development cell that runs in this process.
type cellUnderTest struct {
	callers   []string
	operators []string
	stop      func() error
}

// startCell starts a development cell with an example and waits until it is
// ready.
func startCell(t *testing.T, example string) *cellUnderTest {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	read, write := io.Pipe()
	done := make(chan error, 1)
	var logs logBuffer
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	go func() {
		err := runDev(ctx, devOptions{
			example: example, portBase: freePortBase(t), logLevel: "debug", out: write,
			logOut: &logs,
		})
		_ = write.CloseWithError(io.EOF)
		done <- err
	}()
	line, err := bufio.NewReader(read).ReadString('\n')
	if err != nil {
		t.Fatalf("no ready line: %v, %v", err, <-done)
	}
	cell := &cellUnderTest{
		callers:   strings.Split(field(line, "callers="), ","),
		operators: strings.Split(field(line, "operators="), ","),
		stop:      func() error { cancel(); return <-done },
	}
	t.Cleanup(cancel)
	return cell
}

// logBuffer collects log lines, which are printed if the test fails.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// String returns what was written so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// field returns the text between name and the next blank of line.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, name)
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// freePortBase returns a port that is free together with the next two. The
// search starts at an offset that depends on the process ID, so that test
// processes that run in parallel do not take each other's ports between this
// check and the use of the ports.
func freePortBase(t *testing.T) int {
	t.Helper()
	const first, ports, step = 21000, 11000, 10 // below the range of ephemeral ports
	for n := range ports / step {
		port := first + (os.Getpid()*37*step+n*step)%ports
		listeners, err := listenInstance(structs.InstanceInfo{
			CallerAddress: fmt.Sprintf("127.0.0.1:%d", port), OperatorAddress: fmt.Sprintf("127.0.0.1:%d", port+1),
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", port+2),
		})
		if err == nil {
			closeAll([][3]net.Listener{listeners})
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// eventually polls check until it returns nil, and fails the test after
// waitTimeout.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	end := time.After(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-ticker.C:
		case <-end:
			t.Fatalf("%s: %v", what, err)
		}
	}
}

// Guards against requests, jobs and settings changes that work at some
// instances only, and against a shutdown that fails.
func TestWholePath(t *testing.T) {
	for _, example := range []string{"bureau", "sierra-alta"} {
		t.Run(example, func(t *testing.T) {
			cell := startCell(t, example)
			checkRequests(t, cell, example)
			checkJob(t, cell, example)
			checkSettings(t, cell)
			if err := cell.stop(); err != nil {
				t.Errorf("stop: %v", err)
			}
		})
	}
}

// exampleServices gives a service of each example, with a team and a class for
// its requests.
var exampleServices = map[string]struct{ service, team, class string }{
	"bureau":      {"dispatch", "/bureau/dispatch", "urgent"},
	"sierra-alta": {"planner", "/sierra-alta/sanitation", "sanitation"},
}

func checkRequests(t *testing.T, cell *cellUnderTest, example string) {
	s := exampleServices[example]
	for n, address := range cell.callers {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + "/v1/services/" + s.service + "/orders")
		request.Header.SetMethod("PUT")
		id := fmt.Sprintf("order-%d", n)
		request.Header.Set("Mangodrum-Request-Id", id)
		request.Header.Set("Mangodrum-Team", s.team)
		request.Header.Set("Mangodrum-Class", s.class)
		request.SetBodyString("door 7")
		if err := fasthttp.Do(request, response); err != nil {
			t.Fatalf("instance %d: %v", n, err)
		}
		if got, want := string(response.Body()), id+" door 7"; got != want || response.StatusCode() != 200 {
			t.Errorf("instance %d: status %d, body %q, want 200 and %q", n, response.StatusCode(), got, want)
		}
		if got := string(response.Header.Peek("Mangodrum-Outcome")); got != "answered" {
			t.Errorf("instance %d: outcome %q, want answered", n, got)
		}
	}
}

func checkJob(t *testing.T, cell *cellUnderTest, example string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s := exampleServices[example]
	job := structs.Job{
		ID: "probe", Team: structs.TeamID(s.team), Class: structs.ClassName(s.class), Kind: structs.KindBatch,
		Count: 3, Resources: structs.Resources{MilliCPU: 500, MemoryBytes: 1 << 28}, Command: []string{"sleep", "10ms"},
	}
	for _, address := range cell.operators[:2] { // the second submission repeats the first
		if _, err := operatorapi.NewClient(address, "").SubmitJob(ctx, job); err != nil {
			t.Fatalf("submit at %s: %v", address, err)
		}
	}
	last := operatorapi.NewClient(cell.operators[2], "")
	eventually(t, "job ends", func() error {
		detail, err := last.Job(ctx, job.ID)
		if err == nil && detail.Tasks.Succeeded != 3 {
			return errs.New(errs.NotRun, "", "tasks: %+v", detail.Tasks)
		}
		return err
	})
}

func checkSettings(t *testing.T, cell *cellUnderTest) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	first := operatorapi.NewClient(cell.operators[0], "")
	reply, err := first.Settings(ctx, operatorapi.SettingsQuery{})
	if err != nil {
		t.Fatal(err)
	}
	change := operatorapi.ApplyRequest{
		BaseVersion: reply.Version.Number, Author: "test", Reason: "smaller queue", ChangeID: "c1",
		YAML: strings.Replace(reply.YAML, "queue_limit: ", "queue_limit: 1", 1),
	}
	if _, err := first.ApplySettings(ctx, change); err != nil {
		t.Fatal(err)
	}
	change.ChangeID = "c2"
	change.YAML = strings.Replace(reply.YAML, "queue_limit: ", "queue_limit: 2", 1)
	if _, err := first.ApplySettings(ctx, change); !errs.Is(err, errs.Conflict) {
		t.Errorf("second change on the same base: %v, want a conflict", err)
	}
	eventually(t, "settings in force everywhere", func() error {
		status, err := first.SettingsStatus(ctx)
		for _, instance := range status.Instances {
			if instance.Version < 2 {
				return errs.New(errs.NotRun, "", "instance %s has version %d", instance.Instance, instance.Version)
			}
		}
		return err
	})
}
