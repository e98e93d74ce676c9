package dispatch

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// fakeWorker carries out requests the way the platform's workers do. It checks the
// invariants of the simulation on every start.
type fakeWorker struct {
	sim *simulation
	workflow.Worker
	up                bool
	unlisted          bool              // has no directory entry
	replaced          bool              // lost for good; another worker answers at its address
	reached           bool              // a leader that knew of this incarnation has reached it
	lostPower         bool              // while it is not up, requests get no answer instead of a refused connection
	unresponsiveUntil structs.Timestamp // answers no requests until then, but keeps running tasks
	failsAllTasks     bool              // every task that it runs fails
	clockRate         float64           // rate of its clock
	startedAt         structs.Timestamp
	fencingToken      structs.Epoch
	deadline          time.Duration
	running           map[string]*fakeRun
	ended             []workflow.EndedTask
	lastEndNumber     uint64
	highest           map[string]uint64    // highest run number that was stopped or has ended, by task
	forgotten         map[uint64]bool      // ends whose lease expired before they were acknowledged
	askedAs           workflow.Incarnation // incarnation that the leader had in mind with the latest start request
}

// fakeRun is a run of a task on a worker.
type fakeRun struct {
	task     string
	run      uint64
	size     structs.Resources
	started  structs.Timestamp
	duration time.Duration
	stopping bool
	gang     *fakeGang
}

// fakeGang is a run of a gang across all workers.
type fakeGang struct {
	members  map[string]*fakeWorker
	size     int
	complete bool
	over     bool
}

// clock returns the time on the worker's clock since its start.
func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(w.sim.now.Sub(w.startedAt)) * w.clockRate)
}

func (w *fakeWorker) directoryEntry() workflow.Worker { return w.Worker }

// start handles a start request. Requests name the worker, not its incarnation, so
// those that were sent to an earlier one are carried out.
func (w *fakeWorker) start(order workflow.StartOrder) workflow.Outcome {
	s := w.sim
	if order.FencingToken < w.fencingToken {
		return workflow.Fenced
	}
	w.fencingToken = order.FencingToken
	if r := w.running[order.Task]; r != nil && r.run == order.Run {
		return workflow.OK
	}
	if order.Run <= w.highest[order.Task] || w.running[order.Task] != nil {
		if w.sim.late != nil {
			w.extendLease(order.Deadline) // also taken from a start request that is rejected
		}
		return workflow.RunTooOld
	}
	if order.Deadline <= w.clock() && !s.pairs.acceptsLate(w) {
		return workflow.LeaseExpired
	}
	w.extendLease(order.Deadline)
	job, st, step := s.lookup(order.Task)
	if job.queue.Advisor != nil && !s.ticketValid(step, w, order.Ticket) {
		return workflow.TicketInvalid
	}
	s.checkStart(w, order, job, st, step)
	r := &fakeRun{task: order.Task, run: order.Run, size: st.Resources, started: s.now, duration: s.duration(order.Task, st)}
	w.running[order.Task] = r
	if st.Gang {
		s.joinGang(w, r, step, st)
	} else {
		s.at(r.duration, func() { w.finish(r, s.resultOf(w, order.Task)) })
	}
	return workflow.OK
}

// extendLease extends the lease and schedules the end of all runs at its expiry.
func (w *fakeWorker) extendLease(deadline time.Duration) {
	deadline = min(deadline, w.clock()+w.sim.policy.MaxLease)
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	incarnation := w.Incarnation
	w.sim.at(time.Duration(float64(deadline-w.clock())/w.clockRate)+time.Millisecond+w.sim.pairs.leaseEndDelay(), func() {
		if w.Incarnation == incarnation && w.clock() >= w.deadline {
			w.forgetUnacknowledged()
			for _, r := range w.sorted() {
				w.finish(r, workflow.EndLeaseExpired)
			}
		}
	})
}

func (w *fakeWorker) sorted() []*fakeRun {
	list := make([]*fakeRun, 0, len(w.running))
	for _, r := range w.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *fakeRun) int { return strings.Compare(a.task, b.task) })
	return list
}

// finish ends a run and the other members of its gang.
func (w *fakeWorker) finish(r *fakeRun, how workflow.EndKind) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEndNumber++
	w.ended = append(w.ended, workflow.EndedTask{Sequence: w.lastEndNumber, Task: r.task, Run: r.run, Kind: how})
	w.sim.recordEnd(r.task, r.run, how)
	w.sim.late.note(r.task, w, "  %s run %d ends on %s as %s, number %d", r.task, r.run, w.ID, how, w.lastEndNumber)
	if g := r.gang; g != nil && !g.over {
		g.over = true
		for _, name := range slices.Sorted(maps.Keys(g.members)) {
			member := g.members[name]
			if name == r.task {
				continue
			}
			if other := member.running[name]; other != nil && other.run == r.run {
				end := workflow.EndGangBroken
				if how == workflow.EndDone {
					end = workflow.EndDone
				}
				w.sim.at(time.Millisecond, func() { member.finish(other, end) })
			}
		}
	}
}

