package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	queueHost    = "queues.example"
	queuePrefix  = "/doors/"
	restartDelay = time.Second // the platform starts a process that was killed again
	clientTime   = 3 * time.Second
)

// instance is one process of the system.
type instance struct {
	name, front, ready string
	settings           string
	log                *os.File

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	stopped bool // is not started again
}

// cell is a small deployment: the store, the executors and the instances.
type cell struct {
	rec       *recorder
	store     *store
	executors []*executor
	instances []*instance
	binary    string
	dir       string
	storeNext int
	client    *http.Client
	jobs      int
}

func newCell(rec *recorder, binary, snapshot string, executors, instances int, firstStart bool) (*cell, error) {
	c := &cell{rec: rec, store: newStore(rec), binary: binary, client: &http.Client{Timeout: clientTime + 500*time.Millisecond}}
	if snapshot != "" {
		if err := c.store.load(snapshot); err != nil {
			return nil, err
		}
	}
	var err error
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	c.writeConfig(1)
	for n := range executors {
		e, err := newExecutor(n, c.store, rec)
		if err != nil {
			return nil, err
		}
		c.executors = append(c.executors, e)
	}
	time.Sleep(heartbeatTime) // all have registered
	for n := range instances {
		if err := c.addInstance(n, firstStart); err != nil {
			return nil, err
		}
	}
	for _, i := range c.instances {
		if err := i.start(c.binary); err != nil {
			return nil, err
		}
	}
	return c, c.waitReady()
}

func (c *cell) writeConfig(version int) {
	c.store.put(operatorTable, "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "work", "host": queueHost, "pathPrefix": queuePrefix, "service": serviceName, "kind": "non_idempotent",
			"timeoutMs": 3000, "sloMs": 3000, "maxAttempts": 4, "priority": 1, "stretchFactor": 4.0,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "enforceLimits": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
}

// freePorts returns the first of n consecutive free ports. They lie below the range
// from which the kernel takes the ports of clients, so that none of these can take
// the port of a process while it is down.
func freePorts(n int) (int, error) {
	const lowest, highest = 12000, 31000
	for range 500 {
		port := lowest + rand.IntN(highest-lowest)
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
			return port, nil
		}
	}
	return 0, fmt.Errorf("found no free ports")
}

func (c *cell) addInstance(n int, firstStart bool) error {
	port, err := freePorts(5)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-a-%d", n)
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(storeListener, c.store.handler(name)) }()
	i := &instance{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1),
		settings: filepath.Join(c.dir, name+".yaml"),
	}
	text := fmt.Sprintf(`node: %q
role: "front"
machineClass: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: "a"
region: "r"
zones: {a: "r"}
listen: {front: %q, ready: %q}
portRange: [%d, %d]
seeds: []
bootstrap: %t
inTolerance: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entrypoint: "vip"
heartbeatMs: 1500
policies: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
faultTolerance: {machines: 2, zones: 0, regions: 0}
thresholds: {seedLagS: 3, reuseAfterS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 3000, graceS: 6, lossSlackMs: 200, configMs: 3000, downgradeMs: 250, maxSkewMs: 6000, recoverS: 12, holdMaxMs: 6000, stopMs: 900, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3, saveS: 1, restoreMs: 250, warningMs: 5500, moveS: 1.5, maintenanceS: 2, requireFence: false, leaseMs: 3000, thawMs: 300, paceMs: 100, interferenceMs: 4000}
commands: "push"
advisor: %q
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, txMs: 8.0, partWritesS: 150, rowBytes: 65536, crossShard: false, retentionS: 20, blobBytes: 8388608, blobMs: 25.0, blobMbS: 80.0}
`, name, i.front, i.ready, port+2, port+4, firstStart, storeListener.Addr(), storeListener.Addr())
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		if i.log, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
			return err
		}
	}
	c.instances = append(c.instances, i)
	return nil
}

// start runs the command of the deploy file, "target/mangodrumd serve".
func (i *instance) start(binary string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return nil
	}
	command := exec.Command(binary, "serve")
	command.Dir = filepath.Dir(filepath.Dir(binary))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGODRUM_NODE_FILE=" + i.settings}
	if i.log != nil {
		command.Stdout, command.Stderr = i.log, i.log
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.command, i.done = command, done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// kill kills the process and starts it again after a short delay, as the platform
// does.
func (c *cell) kill(i *instance) {
	c.rec.note("trouble", "SIGKILL to %s, which last wrote to the store under a condition", i.name)
	i.signal(syscall.SIGKILL)
	go func() {
		<-i.done
		time.Sleep(restartDelay)
		if err := i.start(c.binary); err != nil {
			c.rec.note("trouble", "cannot start %s again: %v", i.name, err)
		}
	}()
}

// leader returns the instance that last wrote to the store under a condition.
func (c *cell) leader() *instance {
	name := c.store.writer()
	for _, i := range c.instances {
		if i.name == name {
			return i
		}
	}
	return c.instances[0]
}

func (c *cell) close() {
	for _, i := range c.instances {
		i.mu.Lock()
		i.stopped = true
		i.mu.Unlock()
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		if i.done != nil {
			<-i.done
		}
	}
	_ = os.RemoveAll(c.dir)
}

func (c *cell) waitReady() error {
	deadline := time.Now().Add(12 * time.Second)
	for _, i := range c.instances {
		for {
			response, err := c.client.Get("http://" + i.ready + "/-/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 12 s", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"memMb"`
	EstimateMs  int   `json:"estimateMs"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

type job struct {
	Spec           string `json:"spec"`
	Steps          []step `json:"steps"`
	Times          int    `json:"times,omitempty"`
	InitialDelayMs int64  `json:"initialDelayMs,omitempty"`
	IntervalMs     int64  `json:"intervalMs,omitempty"`
}

func (c *cell) newID() string {
	c.jobs++
	return fmt.Sprintf("%08x%08x", 0x5eed0000+c.jobs, c.jobs)
}

// call sends one request of a client. It returns status 0 without an answer.
func (c *cell) call(i *instance, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+i.front+queuePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		c.rec.note("client", "%s %s at %s: no answer (%v)", method, id, i.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.rec.note("client", "%s %s at %s: broken answer", method, id, i.name)
		return 0, ""
	}
	c.rec.note("client", "%s %s at %s: %d %s", method, id, i.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// submit hands a job in, with up to four more attempts at other instances.
func (c *cell) submit(id string, j job) bool {
	data, _ := json.Marshal(j)
	c.rec.note("client", "job %s is %s", id, data)
	for attempt := range 5 {
		status, _ := c.call(c.instances[attempt%len(c.instances)], http.MethodPost, id, j)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job at one instance after the other.
func (c *cell) state(id string) string {
	for _, i := range c.instances {
		if status, text := c.call(i, http.MethodGet, id, nil); status == http.StatusOK {
			var answer struct{ State string }
			_ = json.Unmarshal([]byte(text), &answer)
			return answer.State
		} else if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// waitState waits until a job is shown in a state.
func (c *cell) waitState(id, want string, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if c.state(id) == want {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
