package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// fakeLeader drives a Dispatcher the way a leader instance does.
type fakeLeader struct {
	sim        *simulation
	dispatcher *Dispatcher
	epoch      structs.Epoch
	alive      bool
	cutOff     bool          // has no connection to the store
	committing bool          // a commit is in progress
	wallOffset time.Duration // error of its time of day

	cutFrom     map[structs.WorkerID]leaderCut // workers that it is cut off from
	pauseNext   time.Duration                  // length of a pause that begins after its next decisions
	pausedUntil structs.Timestamp
	delayed     int // number of actions that were delayed by pauses
	placedAt    structs.Timestamp
}

// elect replaces the leader by one that has recovered from the stored rows.
func (s *simulation) elect() {
	s.epoch = s.epoch.Next()
	l := &fakeLeader{sim: s, dispatcher: New(s.policy, s.epoch, s.now, s.now), epoch: s.epoch, alive: true}
	rows := make([]tablestore.Row, 0, len(s.rows))
	for key, value := range s.rows {
		rows = append(rows, tablestore.Row{Table: key[0], Key: key[1], Value: value})
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Table+a.Key, b.Table+b.Key) })
	if err := l.dispatcher.Recover(rows, s.lastCommitAt); err != nil {
		s.t.Fatal(err)
	}
	if s.maxClockError > 0 {
		l.wallOffset = time.Duration(s.clockRNG.Int64N(int64(2*s.maxClockError))) - s.maxClockError
	}
	s.leader = l
	s.lastCommitAt = s.now // the claim writes the leadership row
	if s.late != nil {
		s.late.listWorkers(l)
	} else {
		for _, w := range s.workers {
			if w.up && !w.unlisted {
				l.reduce(WorkerListed{Worker: w.directoryEntry()})
			}
		}
	}
	l.reduce(InstancesConnected{IDs: []structs.InstanceID{"a", "b", "c", "d"}})
	l.tick()
}

// tick runs the periodic work of the leader and schedules the next tick.
func (l *fakeLeader) tick() {
	if !l.alive || l.afterPause(l.lateTick) {
		return
	}
	l.reduce(Tick{WallOffset: l.wallOffset})
	if l.afterPause(l.tick) {
		return
	}
	l.execute(l.dispatcher.PlaceTasks(l.sim.now))
	l.flush()
	l.sim.at(25*time.Millisecond, l.tick)
}

// lateTick runs the first tick after a pause. Answers that have waited for the leader
// are often processed before it.
func (l *fakeLeader) lateTick() {
	if f := l.sim.pairs; f != nil && f.rng.IntN(2) == 0 {
		l.sim.at(f.between(0, 30), l.tick)
		return
	}
	l.tick()
}

