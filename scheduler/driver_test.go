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

// The driver runs the real reducer in virtual time against fake workers that
// keep the assumptions W1 to W3 of the design.

const (
	driverStart = structs.Timestamp(1_000_000 * time.Second)
	tickEvery   = 50 * time.Millisecond
	commitDelay = 25 * time.Millisecond // mean time to the next flush
	callDelay   = time.Millisecond
)

type timed struct {
	at  structs.Timestamp
	seq int
	run func()
}

type timedHeap []timed

func (h timedHeap) Len() int { return len(h) }
func (h timedHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timedHeap) Push(x any)   { *h = append(*h, x.(timed)) }
func (h *timedHeap) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

// clock is virtual time with a heap of what happens next.
type clock struct {
	now  structs.Timestamp
	seq  int
	heap timedHeap
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.heap, timed{c.now.Add(d), c.seq, run})
}

func (c *clock) runUntil(end structs.Timestamp) {
	for len(c.heap) > 0 && c.heap[0].at <= end {
		v := heap.Pop(&c.heap).(timed)
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
	info    structs.Worker
	runs    []*fakeRun
	used    structs.Resources
	settled map[provider.AttemptRef]bool
	failAll bool
	dead    bool // runs nothing and answers nothing
	cut     bool // runs on, but answers nothing
}

func (w *fakeWorker) find(task structs.TaskID, attempt int) *fakeRun {
	for _, r := range w.runs {
		if r.report.Task == task && r.report.Attempt == attempt {
			return r
		}
	}
	return nil
}

// cell is the driver: a shard, its journal and its workers.
type cell struct {
	clock
	rng     *rand.Rand
	s       *State
	cfg     Config
	order   []structs.WorkerID
	workers map[structs.WorkerID]*fakeWorker
	journal []Record
	uses    func(structs.TaskID, structs.Resources) structs.Resources // measured usage
	epoch   int
	tableUp bool
	pending []func() // commits held back while the table is down

	began     map[structs.TaskID]structs.Timestamp
	submitted map[structs.JobID]structs.Timestamp
	classOf   map[structs.JobID]structs.ClassName
	waits     map[structs.ClassName][]time.Duration
	completed map[structs.ClassName]int
	runs      map[provider.AttemptRef]int
	active    map[structs.TaskID]structs.WorkerID
	faults    []string // broken guarantees
	replies   map[CallID]error
	lossy     float64 // probability that a call or its answer is lost
	old       []provider.WorkerReport
	onEnd     func(structs.TaskID, provider.RunStatus)
	onEffect  func(structs.Effect)
	spent     time.Duration // in Reduce, by the real clock
}

func newCell(seed int64, policy Policy, workers []structs.Worker) *cell {
	c := &cell{
		clock: clock{now: driverStart}, rng: rand.New(rand.NewSource(seed)), tableUp: true,
		workers: map[structs.WorkerID]*fakeWorker{}, began: map[structs.TaskID]structs.Timestamp{},
		submitted: map[structs.JobID]structs.Timestamp{}, classOf: map[structs.JobID]structs.ClassName{},
		waits: map[structs.ClassName][]time.Duration{}, completed: map[structs.ClassName]int{},
		runs: map[provider.AttemptRef]int{}, active: map[structs.TaskID]structs.WorkerID{}, replies: map[CallID]error{},
	}
	c.cfg = Config{Shard: "shard", Epoch: 1, Policy: policy, Horizon: driverStart.Add(75 * time.Minute)}
	c.s = New(c.cfg)
	for _, info := range workers {
		c.order = append(c.order, info.ID)
		c.workers[info.ID] = &fakeWorker{info: info, settled: map[provider.AttemptRef]bool{}}
	}
	c.send(WorkersListed{Workers: workers})
	c.tick()
	return c
}

func (c *cell) tick() {
	if c.tableUp {
		c.send(HorizonExtended{Until: c.now.Add(75 * time.Minute)})
	}
	c.send(Tick{})
	c.after(tickEvery, c.tick)
}

func (c *cell) submit(j structs.Job) {
	c.submitted[j.ID] = c.now
	c.classOf[j.ID] = j.Class
	c.send(SubmitJob{Call: CallID(len(c.submitted)), Job: j})
}

func (c *cell) send(ev structs.Event) {
	begin := time.Now()
	effects := c.s.Reduce(c.now, ev)
	c.spent += time.Since(begin)
	for _, eff := range effects {
		c.execute(eff)
	}
}

func (c *cell) execute(eff structs.Effect) {
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
			c.journal = append(c.journal, e.Records...)
			c.after(0, func() {
				if epoch == c.epoch {
					c.send(Committed{Sequence: e.Sequence})
				}
			})
		}
		c.after(commitDelay, func() {
			if !c.tableUp {
				c.pending = append(c.pending, commit)
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

func (c *cell) call(epoch int, e SendBatch) {
	w := c.workers[e.Worker]
	fail := func() {
		c.after(callDelay, func() {
			if epoch == c.epoch {
				c.send(WorkerUnreachable{Worker: e.Worker})
			}
		})
	}
	if w == nil || w.dead || w.cut || c.rng.Float64() < c.lossy {
		fail()
		return
	}
	report := c.carryOut(w, e.Batch)
	if c.rng.Float64() < c.lossy {
		fail()
		return
	}
	if c.lossy > 0 {
		c.old = append(c.old, report)
	}
	c.after(callDelay, func() {
		if epoch == c.epoch {
			c.send(WorkerReported{Report: report})
		}
	})
}

func (c *cell) carryOut(w *fakeWorker, b provider.WorkerBatch) provider.WorkerReport {
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
	report := provider.WorkerReport{Worker: w.info.ID, At: c.now}
	for _, r := range w.runs {
		report.Tasks = append(report.Tasks, r.report)
	}
	return report
}

func (c *cell) acknowledge(w *fakeWorker, ref provider.AttemptRef) {
	for i, r := range w.runs {
		if r.report.Task == ref.Task && r.report.Attempt == ref.Attempt && r.report.Status != provider.RunRunning {
			w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
			w.settled[ref] = true
			return
		}
	}
}

func (c *cell) start(w *fakeWorker, st provider.StartTask) {
	ref := provider.AttemptRef{Task: st.Task, Attempt: st.Attempt}
	if w.settled[ref] || w.find(st.Task, st.Attempt) != nil {
		return
	}
	r := &fakeRun{need: st.Resources, end: forever, report: provider.TaskReport{
		Task: st.Task, Attempt: st.Attempt, Status: provider.RunRunning, LeaseEnd: st.LeaseEnd, Used: st.Resources,
	}}
	w.runs = append(w.runs, r)
	if c.now > st.NotAfter {
		r.report.Status = provider.RunRefused
		return
	}
	if !w.used.Add(st.Resources).Fits(w.info.Capacity) {
		r.report.Status = provider.RunRefused
		c.faults = append(c.faults, fmt.Sprintf("%s overcommitted by %s", w.info.ID, st.Task))
		return
	}
	if other, ok := c.active[st.Task]; ok {
		c.faults = append(c.faults, fmt.Sprintf("%s runs on %s and %s", st.Task, other, w.info.ID))
	}
	c.active[st.Task] = w.info.ID
	w.used = w.used.Add(st.Resources)
	c.observeStart(st.Task, ref)
	if c.uses != nil {
		r.report.Used = c.uses(st.Task, st.Resources)
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

func (c *cell) observeStart(task structs.TaskID, ref provider.AttemptRef) {
	c.runs[ref]++
	if _, seen := c.began[task]; seen {
		return
	}
	c.began[task] = c.now
	job := jobOf(task)
	c.waits[c.classOf[job]] = append(c.waits[c.classOf[job]], c.now.Sub(c.submitted[job]))
}

func jobOf(task structs.TaskID) structs.JobID {
	return structs.JobID(task[:strings.LastIndexByte(string(task), '/')])
}

// watch ends the run at its planned end or at its lease end.
func (c *cell) watch(w *fakeWorker, r *fakeRun) {
	at := min(r.end, r.report.LeaseEnd)
	c.after(at.Sub(c.now), func() {
		if c.now < r.end && c.now < r.report.LeaseEnd {
			return
		}
		status := provider.RunLapsed
		switch {
		case r.end <= r.report.LeaseEnd && r.fails:
			status = provider.RunFailed
		case r.end <= r.report.LeaseEnd:
			status = provider.RunSucceeded
		}
		c.finish(w, r, status)
	})
}

func (c *cell) finish(w *fakeWorker, r *fakeRun, status provider.RunStatus) {
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
