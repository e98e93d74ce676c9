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

// histories is raised for long searches: go test -args -histories 10000.
var histories = flag.Int("histories", 60, "random histories to run")

// schedule is a random history of submissions, cancellations and faults.
type schedule struct {
	*cell
	jobs    int
	durable map[provider.AttemptRef]bool // attempts with a committed start record
	over    map[structs.TaskID]int       // last attempt with a committed end
	last    map[structs.TaskID]int       // last attempt with a committed start
	read    int                          // records of the journal seen so far
}

// historyPolicy limits team /b, so that quota matters.
func historyPolicy() Policy {
	p := testPolicy()
	p.Teams["/b"] = TeamPolicy{Guaranteed: cores(6), BorrowLimit: cores(6), Weight: 2}
	p.Retention = 24 * time.Hour
	return p
}

func newSchedule(seed int64) *schedule {
	h := &schedule{
		cell:    newCell(seed, historyPolicy(), fleet(5, cores(8))),
		durable: map[provider.AttemptRef]bool{}, over: map[structs.TaskID]int{}, last: map[structs.TaskID]int{},
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

// checkDurable requires committed records behind starts and acknowledgements.
func (h *schedule) checkDurable(e SendBatch) {
	for ; h.read < len(h.journal); h.read++ {
		switch r := h.journal[h.read]; {
		case r.TaskStarted != nil:
			h.durable[provider.AttemptRef{Task: r.TaskStarted.Task, Attempt: r.TaskStarted.Attempt}] = true
			h.last[r.TaskStarted.Task] = r.TaskStarted.Attempt
		case r.TaskEnded != nil:
			h.over[r.TaskEnded.Task] = h.last[r.TaskEnded.Task]
		case r.TaskRequeued != nil && !r.TaskRequeued.Replace:
			h.over[r.TaskRequeued.Task] = h.last[r.TaskRequeued.Task]
		}
	}
	for _, st := range e.Batch.Starts {
		if !h.durable[provider.AttemptRef{Task: st.Task, Attempt: st.Attempt}] {
			h.faults = append(h.faults, fmt.Sprintf("start of %s sent without a record", st.Task))
		}
	}
	for _, ref := range e.Batch.Acks {
		if h.over[ref.Task] < ref.Attempt {
			h.faults = append(h.faults, fmt.Sprintf("end of %s acknowledged without a record", ref.Task))
		}
	}
}

// checkGangs requires that the start of one task of a gang brings the starts
// of all its open tasks in the same group of records.
func (h *schedule) checkGangs(a Append) {
	starts := map[structs.JobID]int{}
	for _, r := range a.Records {
		if r.TaskStarted != nil {
			starts[jobOf(r.TaskStarted.Task)]++
		}
	}
	for id, n := range starts {
		j := h.s.jobs[id]
		if j.Spec.Kind == structs.KindGang && n != j.Open {
			h.faults = append(h.faults, fmt.Sprintf("gang %s started %d of %d tasks", id, n, j.Open))
		}
	}
}

func (h *schedule) checkQuota() {
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
		h.faults = append(h.faults, fmt.Sprintf("team /b runs %s of %s", used["/b"], limit))
	}
}

func (h *schedule) teamOf(id structs.JobID) structs.TeamID {
	if j := h.s.jobs[id]; j != nil {
		return j.Spec.Team
	}
	return ""
}

func (h *schedule) randomJob() structs.Job {
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

// step does one random thing and lets up to two seconds pass.
func (h *schedule) step() {
	w := h.workers[h.order[h.rng.Intn(len(h.order))]]
	switch h.rng.Intn(16) {
	case 0, 1, 2, 3, 4:
		h.submit(h.randomJob())
	case 5, 6:
		h.send(CancelJob{Call: 1 << 20, Job: structs.JobID(fmt.Sprintf("j%d", 1+h.rng.Intn(h.jobs+1)))})
	case 7:
		w.cut = !w.cut
	case 8:
		h.setTable(!h.tableUp)
	case 9:
		h.restart()
	case 10:
		h.lossy = []float64{0, 0.1, 0.4}[h.rng.Intn(3)]
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

// replaceWorker ends a worker for good and adds an empty one.
func (h *schedule) replaceWorker(w *fakeWorker) {
	h.kill(w.info.ID)
	gone := w.info
	gone.State = structs.Gone
	w.info = gone
	fresh := w.info
	fresh.ID = structs.WorkerID(fmt.Sprintf("w%04d", 100+len(h.workers)))
	fresh.State = structs.Live
	h.order = append(h.order, fresh.ID)
	h.workers[fresh.ID] = &fakeWorker{info: fresh, settled: w.settled}
	h.send(WorkersListed{Workers: []structs.Worker{gone, fresh}})
}

// redeliver sends old reports again in any order.
func (h *schedule) redeliver() {
	for range min(len(h.old), 5) {
		h.send(WorkerReported{Report: h.old[h.rng.Intn(len(h.old))]})
	}
}

// heal ends all faults and cancels what does not end by itself soon: services
// and jobs that fail, which are held back for hours. All other work must end.
func (h *schedule) heal() {
	h.setTable(true)
	h.lossy = 0
	h.advance(time.Second)
	for _, id := range h.order {
		h.workers[id].cut, h.workers[id].failAll = false, false
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

// verdicts returns every broken guarantee of the history.
func (h *schedule) verdicts() []string {
	for id, err := range h.acceptedJobs() {
		st, ok := h.s.Job(id)
		switch {
		case !ok:
			h.faults = append(h.faults, fmt.Sprintf("job %s is lost", id))
		case st.Ended == 0:
			h.faults = append(h.faults, fmt.Sprintf("job %s did not end: %+v (%v)", id, st, err))
		}
	}
	live, _ := h.s.Snapshot()
	replayed, err := Restore(h.cfg, nil, h.journal)
	if err != nil {
		return append(h.faults, err.Error())
	}
	again, _ := replayed.Snapshot()
	if !bytes.Equal(live, again) {
		h.faults = append(h.faults, "replay gives another state")
	}
	fromSnapshot, err := Restore(h.cfg, live, nil)
	if err != nil {
		return append(h.faults, err.Error())
	}
	if third, _ := fromSnapshot.Snapshot(); !bytes.Equal(live, third) {
		h.faults = append(h.faults, "a restored snapshot gives another state")
	}
	return h.faults
}

// acceptedJobs returns the jobs that were acknowledged.
func (h *schedule) acceptedJobs() map[structs.JobID]error {
	out := map[structs.JobID]error{}
	for i := 1; i <= len(h.submitted); i++ {
		if err, answered := h.replies[CallID(i)]; answered && err == nil {
			out[structs.JobID(fmt.Sprintf("j%d", i))] = nil
		}
	}
	return out
}

func runSchedule(seed int64, steps int) []string {
	h := newSchedule(seed)
	for range steps {
		h.step()
	}
	h.heal()
	return h.verdicts()
}

// Guards against overcommitted workers, duplicate runs, partial gangs, quotas
// exceeded, lost tasks and a replay that differs, in random histories with
// faults.
func TestRandomHistoriesKeepTheGuarantees(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = *histories
	properties := gopter.NewProperties(params)
	properties.Property("guarantees hold", prop.ForAllNoShrink(func(seed int64) string {
		faults := runSchedule(seed, 80)
		if len(faults) > 0 {
			return fmt.Sprintf("seed %d: %d faults, first: %s", seed, len(faults), faults[0])
		}
		return ""
	}, gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}

// Guards against decisions that depend on the order of a map or on anything
// else than the events.
func TestSameEventsGiveTheSameEffects(t *testing.T) {
	trace := func() string {
		h := newSchedule(11)
		sum := fnv.New64a()
		check := h.onEffect
		h.onEffect = func(eff structs.Effect) {
			check(eff)
			if r, ok := eff.(Reply); ok {
				eff = Reply{Call: r.Call, Job: r.Job}
			}
			data, err := encoding.Marshal(eff)
			if err != nil {
				t.Fatal(err)
			}
			sum.Write(data)
		}
		for range 300 {
			h.step()
		}
		return fmt.Sprintf("%x after %d records", sum.Sum64(), len(h.journal))
	}
	if first, second := trace(), trace(); first != second {
		t.Errorf("two runs differ: %s, %s", first, second)
	}
}
