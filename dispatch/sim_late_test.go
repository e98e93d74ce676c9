package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// lastSeedWithoutLateRequests is the last seed whose schedule has none of the faults of
// lateFaults, and in which a new incarnation of a worker carries out no late request.
const lastSeedWithoutLateRequests = 90_000

// requestKind is the kind of a request to a worker.
type requestKind string

// Kinds of requests.
const (
	startRequest   requestKind = "start"
	stopRequest    requestKind = "stop"
	renewalRequest requestKind = "renewal"
)

// lateFaults are faults around requests that are carried out late, by whichever
// incarnation of the worker is up then. They have a generator of their own.
type lateFaults struct {
	sim         *simulation
	rng         *rand.Rand
	until       structs.Timestamp       // no faults are drawn from then on
	lateness    map[requestKind]float64 // probability that a request is carried out late
	lostAnswers float64                 // probability that a request is carried out and its answer is lost
	restarts    float64                 // probability that the worker of a late request restarts before it
	cuts        float64                 // probability that it is cut off soon after
	remaining   int                     // restarts and cuts that may still be drawn
	listDelay   int64                   // longest delay of a worker in the list that a new leader reads, in ns
	trace       []traceLine
	failedTask  string // the task of the first violation
}

// traceLine is an event that explains a violation.
type traceLine struct {
	task, worker string // what it concerns; empty: every task or worker
	text         string
}

// scheduleLateRequests draws the faults of lateFaults.
func (s *simulation) scheduleLateRequests(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 9))
	f := &lateFaults{sim: s, rng: rng, until: s.now.Add(length), remaining: 12}
	f.lateness = map[requestKind]float64{
		startRequest: 0.1 * rng.Float64(), stopRequest: 0.2 * rng.Float64(), renewalRequest: 0.06 * rng.Float64(),
	}
	f.lostAnswers, f.restarts, f.cuts = 0.06*rng.Float64(), 0.6*rng.Float64(), 0.4*rng.Float64()
	if rng.IntN(2) == 0 {
		f.listDelay = int64(2 * time.Second)
	}
	s.late = f
	for range rng.IntN(3) {
		s.at(time.Duration(rng.Int64N(int64(length))), f.cutLeader)
	}
	for range rng.IntN(3) {
		s.at(time.Duration(rng.Int64N(int64(length))), f.pauseLeader)
	}
	s.onDecision = f.traceDecision
}

func (f *lateFaults) active() bool { return f != nil && f.sim.now.Before(f.until) }

// between draws a duration in milliseconds.
func (f *lateFaults) between(fromMS, toMS int) time.Duration {
	return time.Duration(fromMS+f.rng.IntN(toMS-fromMS)) * time.Millisecond
}

// isLate draws whether a request is carried out late.
func (f *lateFaults) isLate(kind requestKind) bool {
	return f.active() && f.rng.Float64() < f.lateness[kind]
}

// isAnswerLost draws whether the answer to a request is lost.
func (f *lateFaults) isAnswerLost() bool { return f.active() && f.rng.Float64() < f.lostAnswers }

// isCarriedOut reports whether a worker carries out a late request that was sent to an
// earlier incarnation. A start request that is carried out before a leader that knows of
// the new one has reached it cannot be prevented: in seed 90973 its run is done and
// acknowledged by then.
func (f *lateFaults) isCarriedOut(kind requestKind, w *fakeWorker) bool {
	return f != nil && (kind != startRequest || w.reached || *unreachedStarts)
}

var unreachedStarts = flag.Bool("unreached-starts", false, "late start requests are also carried out by incarnations that no leader has reached")

// aroundLateRequest draws a restart of the worker before a late request, which is
// carried out after the given delay, and a cut after it.
func (f *lateFaults) aroundLateRequest(w *fakeWorker, delay time.Duration) {
	if !f.active() || f.remaining == 0 {
		return
	}
	if f.rng.Float64() < f.restarts {
		f.remaining--
		f.sim.at(time.Duration(f.rng.Int64N(int64(delay))), func() { f.restart(w) })
	}
	if f.rng.Float64() < f.cuts {
		f.remaining--
		at, cut, expires := delay+f.between(0, 1500), f.between(4000, 9000), f.between(3000, 4500)
		f.sim.at(at, func() { f.note("", w, "%s is cut off for %v", w.ID, cut) })
		f.sim.cutWorker(w, at, cut, expires, false)
	}
}

