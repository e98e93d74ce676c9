package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "door-dispatch"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// cell is a small deployment: instances as separate processes, and stand-ins for the rest.
type cell struct {
	rec       *recorder
	judge     *judge
	store     *store
	executors []*executor
	instances []*instance
	proxies   map[[2]int]*peerProxy
	dir       string
	peerPort  int
	latency   time.Duration // between regions, one way
	stopped   chan struct{}
}

// instance is one process of the project.
type instance struct {
	number       int
	name         string
	front, ready string
	path         string // of its settings file
	command      *exec.Cmd
	exited       chan struct{}
	log          *os.File
}

func peerIP(n int) string             { return fmt.Sprintf("127.62.10.%d", 10+n) }
func peerViewIP(reader, n int) string { return fmt.Sprintf("127.62.%d.%d", 20+reader, 10+n) }
func executorIP(n int) string         { return fmt.Sprintf("127.61.10.%d", 10+n) }

// view returns the function that replaces the addresses of instances by those at which
// reader reaches them through its proxies.
func view(reader int) func([]byte) []byte {
	return func(data []byte) []byte {
		if !bytes.Contains(data, []byte("127.62.")) {
			return data
		}
		out := canonical(data)
		out = bytes.ReplaceAll(out, []byte("127.62.10."), []byte(fmt.Sprintf("127.62.%d.", 20+reader)))
		return bytes.ReplaceAll(out, []byte(peerViewIP(reader, reader)), []byte(peerIP(reader)))
	}
}

// canonical replaces the addresses in any view by those at which the instances listen.
func canonical(data []byte) []byte {
	out := bytes.Clone(data)
	for reader := range 10 {
		out = bytes.ReplaceAll(out, []byte(fmt.Sprintf("127.62.%d.", 20+reader)), []byte("127.62.10."))
	}
	return out
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fatal(err)
	}
	return l
}

// freePort returns a port that is free at all the given addresses, as far as is known.
func freePort(ips ...string) int {
next:
	for range 50 {
		l := listen(ips[0] + ":0")
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		for _, ip := range ips {
			for _, p := range []int{port, port + 1} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					continue next
				}
				_ = l.Close()
			}
		}
		return port
	}
	fatal(fmt.Errorf("no free port"))
	return 0
}

// fatal ends the script as one that could not run.
func fatal(err error) {
	fmt.Println("the case could not run:", err)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

var current *cell // for fatal

// startCell starts a cell. The store is in the region of the first instance, and latency is
// the way between two regions.
func startCell(rec *recorder, instances, executors int, latency time.Duration) *cell {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fatal(err)
	}
	c := &cell{rec: rec, judge: newJudge(rec), store: newStore(rec), proxies: map[[2]int]*peerProxy{}, dir: dir, latency: latency, stopped: make(chan struct{})}
	current = c
	c.endWithScript()
	c.writeConfig(1)
	for n := range executors {
		l := &silencer{Listener: listen(executorIP(n) + ":0")}
		e := newExecutor(rec, c.judge, n, 32000, l)
		c.executors = append(c.executors, e)
		go e.serve(l)
		e.beat(c.store)
	}
	go c.runExecutors()
	var ips []string
	for n := range instances {
		ips = append(ips, peerIP(n))
		for m := range instances {
			ips = append(ips, peerViewIP(n, m))
		}
	}
	c.peerPort = freePort(ips...)
	for n := range instances {
		for m := range instances {
			if n == m {
				continue
			}
			p := &peerProxy{listener: listen(fmt.Sprintf("%s:%d", peerViewIP(n, m), c.peerPort)), target: fmt.Sprintf("%s:%d", peerIP(m), c.peerPort), view: view(m), delay: c.oneWay(n, m), pairs: map[*pair]bool{}}
			c.proxies[[2]int{n, m}] = p
			go p.serve()
		}
	}
	for n := range instances {
		c.addInstance(n)
	}
	for _, i := range c.instances {
		c.start(i)
		if i.number == 0 {
			// All machines start within 0.3 s, in any order. The one near the store is first,
			// so it leads.
			time.Sleep(200 * time.Millisecond)
		}
	}
	return c
}

// oneWay returns the latency between two regions.
func (c *cell) oneWay(a, b int) time.Duration {
	if c.region(a) == c.region(b) {
		return 0
	}
	return c.latency
}

// region returns the region of an instance: the first one is alone in the first region, the
// others are in two more.
func (c *cell) region(n int) int { return (n + 1) / 2 }

