package scheduler

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// histories can be raised for long searches: go test -args -histories 10000.
var histories = flag.Int("histories", 60, "random histories to run")

// history is a random history of submissions, cancellations and faults.
type history struct {
	*simulation
	jobs           int
	durable        map[provider.AttemptRef]bool // attempts with a committed start record
	lastEnded      map[structs.TaskID]int       // last attempt with a committed end
	lastStarted    map[structs.TaskID]int       // last attempt with a committed start
	checkedRecords int                          // records of the journal processed so far
}

// historyPolicy limits team /b, so that quotas take effect.
func historyPolicy() Policy {
	p := testPolicy()
	p.Teams["/b"] = TeamPolicy{Guaranteed: cores(6), BorrowLimit: cores(6), Weight: 2}
	p.Retention = 24 * time.Hour
	return p
}

func newHistory(seed int64) *history {
	h := &history{
		simulation: newSimulation(seed, historyPolicy(), fleet(5, cores(8))),
		durable:    map[provider.AttemptRef]bool{}, lastEnded: map[structs.TaskID]int{}, lastStarted: map[structs.TaskID]int{},
	}
	h.onEffect = func(eff structs.Effect) {
		switch e := eff.(type) {
		case Append:
			h.checkGangs(e)
		case SendBatch:
			h.checkDurable(e)
		}
	}
	return h
}

// checkDurable checks that starts and acknowledgements follow the commit of
// their records.
func (h *history) checkDurable(e SendBatch) {
	for ; h.checkedRecords < len(h.log); h.checkedRecords++ {
		switch r := h.log[h.checkedRecords]; {
		case r.TaskStarted != nil:
			h.durable[provider.AttemptRef{Task: r.TaskStarted.Task, Attempt: r.TaskStarted.Attempt}] = true
			h.lastStarted[r.TaskStarted.Task] = r.TaskStarted.Attempt
		case r.TaskEnded != nil:
			h.lastEnded[r.TaskEnded.Task] = h.lastStarted[r.TaskEnded.Task]
		case r.TaskRequeued != nil && !r.TaskRequeued.Replace:
			h.lastEnded[r.TaskRequeued.Task] = h.lastStarted[r.TaskRequeued.Task]
		}
	}
	for _, st := range e.Batch.Starts {
		if !h.durable[provider.AttemptRef{Task: st.Task, Attempt: st.Attempt}] {
			h.violations = append(h.violations, fmt.Sprintf("start of %s sent without a record", st.Task))
		}
	}
	for _, ref := range e.Batch.Acks {
		if h.lastEnded[ref.Task] < ref.Attempt {
			h.violations = append(h.violations, fmt.Sprintf("end of %s acknowledged without a record", ref.Task))
		}
	}
}

// checkGangs checks that all open tasks of a gang start in the same group of
// records.
func (h *history) checkGangs(a Append) {
	starts := map[structs.JobID]int{}
	for _, r := range a.Records {
		if r.TaskStarted != nil {
			starts[jobOf(r.TaskStarted.Task)]++
		}
	}
	for id, n := range starts {
		j := h.s.jobs[id]
		if j.Spec.Kind == structs.KindGang && n != j.Open {
			h.violations = append(h.violations, fmt.Sprintf("gang %s started %d of %d tasks", id, n, j.Open))
		}
	}
}

func (h *history) checkQuota() {
	used := map[structs.TeamID]structs.Resources{}
	for _, w := range h.workers {
		for _, r := range w.runs {
			if _, runs := h.active[r.report.Task]; runs && r.report.Status == "running" {
				team := h.teamOf(jobOf(r.report.Task))
				used[team] = used[team].Add(r.need)
			}
		}
	}
	limit := cores(12)
	if !used["/b"].Fits(limit) {
		h.violations = append(h.violations, fmt.Sprintf("team /b runs %s of %s", used["/b"], limit))
	}
}

func (h *history) teamOf(id structs.JobID) structs.TeamID {
	if j := h.s.jobs[id]; j != nil {
		return j.Spec.Team
	}
	return ""
}

func (h *history) randomJob() structs.Job {
	h.jobs++
	classes := []structs.ClassName{"urgent", "normal", "deferrable"}
	run := time.Duration(1+h.rng.Intn(40)) * time.Second / 4
	j := batch(fmt.Sprintf("j%d", h.jobs), classes[h.rng.Intn(3)], 1+h.rng.Intn(6), cores(int64(1+h.rng.Intn(4))), run)
	j.Team = []structs.TeamID{"/a", "/b"}[h.rng.Intn(2)]
	switch h.rng.Intn(6) {
	case 0:
		j.Kind, j.Count = structs.KindGang, 2+h.rng.Intn(2)
	case 1:
		j.Kind, j.Command, j.Spread, j.MinAvailable = structs.KindService, nil, true, 1
	case 2:
		j.Command = append(j.Command, "fails")
		j.MaxAttempts = 3
	}
	return j
}

