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
	seeds     = flag.Int("seeds", 1, "number of seeds to play")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	length    = flag.Duration("length", 8*time.Second, "time of faults of one seed")
)

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "mangodrumd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/mangodrumd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// soakJob is a job as its caller sees it.
type soakJob struct {
	id, queue string
	body      wire.Submission
	accepted  bool
	unknown   bool // an attempt had no definite answer
}

// TestSoak guards against lost, doubled and falsely refused jobs while
// processes, connections, workers and the store fail at random.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { play(t, seed) })
	}
}

func play(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	c := startCell(t, 3, 6)
	ctx, stop := context.WithTimeout(context.Background(), *length)
	defer stop()
	var group sync.WaitGroup
	var mu sync.Mutex
	var jobs []*soakJob
	for client := range 4 {
		source := rand.New(rand.NewPCG(seed, uint64(10+client)))
		group.Go(func() {
			http := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for n := 0; ctx.Err() == nil; n++ {
				job := newJob(source, seed, client, n)
				mu.Lock()
				jobs = append(jobs, job)
				mu.Unlock()
				c.submit(http, source, job)
				time.Sleep(time.Duration(20+source.IntN(80)) * time.Millisecond)
			}
		})
	}
	group.Go(func() { c.harm(ctx, rng) })
	group.Wait()
	c.heal()
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

// submit sends a job, and again at any instance while the outcome is open.
func (c *testCell) submit(client *http.Client, rng *rand.Rand, job *soakJob) {
	c.platform.Submitted(job.id, job.body)
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
			job.unknown = true
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// call returns the status of an answer, or 0 without one.
func (c *testCell) call(client *http.Client, method string, rng *rand.Rand, job *soakJob, body []byte) int {
	p := c.processes[rng.IntN(len(c.processes))]
	request, err := http.NewRequest(method, "http://"+p.callers+platformtest.Prefix+job.queue+"/"+job.id, bytes.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return 0
	}
	request.Host = platformtest.Host
	response, err := client.Do(request)
	if err != nil {
		return 0 // the process is gone or restarts
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
		c.t.Errorf("job %s: state %q", job.id, data)
		return
	}
	if state.State == "done" && !c.platform.IsDone(job.id) {
		c.t.Errorf("job %s is shown as done, and a task is not", job.id)
	}
}

// harm injects faults, in series and overlapping, until ctx ends.
func (c *testCell) harm(ctx context.Context, rng *rand.Rand) {
	var group sync.WaitGroup
	for version := uint64(2); ctx.Err() == nil; version++ {
		p := c.processes[rng.IntN(len(c.processes))]
		w := c.platform.Workers[rng.IntN(len(c.platform.Workers))]
		span := time.Duration(300+rng.IntN(2500)) * time.Millisecond
		kind, variant := rng.IntN(8), mode(1+rng.IntN(3))
		group.Go(func() { c.fault(ctx, kind, variant, p, w, span, version) })
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
	}
	group.Wait()
}

func (c *testCell) fault(ctx context.Context, kind int, variant mode, p *process, w *platformtest.Worker, span time.Duration, version uint64) {
	switch kind {
	case 0:
		c.exclusive(p, func() { c.restart(p, syscall.SIGKILL, span/4) })
	case 1:
		c.exclusive(p, func() { c.restart(p, syscall.SIGTERM, 0) })
	case 2:
		c.exclusive(p, func() {
			p.signal(syscall.SIGSTOP)
			pause(ctx, span)
			p.signal(syscall.SIGCONT)
		})
	case 3:
		p.store.set(variant)
		pause(ctx, span)
		p.store.set(pass)
		p.store.reset() // what was dropped never arrives
	case 4:
		for _, proxy := range c.workerProxies()[:2] {
			proxy.set(variant)
			pause(ctx, span/2)
			proxy.set(pass)
			proxy.reset()
		}
	case 5:
		w.Crash()
		pause(ctx, span)
		if err := w.Restart(); err != nil {
			c.t.Error(err)
		}
	case 6:
		c.platform.SetStore(platformtest.StoreMode(1 + int(variant)%3))
		pause(ctx, span)
		c.platform.SetStore(platformtest.StoreOK)
	case 7:
		c.platform.Configure(version)
		p.signal(syscall.SIGHUP)
	}
}

// exclusive keeps two faults from stopping one process at a time.
func (c *testCell) exclusive(p *process, do func()) {
	if !p.harm.TryLock() {
		return
	}
	defer p.harm.Unlock()
	do()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// heal ends all faults.
func (c *testCell) heal() {
	c.platform.SetStore(platformtest.StoreOK)
	for _, p := range c.processes {
		p.store.set(pass)
		p.signal(syscall.SIGCONT)
	}
	for _, p := range c.workerProxies() {
		p.set(pass)
	}
}

// check demands that every accepted job ends as done, that no refused job
// ran, and that the workers saw no broken guarantee.
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
		for !c.platform.IsDone(job.id) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
		}
		if !c.platform.IsDone(job.id) {
			c.t.Errorf("accepted job %s (%s) is not done", job.id, job.queue)
		}
		if status := c.call(client, http.MethodGet, rng, job, nil); status == http.StatusGone {
			c.t.Errorf("accepted job %s is said not to exist", job.id)
		}
	}
	for _, job := range jobs {
		if !job.accepted && !job.unknown && c.platform.HasRun(job.id) {
			c.t.Errorf("job %s was refused by every answer and has run", job.id)
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