// restart makes a worker lose its power and return under its identifier within 700 ms.
// Its directory entry follows.
func (f *lateFaults) restart(w *fakeWorker) {
	s := f.sim
	if !w.up {
		return
	}
	w.crash()
	w.lostPower = true
	down, listed := f.between(0, 700), f.between(0, 900)
	s.at(down, func() {
		w.restart()
		w.lostPower = false
		f.note("", w, "%s has restarted as incarnation %d", w.ID, w.Incarnation)
		entry := w.directoryEntry()
		s.at(listed, func() { s.leader.reduce(WorkerListed{Worker: entry}) })
	})
}

// cutLeader cuts the leader off from some workers. Half of the time requests arrive and
// only the answers are lost.
func (f *lateFaults) cutLeader() {
	l, until, answersOnly := f.sim.leader, f.sim.now.Add(f.between(1000, 8000)), f.rng.IntN(2) == 0
	l.cutFrom = map[structs.WorkerID]leaderCut{}
	for range 1 + f.rng.IntN(4) {
		w := f.sim.workers[f.rng.IntN(len(f.sim.workers))]
		l.cutFrom[w.ID] = leaderCut{until, answersOnly}
		f.note("", w, "leader %d is cut off from %s until %v, answers only: %t", l.epoch, w.ID, until, answersOnly)
	}
}

// leaderCut is a cut between a leader and a worker.
type leaderCut struct {
	until       structs.Timestamp
	answersOnly bool
}

// pauseLeader pauses the leader between its next decisions and their requests. Often
// another leader is elected meanwhile.
func (f *lateFaults) pauseLeader() {
	s, pause := f.sim, f.between(500, 7000)
	s.leader.pauseNext = pause
	f.note("", nil, "leader %d pauses for %v", s.leader.epoch, pause)
	if f.rng.IntN(2) == 0 {
		s.at(f.between(0, 1000), func() { s.replaceLeader(true) })
	}
}

// listWorkers passes the directory to a new leader, each entry after a delay.
func (f *lateFaults) listWorkers(l *fakeLeader) {
	f.note("", nil, "leader %d is elected", l.epoch)
	for _, w := range f.sim.workers {
		delay := time.Duration(0)
		if f.listDelay > 0 {
			delay = time.Duration(f.rng.Int64N(f.listDelay))
		}
		f.sim.at(delay, func() {
			if w.up && !w.unlisted {
				l.reduce(WorkerListed{Worker: w.directoryEntry()})
			}
		})
	}
}

// note records an event that explains violations. w may be nil.
func (f *lateFaults) note(task string, w *fakeWorker, format string, args ...any) {
	if f == nil {
		return
	}
	line := traceLine{task: task, text: fmt.Sprintf("%.3f ", float64(f.sim.now)/1e9) + fmt.Sprintf(format, args...)}
	if w != nil {
		line.worker = string(w.ID)
	}
	f.trace = append(f.trace, line)
}

// traceDecision records the decisions that concern runs and workers.
func (f *lateFaults) traceDecision(d Decision) {
	switch d.Event {
	case "start", "run_lost", "run_replaced", "lost_run_listed", "run_of_previous_leader_ended", "run_ended", "stop", "stop_unknown",
		"start_unanswered", "start_rejected":
		f.trace = append(f.trace, traceLine{task: d.Task, worker: string(d.Worker), text: f.format(d)})
	case "ends_forgotten", "worker_restarted", "worker_silent", "worker_back", "worker_removed", "worker_unlisted", "worker_gone", "lease_over":
		f.trace = append(f.trace, traceLine{worker: string(d.Worker), text: f.format(d)})
	case "recovery_complete", "worker_listed_late":
		f.trace = append(f.trace, traceLine{text: f.format(d)})
	}
}

func (f *lateFaults) format(d Decision) string {
	return fmt.Sprintf("%.3f   %s %s %s inc %d run %d value %d %s %s", float64(f.sim.now)/1e9, d.Event, d.Task, d.Worker, d.Incarnation, d.Run, d.Value, d.Reason, d.State)
}

// logTrace logs what concerns the task of the first violation and its workers.
func (f *lateFaults) logTrace() {
	var workers []string
	for _, line := range f.trace {
		if line.task == f.failedTask && line.worker != "" && !slices.Contains(workers, line.worker) {
			workers = append(workers, line.worker)
		}
	}
	for _, line := range f.trace {
		if (line.task == "" || line.task == f.failedTask) && (line.worker == "" || slices.Contains(workers, line.worker)) {
			f.sim.t.Log(strings.TrimSpace(line.text))
		}
	}
}