// step performs one random action and advances time by up to two seconds.
func (h *history) step() {
	w := h.workers[h.order[h.rng.Intn(len(h.order))]]
	switch h.rng.Intn(16) {
	case 0, 1, 2, 3, 4:
		h.submit(h.randomJob())
	case 5, 6:
		h.send(CancelJob{Call: 1 << 20, Job: structs.JobID(fmt.Sprintf("j%d", 1+h.rng.Intn(h.jobs+1)))})
	case 7:
		w.unreachable = !w.unreachable
	case 8:
		h.setStoreUp(!h.storeUp)
	case 9:
		h.restart()
	case 10:
		h.lossRate = []float64{0, 0.1, 0.4}[h.rng.Intn(3)]
	case 11:
		h.send(DrainWorker{Call: 1 << 20, Worker: w.info.ID, Drain: h.rng.Intn(2) == 0})
	case 12:
		w.failAll = !w.failAll && h.rng.Intn(2) == 0
	case 13:
		h.replaceWorker(w)
	default:
		h.redeliver()
	}
	h.advance(time.Duration(h.rng.Intn(2000)) * time.Millisecond)
	h.checkQuota()
}

// replaceWorker kills a worker, reports it as gone and adds an empty one.
func (h *history) replaceWorker(w *fakeWorker) {
	h.kill(w.info.ID)
	gone := w.info
	gone.State = structs.Gone
	w.info = gone
	fresh := w.info
	fresh.ID = structs.WorkerID(fmt.Sprintf("w%04d", 100+len(h.workers)))
	fresh.State = structs.Live
	h.order = append(h.order, fresh.ID)
	h.workers[fresh.ID] = &fakeWorker{info: fresh, acknowledged: w.acknowledged}
	h.send(WorkersListed{Workers: []structs.Worker{gone, fresh}})
}

// redeliver sends up to five old reports again in random order.
func (h *history) redeliver() {
	for range min(len(h.oldReports), 5) {
		h.send(WorkerReported{Report: h.oldReports[h.rng.Intn(len(h.oldReports))]})
	}
}

// endFaults ends all faults and cancels jobs that would not end soon: services
// and jobs that fail, which back off for hours. All other jobs must end.
func (h *history) endFaults() {
	h.setStoreUp(true)
	h.lossRate = 0
	h.advance(time.Second)
	for _, id := range h.order {
		h.workers[id].unreachable, h.workers[id].failAll = false, false
		h.send(DrainWorker{Call: 1 << 20, Worker: id})
	}
	h.advance(10 * time.Second)
	for _, st := range h.s.Jobs() {
		if st.Job.Kind == structs.KindService || len(st.Job.Command) > 1 {
			h.send(CancelJob{Call: 1 << 20, Job: st.Job.ID})
		}
	}
	h.advance(40 * time.Minute)
}

// checkFinalState checks the state at the end and returns all violations of the
// history.
func (h *history) checkFinalState() []string {
	for id, err := range h.acceptedJobs() {
		st, ok := h.s.Job(id)
		switch {
		case !ok:
			h.violations = append(h.violations, fmt.Sprintf("job %s is lost", id))
		case st.Ended == 0:
			h.violations = append(h.violations, fmt.Sprintf("job %s did not end: %+v (%v)", id, st, err))
		}
	}
	live, _ := h.s.Snapshot()
	replayed, err := Restore(h.cfg, nil, h.log)
	if err != nil {
		return append(h.violations, err.Error())
	}
	again, _ := replayed.Snapshot()
	if !bytes.Equal(live, again) {
		h.violations = append(h.violations, "replay gives another state")
	}
	fromSnapshot, err := Restore(h.cfg, live, nil)
	if err != nil {
		return append(h.violations, err.Error())
	}
	if third, _ := fromSnapshot.Snapshot(); !bytes.Equal(live, third) {
		h.violations = append(h.violations, "a restored snapshot gives another state")
	}
	return h.violations
}

// acceptedJobs returns the jobs that were acknowledged.
func (h *history) acceptedJobs() map[structs.JobID]error {
	out := map[structs.JobID]error{}
	for i := 1; i <= len(h.submitted); i++ {
		if err, answered := h.replies[CallID(i)]; answered && err == nil {
			out[structs.JobID(fmt.Sprintf("j%d", i))] = nil
		}
	}
	return out
}

func runHistory(seed int64, steps int) []string {
	h := newHistory(seed)
	for range steps {
		h.step()
	}
	h.endFaults()
	return h.checkFinalState()
}

// Guards against overcommitted workers, duplicate runs, partial gangs, exceeded
// quotas, lost tasks and replays that give another state, in random histories
// with faults.
func TestRandomHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = *histories
	properties := gopter.NewProperties(params)
	properties.Property("guarantees hold", prop.ForAllNoShrink(func(seed int64) string {
		violations := runHistory(seed, 80)
		if len(violations) > 0 {
			return fmt.Sprintf("seed %d: %d violations, first: %s", seed, len(violations), violations[0])
		}
		return ""
	}, gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}

// Guards against decisions that depend on the iteration order of a map or on
// anything but the events.
func TestSameEventsGiveTheSameEffects(t *testing.T) {
	trace := func() string {
		h := newHistory(11)
		sum := fnv.New64a()
		check := h.onEffect
		h.onEffect = func(eff structs.Effect) {
			check(eff)
			if r, ok := eff.(Reply); ok {
				eff = Reply{Call: r.Call, Job: r.Job}
			}
			data, err := canonicalEncoding.Marshal(eff)
			if err != nil {
				t.Fatal(err)
			}
			sum.Write(data)
		}
		for range 300 {
			h.step()
		}
		return fmt.Sprintf("%x after %d records", sum.Sum64(), len(h.log))
	}
	if first, second := trace(), trace(); first != second {
		t.Errorf("two runs differ: %s, %s", first, second)
	}
}
