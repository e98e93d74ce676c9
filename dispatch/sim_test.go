package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// simulation runs a cell in virtual time with fake workers, a fake advisor, leaders
// that are replaced, a store that applies commits in order, and faults drawn from
// a seed.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	policy       Policy
	now          structs.Timestamp
	timers       timerHeap
	timerSeq     uint64
	workers      []*fakeWorker
	leader       *fakeLeader
	epoch        structs.Epoch
	rows         map[[2]string][]byte
	lastCommitAt structs.Timestamp // send time of the last commit or claim
	gangs        map[string]*fakeGang
	tickets      map[string]structs.Timestamp

	jobs            map[structs.JobID]*simJob
	stored          map[structs.JobID]bool // jobs whose specification was committed
	done            map[string]uint64      // run that ended as done, by task
	everDone        map[string]bool        // tasks of which any run has ended as done
	failures        map[string]int         // number of failed runs, by task or by step of a gang
	listedEnds      map[string]int         // number of workers that list an end, by endKey
	maxListedEnds   int                    // ends that a worker lists at a time
	storeDelay      time.Duration          // added to each commit
	maxClockError   time.Duration          // of the time of day of a leader
	clockRNG        *rand.Rand             // draws these errors
	lossProbability float64                // probability that the answer to a request is lost
	lateProbability float64                // probability that a request is carried out late
	onDecision      func(Decision)         // called for each decision, if set
	late            *lateFaults            // nil for seeds up to lastSeedWithoutLateRequests
	pairs           *pairFaults            // nil for seeds up to lastSeedWithoutPairFaults
	kinds           *workerKinds           // nil for seeds up to lastSeedWithoutWorkerKinds
}

// simJob is a job of the simulation.
type simJob struct {
	job         workflow.Job
	queue       workflow.Queue
	accepted    bool
	alwaysFails bool
	cancelledAt structs.Timestamp // when its cancelling was acknowledged; 0 if it was not
}

// timer is a function to call at a virtual time.
type timer struct {
	at  structs.Timestamp
	seq uint64
	do  func()
}

// timerHeap is a heap of timers, ordered by time and creation.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// at calls do after the given time.
func (s *simulation) at(d time.Duration, do func()) {
	s.timerSeq++
	heap.Push(&s.timers, timer{s.now.Add(max(d, 0)), s.timerSeq, do})
}

// run executes timers until the given time or a failure.
func (s *simulation) run(until structs.Timestamp) {
	for len(s.timers) > 0 && s.timers[0].at <= until && !s.t.Failed() {
		next := heap.Pop(&s.timers).(timer)
		s.now = next.at
		next.do()
	}
	s.now = until
}

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), policy: DefaultPolicy(), now: structs.Timestamp(time.Second),
		rows: map[[2]string][]byte{}, gangs: map[string]*fakeGang{}, tickets: map[string]structs.Timestamp{},
		jobs: map[structs.JobID]*simJob{}, stored: map[structs.JobID]bool{}, done: map[string]uint64{}, failures: map[string]int{}, listedEnds: map[string]int{}, everDone: map[string]bool{},
		lastCommitAt: NoPreviousLeader, maxListedEnds: 500,
	}
	for n := range workers {
		s.workers = append(s.workers, &fakeWorker{
			sim: s, up: true, clockRate: 0.98 + 0.04*s.rng.Float64(), startedAt: s.now.Add(-time.Duration(s.rng.IntN(100)) * time.Second),
			running: map[string]*fakeRun{}, highest: map[string]uint64{}, forgotten: map[uint64]bool{},
			Worker: workflow.Worker{
				ID: structs.WorkerID(fmt.Sprintf("w%02d", n)), Incarnation: 1, Service: "svc", Address: fmt.Sprintf("w%02d:1", n),
				Capacity: structs.Resources{MilliCPU: 32_000, MemoryBytes: 128 << 30},
			},
		})
	}
	return s
}

func (s *simulation) ticketValid(step string, w *fakeWorker, token string) bool {
	want := fmt.Sprintf("%s/%s/%d", step, w.ID, w.Incarnation)
	return token == want && s.now.Before(s.tickets[token])
}