// stop handles a stop request.
func (w *fakeWorker) stop(order workflow.StartOrder) workflow.Outcome {
	if order.FencingToken < w.fencingToken {
		return workflow.Fenced
	}
	w.fencingToken = order.FencingToken
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	if r := w.running[order.Task]; r != nil && r.run <= order.Run && !r.stopping {
		r.stopping = true
		w.sim.at(w.sim.policy.MaxStopTime/2, func() { w.finish(r, workflow.EndStopped) })
	}
	return workflow.OK
}

// renewLease handles a lease renewal.
func (w *fakeWorker) renewLease(order workflow.LeaseOrder) (workflow.Report, workflow.Outcome) {
	if order.FencingToken < w.fencingToken {
		return workflow.Report{}, workflow.Fenced
	}
	w.fencingToken = order.FencingToken
	w.extendLease(order.Deadline)
	for len(w.ended) > 0 && w.ended[0].Sequence <= order.AcknowledgedThrough {
		w.sim.late.note(w.ended[0].Task, w, "  end %d of %s run %d on %s is acknowledged through %d", w.ended[0].Sequence, w.ended[0].Task, w.ended[0].Run, w.ID, order.AcknowledgedThrough)
		if !w.forgotten[w.ended[0].Sequence] {
			w.sim.pairs.endAcknowledged(w.ended[0])
		}
		w.ended = w.ended[1:]
	}
	return w.report(), workflow.OK
}

// report lists the runs of the worker.
func (w *fakeWorker) report() workflow.Report {
	listed := min(len(w.ended), w.sim.maxListedEnds)
	report := workflow.Report{
		Incarnation: w.Incarnation, Clock: w.clock(), Ended: slices.Clone(w.ended[:listed]), EndsTruncated: listed == w.sim.maxListedEnds,
	}
	for _, r := range w.sorted() {
		percent := int(100 * w.sim.now.Sub(r.started) / max(r.duration, 1))
		report.Running = append(report.Running, workflow.RunningTask{Task: r.task, Run: r.run, Percent: min(percent, 100)})
	}
	return report
}

// forgetUnacknowledged reverts the ends that no leader is guaranteed to learn of.
func (w *fakeWorker) forgetUnacknowledged() {
	for n := range w.ended {
		if !w.forgotten[w.ended[n].Sequence] {
			w.forgotten[w.ended[n].Sequence] = true
			w.sim.forgetEnd(w.ended[n].Task, w.ended[n].Run, w.ended[n].Kind)
		}
	}
}

// crash ends the incarnation of a worker. The next one has no state.
func (w *fakeWorker) crash() {
	w.up, w.reached = false, false
	for _, r := range w.sorted() {
		delete(w.running, r.task)
		if g := r.gang; g != nil && !g.over {
			g.over = true
			for _, name := range slices.Sorted(maps.Keys(g.members)) {
				member := g.members[name]
				if other := member.running[name]; other != nil && other.run == r.run {
					w.sim.at(time.Millisecond, func() { member.finish(other, workflow.EndGangBroken) })
				}
			}
		}
	}
	w.forgetUnacknowledged()
	w.ended, w.lastEndNumber, w.fencingToken, w.deadline = nil, 0, 0, 0
	clear(w.highest)
	clear(w.forgotten)
}

func (w *fakeWorker) restart() {
	if w.replaced {
		return
	}
	w.up, w.startedAt = true, w.sim.now
	w.Incarnation++
	w.sim.kinds.restarted(w)
}

// joinGang adds a run to its gang. The gang ends if it is not complete within
// gangStartTimeout.
func (s *simulation) joinGang(w *fakeWorker, r *fakeRun, step string, st *workflow.Step) {
	key := fmt.Sprintf("%s/%d", step, r.run)
	g := s.gangs[key]
	if g == nil {
		g = &fakeGang{members: map[string]*fakeWorker{}, size: st.Tasks}
		s.gangs[key] = g
		s.at(gangStartTimeout, func() {
			if g.complete || g.over {
				return
			}
			for _, name := range slices.Sorted(maps.Keys(g.members)) {
				member := g.members[name]
				if other := member.running[name]; other != nil && other.run == r.run {
					member.finish(other, workflow.EndGangIncomplete)
				}
			}
		})
	}
	r.gang = g
	g.members[r.task] = w
	if g.over { // a repeated start request, after a member had crashed
		s.at(time.Millisecond, func() { w.finish(r, workflow.EndGangBroken) })
	}
	if len(g.members) == g.size && !g.over {
		g.complete = true
		s.at(r.duration, func() {
			if !g.over {
				w.finish(r, s.resultOf(w, step+".0"))
			}
		})
	}
}

const gangStartTimeout = 3 * time.Second

// hash returns a pseudo-random number that depends only on a name.
func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