// flush writes the next commit to the store.
func (l *fakeLeader) flush() {
	s := l.sim
	if l.committing || l.cutOff {
		return
	}
	commit, err := l.dispatcher.NextCommit(s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	l.committing = true
	sentAt := s.now
	s.at(s.randomDelay(10, 80)+s.storeDelay, func() {
		if l.epoch != s.epoch || l.cutOff && !s.pairs.isLastCommitCarriedOut() {
			return // deposed, or the store does not answer
		}
		s.lastCommitAt = sentAt
		for _, p := range commit.Puts {
			s.rows[[2]string{p.Table, p.Key}] = p.Value
			s.recordStored(p)
		}
		for _, r := range commit.Removes {
			delete(s.rows, [2]string{r.Table, r.Key})
		}
		if l.cutOff || s.pairs.isCommitAnswerLate() {
			s.at(s.pairs.commitAnswerDelay(), func() { l.committed(commit, sentAt) })
			return
		}
		l.committed(commit, sentAt)
	})
}

// committed handles the answer of the store to a commit.
func (l *fakeLeader) committed(commit Commit, sentAt structs.Timestamp) {
	if !l.alive || l.afterPause(func() { l.committed(commit, sentAt) }) {
		return
	}
	l.committing = false
	l.dispatcher.ConfirmLeadership(sentAt)
	l.reduce(Committed{Sequence: commit.Sequence})
}

// afterPause calls do after the pause of the leader, if it is paused. It reports
// whether it is.
func (l *fakeLeader) afterPause(do func()) bool {
	left := l.pausedUntil.Sub(l.sim.now)
	if left <= 0 {
		return false
	}
	// A leader that wakes up does one thing after another.
	l.delayed++
	l.sim.at(left+time.Duration(l.delayed)*time.Microsecond, do)
	return true
}

// recordStored records the jobs whose specification a commit has stored.
func (s *simulation) recordStored(p tablestore.Put) {
	if p.Table != JobTable {
		return
	}
	var specs []storedJob
	if err := cbor.Unmarshal(p.Value, &specs); err != nil {
		s.t.Fatal(err)
	}
	for _, spec := range specs {
		s.stored[spec.Spec.ID] = true
	}
}

func (l *fakeLeader) reduce(event structs.Event) {
	if l.alive && !l.afterPause(func() { l.reduce(event) }) {
		l.sim.pairs.tellEarlier(l, event)
		l.execute(slices.Clone(l.dispatcher.Reduce(l.sim.now, event)))
		if l.sim.pairs != nil && l.sim.now.Sub(l.placedAt) >= 8*time.Millisecond {
			l.placedAt = l.sim.now
			l.execute(l.dispatcher.PlaceTasks(l.sim.now))
		}
	}
}

// execute carries out the effects of the dispatcher.
func (l *fakeLeader) execute(effects []structs.Effect) { l.executeDecided(effects, l.sim.now) }

// executeDecided carries out effects that were decided on at the given time.
func (l *fakeLeader) executeDecided(effects []structs.Effect, decidedAt structs.Timestamp) {
	s := l.sim
	effects = slices.Clone(effects)
	if l.pauseNext > 0 && len(effects) > 0 {
		l.pausedUntil, l.pauseNext = s.now.Add(l.pauseNext), 0
	}
	if !l.alive || l.afterPause(func() { l.executeDecided(effects, decidedAt) }) {
		return
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartTask:
			if !s.pairs.maySend(decidedAt) {
				l.reduce(StartAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: workflow.Dropped})
				continue
			}
			l.deliver(startRequest, e.Worker, func(w *fakeWorker) workflow.Outcome {
				w.askedAs = e.Worker.Incarnation
				return w.start(e.Order)
			},
				func(o workflow.Outcome) {
					l.reduce(StartAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: o})
				})
		case StopTask:
			l.deliver(stopRequest, e.Worker, func(w *fakeWorker) workflow.Outcome { return w.stop(e.Order) },
				func(o workflow.Outcome) {
					l.reduce(StopAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, Task: e.Order.Task, Run: e.Order.Run, Outcome: o})
				})
		case RenewLease:
			if (e.Order.Deadline != 0 || e.Order.AcknowledgedThrough != 0) && !s.pairs.maySend(decidedAt) {
				l.reduce(LeaseAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, SentAt: decidedAt, Outcome: workflow.Unanswered})
				continue
			}
			l.renew(e)
		case RequestAdvice:
			s.at(e.Expected+s.randomDelay(1, 60), func() { l.advise(e) })
		case Reply:
			s.handleReply(e)
		case StepDown:
			l.alive = false
		case Decision:
			if s.onDecision != nil {
				s.onDecision(e)
			}
		}
	}
}