func (c *cell) writeConfig(version int) {
	c.store.put("op", "config", map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r-3hwrr6x", "host": routeHost, "pathPrefix": routePrefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1200, "priority": 0, "service": serviceName, "maxAttempts": 4, "stretchFactor": 2.2}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// runExecutors lets the tasks work, and writes the executors' entries every 1.5 s. An
// entry is removed after three such intervals of silence.
func (c *cell) runExecutors() {
	const interval = 1500 * time.Millisecond
	beats := map[*executor]time.Time{}
	for _, e := range c.executors {
		beats[e] = time.Now()
	}
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, e := range c.executors {
			e.tick()
			since := time.Since(beats[e])
			switch {
			case !e.isGone() && since >= interval:
				beats[e] = time.Now()
				e.beat(c.store)
			case e.isGone() && since >= 3*interval:
				beats[e] = time.Now().Add(time.Hour)
				c.store.remove("servers", e.id)
			}
		}
	}
}

func (c *cell) addInstance(n int) {
	i := &instance{number: n, name: fmt.Sprintf("front-%d", n)}
	storeListener := listen("127.0.0.1:0")
	go c.store.serve(storeListener, n, c.oneWay(0, n), view(n), canonical)
	port := freePort("127.0.0.1")
	i.front, i.ready = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	i.path = filepath.Join(c.dir, i.name+".yaml")
	settings := fmt.Sprintf(`node: %q
role: "front"
machineClass: "front"
serves: ["front"]
ip: %q
zone: "r%d-a"
region: "r%d"
listen: {front: %q, ready: %q}
portRange: [%d, %d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entrypoint: "vip"
heartbeatMs: 1500
commands: "push"
advisor: "127.0.0.1:9"
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, txMs: 8.0, partWritesS: 150, rowBytes: 65536, crossShard: false, retentionS: 20}
thresholds: {contactMs: 4000, ackMs: 5000, drainMs: 3000, graceS: 6, configMs: 3000, recoverS: 12, holdMaxMs: 6000, stopMs: 900, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120}
`, i.name, peerIP(n), c.region(n), c.region(n), i.front, i.ready, c.peerPort, c.peerPort+1, storeListener.Addr().String())
	if err := os.WriteFile(i.path, []byte(settings), 0o600); err != nil {
		fatal(err)
	}
	log, err := os.Create(filepath.Join(c.dir, i.name+".log"))
	if err != nil {
		fatal(err)
	}
	i.log = log
	c.instances = append(c.instances, i)
}

// start starts the process of an instance with the command of the deploy file.
func (c *cell) start(i *instance) {
	i.command = exec.Command("target/mangodrumd", "serve")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MANGODRUM_NODE_FILE=" + i.path}
	i.command.Stdout, i.command.Stderr = i.log, i.log
	if err := i.command.Start(); err != nil {
		fatal(err)
	}
	exited := make(chan struct{})
	i.exited = exited
	command := i.command
	go func() { _ = command.Wait(); close(exited) }()
	c.rec.log("start of instance %d", i.number)
}

func (c *cell) signal(i *instance, s syscall.Signal) {
	c.rec.log("signal %v to instance %d", s, i.number)
	_ = i.command.Process.Signal(s)
}

// endWithScript ends all processes if the script is told to end, or takes too long.
func (c *cell) endWithScript() {
	const longest = 115 * time.Second
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-told:
			fatal(fmt.Errorf("%v", s))
		case <-time.After(longest):
			fatal(fmt.Errorf("it takes longer than %v", longest))
		}
	}()
}

// close ends all processes.
func (c *cell) close() {
	for _, i := range c.instances {
		if i.command == nil || i.command.Process == nil {
			continue
		}
		_ = i.command.Process.Signal(syscall.SIGCONT)
		_ = i.command.Process.Kill()
		<-i.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(c.dir, keep)
	}
	_ = os.RemoveAll(c.dir)
}

// waitReady waits until all instances are in rotation.
func (c *cell) waitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range c.instances {
		for {
			response, err := http.Get("http://" + i.ready + "/-/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fatal(fmt.Errorf("instance %d is not ready", i.number))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.rec.log("all instances are ready")
}

// isReady makes one readiness probe.
func (c *cell) isReady(i *instance) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call makes one request of a client, on a connection of its own, and returns the status and
// the body, or 0 and the error.
func (c *cell) call(i *instance, method, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+i.front+routePrefix+id, strings.NewReader(body))
	if err != nil {
		fatal(err)
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	status, answer := 0, ""
	response, err := client.Do(request)
	if err != nil {
		answer = err.Error()
	} else {
		data := new(bytes.Buffer)
		_, _ = data.ReadFrom(response.Body)
		_ = response.Body.Close()
		status, answer = response.StatusCode, data.String()
	}
	c.rec.log("client: %s %s at instance %d: %d %s (%.0f ms)", method, id, i.number, status, answer, time.Since(began).Seconds()*1000)
	return status, answer
}

// submit hands a job of one step in, at one instance after the other until it is accepted.
func (c *cell) submit(of *job, step string, first int) bool {
	return c.submitBody(of, fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, of.spec, step), first)
}

// submitTimed hands a job in that runs once at the given time.
func (c *cell) submitTimed(of *job, step string, due time.Time, first int) bool {
	return c.submitBody(of, fmt.Sprintf(`{"spec":%q,"steps":[%s],"times":1,"initialDelayMs":%d}`, of.spec, step, due.UnixMilli()), first)
}

func (c *cell) submitBody(of *job, body string, first int) bool {
	c.judge.add(of)
	for try := range 5 {
		status, _ := c.call(c.instances[(first+try)%len(c.instances)], http.MethodPost, of.id, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
