package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// service is the state of one service at this instance.
type service struct {
	name      string
	executors []*executor
	queues    []classQueue // by class index
	round     uint64       // number of the dispatch pass
	pass      uint64       // pass of the class that started last
	held      int          // slots held at open executors
	inflight  int
	// latency is the smoothed time to the head of an answer, runTime the
	// smoothed time for which an attempt holds its slot.
	latency time.Duration
	runTime time.Duration
	demand  demand
}

// initialRunTime is assumed until an attempt has ended.
const initialRunTime = 20 * time.Millisecond

func newService(name string, s *State) *service {
	svc := &service{name: name, runTime: initialRunTime}
	svc.rebuildQueues(s)
	return svc
}

// rebuildQueues adapts the queues to the classes of the policy.
func (svc *service) rebuildQueues(s *State) {
	old := svc.queues
	svc.queues = make([]classQueue, len(s.policy.Classes))
	for i, c := range s.policy.Classes {
		svc.queues[i] = classQueue{
			class: i, weight: uint64(c.Weight), floor: c.FloorPercent,
			teams: map[structs.TeamID]*teamQueue{}, pass: svc.pass,
		}
	}
	if old == nil {
		return
	}
	for _, r := range s.sortedRequests() {
		if r.service != svc {
			continue
		}
		switch r.phase {
		case phaseQueued:
			svc.queues[r.class].push(r)
		case phaseRunning:
			svc.queues[r.class].inflight += len(r.runs)
		}
	}
	for _, o := range s.orphans {
		if o.service == svc {
			svc.queues[o.class].inflight++
		}
	}
}

func (svc *service) queuedTotal() int {
	total := 0
	for i := range svc.queues {
		total += svc.queues[i].queued
	}
	return total
}

// charge accounts a start of a queued request: the class pays its stride and
// every class with queued requests earns its floor.
func (svc *service) charge(started *classQueue) {
	const maxDebt = 400 // hundredths; bounds the burst after a time without slots
	svc.pass = max(svc.pass, started.pass)
	started.pass += strideUnit / started.weight
	started.floorDebt -= 100
	for i := range svc.queues {
		queue := &svc.queues[i]
		if queue.queued == 0 {
			queue.floorDebt = 0
			continue
		}
		queue.floorDebt = max(min(queue.floorDebt+queue.floor, maxDebt), -maxDebt)
	}
}

// expectedWait estimates the wait of a request that joins the class's queue,
// from the queue ahead of it, the class's share and the run time.
func (s *State) expectedWait(svc *service, class int) time.Duration {
	if svc == nil {
		return tableRetryAfter
	}
	if svc.held == 0 {
		return credits0Wait
	}
	total, own := uint64(0), uint64(0)
	for i := range svc.queues {
		queue := &svc.queues[i]
		if queue.queued > 0 || i == class {
			total += queue.weight
		}
		if i == class {
			own = queue.weight
		}
	}
	ahead := uint64(svc.queues[class].queued)
	return time.Duration(ahead*total/own) * svc.runTime / time.Duration(svc.held)
}

// credits0Wait is the expected wait while no slots are held.
const credits0Wait = time.Second

// start sends r to e.
func (s *State) start(r *request, e *executor) {
	r.phase = phaseRunning
	if r.attempt == 0 {
		r.started = s.now
		s.counts.FirstAttempts++
		s.budgets[r.class].earn(s.policy.Classes[r.class].RetryPercent)
		s.planHedge(r)
	}
	s.begin(r, e, false)
}

// begin takes a slot of e for the next attempt of r.
func (s *State) begin(r *request, e *executor, hedge bool) {
	svc := r.service
	r.attempt++
	r.tried = append(r.tried, e.info.ID)
	r.runs = append(r.runs, run{r.attempt, e, s.now})
	e.begin()
	svc.inflight++
	svc.queues[r.class].inflight++
	if r.req.Deadline > e.until {
		s.long[r.ref] = struct{}{}
	}
	s.emit(Send{
		Ref: r.ref, Attempt: r.attempt, Executor: e.info.ID, Address: e.info.Address,
		Deadline: s.attemptDeadline(r, e), Hedge: hedge,
		MayRetry: r.req.Idempotent && r.attempt < s.policy.MaxAttempts,
	})
}

// attemptDeadline leaves an idempotent request time for another attempt if
// this one takes many times longer than usual.
func (s *State) attemptDeadline(r *request, e *executor) structs.Timestamp {
	const usualTimes = 20
	deadline := min(r.req.Deadline, e.until)
	if !r.req.Idempotent || r.attempt >= s.policy.MaxAttempts || r.service.latency == 0 {
		return deadline
	}
	half := s.now.Add(r.req.Deadline.Sub(s.now) / 2)
	return min(deadline, max(half, s.now.Add(usualTimes*r.service.latency)))
}

// releaseSlot ends the use of a slot by an attempt.
func (s *State) releaseSlot(e *executor, svc *service, class int) {
	if e.inflight > e.held {
		s.slotReturnable(e)
	}
	e.inflight--
	svc.inflight--
	svc.queues[class].inflight--
}
