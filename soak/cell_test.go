package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
	"github.com/mangodrum/mangodrum/platform/wire"
)

// process is one instance as a process of its own.
type process struct {
	name     string
	config   string
	callers  string
	store    *proxy // its way to the store
	log      *os.File
	harm     sync.Mutex // held by the fault that stops the process
	mu       sync.Mutex
	command  *exec.Cmd
	finished chan struct{}
}

// testCell is a stand-in platform with instances as processes.
type testCell struct {
	t         *testing.T
	platform  *platformtest.Platform
	mu        sync.Mutex
	proxies   map[string]*proxy // of workers, by their own address
	processes []*process
}

func startCell(t *testing.T, instances, workers int) *testCell {
	t.Helper()
	c := &testCell{t: t, proxies: map[string]*proxy{}}
	var err error
	if c.platform, err = platformtest.Start(workers, c.route); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	folder := os.Getenv("SOAK_LOGS") // kept there, for a seed that fails
	if folder == "" {
		folder = t.TempDir()
	}
	for n := range instances {
		c.addProcess(folder, n)
	}
	for _, p := range c.processes {
		p.start(t)
	}
	return c
}

// route puts a proxy in front of a worker.
func (c *testCell) route(address string) string {
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

// freePorts returns the first of n ports in a row that were free.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range 100 {
		first, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		opened := []net.Listener{first}
		for k := 1; k < n; k++ {
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
	t.Fatal("no free ports in a row")
	return 0
}

func (c *testCell) addProcess(folder string, n int) {
	store, err := newProxy(c.platform.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	port := freePorts(c.t, 4)
	p := &process{
		name: fmt.Sprintf("instance-%d", n), callers: fmt.Sprintf("127.0.0.1:%d", port), store: store,
		config: filepath.Join(folder, fmt.Sprintf("instance-%d.yaml", n)),
	}
	settings := c.platform.Settings(platformtest.Instance{
		Name: p.name, Callers: p.callers, Ready: fmt.Sprintf("127.0.0.1:%d", port+1), FirstPort: port + 2, LastPort: port + 3,
		Store: store.address(),
	})
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(folder, p.name+".log")); err != nil {
		c.t.Fatal(err)
	}
	c.processes = append(c.processes, p)
}

// binary is the daemon that TestMain builds.
var binary string

func (p *process) start(t *testing.T) {
	t.Helper()
	command := exec.Command(binary, "serve")
	command.Env = append(os.Environ(), wire.SettingsVariable+"="+p.config)
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
		_ = command.Wait() // ends by a signal of the test
		close(finished)
	}()
}

// signal sends a signal to the process and returns the channel of its end.
func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // it may have ended already
	return p.finished
}

func (c *testCell) close() {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		<-p.signal(syscall.SIGKILL)
		p.store.close()
		_ = p.log.Close()
	}
	for _, p := range c.workerProxies() {
		p.close()
	}
	c.platform.Close()
}

// restart stops a process with a signal and starts it again.
func (c *testCell) restart(p *process, s syscall.Signal, away time.Duration) {
	const longestStop = 8 * time.Second
	select {
	case <-p.signal(s):
	case <-time.After(longestStop):
		c.t.Errorf("%s has not ended %s after signal %d", p.name, longestStop, s)
		<-p.signal(syscall.SIGKILL)
	}
	time.Sleep(away)
	p.start(c.t)
}
