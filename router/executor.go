package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Health is the health of an executor as derived from its responses.
type Health string

// Health values. An ejected executor gets no work until its backoff ends, then
// one idempotent request at a time as a probe.
const (
	Healthy Health = "healthy"
	Ejected Health = "ejected"
	Probing Health = "probing"
)

// executor is the state of an executor at this instance.
type executor struct {
	info        structs.Executor
	svc         *service
	heldSlots   int // slots of the credit, for new attempts
	connections int
	creditEnd   structs.Timestamp
	inflight    int
	listed      bool

	concurrencyLimit float64 // adapted to latency and failures
	latency          time.Duration
	failures         int // consecutive
	health           Health
	probeAt          structs.Timestamp
	ejections        int // recent ejections; each doubles the backoff
	ejectedAt        structs.Timestamp
}

// Settings of the health rules.
const (
	failuresToEject    = 3                // a single failure may be caused by the request
	firstEjection      = time.Second      // backoff; doubled with each further ejection
	maxEjection        = 30 * time.Second // limits the time until a repaired executor is restored
	ejectionResetAfter = 60 * time.Second // since the last ejection
	slowFactor         = 3                // an executor is slow above this multiple of the service's latency
	slowMargin         = 2 * time.Millisecond
	limitDecrease      = 0.7
	latencySmoothing   = 8 // weight of the past in the moving average
)

// isLive reports whether e is in the current list in state Live, so that it
// takes new work.
func (e *executor) isLive() bool { return e.listed && e.info.State == structs.Live }

func (e *executor) begin() { e.inflight++ }

// capacity returns the maximum number of concurrent attempts at e.
func (e *executor) capacity() int { return min(e.heldSlots, max(1, int(e.concurrencyLimit))) }

// accepts reports whether r may start at e now.
func (e *executor) accepts(now structs.Timestamp, r *request) bool {
	if !e.isLive() || e.inflight >= e.capacity() || !creditCovers(now, e.creditEnd, r.req.Deadline) {
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

// smooth returns the moving average updated with a sample.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/latencySmoothing
}

// observeAttempt updates the run time of svc and the health and concurrency
// limit of e after an attempt.
func (s *State) observeAttempt(e *executor, svc *service, began structs.Timestamp, res *Result) {
	if res.Kind == Cancelled || res.Kind == Superseded || res.Kind == NotTried {
		return // says nothing about the executor
	}
	svc.runTime = smooth(svc.runTime, s.now.Sub(began))
	if res.Kind == Completed && res.Status < 500 || res.Kind == Buffered && !IsRetriableStatus(res.Status) {
		s.observeSuccess(e, svc, res.HeaderLatency)
		return
	}
	if res.Kind == Completed && !IsRetriableStatus(res.Status) {
		s.observeSuccess(e, svc, res.HeaderLatency)
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
		e.concurrencyLimit = 1
		e.latency = latency
		s.emit(ExecutorChanged{Executor: e.info.ID, Health: Healthy})
	}
	if e.ejections > 0 && s.now.Sub(e.ejectedAt) > ejectionResetAfter {
		e.ejections = 0
	}
	if e.latency > slowFactor*svc.latency+slowMargin {
		e.concurrencyLimit = max(1, e.concurrencyLimit*limitDecrease)
		return
	}
	e.concurrencyLimit = min(float64(e.info.Slots), e.concurrencyLimit+1/e.concurrencyLimit)
}

func (s *State) observeFailure(e *executor, svc *service) {
	e.failures++
	e.concurrencyLimit = max(1, e.concurrencyLimit*limitDecrease)
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

// mayEject reports whether another executor can be ejected. At least half of
// the live executors stay in use, so that requests that make every executor
// fail do not take the whole service down.
func (svc *service) mayEject() bool {
	open, ejected := 0, 0
	for _, e := range svc.executors {
		if !e.isLive() {
			continue
		}
		open++
		if e.health != Healthy {
			ejected++
		}
	}
	return 2*(ejected+1) <= open
}

// listExecutors applies a new list of executors. Executors that are missing or
// not live get no new work, and their running attempts continue to their end.
func (s *State) listExecutors(list []structs.Executor) {
	for _, e := range s.executorList {
		e.listed = false
	}
	for _, info := range list {
		s.listExecutor(info)
	}
	kept := s.executorList[:0]
	for _, e := range s.executorList {
		if !e.listed && e.inflight == 0 {
			s.removeExecutor(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(s.executorList[len(kept):])
	s.executorList = kept
	s.rebuildServices()
	for _, e := range s.executorList {
		s.setHolding(e, e.heldSlots, e.creditEnd)
	}
	s.applyStandalone()
	s.recountHeldSlots()
	s.markHoldingsChanged()
	s.dispatchAll()
	s.requestCredits()
}

// listExecutor adds or updates one executor of a new list.
func (s *State) listExecutor(info structs.Executor) {
	e := s.executors[info.ID]
	if e == nil {
		e = &executor{health: Healthy, concurrencyLimit: float64(info.Slots)}
		s.executors[info.ID] = e
		s.executorList = append(s.executorList, e)
	}
	if e.info.Address != info.Address && e.info.Address != "" {
		s.emit(ConnectionsChanged{Executor: info.ID, Address: e.info.Address})
		e.connections = 0 // no connections to the new address yet
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

func (s *State) removeExecutor(e *executor) {
	delete(s.executors, e.info.ID)
	s.emit(ConnectionsChanged{Executor: e.info.ID, Address: e.info.Address})
}

// rebuildServices rebuilds the executor list of each service. A service without
// executors is kept while it has requests.
func (s *State) rebuildServices() {
	for _, svc := range s.services {
		svc.executors = svc.executors[:0]
	}
	for _, e := range s.executorList {
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
