package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names and figures of the deployment.
const (
	serviceName = "door-dispatch"
	hostName    = "nony24.example"
	grace       = 6 * time.Second
	daemonPath  = "target/mangodrumd"
)

// queues are the routes of the configuration, by name.
var queues = map[string]string{"urgent": "/fault-order/", "batch": "/recal-batch/"}

// instance is a process of the system.
type instance struct {
	name         string
	settingsPath string
	front, ready string
	store        *proxy
	log          *os.File
	record       *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// cell is a small deployment: a store, executors and instances.
type cell struct {
	record    *record
	dir       string
	store     *store
	jobs      *jobBook
	executors []*executor
	instances []*instance
}

type cellOptions struct {
	instances   int
	executors   int
	kindOf      func(n int) string
	storeOneWay func(n int) time.Duration // latency between an instance and the store
}

func startCell(r *record, o cellOptions) (*cell, error) {
	dir, err := os.MkdirTemp("", "mangodrum-review-")
	if err != nil {
		return nil, err
	}
	c := &cell{record: r, dir: dir, jobs: newJobBook()}
	if c.store, err = startStore(r); err != nil {
		return nil, err
	}
	c.writeConfig(1)
	for n := range o.executors {
		kind := "a"
		if o.kindOf != nil {
			kind = o.kindOf(n)
		}
		e := newExecutor(fmt.Sprintf("door-%02d", n), fmt.Sprintf("r1-%d", n/8), kind, resources{CPU: 32_000, MemMB: 131_072}, c.store, c.jobs)
		if err := e.start(kind); err != nil {
			return nil, err
		}
		c.executors = append(c.executors, e)
	}
	for n := range o.instances {
		oneWay := time.Duration(0)
		if o.storeOneWay != nil {
			oneWay = o.storeOneWay(n)
		}
		if err := c.addInstance(n, oneWay); err != nil {
			return nil, err
		}
	}
	for _, i := range c.instances {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	return c, c.awaitReady(15 * time.Second)
}

// writeConfig writes a version of the operator's configuration.
func (c *cell) writeConfig(version int) {
	var routes []map[string]any
	for _, name := range []string{"urgent", "batch"} {
		priority := 0
		if name == "batch" {
			priority = 1
		}
		routes = append(routes, map[string]any{
			"name": name, "host": hostName, "pathPrefix": queues[name], "timeoutMs": 3000, "sloMs": 1200, "service": serviceName,
			"kind": "non_idempotent", "priority": priority, "maxAttempts": 4, "stretchFactor": 2.2,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": serviceName, "enforceLimits": false}},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		panic(err) // the configuration always encodes
	}
	c.store.put("op", "config", data)
}

// portsPerCase is how many consecutive ports a case takes at most, and portSlots how many such
// ranges there are below the ports that the system takes by itself. Cases that run side by
// side have other process identifiers and begin at other ranges.
const (
	firstPort    = 12_000
	portsPerCase = 60
	portSlots    = 300
)

// freePorts returns the first of portsPerCase consecutive free ports.
func freePorts() (int, error) {
	for n := range portSlots {
		port := firstPort + (os.Getpid()+n)%portSlots*portsPerCase
		free := true
		for k := range portsPerCase {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+k))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", portsPerCase)
}

var nextPort int

func (c *cell) addInstance(n int, oneWay time.Duration) error {
	if nextPort == 0 {
		first, err := freePorts()
		if err != nil {
			return err
		}
		nextPort = first
	}
	port := nextPort
	nextPort += 6
	storeProxy, err := startProxy(c.store.address(), oneWay)
	if err != nil {
		return err
	}
	i := &instance{
		name: fmt.Sprintf("front-%d", n+1), record: c.record, store: storeProxy,
		front: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1),
	}
	i.settingsPath = filepath.Join(c.dir, i.name+".yaml")
	if i.log, err = os.Create(filepath.Join(c.dir, i.name+".log")); err != nil {
		return err
	}
	zone := []string{"ishikari", "kamikawa", "oshima"}[n%3]
	settings := fmt.Sprintf(`node: %q
role: "front"
machineClass: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: "%s-a"
region: %q
zones: {ishikari-a: "ishikari", kamikawa-a: "kamikawa", oshima-a: "oshima"}
listen: {front: %q, ready: %q}
portRange: [%d, %d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entrypoint: "vip"
heartbeatMs: 1500
faultTolerance: {machines: 2, zones: 0, regions: 0}
thresholds: {contactMs: 4000, ackMs: 5000, drainMs: 3000, graceS: 6, lossSlackMs: 200, configMs: 3000, holdMaxMs: 6000, stopMs: 900, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120}
commands: "push"
advisor: "127.0.0.1:9"
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, txMs: 8.0, partWritesS: 150, rowBytes: 65536, crossShard: false, retentionS: 20}
`, i.name, zone, zone, i.front, i.ready, port+2, port+5, storeProxy.address())
	if err := os.WriteFile(i.settingsPath, []byte(settings), 0o600); err != nil {
		return err
	}
	c.instances = append(c.instances, i)
	return nil
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	command := exec.Command(daemonPath, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MANGODRUM_NODE_FILE=" + i.settingsPath}
	command.Stdout, command.Stderr = i.log, i.log
	if err := command.Start(); err != nil {
		return err
	}
	rememberProcess(command.Process)
	ended := make(chan struct{})
	i.command, i.ended = command, ended
	i.record.note("%s: started", i.name)
	go func() {
		_ = command.Wait()
		i.record.note("%s: the process has ended: %s", i.name, command.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process and returns the channel that is closed when the
// process has ended.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Signal(s)
	}
	return i.ended
}

func (i *instance) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *cell) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range c.instances {
			if i.hasEnded() {
				return fmt.Errorf("%s has ended at its start", i.name)
			}
			if i.isReady() {
				ready++
			}
		}
		if ready == len(c.instances) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d instances are ready after %s", ready, len(c.instances), timeout)
		}
	}
}

// writerInstance returns the instance that last wrote to the store under a condition.
func (c *cell) writerInstance() *instance {
	address := c.store.lastWriter()
	for _, i := range c.instances {
		if i.store.dialled(address) {
			return i
		}
	}
	return nil
}

// close ends all processes. With keepLogs set in the environment, their logs stay.
func (c *cell) close() {
	for _, i := range c.instances {
		if i.command != nil {
			<-i.signal(syscall.SIGKILL)
		}
		i.store.close()
		_ = i.log.Close()
	}
	for _, e := range c.executors {
		e.mu.Lock()
		server := e.server
		e.up = false
		e.mu.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
	c.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

var (
	processesMu sync.Mutex
	processes   []*os.Process
)

func rememberProcess(p *os.Process) {
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, p)
}

// killProcesses kills all processes that were started. Those that have ended are not
// signalled.
func killProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.Kill()
	}
}
