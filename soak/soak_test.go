package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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

var (
	seeds     = flag.Int("seeds", 1, "number of seeds to run")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	// unreachedStarts adds late start requests that no leader can prevent; see
	// TestLateStartRunsNoEndedTask.
	unreachedStarts = flag.Bool("unreached-starts", false, "late start requests are also carried out by incarnations that no leader has reached")
	faultDuration   = flag.Duration("length", 8*time.Second, "how long each seed submits jobs and injects faults")
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonPath = os.Getenv("SOAK_DAEMON") // plays the same faults against another build
	if daemonPath == "" {
		daemonPath = filepath.Join(dir, "mangodrumd")
		out, err := exec.Command("go", "build", "-o", daemonPath, "../cmd/mangodrumd").CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// soakJob is a submitted job and what its caller knows about it.
type soakJob struct {
	id, queue      string
	body           wire.Submission
	accepted       bool
	outcomeUnknown bool // at least one request had no conclusive response
	lasts          bool // its tasks run until it is cancelled
	cancelAfter    time.Duration
	repeatAfter    time.Duration
	cancelled      bool
}

// TestSoak guards against jobs that are lost, run twice or run although they were
// rejected, while processes, connections, workers and the store fail at random.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	c := startCell(t, 3, 6)
	ctx, stop := context.WithTimeout(context.Background(), *faultDuration)
	defer stop()
	var group sync.WaitGroup
	var mu sync.Mutex
	var jobs []*soakJob
	for client := range 4 {
		clientRNG := rand.New(rand.NewPCG(seed, uint64(10+client)))
		group.Go(func() {
			http := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for n := 0; ctx.Err() == nil; n++ {
				job := newJob(clientRNG, seed, client, n)
				mu.Lock()
				jobs = append(jobs, job)
				mu.Unlock()
				c.submit(http, clientRNG, job)
				time.Sleep(time.Duration(20+clientRNG.IntN(80)) * time.Millisecond)
			}
		})
	}
	group.Go(func() { c.injectFaults(ctx, rng) })
	group.Wait()
	c.removeFaults()
	c.check(jobs)
}

func newJob(rng *rand.Rand, seed uint64, client, n int) *soakJob {
	job := &soakJob{id: fmt.Sprintf("%06x%04x%06x", seed&0xffffff, client, n), queue: "urgent"}
	step := wire.Step{Count: 1 + rng.IntN(3), CPU: 1500, MemMB: 512, EstimateMs: float64(100 + rng.IntN(500))}
	job.body = wire.Submission{Spec: "spec", Steps: []wire.Step{step}}
	if rng.IntN(3) == 0 {
		job.queue = "batch"
		next := step
		next.After = []int{0}
		job.body.Steps = append(job.body.Steps, next)
	}
	return job
}

// submit sends a job to a random instance and repeats the request until the job is
// accepted or the attempts are used up.
func (c *testCell) submit(client *http.Client, rng *rand.Rand, job *soakJob) {
	c.platform.AddQueuedJob(job.id, job.queue, job.body)
	body, err := json.Marshal(job.body)
	if err != nil {
		c.t.Error(err)
		return
	}
	for range 12 {
		status := c.call(client, "POST", rng, job, body)
		switch status {
		case http.StatusOK:
			job.accepted = true
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			job.outcomeUnknown = true
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// call sends a request for a job to a random instance. It returns the status of the
// response, or 0 without a response.
func (c *testCell) call(client *http.Client, method string, rng *rand.Rand, job *soakJob, body []byte) int {
	p := c.processes[rng.IntN(len(c.processes))]
	request, err := http.NewRequest(method, "http://"+p.callerAddress+platformtest.Prefix+job.queue+"/"+job.id, bytes.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return 0
	}
	request.Host = platformtest.Host
	response, err := client.Do(request)
	if err != nil {
		return 0 // the instance is down, paused or not reachable
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if method == http.MethodGet && response.StatusCode == http.StatusOK {
		c.checkState(job, data)
	}
	return response.StatusCode
}

func (c *testCell) checkState(job *soakJob, data []byte) {
	var state struct{ State string }
	if err := json.Unmarshal(data, &state); err != nil {
		c.t.Errorf("job %s: state %q is not valid JSON", job.id, data)
		return
	}
	if state.State == "done" && !c.platform.IsDone(job.id) {
		c.t.Errorf("job %s is reported as done, but not all of its tasks are", job.id)
	}
}

// injectFaults injects random faults until ctx ends; faults may overlap.
func (c *testCell) injectFaults(ctx context.Context, rng *rand.Rand) {
	var group sync.WaitGroup
	for version := uint64(2); ctx.Err() == nil; version++ {
		p := c.processes[rng.IntN(len(c.processes))]
		w := c.platform.Workers[rng.IntN(len(c.platform.Workers))]
		duration := time.Duration(300+rng.IntN(2500)) * time.Millisecond
		kind, variant := rng.IntN(8), proxyMode(1+rng.IntN(3))
		group.Go(func() { c.injectFault(ctx, kind, variant, p, w, duration, version) })
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
	}
	group.Wait()
}

func (c *testCell) injectFault(ctx context.Context, kind int, variant proxyMode, p *process, w *platformtest.Worker, duration time.Duration, version uint64) {
	switch kind {
	case 0:
		c.tryExclusive(p, func() { c.restart(p, syscall.SIGKILL, duration/4) })
	case 1:
		c.tryExclusive(p, func() { c.restart(p, syscall.SIGTERM, 0) })
	case 2:
		c.tryExclusive(p, func() {
			p.signal(syscall.SIGSTOP)
			sleepContext(ctx, duration)
			p.signal(syscall.SIGCONT)
		})
	case 3:
		p.storeProxy.setMode(variant)
		sleepContext(ctx, duration)
		p.storeProxy.setMode(passThrough)
		p.storeProxy.reset() // lost data is not sent again on the same connection
	case 4:
		for _, proxy := range c.workerProxies()[:2] {
			proxy.setMode(variant)
			sleepContext(ctx, duration/2)
			proxy.setMode(passThrough)
			proxy.reset()
		}
	case 5:
		w.Crash()
		sleepContext(ctx, duration)
		if err := w.Restart(); err != nil {
			c.t.Error(err)
		}
	case 6:
		c.platform.SetStoreMode(platformtest.StoreMode(1 + int(variant)%3))
		sleepContext(ctx, duration)
		c.platform.SetStoreMode(platformtest.StoreOK)
	case 7:
		c.platform.WriteConfig(version)
		p.signal(syscall.SIGHUP)
	}
}

// tryExclusive calls inject unless another fault is already stopping or pausing
// the process.
func (c *testCell) tryExclusive(p *process, inject func()) {
	if !p.faultMu.TryLock() {
		return
	}
	defer p.faultMu.Unlock()
	inject()
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// removeFaults ends the faults of the store and the proxies and continues paused
// processes.
func (c *testCell) removeFaults() {
	c.platform.SetStoreMode(platformtest.StoreOK)
	for _, p := range c.processes {
		p.storeProxy.setMode(passThrough)
		p.signal(syscall.SIGCONT)
	}
	for _, p := range c.workerProxies() {
		p.setMode(passThrough)
	}
}

// check verifies that every accepted job ends as done, that no rejected job ran
// and that the workers detected no broken guarantee.
func (c *testCell) check(jobs []*soakJob) {
	client := &http.Client{Timeout: 4 * time.Second}
	rng := rand.New(rand.NewPCG(1, 1))
	deadline := time.Now().Add(40 * time.Second)
	accepted := 0
	for _, job := range jobs {
		if !job.accepted {
			continue
		}
		accepted++
		if job.lasts || job.cancelled {
			continue
		}
		for !c.platform.IsDone(job.id) && !c.platform.HasFailed(job.id) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
		}
		if !c.platform.IsDone(job.id) && !c.platform.HasFailed(job.id) {
			c.t.Errorf("accepted job %s of queue %s is not done in time", job.id, job.queue)
		}
		if status := c.call(client, http.MethodGet, rng, job, nil); status == http.StatusGone {
			c.t.Errorf("accepted job %s is reported as unknown (status 410)", job.id)
		}
	}
	for _, job := range jobs {
		if !job.accepted && !job.outcomeUnknown && c.platform.HasStarted(job.id) {
			c.t.Errorf("job %s has run although every response rejected it", job.id)
		}
	}
	for _, violation := range c.platform.Violations() {
		c.t.Error(violation)
	}
	c.t.Logf("%d of %d jobs accepted", accepted, len(jobs))
	if accepted == 0 {
		c.t.Error("no job was accepted")
	}
}
