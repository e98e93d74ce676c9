package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Health is what an instance concluded about an executor from its answers.
type Health string

// Healths. An ejected executor gets no work until its backoff ends, then one
// idempotent request at a time as a probe.
const (
	Healthy Health = "healthy"
	Ejected Health = "ejected"
	Probing Health = "probing"
)

// executor is an executor as this instance sees it.
type executor struct {
	info        structs.Executor
	svc         *service
	held        int // slots that new attempts may use
	connections int
	until       structs.Timestamp
	inflight    int
	listed      bool

	limit     float64 // concurrency limit that follows latency and failures
	latency   time.Duration
	failures  int // consecutive
	health    Health
	probeAt   structs.Timestamp
	ejections int // recent ones; doubles the backoff
	ejectedAt structs.Timestamp
}

// Settings of the health rules.
const (
	failuresToEject  = 3                // one failure may be the request's, not the executor's
	firstEjection    = time.Second      // doubled with each further ejection
	maxEjection      = 30 * time.Second // bounds the time to restore a repaired executor
	forgetEjections  = 60 * time.Second // of clean work
	slowFactor       = 3                // times the service's latency
	slowMargin       = 2 * time.Millisecond
	limitDecrease    = 0.7
	latencySmoothing = 8 // weight of the past in a moving average
)

func (e *executor) isOpen() bool { return e.listed && e.info.State == structs.Live }

func (e *executor) begin() { e.inflight++ }

// capacity returns how many attempts may run here at once.
func (e *executor) capacity() int { return min(e.held, max(1, int(e.limit))) }

// accepts reports whether r may start at e now.
func (e *executor) accepts(now structs.Timestamp, r *request) bool {
	if !e.isOpen() || e.inflight >= e.capacity() || !leaseCovers(now, e.until, r.req.Deadline) {
		return false
	}
	switch e.health {
	case Ejected:
		return now >= e.probeAt && e.inflight == 0 && r.req.Idempotent
	case Probing:
		return e.inflight == 0 && r.req.Idempotent
	}
	return true
}

func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/latencySmoothing
}

// observeAttempt updates the health and limit of e after an attempt.
func (s *State) observeAttempt(e *executor, svc *service, began structs.Timestamp, res *Result) {
	if res.Kind == Cancelled || res.Kind == Superseded || res.Kind == NotTried {
		return // says nothing about the executor
	}
	svc.runTime = smooth(svc.runTime, s.now.Sub(began))
	if res.Kind == Completed && res.Status < 500 || res.Kind == Buffered && !IsRetriableStatus(res.Status) {
		s.observeSuccess(e, svc, res.HeadLatency)
		return
	}
	if res.Kind == Completed && !IsRetriableStatus(res.Status) {
		s.observeSuccess(e, svc, res.HeadLatency)
		return
	}
	s.observeFailure(e, svc)
}

func (s *State) observeSuccess(e *executor, svc *service, latency time.Duration) {
	e.failures = 0
	e.latency = smooth(e.latency, latency)
	svc.latency = smooth(svc.latency, latency)
	if e.health != Healthy {
		e.health = Healthy
		e.limit = 1
		e.latency = latency
		s.emit(ExecutorChanged{Executor: e.info.ID, Health: Healthy})
	}
	if e.ejections > 0 && s.now.Sub(e.ejectedAt) > forgetEjections {
		e.ejections = 0
	}
	if e.latency > slowFactor*svc.latency+slowMargin {
		e.limit = max(1, e.limit*limitDecrease)
		return
	}
	e.limit = min(float64(e.info.Slots), e.limit+1/e.limit)
}

func (s *State) observeFailure(e *executor, svc *service) {
	e.failures++
	e.limit = max(1, e.limit*limitDecrease)
	if e.health == Healthy && (e.failures < failuresToEject || !svc.mayEject()) {
		return
	}
	e.health = Ejected
	backoff := min(firstEjection<<min(e.ejections, 5), maxEjection)
	e.ejections++
	e.ejectedAt = s.now
	e.probeAt = s.now.Add(s.jitter(backoff))
	s.emit(ExecutorChanged{Executor: e.info.ID, Health: Ejected})
}

// mayEject keeps at least half of the executors in use: requests that break
// every executor must not take the whole service away.
func (svc *service) mayEject() bool {
	open, ejected := 0, 0
	for _, e := range svc.executors {
		if !e.isOpen() {
			continue
		}
		open++
		if e.health != Healthy {
			ejected++
		}
	}
	return 2*(ejected+1) <= open
}

// listExecutors applies a new list. Executors that are missing or not live
// get no new work; their running requests end.
func (s *State) listExecutors(list []structs.Executor) {
	for _, e := range s.order {
		e.listed = false
	}
	for _, info := range list {
		s.listExecutor(info)
	}
	kept := s.order[:0]
	for _, e := range s.order {
		if !e.listed && e.inflight == 0 {
			s.dropExecutor(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(s.order[len(kept):])
	s.order = kept
	s.rebuildServices()
	for _, e := range s.order {
		s.setHolding(e, e.held, e.until)
	}
	s.applyAlone()
	s.recountHeld()
	s.holdingsChanged()
	s.dispatchAll()
	s.requestCredits()
}

func (s *State) listExecutor(info structs.Executor) {
	e := s.executors[info.ID]
	if e == nil {
		e = &executor{health: Healthy, limit: float64(info.Slots)}
		s.executors[info.ID] = e
		s.order = append(s.order, e)
	}
	if e.info.Address != info.Address && e.info.Address != "" {
		s.emit(ConnectionsChanged{Executor: info.ID, Address: e.info.Address})
		e.connections = 0 // none at the new address yet
	}
	e.info = info
	e.listed = true
	svc := s.services[info.Service]
	if svc == nil {
		svc = newService(info.Service, s)
		s.services[info.Service] = svc
	}
	e.svc = svc
}

func (s *State) dropExecutor(e *executor) {
	delete(s.executors, e.info.ID)
	s.emit(ConnectionsChanged{Executor: e.info.ID, Address: e.info.Address})
}

// rebuildServices lists each service's executors. A service without
// executors stays while it has requests.
func (s *State) rebuildServices() {
	for _, svc := range s.services {
		svc.executors = svc.executors[:0]
	}
	for _, e := range s.order {
		e.svc.executors = append(e.svc.executors, e)
	}
	busy := map[*service]bool{}
	for _, r := range s.requests {
		busy[r.service] = true
	}
	for name, svc := range s.services {
		if len(svc.executors) == 0 && !busy[svc] {
			delete(s.services, name)
		}
	}
}
