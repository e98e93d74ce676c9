package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// The simulation runs the scheduler in virtual time against fake workers that
// satisfy the assumptions W1 to W3 of the design.

const (
	startTime   = structs.Timestamp(1_000_000 * time.Second)
	tickEvery   = 50 * time.Millisecond
	commitDelay = 25 * time.Millisecond // mean time until an append is committed
	callDelay   = time.Millisecond
)

type timedEvent struct {
	at  structs.Timestamp
	seq int
	run func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

// clock is virtual time with a heap of scheduled events.
type clock struct {
	now  structs.Timestamp
	seq  int
	heap eventHeap
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.heap, timedEvent{c.now.Add(d), c.seq, run})
}

func (c *clock) runUntil(end structs.Timestamp) {
	for len(c.heap) > 0 && c.heap[0].at <= end {
		v := heap.Pop(&c.heap).(timedEvent)
		c.now = v.at
		v.run()
	}
	c.now = end
}

// fakeRun is one attempt on a fake worker.
type fakeRun struct {
	report provider.TaskReport
	need   structs.Resources
	end    structs.Timestamp
	fails  bool
}

type fakeWorker struct {
	info         structs.Worker
	runs         []*fakeRun
	used         structs.Resources
	acknowledged map[provider.AttemptRef]bool
	failAll      bool
	dead         bool // runs no tasks and does not answer
	unreachable  bool // runs its tasks, but does not answer
}

func (w *fakeWorker) find(task structs.TaskID, attempt int) *fakeRun {
	for _, r := range w.runs {
		if r.report.Task == task && r.report.Attempt == attempt {
			return r
		}
	}
	return nil
}

// simulation is one shard with its journal and its workers.
type simulation struct {
	clock
	rng           *rand.Rand
	s             *State
	cfg           Config
	order         []structs.WorkerID
	workers       map[structs.WorkerID]*fakeWorker
	log           []Record
	measuredUsage func(structs.TaskID, structs.Resources) structs.Resources // usage that workers report; the reserved amount if nil
	epoch         int
	storeUp       bool
	heldCommits   []func() // commits that wait while the store is down

	startedAt  map[structs.TaskID]structs.Timestamp
	submitted  map[structs.JobID]structs.Timestamp
	classOf    map[structs.JobID]structs.ClassName
	waits      map[structs.ClassName][]time.Duration
	completed  map[structs.ClassName]int
	attempts   map[provider.AttemptRef]int
	active     map[structs.TaskID]structs.WorkerID
	violations []string // violated guarantees
	replies    map[CallID]error
	lossRate   float64 // probability that a call or its reply is lost
	oldReports []provider.WorkerReport
	onEnd      func(structs.TaskID, provider.RunStatus)
	onEffect   func(structs.Effect)
	reduceTime time.Duration // time spent in Reduce, by the real clock
}

func newSimulation(seed int64, policy Policy, workers []structs.Worker) *simulation {
	c := &simulation{
		clock: clock{now: startTime}, rng: rand.New(rand.NewSource(seed)), storeUp: true,
		workers: map[structs.WorkerID]*fakeWorker{}, startedAt: map[structs.TaskID]structs.Timestamp{},
		submitted: map[structs.JobID]structs.Timestamp{}, classOf: map[structs.JobID]structs.ClassName{},
		waits: map[structs.ClassName][]time.Duration{}, completed: map[structs.ClassName]int{},
		attempts: map[provider.AttemptRef]int{}, active: map[structs.TaskID]structs.WorkerID{}, replies: map[CallID]error{},
	}
	c.cfg = Config{Shard: "shard", Epoch: 1, Policy: policy, Horizon: startTime.Add(75 * time.Minute)}
	c.s = New(c.cfg)
	for _, info := range workers {
		c.order = append(c.order, info.ID)
		c.workers[info.ID] = &fakeWorker{info: info, acknowledged: map[provider.AttemptRef]bool{}}
	}
	c.send(WorkersListed{Workers: workers})
	c.tick()
	return c
}

func (c *simulation) tick() {
	if c.storeUp {
		c.send(HorizonExtended{Until: c.now.Add(75 * time.Minute)})
	}
	c.send(Tick{})
	c.after(tickEvery, c.tick)
}

func (c *simulation) submit(j structs.Job) {
	c.submitted[j.ID] = c.now
	c.classOf[j.ID] = j.Class
	c.send(SubmitJob{Call: CallID(len(c.submitted)), Job: j})
}

func (c *simulation) send(ev structs.Event) {
	begin := time.Now()
	effects := c.s.Reduce(c.now, ev)
	c.reduceTime += time.Since(begin)
	for _, eff := range effects {
		c.execute(eff)
	}
}

func (c *simulation) execute(eff structs.Effect) {
	epoch := c.epoch
	if c.onEffect != nil {
		c.onEffect(eff)
	}
	switch e := eff.(type) {
	case Append:
		commit := func() {
			if epoch != c.epoch {
				return
			}
			c.log = append(c.log, e.Records...)
			c.after(0, func() {
				if epoch == c.epoch {
					c.send(Committed{Sequence: e.Sequence})
				}
			})
		}
		c.after(commitDelay, func() {
			if !c.storeUp {
				c.heldCommits = append(c.heldCommits, commit)
				return
			}
			commit()
		})
	case SendBatch:
		c.after(callDelay, func() { c.call(epoch, e) })
	case Reply:
		c.replies[e.Call] = e.Err
	}
}