// randomDelay returns a network latency in the given range.
func (s *simulation) randomDelay(fromMS, toMS int) time.Duration {
	return time.Duration(fromMS*1000+s.rng.IntN((toMS-fromMS+1)*1000)) * time.Microsecond
}

func (s *simulation) worker(id structs.WorkerID) *fakeWorker {
	for _, w := range s.workers {
		if w.ID == id {
			return w
		}
	}
	s.t.Fatalf("no worker %s", id)
	return nil
}

// lookup returns the job, the step and the name of the step of a task.
func (s *simulation) lookup(taskName string) (*simJob, *workflow.Step, string) {
	parts := strings.Split(taskName, ".")
	job := s.jobs[structs.JobID(parts[0])]
	var index int
	if _, err := fmt.Sscan(parts[2], &index); err != nil {
		s.t.Fatal(err)
	}
	return job, &job.job.Steps[index], strings.Join(parts[:3], ".")
}

// duration returns the actual run time of a task: between half and twice the
// estimate.
func (s *simulation) duration(taskName string, st *workflow.Step) time.Duration {
	return time.Duration(float64(st.Estimate) * (0.5 + 1.5*float64(hash(taskName)%1000)/1000))
}

// resultOf returns how a task ends on a worker.
func (s *simulation) resultOf(w *fakeWorker, taskName string) workflow.EndKind {
	if job, st, _ := s.lookup(taskName); job.alwaysFails || w.failsAllTasks || st.LongRunning {
		return workflow.EndFailed
	}
	return workflow.EndDone
}

// checkStart checks the invariants that a start could violate.
func (s *simulation) checkStart(w *fakeWorker, order workflow.StartOrder, job *simJob, st *workflow.Step, step string) {
	used := st.Resources
	onWorker := 1
	for _, r := range w.running {
		used = used.Add(r.size)
		if strings.HasPrefix(r.task, step+".") {
			onWorker++
		}
	}
	if !used.Fits(w.Capacity) {
		s.t.Errorf("%v: start of %s run %d exceeds the capacity of %s", s.now, order.Task, order.Run, w.ID)
	}
	s.kinds.checkStart(w, order, st)
	if st.MaxPerWorker > 0 && onWorker > st.MaxPerWorker {
		s.t.Errorf("%v: %d tasks of %s on %s, at most %d allowed", s.now, onWorker, step, w.ID, st.MaxPerWorker)
	}
	for _, other := range s.workers {
		if other != w && other.up && other.running[order.Task] != nil && !st.Speculative {
			s.t.Errorf("%v: %s run %d starts on %s while run %d is on %s", s.now, order.Task, order.Run, w.ID, other.running[order.Task].run, other.ID)
		}
	}
	if s.pairs != nil {
		if !st.Speculative {
			s.pairs.checkEarlierEnds(w, order)
		}
	} else if run := s.done[order.Task]; run != 0 {
		s.t.Errorf("%v: %s starts again after its run %d was done", s.now, order.Task, run)
	}
	key := order.Task
	if st.Gang {
		key = step
	}
	if s.failures[key] >= job.queue.MaxAttempts && !st.LongRunning {
		s.t.Errorf("%v: %s starts again after %d failed runs", s.now, order.Task, s.failures[key])
	}
	occurrence := strings.Split(order.Task, ".")[1]
	for _, before := range st.DependsOn {
		for n := range job.job.Steps[before].Tasks {
			name := fmt.Sprintf("%s.%s.%d.%d", job.job.ID, occurrence, before, n)
			if !s.everDone[name] {
				s.t.Errorf("%v: %s starts before %s is done", s.now, order.Task, name)
			}
		}
	}
	if at := job.cancelledAt; at != 0 && s.now.Sub(at) > maxStartAfterCancel && (s.pairs == nil || order.FencingToken >= s.epoch) {
		s.t.Errorf("%v: %s starts %v after its cancelling was acknowledged", s.now, order.Task, s.now.Sub(at))
	}
	if due := s.dueTime(job, occurrence); s.now.Before(due.Add(-s.maxClockError)) {
		s.t.Errorf("%v: %s starts before it is due at %v", s.now, order.Task, due)
	}
	if !job.accepted && !s.stored[job.job.ID] {
		s.t.Errorf("%v: %s starts before its job is durable", s.now, order.Task)
	}
	if s.late != nil {
		s.late.note(order.Task, w, "  %s run %d of leader %d starts on %s incarnation %d", order.Task, order.Run, order.FencingToken, w.ID, w.Incarnation)
		if s.t.Failed() {
			s.late.failedTask = cmp.Or(s.late.failedTask, order.Task)
		}
	}
}

