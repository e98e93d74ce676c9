package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// daemonPath is the path of the daemon, which TestMain builds unless CROWD_DAEMON names
// another build to compare with.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonPath = os.Getenv("CROWD_DAEMON")
	if daemonPath == "" {
		daemonPath = filepath.Join(dir, "mangodrumd")
		if out, err := exec.Command("go", "build", "-o", daemonPath, "../cmd/mangodrumd").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// limits are those of each instance of a test.
type limits struct {
	memoryMB    int
	descriptors int // also set as the limit of the process
}

// process is an instance that runs as a separate process.
type process struct {
	t         *testing.T
	name      string
	limits    limits
	callers   string // addresses of its listeners
	readiness string
	peers     string
	metrics   string
	logPath   string
	command   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
}

// hangTimeout is how long a test waits for something that an instance does within a second
// in calm. It only ends tests that would hang.
const hangTimeout = 2 * time.Minute

var nextPort atomic.Int64

// freePorts returns the first of n consecutive ports that nothing listens on.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	const first, last = 31_000, 32_700 // below the ports that the system assigns by itself
	for range (last - first) / n {
		port := first + int(nextPort.Add(int64(n))-int64(n))%(last-first)
		var opened []net.Listener
		for k := range n {
			if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+k)); err == nil {
				opened = append(opened, l)
			}
		}
		for _, l := range opened {
			_ = l.Close()
		}
		if len(opened) == n {
			return port
		}
	}
	t.Fatal("found no consecutive free ports")
	return 0
}

// startCell starts a platform and instances with the given limits, and waits until each of
// them answers.
func startCell(t *testing.T, instances int, l limits) []*process {
	t.Helper()
	platform, err := platformtest.Start(4, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	dir := t.TempDir()
	var list []*process
	for n := range instances {
		port := freePorts(t, 4)
		address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
		p := &process{
			t: t, name: fmt.Sprintf("instance-%d", n), limits: l, callers: address(0), readiness: address(1), peers: address(2), metrics: address(3),
			logPath: filepath.Join(dir, fmt.Sprintf("instance-%d.log", n)), ended: make(chan struct{}),
		}
		settings := platform.Settings(platformtest.Instance{
			Name: p.name, CallerAddress: p.callers, ReadinessAddress: p.readiness, FirstPort: port + 2, LastPort: port + 3,
			MemoryMB: l.memoryMB, Descriptors: l.descriptors,
		})
		path := filepath.Join(dir, p.name+".yaml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		p.start(path)
		list = append(list, p)
	}
	for _, p := range list {
		p.requireAnswer("before the crowd")
	}
	return list
}

func (p *process) start(settingsPath string) {
	p.startCommand("serve", wire.SettingsVariable+"="+settingsPath)
}

// startCommand starts the daemon with arguments and, if not empty, one more variable in its
// environment. The end of the test kills it.
func (p *process) startCommand(arguments, variable string) {
	log, err := os.Create(p.logPath)
	if err != nil {
		p.t.Fatal(err)
	}
	p.command = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q %s", p.limits.descriptors, daemonPath, arguments))
	p.command.Env = os.Environ()
	if variable != "" {
		p.command.Env = append(p.command.Env, variable)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // the error is expected: the test kills the process
		_ = log.Close()
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL) // the process may have ended already
		<-p.ended
		if kept := os.Getenv("CROWD_LOGS"); kept != "" {
			data, err := os.ReadFile(p.logPath)
			if err == nil {
				_ = os.WriteFile(filepath.Join(kept, p.t.Name()+"-"+p.name+".log"), data, 0o600)
			}
		}
	})
}

var nextJob atomic.Uint64

// jobID returns a job identifier that no other call returns.
func jobID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), nextJob.Add(1)) }

// jobPath returns the path of a job of the urgent queue.
func jobPath(id string) string { return platformtest.Prefix + "urgent/" + id }

// ordinaryJob is the body of a small job.
func ordinaryJob() []byte {
	body, _ := json.Marshal(wire.Submission{Spec: "spec", Steps: []wire.Step{{Count: 1, CPU: 100, MemMB: 16, EstimateMs: 100}}})
	return body
}