func (c *simulation) call(epoch int, e SendBatch) {
	w := c.workers[e.Worker]
	fail := func() {
		c.after(callDelay, func() {
			if epoch == c.epoch {
				c.send(WorkerUnreachable{Worker: e.Worker})
			}
		})
	}
	if w == nil || w.dead || w.unreachable || c.rng.Float64() < c.lossRate {
		fail()
		return
	}
	report := c.runBatch(w, e.Batch)
	if c.rng.Float64() < c.lossRate {
		fail()
		return
	}
	if c.lossRate > 0 {
		c.oldReports = append(c.oldReports, report)
	}
	c.after(callDelay, func() {
		if epoch == c.epoch {
			c.send(WorkerReported{Report: report})
		}
	})
}

func (c *simulation) runBatch(w *fakeWorker, b provider.WorkerBatch) provider.WorkerReport {
	for _, ref := range b.Acks {
		c.acknowledge(w, ref)
	}
	for _, ref := range b.Stops {
		if r := w.find(ref.Task, ref.Attempt); r != nil {
			c.finish(w, r, provider.RunStopped)
		}
	}
	for _, ref := range b.Checkpoints {
		if r := w.find(ref.Task, ref.Attempt); r != nil {
			r.report.Checkpointed = true
		}
	}
	for _, n := range b.Renewals {
		if r := w.find(n.Task, n.Attempt); r != nil && r.report.Status == provider.RunRunning {
			r.report.LeaseEnd = max(r.report.LeaseEnd, n.LeaseEnd)
			c.watch(w, r)
		}
	}
	for _, start := range b.Starts {
		c.start(w, start)
	}
	report := provider.WorkerReport{Worker: w.info.ID, ReportedAt: c.now}
	for _, r := range w.runs {
		report.Tasks = append(report.Tasks, r.report)
	}
	return report
}

func (c *simulation) acknowledge(w *fakeWorker, ref provider.AttemptRef) {
	for i, r := range w.runs {
		if r.report.Task == ref.Task && r.report.Attempt == ref.Attempt && r.report.Status != provider.RunRunning {
			w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
			w.acknowledged[ref] = true
			return
		}
	}
}

func (c *simulation) start(w *fakeWorker, st provider.StartTask) {
	ref := provider.AttemptRef{Task: st.Task, Attempt: st.Attempt}
	if w.acknowledged[ref] || w.find(st.Task, st.Attempt) != nil {
		return
	}
	r := &fakeRun{need: st.Resources, end: maxTimestamp, report: provider.TaskReport{
		Task: st.Task, Attempt: st.Attempt, Status: provider.RunRunning, LeaseEnd: st.LeaseEnd, Used: st.Resources,
	}}
	w.runs = append(w.runs, r)
	if c.now > st.NotAfter {
		r.report.Status = provider.RunRefused
		return
	}
	if !w.used.Add(st.Resources).Fits(w.info.Capacity) {
		r.report.Status = provider.RunRefused
		c.violations = append(c.violations, fmt.Sprintf("%s overcommitted by %s", w.info.ID, st.Task))
		return
	}
	if other, ok := c.active[st.Task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s runs on %s and %s", st.Task, other, w.info.ID))
	}
	c.active[st.Task] = w.info.ID
	w.used = w.used.Add(st.Resources)
	c.observeStart(st.Task, ref)
	if c.measuredUsage != nil {
		r.report.Used = c.measuredUsage(st.Task, st.Resources)
	}
	if len(st.Command) > 0 {
		d, _ := time.ParseDuration(st.Command[0])
		r.end = c.now.Add(d)
		r.fails = len(st.Command) > 1
	}
	if w.failAll {
		r.end, r.fails = c.now.Add(10*time.Millisecond), true
	}
	c.watch(w, r)
}

func (c *simulation) observeStart(task structs.TaskID, ref provider.AttemptRef) {
	c.attempts[ref]++
	if _, seen := c.startedAt[task]; seen {
		return
	}
	c.startedAt[task] = c.now
	job := jobOf(task)
	c.waits[c.classOf[job]] = append(c.waits[c.classOf[job]], c.now.Sub(c.submitted[job]))
}

func jobOf(task structs.TaskID) structs.JobID {
	return structs.JobID(task[:strings.LastIndexByte(string(task), '/')])
}

// watch ends the run at its planned end or at its lease end, if that is earlier.
func (c *simulation) watch(w *fakeWorker, r *fakeRun) {
	at := min(r.end, r.report.LeaseEnd)
	c.after(at.Sub(c.now), func() {
		if c.now < r.end && c.now < r.report.LeaseEnd {
			return
		}
		status := provider.RunLeaseExpired
		switch {
		case r.end <= r.report.LeaseEnd && r.fails:
			status = provider.RunFailed
		case r.end <= r.report.LeaseEnd:
			status = provider.RunSucceeded
		}
		c.finish(w, r, status)
	})
}

func (c *simulation) finish(w *fakeWorker, r *fakeRun, status provider.RunStatus) {
	if r.report.Status != provider.RunRunning || w.dead {
		return
	}
	r.report.Status = status
	w.used = w.used.Sub(r.need)
	delete(c.active, r.report.Task)
	if status == provider.RunSucceeded {
		c.completed[c.classOf[jobOf(r.report.Task)]]++
	}
	if c.onEnd != nil {
		c.onEnd(r.report.Task, status)
	}
}
