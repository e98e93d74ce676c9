package dispatch

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// fakeWorker carries out orders the way the platform's workers do and checks
// on every start what must always hold.
type fakeWorker struct {
	sim *simulation
	workflow.Worker
	up        bool
	darkTill  structs.Timestamp // answers nothing until then, but runs on
	failsAll  bool              // fails what it starts
	rate      float64           // of its clock
	bornAt    structs.Timestamp
	fence     structs.Epoch
	deadline  time.Duration
	running   map[string]*fakeRun
	ended     []workflow.EndedTask
	number    uint64
	highest   map[string]uint64 // highest run that was stopped or has ended
	forgotten map[uint64]bool   // ends whose lease lapsed before their acknowledgement
}

type fakeRun struct {
	task     string
	run      uint64
	size     structs.Resources
	started  structs.Timestamp
	duration time.Duration
	stopping bool
	gang     *fakeGang
}

// fakeGang is one run of a gang over all workers.
type fakeGang struct {
	members  map[string]*fakeWorker
	want     int
	complete bool
	over     bool
}

func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(w.sim.now.Sub(w.bornAt)) * w.rate)
}

func (w *fakeWorker) seen() workflow.Worker { return w.Worker }

func (w *fakeWorker) start(order workflow.StartOrder, life workflow.Incarnation) workflow.Outcome {
	s := w.sim
	if life != w.Incarnation {
		return workflow.OtherLife
	}
	if order.Fence < w.fence {
		return workflow.FencedOff
	}
	w.fence = order.Fence
	if r := w.running[order.Task]; r != nil && r.run == order.Run {
		return workflow.OK
	}
	if order.Run <= w.highest[order.Task] || w.running[order.Task] != nil {
		return workflow.RunTooOld
	}
	if order.Deadline <= w.clock() {
		return workflow.LeaseOver
	}
	w.extend(order.Deadline)
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

func (w *fakeWorker) extend(deadline time.Duration) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	life := w.Incarnation
	w.sim.at(time.Duration(float64(deadline-w.clock())/w.rate)+time.Millisecond, func() {
		if w.Incarnation == life && w.clock() >= w.deadline {
			w.forgetUnacknowledged()
			for _, r := range w.sorted() {
				w.finish(r, workflow.EndLapsed)
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

func (w *fakeWorker) finish(r *fakeRun, how workflow.EndKind) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.number++
	w.ended = append(w.ended, workflow.EndedTask{Number: w.number, Task: r.task, Run: r.run, How: how})
	w.sim.noteEnd(r.task, r.run, how)
	if g := r.gang; g != nil && !g.over {
		g.over = true
		for name, member := range g.members {
			if name == r.task {
				continue
			}
			if other := member.running[name]; other != nil && other.run == r.run {
				end := workflow.EndBroken
				if how == workflow.EndDone {
					end = workflow.EndDone
				}
				w.sim.at(time.Millisecond, func() { member.finish(other, end) })
			}
		}
	}
}

func (w *fakeWorker) stop(order workflow.StartOrder, life workflow.Incarnation) workflow.Outcome {
	if life != w.Incarnation {
		return workflow.OtherLife
	}
	if order.Fence < w.fence {
		return workflow.FencedOff
	}
	w.fence = order.Fence
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	if r := w.running[order.Task]; r != nil && r.run <= order.Run && !r.stopping {
		r.stopping = true
		w.sim.at(w.sim.policy.StopTime/2, func() { w.finish(r, workflow.EndStopped) })
	}
	return workflow.OK
}

func (w *fakeWorker) lease(order workflow.LeaseOrder, life workflow.Incarnation) (workflow.Report, workflow.Outcome) {
	if life != w.Incarnation {
		return workflow.Report{}, workflow.OtherLife
	}
	if order.Fence < w.fence {
		return workflow.Report{}, workflow.FencedOff
	}
	w.fence = order.Fence
	w.extend(order.Deadline)
	for len(w.ended) > 0 && w.ended[0].Number <= order.Acknowledged {
		w.ended = w.ended[1:]
	}
	report := workflow.Report{Incarnation: w.Incarnation, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for _, r := range w.sorted() {
		percent := int(100 * w.sim.now.Sub(r.started) / max(r.duration, 1))
		report.Running = append(report.Running, workflow.RunningTask{Task: r.task, Run: r.run, Percent: min(percent, 100)})
	}
	return report, workflow.OK
}

// forgetUnacknowledged takes back the ends that no longer bind anyone.
func (w *fakeWorker) forgetUnacknowledged() {
	for n := range w.ended {
		if !w.forgotten[w.ended[n].Number] {
			w.forgotten[w.ended[n].Number] = true
			w.sim.forgetEnd(w.ended[n].Task, w.ended[n].Run, w.ended[n].How)
		}
	}
}

// crash ends the life of a worker; the next one knows nothing.
func (w *fakeWorker) crash() {
	w.up = false
	for _, r := range w.sorted() {
		delete(w.running, r.task)
		if g := r.gang; g != nil && !g.over {
			g.over = true
			for name, member := range g.members {
				if other := member.running[name]; other != nil && other.run == r.run {
					w.sim.at(time.Millisecond, func() { member.finish(other, workflow.EndBroken) })
				}
			}
		}
	}
	w.forgetUnacknowledged()
	w.ended, w.number, w.fence, w.deadline = nil, 0, 0, 0
	clear(w.highest)
	clear(w.forgotten)
}

func (w *fakeWorker) restart() {
	w.up, w.bornAt = true, w.sim.now
	w.Incarnation++
}

func (s *simulation) joinGang(w *fakeWorker, r *fakeRun, step string, st *workflow.Step) {
	key := fmt.Sprintf("%s/%d", step, r.run)
	g := s.gangs[key]
	if g == nil {
		g = &fakeGang{members: map[string]*fakeWorker{}, want: st.Tasks}
		s.gangs[key] = g
		s.at(gangWait, func() {
			if g.complete || g.over {
				return
			}
			for name, member := range g.members {
				if other := member.running[name]; other != nil && other.run == r.run {
					member.finish(other, workflow.EndAlone)
				}
			}
		})
	}
	r.gang = g
	g.members[r.task] = w
	if len(g.members) == g.want && !g.over {
		g.complete = true
		s.at(r.duration, func() {
			if !g.over {
				w.finish(r, s.resultOf(w, step+".0"))
			}
		})
	}
}

const gangWait = 3 * time.Second

// hash gives a fixed pseudo-random number for a name.
func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