// maxStartAfterCancel is the time after the acknowledgement of a job's cancelling in
// which its tasks may still start.
const maxStartAfterCancel = 3 * time.Second

// dueTime returns when an occurrence of a job is due, or 0 for a job without times.
func (s *simulation) dueTime(job *simJob, occurrence string) structs.Timestamp {
	if job.job.Occurrences == 0 {
		return 0
	}
	n, err := strconv.Atoi(occurrence)
	if err != nil {
		s.t.Fatal(err)
	}
	return structs.Timestamp(job.job.FirstDue + time.Duration(n)*job.job.Interval)
}

// endKey returns the key of an end in listedEnds, and the task or step that owns the
// end. The members of a gang share one key.
func (s *simulation) endKey(task string, run uint64, how workflow.EndKind) (string, string) {
	_, st, step := s.lookup(task)
	owner := task
	if st.Gang {
		owner = step
	}
	return fmt.Sprintf("%s/%s/%d", how, owner, run), owner
}

// recordEnd records an end that a worker lists.
func (s *simulation) recordEnd(task string, run uint64, how workflow.EndKind) {
	key, owner := s.endKey(task, run, how)
	s.listedEnds[key]++
	if s.listedEnds[key] > 1 {
		return
	}
	switch how {
	case workflow.EndDone:
		for _, name := range s.tasksOf(task) {
			s.done[name] = run
			s.pairs.endedAsDone(name, run)
			s.everDone[name] = true
		}
	case workflow.EndFailed:
		s.failures[owner]++
	}
}

// forgetEnd reverts recordEnd for an end that no leader can learn of any more,
// because the incarnation or lease of the worker ended before it was acknowledged.
func (s *simulation) forgetEnd(task string, run uint64, how workflow.EndKind) {
	key, owner := s.endKey(task, run, how)
	s.listedEnds[key]--
	if s.listedEnds[key] > 0 {
		return
	}
	switch how {
	case workflow.EndDone:
		for _, name := range s.tasksOf(task) {
			delete(s.done, name)
			s.pairs.endForgotten(name, run)
		}
	case workflow.EndFailed:
		s.failures[owner]--
	}
}

// tasksOf returns the tasks that succeed together with the given one.
func (s *simulation) tasksOf(task string) []string {
	_, st, step := s.lookup(task)
	if !st.Gang {
		return []string{task}
	}
	names := make([]string, st.Tasks)
	for n := range names {
		names[n] = taskName(step, n)
	}
	return names
}

// handleReply marks a job as accepted.
func (s *simulation) handleReply(r Reply) {
	for _, job := range s.jobs {
		if callIDOf(job.job.ID) == r.Call && r.Verdict == Accepted {
			job.accepted = true
		}
		if cancelIDOf(job.job.ID) == r.Call && r.Verdict == Accepted && job.cancelledAt == 0 {
			job.cancelledAt = s.now
		}
	}
}

// cancelIDOf returns the call that cancels a job.
func cancelIDOf(id structs.JobID) CallID { return callIDOf(id) | 1<<40 }

func callIDOf(id structs.JobID) CallID { return CallID(hash(string(id))) }

// submit submits a job to the leader repeatedly until it is accepted.
func (s *simulation) submit(job *simJob) {
	s.jobs[job.job.ID] = job
	var try func()
	try = func() {
		if job.accepted {
			return
		}
		s.leader.reduce(SubmitJob{Call: callIDOf(job.job.ID), Job: job.job, Queue: job.queue})
		s.at(time.Second, try)
	}
	try()
}

// cancel asks the leader to cancel a job repeatedly until it acknowledges that.
func (s *simulation) cancel(job *simJob) {
	var try func()
	try = func() {
		if job.cancelledAt != 0 {
			return
		}
		if job.accepted {
			s.leader.reduce(CancelJob{Call: cancelIDOf(job.job.ID), ID: job.job.ID})
		}
		s.at(time.Second, try)
	}
	try()
}