// submit submits a job on a connection of its own and returns the status of the answer,
// or 0 without one.
func (p *process) submit(id string, body []byte) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+jobPath(id), bytes.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return 0
	}
	return p.do(request)
}

// do sends a request of a caller on a connection of its own and returns the status of the
// answer, or 0 without one.
func (p *process) do(request *http.Request) int {
	request.Host = platformtest.Host
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// requireAnswer fails the test unless the instance accepts an ordinary job. Like a caller,
// it sends the job again after a refusal or without an answer.
func (p *process) requireAnswer(when string) {
	p.t.Helper()
	id, last := jobID(), 0
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if !p.isAlive() {
			p.t.Fatalf("%s has ended %s; log:\n%s", p.name, when, p.logTail())
		}
		if last = p.submit(id, ordinaryJob()); last == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s accepts no ordinary job %s within %s, last status %d; log:\n%s", p.name, when, hangTimeout, last, p.logTail())
}

// requireReady fails the test unless the readiness probe is answered with 200.
func (p *process) requireReady(when string) {
	p.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + p.readiness + wire.PathReadiness)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s is not ready %s within %s; log:\n%s", p.name, when, hangTimeout, p.logTail())
}

func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// requireWithinLimits fails the test if the process has ended, has ever used more memory
// than its limit, or has more descriptors open than its limit leaves it. One kept free shows
// that accepting a connection cannot fail for want of one.
func (p *process) requireWithinLimits() {
	p.t.Helper()
	if !p.isAlive() {
		p.t.Fatalf("%s has ended; log:\n%s", p.name, p.logTail())
	}
	memory := p.peakMemoryMB()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Logf("%s: peak memory %d MB of %d, %d descriptors of %d", p.name, memory, p.limits.memoryMB, len(open), p.limits.descriptors)
	if memory > p.limits.memoryMB {
		p.t.Errorf("%s has used %d MB, over its limit of %d MB", p.name, memory, p.limits.memoryMB)
	}
	if len(open) >= p.limits.descriptors {
		p.t.Errorf("%s has %d descriptors open, all of its limit of %d", p.name, len(open), p.limits.descriptors)
	}
}

// peakMemoryMB returns the largest resident memory that the process has had.
func (p *process) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		p.t.Fatalf("%s has no VmHWM", p.name)
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kilobytes >> 10
}

// logTail returns the end of the log of the process.
func (p *process) logTail() string {
	const size = 3000
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-size):])
}

// hold opens connections to address and calls play on each of them. It returns a function
// that closes them, once play has returned on all.
func hold(t *testing.T, address string, connections int, play func(conn net.Conn, n int)) (release func()) {
	t.Helper()
	const atATime = 64
	conns := make([]net.Conn, connections)
	next, done := make(chan int), make(chan struct{})
	for range atATime {
		go func() {
			for n := range next {
				conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
				if err == nil { // a refused connection is allowed
					conns[n] = conn
					_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
					play(conn, n)
				}
			}
			done <- struct{}{}
		}()
	}
	for n := range connections {
		next <- n
	}
	close(next)
	for range atATime {
		<-done
	}
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// postHead returns the head of the submission of a job with further header lines, each of
// which ends with CRLF.
func postHead(headers string) string {
	return "POST " + jobPath(jobID()) + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n" + headers + "\r\n"
}

// requireAlive fails the test unless the instance answers a request that needs its leader:
// a queue's length, as no further job need be accepted by a full cell.
func (p *process) requireAlive(when string) {
	p.t.Helper()
	last := 0
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if !p.isAlive() {
			p.t.Fatalf("%s has ended %s; log:\n%s", p.name, when, p.logTail())
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+p.callers+jobPath(""), nil)
		if err != nil {
			p.t.Fatal(err)
		}
		if last = p.do(request); last == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s does not answer a caller %s within %s, last status %d; log:\n%s", p.name, when, hangTimeout, last, p.logTail())
}

// waitForTicks waits until the leader has done what its ticks do, by requests that its loop
// answers between them.
func (p *process) waitForTicks() {
	for range 100 {
		p.requireAlive("between ticks")
	}
}