// deliver sends a request to a worker, subject to the faults of the schedule.
func (l *fakeLeader) deliver(kind requestKind, to workflow.Worker, do func(*fakeWorker) workflow.Outcome, answer func(workflow.Outcome)) {
	s := l.sim
	w := s.worker(to.ID)
	const timeout = 400 * time.Millisecond
	if s.rng.Float64() < s.lateProbability || s.late.isLate(kind) {
		// A new incarnation that carries out a request before any leader has
		// reached it cannot be told what has ended; see
		// TestLateStartOfEndedRunIsStopped for one that has been reached.
		incarnation, sentAt := w.Incarnation, s.now
		delay := time.Duration(2000+s.rng.IntN(10_000)) * time.Millisecond
		s.at(delay, func() {
			if !w.up || (w.Incarnation != incarnation && !s.late.isCarriedOut(kind, w)) {
				return
			}
			outcome := do(w)
			s.late.note("", w, "late %s of leader %d, sent at %.3f to %s incarnation %d, is carried out by %d: %s, lease until %v on its clock %v",
				kind, l.epoch, float64(sentAt)/1e9, w.ID, incarnation, w.Incarnation, outcome, w.deadline, w.clock())
		})
		if s.late != nil {
			s.late.aroundLateRequest(w, delay)
		}
		s.at(timeout, func() { answer(workflow.Unanswered) })
		return
	}
	cut, isCut := l.cutFrom[to.ID]
	isCut = isCut && s.now.Before(cut.until)
	if isCut && !cut.answersOnly {
		s.at(timeout, func() { answer(workflow.Unanswered) })
		return
	}
	s.at(s.requestDelay(), func() {
		if w.replaced {
			s.at(s.randomDelay(1, 30), func() { answer(workflow.OtherIncarnation) })
			return
		}
		if !w.up && !w.lostPower {
			answer(workflow.NotSent)
			return
		}
		if !w.up {
			s.at(timeout, func() { answer(workflow.Unanswered) })
			return
		}
		if s.now.Before(w.unresponsiveUntil) {
			s.at(timeout, func() { answer(workflow.Unanswered) })
			return
		}
		outcome := do(w)
		w.reached = w.reached || (kind == renewalRequest && outcome == workflow.OK && to.Incarnation == w.Incarnation)
		if s.rng.Float64() < s.lossProbability || isCut || s.late.isAnswerLost() {
			s.at(timeout, func() { answer(workflow.Unanswered) })
			return
		}
		s.at(s.requestDelay(), func() { answer(outcome) })
	})
}

// requestDelay returns how long a request to a worker, or its answer, is on its way.
func (s *simulation) requestDelay() time.Duration {
	if s.pairs != nil {
		return s.pairs.way()
	}
	return s.randomDelay(1, 30)
}

// renew sends a lease renewal.
func (l *fakeLeader) renew(e RenewLease) {
	if l.sim.pairs != nil {
		l.sim.pairs.renew(l, e)
		return
	}
	var report workflow.Report
	sentAt := l.sim.now
	wait := min(e.Order.Wait, 300*time.Millisecond)
	l.sim.at(wait, func() {
		l.deliver(renewalRequest, e.Worker, func(w *fakeWorker) workflow.Outcome {
			var outcome workflow.Outcome
			report, outcome = w.renewLease(e.Order)
			return outcome
		}, func(o workflow.Outcome) {
			l.reduce(LeaseAnswered{Worker: e.Worker.ID, FencingToken: e.Order.FencingToken, SentAt: sentAt, Report: report, Outcome: o})
		})
	})
}

const ticketValidity = 1500 * time.Millisecond

// advise answers a call for advice. Failures and approvals are pseudo-random.
func (l *fakeLeader) advise(e RequestAdvice) {
	s := l.sim
	answer := AdviceAnswered{Step: e.Step, Workers: e.Workers, Via: e.Via, Expected: e.Expected}
	answer.Failed = s.rng.Float64() < s.lossProbability
	answer.Advice.Validity = ticketValidity
	for _, id := range e.Workers {
		w := s.worker(id)
		if id < "w04" || hash(e.Step+string(id))%100 < 45 { // the first four workers are always approved; every gang fits on them
			token := fmt.Sprintf("%s/%s/%d", e.Step, id, w.Incarnation)
			s.tickets[token] = s.now.Add(ticketValidity)
			answer.Advice.Tickets = append(answer.Advice.Tickets, workflow.Ticket{Worker: id, Token: token})
		}
	}
	l.reduce(answer)
}
