package daemon

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// serveSettings returns the settings of an instance on the platform whose store does not
// answer, and the address for callers.
func serveSettings(t *testing.T) (text, callers string) {
	t.Helper()
	base := freePortBase(t)
	callers = fmt.Sprintf("127.0.0.1:%d", base)
	return fmt.Sprintf(`node: "n1"
ip: "127.0.0.1"
zone: "a"
region: "r"
listen: {front: %q, ready: "127.0.0.1:%d"}
portRange: [%d, %d]
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284}
commands: "push"
platform: {address: %q, form: "table"}
thresholds: {graceS: 6.0, holdMaxMs: 6000}
`, callers, base+1, base+2, base+3, closedPort(t)), callers
}

// closedPort returns an address at which nothing listens.
func closedPort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// waitListening waits until an address accepts connections.
func waitListening(t *testing.T, address string) {
	t.Helper()
	eventually(t, address+" accepts connections", func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// startServe starts an instance on the platform and waits until it accepts callers.
func startServe(t *testing.T) *process {
	t.Helper()
	text, callers := serveSettings(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p, _ := startProcess(t, "serve --config "+path)
	waitListening(t, callers)
	return p
}

// signalUntilEnd sends a signal every 100 ms until the process ends, and returns how long
// that took.
func (p *process) signalUntilEnd(t *testing.T, s syscall.Signal) time.Duration {
	t.Helper()
	started := time.Now()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.ended:
			return time.Since(started)
		case <-ticker.C:
			_ = p.command.Process.Signal(s) // fails if the process has just ended
		}
	}
}

// TestHangupDuringShutdownCutsNothing guards against an instance that is killed by a SIGHUP
// while it drains, with the requests that it is answering (review/8).
func TestHangupDuringShutdownCutsNothing(t *testing.T) {
	p := startServe(t)
	p.signal(t, syscall.SIGTERM)
	p.signalUntilEnd(t, syscall.SIGHUP)
	if p.code != ExitDone {
		t.Errorf("exit code %d (-1: killed) after SIGTERM and SIGHUP, want %d", p.code, ExitDone)
	}
}

// TestRepeatedSigtermCutsNothing guards against an instance that ends its drain at the
// second SIGTERM, with the requests that it is answering. Only a SIGINT after the first
// signal ends it.
func TestRepeatedSigtermCutsNothing(t *testing.T) {
	p := startServe(t)
	p.signal(t, syscall.SIGTERM)
	const shortestDrain = 2 * time.Second // the load balancer needs as long to send callers elsewhere
	if took := p.signalUntilEnd(t, syscall.SIGTERM); p.code != ExitDone || took < shortestDrain {
		t.Errorf("exit code %d after %s of repeated SIGTERM, want %d after a whole drain", p.code, took, ExitDone)
	}
	p = startServe(t)
	p.signal(t, syscall.SIGTERM)
	if took := p.signalUntilEnd(t, syscall.SIGINT); p.code != ExitFailed || took > shortestDrain {
		t.Errorf("exit code %d, %s after SIGTERM and SIGINT, want %d at once", p.code, took, ExitFailed)
	}
}

// TestHangupDuringStartIsKept guards against an instance that is killed by a SIGHUP before
// it has read its settings.
func TestHangupDuringStartIsKept(t *testing.T) {
	text, callers := serveSettings(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p, _ := startProcess(t, "serve --config "+path)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process opens the file
	if err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString(text); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	waitListening(t, callers)
	p.signal(t, syscall.SIGTERM)
	<-p.ended
	if p.code != ExitDone {
		t.Errorf("exit code %d (-1: killed) after SIGHUP and SIGTERM, want %d", p.code, ExitDone)
	}
}

// TestHangupEndsNoInstance guards against an instance of the product's own interface that is
// killed by a SIGHUP, before or during its drain. The stand-in stops in order.
func TestHangupEndsNoInstance(t *testing.T) {
	c := startProcesses(t)
	p := c.instances[0]
	p.signal(t, syscall.SIGHUP)
	c.waitServing(0)
	p.signal(t, syscall.SIGTERM)
	p.signalUntilEnd(t, syscall.SIGHUP)
	if p.code != ExitDone {
		t.Errorf("exit code %d (-1: killed) after SIGHUP, SIGTERM and SIGHUP, want %d", p.code, ExitDone)
	}
	standin, out := startProcess(t, "standin --example bureau --listen 127.0.0.1:0")
	if _, err := out.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	standin.signal(t, syscall.SIGHUP)
	<-standin.ended
	if standin.code != ExitDone {
		t.Errorf("exit code %d (-1: killed) of the stand-in after SIGHUP, want %d", standin.code, ExitDone)
	}
}

// TestClosedLogEndsNothing guards against an instance that is killed by SIGPIPE, with the
// requests that it is answering, when the reader of its log goes away.
func TestClosedLogEndsNothing(t *testing.T) {
	text, callers := serveSettings(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := startProcessTo(t, "serve --config "+path, writer)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := reader.Close(); err != nil { // the first line of the log finds no reader
		t.Fatal(err)
	}
	waitListening(t, callers)
	p.signal(t, syscall.SIGTERM) // the drain logs several lines
	<-p.ended
	if p.code != ExitDone {
		t.Errorf("exit code %d (-1: killed) without a reader of the log, want %d", p.code, ExitDone)
	}
}
