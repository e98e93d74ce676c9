package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// service is the state of one service at this instance.
type service struct {
	name          string
	executors     []*executor
	queues        []classQueue // by index of the class in the policy
	dispatchRound uint64       // number of the current dispatch round
	pass          uint64       // stride pass of the class that started a request last
	heldSlots     int          // sum over live executors
	inflight      int
	// latency is the smoothed time to the response header, runTime the
	// smoothed time for which an attempt occupies its slot.
	latency time.Duration
	runTime time.Duration
	demand  demand
}

// initialRunTime is the assumed run time until an attempt has ended.
const initialRunTime = 20 * time.Millisecond

func newService(name string, s *State) *service {
	svc := &service{name: name, runTime: initialRunTime}
	svc.rebuildQueues(s)
	return svc
}

// rebuildQueues creates the queues for the classes of the policy and adds the
// queued and running requests to them.
func (svc *service) rebuildQueues(s *State) {
	old := svc.queues
	svc.queues = make([]classQueue, len(s.policy.Classes))
	for i, c := range s.policy.Classes {
		svc.queues[i] = classQueue{
			class: i, weight: uint64(c.Weight), floorPercent: c.FloorPercent,
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
			svc.queues[r.class].inflight += len(r.activeAttempts)
		}
	}
	for _, o := range s.superseded {
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

// charge accounts for the start of a queued request. The pass of its class
// advances by the stride, and the floor debt of every class with queued
// requests grows by its floor.
func (svc *service) charge(started *classQueue) {
	const maxDebt = 400 // in hundredths of a start; limits the burst after a time without slots
	svc.pass = max(svc.pass, started.pass)
	started.pass += strideUnit / started.weight
	started.floorDebt -= 100
	for i := range svc.queues {
		queue := &svc.queues[i]
		if queue.queued == 0 {
			queue.floorDebt = 0
			continue
		}
		queue.floorDebt = max(min(queue.floorDebt+queue.floorPercent, maxDebt), -maxDebt)
	}
}

// expectedWait estimates how long a request that joins the queue of the class
// will wait, from the length of the queue, the share of the class and the run
// time.
func (s *State) expectedWait(svc *service, class int) time.Duration {
	if svc == nil {
		return failureRetryAfter
	}
	if svc.heldSlots == 0 {
		return noCreditsWait
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
	return time.Duration(ahead*total/own) * svc.runTime / time.Duration(svc.heldSlots)
}

// noCreditsWait is the expected wait while no slots are held.
const noCreditsWait = time.Second

// start begins an attempt of r at e that is not a hedge.
func (s *State) start(r *request, e *executor) {
	r.phase = phaseRunning
	if r.attemptCount == 0 {
		r.started = s.now
		s.counts.FirstAttempts++
		s.retryBudgets[r.class].earn(s.policy.Classes[r.class].RetryPercent)
		s.scheduleHedge(r)
	}
	s.begin(r, e, false)
}

// begin occupies a slot of e with the next attempt of r and sends the attempt.
func (s *State) begin(r *request, e *executor, hedge bool) {
	svc := r.service
	r.attemptCount++
	r.triedExecutors = append(r.triedExecutors, e.info.ID)
	r.activeAttempts = append(r.activeAttempts, activeAttempt{r.attemptCount, e, s.now})
	e.begin()
	svc.inflight++
	svc.queues[r.class].inflight++
	if r.req.Deadline > e.creditEnd {
		s.creditBound[r.ref] = struct{}{}
	}
	s.emit(Send{
		Ref: r.ref, Attempt: r.attemptCount, Executor: e.info.ID, Address: e.info.Address,
		Deadline: s.attemptDeadline(r, e), Hedge: hedge,
		MayRetry: r.req.Idempotent && r.attemptCount < s.policy.MaxAttempts,
	})
}

// attemptDeadline returns the deadline for an attempt of r at e. It leaves an
// idempotent request time for another attempt if this one takes many times
// longer than usual.
func (s *State) attemptDeadline(r *request, e *executor) structs.Timestamp {
	const maxLatencyFactor = 20
	deadline := min(r.req.Deadline, e.creditEnd)
	if !r.req.Idempotent || r.attemptCount >= s.policy.MaxAttempts || r.service.latency == 0 {
		return deadline
	}
	half := s.now.Add(r.req.Deadline.Sub(s.now) / 2)
	return min(deadline, max(half, s.now.Add(maxLatencyFactor*r.service.latency)))
}

// releaseSlot releases the slot of an attempt that ended.
func (s *State) releaseSlot(e *executor, svc *service, class int) {
	if e.inflight > e.heldSlots {
		s.markSlotReturnable(e)
	}
	e.inflight--
	svc.inflight--
	svc.queues[class].inflight--
}
