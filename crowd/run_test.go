package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runProcess is one instance of the product's own interface.
type runProcess struct {
	process
	operators string
}

// startRun starts the stand-in of the platform and one instance beside it, and waits until
// the instance answers a caller.
func startRun(t *testing.T, l limits) *runProcess {
	t.Helper()
	platform := startStandin(t)
	port := freePorts(t, 3)
	p := &runProcess{operators: fmt.Sprintf("127.0.0.1:%d", port+1)}
	dir := t.TempDir()
	p.process = process{
		t: t, name: "run", limits: l, callers: fmt.Sprintf("127.0.0.1:%d", port), peers: fmt.Sprintf("127.0.0.1:%d", port+2),
		logPath: filepath.Join(dir, "run.log"), ended: make(chan struct{}),
	}
	config := filepath.Join(dir, "instance.yaml")
	text := fmt.Sprintf(`apiVersion: mangodrum/v1
kind: Instance
id: bureau-1
region: ishikari
failure_domain: ishikari-a
listen: {callers: %q, operators: %q, peers: %q}
platform: %q
limits: {memory: %dMiB}
`, p.callers, p.operators, p.peers, platform, l.memoryMB)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.startCommand("run --config "+config, "")
	p.requireRequest("before the crowd")
	return p
}

// startStandin starts the stand-in of the platform and returns its address.
func startStandin(t *testing.T) string {
	t.Helper()
	command := exec.Command(daemonPath, "standin", "--example", "bureau", "--listen", "127.0.0.1:0")
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL) // the process may have ended already
		_ = command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(line, "platform=")
	address, _, _ := strings.Cut(rest, " ")
	return address
}

// requireRequest fails the test unless an ordinary request of a caller is answered.
func (p *runProcess) requireRequest(when string) {
	p.t.Helper()
	last := 0
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if !p.isAlive() {
			p.t.Fatalf("the instance has ended %s; log:\n%s", when, p.logTail())
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+p.callers+"/v1/services/dispatch/orders", nil)
		if err != nil {
			p.t.Fatal(err)
		}
		request.Header.Set("Mangodrum-Team", "/bureau/dispatch")
		request.Header.Set("Mangodrum-Class", "urgent")
		if last = p.do(request); last == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("the instance answers no ordinary request %s within %s, last status %d; log:\n%s", when, hangTimeout, last, p.logTail())
}

// requireOperators fails the test unless an operator is answered.
func (p *runProcess) requireOperators(when string) {
	p.t.Helper()
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.operators+"/v1/version", nil)
		if err != nil {
			p.t.Fatal(err)
		}
		if p.do(request) == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("the instance answers no operator %s within %s; log:\n%s", when, hangTimeout, p.logTail())
}

// TestRunConnections guards against connections to a listener that take all descriptors:
// the instance ended, or answered nobody.
func TestRunConnections(t *testing.T) {
	for _, listener := range []string{"callers", "operators", "peers"} {
		t.Run(listener, func(t *testing.T) {
			p := startRun(t, limits{memoryMB: 284, descriptors: 256})
			address := map[string]string{"callers": p.callers, "operators": p.operators, "peers": p.peers}[listener]
			release := hold(t, address, 400, func(net.Conn, int) {})
			p.requireRequest("during the crowd")
			p.requireOperators("during the crowd")
			p.requireWithinLimits()
			release()
			p.requireRequest("after the crowd")
		})
	}
}

// TestRunCallersBodies guards against bodies that are kept to be sent again, and that
// together take more memory than the instance has.
func TestRunCallersBodies(t *testing.T) {
	p := startRun(t, small)
	head := fmt.Sprintf("PUT /v1/services/dispatch/orders HTTP/1.1\r\nHost: h\r\nMangodrum-Team: /bureau/dispatch\r\nContent-Length: %d\r\n\r\n", 65_000)
	body := spaces(64_999)
	release := hold(t, p.callers, 1500, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head+body) })
	p.requireRequest("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireRequest("after the crowd")
}

// TestRunOperatorsBodies guards against bodies to the operators' listener that together take
// more memory than the instance has.
func TestRunOperatorsBodies(t *testing.T) {
	p := startRun(t, small)
	const size = 4_000_000
	head := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", size)
	body := spaces(size - 1)
	release := hold(t, p.operators, 60, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head+body) })
	p.requireRequest("during the crowd")
	p.requireOperators("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireOperators("after the crowd")
}

// TestRunPeerMessages guards against messages to the peers' listener whose last bytes never
// come.
func TestRunPeerMessages(t *testing.T) {
	p := startRun(t, small)
	release := p.holdMessages()
	p.requireRequest("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireRequest("after the crowd")
}
