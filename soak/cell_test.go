package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// process is an instance that runs as a separate process.
type process struct {
	name          string
	settingsPath  string
	callerAddress string
	storeProxy    *proxy // forwards its connections to the store
	log           *os.File
	faultMu       sync.Mutex // held while a fault stops or pauses the process
	mu            sync.Mutex
	command       *exec.Cmd
	finished      chan struct{}
}

// testCell is a simulated platform with instances as separate processes.
type testCell struct {
	t         *testing.T
	platform  *platformtest.Platform
	mu        sync.Mutex
	proxies   map[string]*proxy // proxies of the workers, by the worker's real address
	processes []*process
}

func startCell(t *testing.T, instances, workers int) *testCell {
	t.Helper()
	return startCellWith(t, instances, workers, platformtest.Options{})
}

// startCellWith is startCell for a platform with the given options.
func startCellWith(t *testing.T, instances, workers int, options platformtest.Options) *testCell {
	t.Helper()
	c := &testCell{t: t, proxies: map[string]*proxy{}}
	var err error
	if c.platform, err = platformtest.StartWith(workers, c.proxyAddress, options); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	dir := os.Getenv("SOAK_LOGS") // keeps the logs there, to examine a seed that fails
	if dir == "" {
		dir = t.TempDir()
	}
	for n := range instances {
		c.addProcess(dir, n)
	}
	for _, p := range c.processes {
		p.start(t)
	}
	return c
}

// proxyAddress returns the address of the proxy for the worker at address. It
// starts the proxy if there is none yet.
func (c *testCell) proxyAddress(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.proxies[address]
	if p == nil {
		var err error
		if p, err = newProxy(address); err != nil {
			c.t.Error(err)
			return address
		}
		c.proxies[address] = p
	}
	return p.address()
}

func (c *testCell) workerProxies() []*proxy {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*proxy, 0, len(c.proxies))
	for _, p := range c.proxies {
		list = append(list, p)
	}
	return list
}

const (
	// Instances listen below the ports that the system assigns by itself: while one is down,
	// its ports must not go to another listener or connection.
	firstInstancePort   = 10_000
	portsPerTestProcess = 80
	testProcessSlots    = 250
)

var nextInstancePort atomic.Int64

// freePorts returns the first of n consecutive ports that were free. Test processes that
// run side by side use different ports, so that no caller reaches an instance of another.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	slot := firstInstancePort + os.Getpid()%testProcessSlots*portsPerTestProcess
	for range portsPerTestProcess / n {
		port := slot + int(nextInstancePort.Add(int64(n))-int64(n))%(portsPerTestProcess/n*n)
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

func (c *testCell) addProcess(dir string, n int) {
	store, err := newProxy(c.platform.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	port := freePorts(c.t, 4)
	p := &process{
		name: fmt.Sprintf("instance-%d", n), callerAddress: fmt.Sprintf("127.0.0.1:%d", port), storeProxy: store,
		settingsPath: filepath.Join(dir, fmt.Sprintf("instance-%d.yaml", n)),
	}
	settings := c.platform.Settings(platformtest.Instance{
		Name: p.name, CallerAddress: p.callerAddress, ReadinessAddress: fmt.Sprintf("127.0.0.1:%d", port+1), FirstPort: port + 2, LastPort: port + 3,
		StoreAddress: store.address(),
	})
	if err := os.WriteFile(p.settingsPath, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(dir, p.name+".log")); err != nil {
		c.t.Fatal(err)
	}
	c.processes = append(c.processes, p)
}

// daemonPath is the path of the daemon, which TestMain builds unless SOAK_DAEMON
// names one.
var daemonPath string

func (p *process) start(t *testing.T) {
	t.Helper()
	command := exec.Command(daemonPath, "serve")
	command.Env = append(os.Environ(), wire.SettingsVariable+"="+p.settingsPath)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		t.Error(err)
		return
	}
	finished := make(chan struct{})
	p.mu.Lock()
	p.command, p.finished = command, finished
	p.mu.Unlock()
	go func() {
		_ = command.Wait() // the error is expected: a signal of the test ends the process
		close(finished)
	}()
}

// signal sends a signal to the process and returns a channel that is closed when
// the process has ended.
func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // the process may have ended already
	return p.finished
}

// signalWhileStopping sends the signals that may follow a SIGTERM: the settings file changes, and
// the stop is asked for again. None of them may end the process sooner.
func (p *process) signalWhileStopping(finished <-chan struct{}) {
	const interval = 200 * time.Millisecond
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		select {
		case <-finished:
			return
		case <-time.After(interval):
			p.signal(s)
		}
	}
}

func (c *testCell) close() {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		<-p.signal(syscall.SIGKILL)
		p.storeProxy.close()
		_ = p.log.Close()
	}
	for _, p := range c.workerProxies() {
		p.close()
	}
	c.platform.Close()
}

// restart stops a process with a signal and starts it again after downtime.
func (c *testCell) restart(p *process, s syscall.Signal, downtime time.Duration) {
	const stopTimeout = 8 * time.Second
	finished := p.signal(s)
	if s == syscall.SIGTERM {
		p.signalWhileStopping(finished)
	}
	select {
	case <-finished:
		if code := p.command.ProcessState.ExitCode(); s == syscall.SIGTERM && code != 0 {
			c.t.Errorf("%s has ended with exit code %d (-1: killed) after SIGTERM and the signals after it, want 0", p.name, code)
		}
	case <-time.After(stopTimeout):
		c.t.Errorf("%s is still running %s after signal %d", p.name, stopTimeout, s)
		<-p.signal(syscall.SIGKILL)
	}
	time.Sleep(downtime)
	p.start(c.t)
}
