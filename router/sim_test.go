package router_test

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// The simulation runs instances, executors and the messages between them in
// virtual time. All randomness comes from the seed.

const (
	simExecutors = 50
	simSlots     = 8
	simInstances = 8
	simService   = "svc"
	meanRunTime  = 20 * time.Millisecond
)

type simEvent struct {
	at    structs.Timestamp
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// virtualClock runs scheduled events in virtual time.
type virtualClock struct {
	now   structs.Timestamp
	queue simQueue
	order int
	rng   *rand.Rand
}

func newVirtualClock(seed uint64) *virtualClock {
	return &virtualClock{now: structs.Timestamp(time.Hour), rng: rand.New(rand.NewPCG(seed, 7))}
}

func (c *virtualClock) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, simEvent{c.now.Add(d), c.order, run})
}

func (c *virtualClock) runUntil(end structs.Timestamp) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		ev := heap.Pop(&c.queue).(simEvent)
		c.now = ev.at
		ev.run()
	}
	c.now = end
}

func (c *virtualClock) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-c.rng.Float64()) * float64(mean))
}

// simExecutor counts the requests that run on it.
type simExecutor struct {
	info    structs.Executor
	running int
	maximum int
	served  int
	waiting []func()                              // queued starts, for balancers that exceed the slots
	respond func() (time.Duration, router.Result) // nil: exponential run time and status 200
}

func simExecutorList(regions int) []*simExecutor {
	var all []*simExecutor
	for i := range simExecutors {
		region := structs.Region([]string{"r0", "r1", "r2"}[i%regions])
		domain := structs.FailureDomain(string(region) + []string{"a", "b", "c"}[i/regions%3])
		all = append(all, &simExecutor{info: structs.Executor{
			ID: structs.ExecutorID([]byte{'e', byte('0' + i/10), byte('0' + i%10)}), Service: simService,
			Location: structs.Location{Region: region, FailureDomain: domain},
			Slots:    simSlots, Connections: 64, State: structs.Live,
		}})
	}
	return all
}

func (x *simExecutor) begin() { x.running++; x.maximum = max(x.maximum, x.running); x.served++ }

// simInstance drives one router.State.
type simInstance struct {
	sim          *routerSim
	id           structs.InstanceID
	location     structs.Location
	state        *router.State
	dead         bool
	reportedGone bool     // the owners were told that the instance is gone
	backlog      []func() // events that arrived during a pause
	isPaused     bool
	isolated     bool // messages to and from owners are lost
	skew         time.Duration
	owners       map[structs.Region]*simOwner // as known to this instance
	running      map[attemptID]*simAttempt
	nextRef      router.Ref
}

type attemptID struct {
	ref     router.Ref
	attempt int
}

type simAttempt struct {
	executor *simExecutor
	send     router.Send
	ended    bool
}

// routerSim connects instances, owners and executors.
type routerSim struct {
	*virtualClock
	executors   []*simExecutor
	instances   []*simInstance
	owners      map[structs.Region]*simOwner
	waits       map[structs.ClassName][]time.Duration
	totals      map[router.Outcome]int
	perClass    map[structs.ClassName]map[router.Outcome]int
	refused     map[router.Reason]int
	attempts    int
	meanRunTime time.Duration
	onMessage   func(message any) // called with every credit message
	hedge       bool
	totalTime   map[structs.ClassName][]time.Duration
}

func newRouterSim(seed uint64, policy router.Policy, regions int, alone bool) *routerSim {
	s := &routerSim{
		virtualClock: newVirtualClock(seed), executors: simExecutorList(regions),
		owners: map[structs.Region]*simOwner{}, waits: map[structs.ClassName][]time.Duration{},
		totals: map[router.Outcome]int{}, perClass: map[structs.ClassName]map[router.Outcome]int{},
		refused: map[router.Reason]int{}, meanRunTime: meanRunTime,
	}
	for _, r := range []structs.Region{"r0", "r1", "r2"}[:regions] {
		s.owners[r] = s.newOwner(r, nil, nil, 0)
	}
	count := simInstances
	if alone {
		count = 1
	}
	for i := range count {
		region := structs.Region([]string{"r0", "r1", "r2"}[i%regions])
		in := &simInstance{
			sim: s, id: structs.InstanceID([]byte{'i', byte('0' + i)}),
			location: structs.Location{Region: region, FailureDomain: structs.FailureDomain(string(region) + []string{"a", "b", "c"}[i/regions%3])},
			running:  map[attemptID]*simAttempt{}, owners: maps.Clone(s.owners),
		}
		in.state = router.New(router.Config{
			Instance: in.id, Location: in.location, Seed: seed + uint64(i), Policy: policy, Standalone: alone,
			FirstSequence: uint64(s.now),
		})
		s.instances = append(s.instances, in)
		s.after(time.Duration(i)*time.Millisecond, func() { in.list(); in.tick() })
	}
	return s
}

func (s *routerSim) infos() []structs.Executor {
	var infos []structs.Executor
	for _, x := range s.executors {
		infos = append(infos, x.info)
	}
	return infos
}

func (s *routerSim) recordMessage(message any) {
	if s.onMessage != nil {
		s.onMessage(message)
	}
}

// delay returns the delay of one message, with jitter so that messages overtake
// each other.
func (s *routerSim) delay(a, b structs.Region) time.Duration {
	base := 250 * time.Microsecond
	if a != b {
		base = 15 * time.Millisecond
	}
	return base + time.Duration(s.rng.Int64N(int64(base)))
}

func (in *simInstance) now() structs.Timestamp { return in.sim.now.Add(in.skew) }

// deliver runs fn now or, during a pause, after the pause.
func (in *simInstance) deliver(fn func()) {
	switch {
	case in.dead:
	case in.isPaused:
		in.backlog = append(in.backlog, fn)
	default:
		fn()
	}
}

func (in *simInstance) resume() {
	in.isPaused = false
	for _, fn := range in.backlog {
		in.deliver(fn) // discards the events of a dead instance
	}
	in.backlog = nil
}

func (in *simInstance) list() { in.reduce(&router.ExecutorsListed{Executors: in.sim.infos()}) }

func (in *simInstance) tick() {
	if in.dead {
		return
	}
	in.deliver(func() {
		for _, a := range in.sortedAttempts() {
			if in.now() >= a.send.Deadline {
				in.end(a, router.Result{Kind: router.NoResponse, Replayable: true})
			}
		}
		in.reduce(&router.Tick{})
	})
	in.sim.after(5*time.Millisecond, in.tick)
}

func (in *simInstance) sortedAttempts() []*simAttempt {
	var all []*simAttempt
	for _, a := range in.running {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *simAttempt) int {
		return cmp.Or(cmp.Compare(a.send.Ref, b.send.Ref), cmp.Compare(a.send.Attempt, b.send.Attempt))
	})
	return all
}

// arrive sends one request to the instance.
func (in *simInstance) arrive(class structs.ClassName, idempotent bool, deadline time.Duration) {
	in.deliver(func() {
		in.nextRef++
		req := router.Request{ID: "x", Team: "/t", Class: class, Service: simService, Idempotent: idempotent, Replayable: in.sim.hedge}
		if deadline > 0 {
			req.Deadline = in.now().Add(deadline)
		}
		in.reduce(&router.RequestArrived{Ref: in.nextRef, Request: req})
	})
}

func (in *simInstance) reduce(ev structs.Event) {
	effects := slices.Clone(in.state.Reduce(in.now(), ev))
	for _, effect := range effects {
		switch e := effect.(type) {
		case router.Send:
			in.send(e)
		case router.RequestCredits:
			owner := in.owners[e.Region]
			in.sim.recordMessage(e.Request)
			if in.isolated {
				continue
			}
			request := &credits.RequestReceived{Request: e.Request}
			in.sim.after(in.sim.delay(in.location.Region, e.Region), func() { owner.receive(request) })
		case router.ExtendAttempt:
			if a := in.running[attemptID{e.Ref, e.Attempt}]; a != nil {
				a.send.Deadline = e.Deadline
			}
		case router.CancelAttempt:
			if a := in.running[attemptID{e.Ref, e.Attempt}]; a != nil {
				// The other effects of this event are handled first.
				in.sim.after(0, func() { in.deliver(func() { in.end(a, router.Result{Kind: router.Superseded}) }) })
			}
		case router.Refuse:
			in.sim.refused[e.Reason]++
		case router.RequestObserved:
			in.sim.observe(e)
		}
	}
}

func (s *routerSim) observe(e router.RequestObserved) {
	s.totals[e.Outcome]++
	if s.perClass[e.Class] == nil {
		s.perClass[e.Class] = map[router.Outcome]int{}
	}
	s.perClass[e.Class][e.Outcome]++
	if e.Outcome == router.Answered {
		s.waits[e.Class] = append(s.waits[e.Class], e.Wait)
		if s.totalTime != nil {
			s.totalTime[e.Class] = append(s.totalTime[e.Class], e.Total)
		}
	}
}

func (in *simInstance) send(e router.Send) {
	x := in.sim.byID(e.Executor)
	x.begin()
	in.sim.attempts++
	a := &simAttempt{executor: x, send: e}
	in.running[attemptID{e.Ref, e.Attempt}] = a
	run, result := in.sim.exponential(in.sim.meanRunTime), router.Result{Kind: router.Completed, Status: 200}
	if x.respond != nil {
		run, result = x.respond()
	}
	if left := e.Deadline.Sub(in.now()); run > left {
		// The executor gets the deadline with the request and observes it.
		// Credits cannot limit an executor that ignores the deadline while
		// its instance is paused.
		run, result = left, router.Result{Kind: router.NoResponse}
	}
	result.HeaderLatency = run
	result.Replayable = true
	in.sim.after(run, func() {
		if a.ended {
			return
		}
		// The executor finishes even if its instance is paused.
		a.ended = true
		x.running--
		in.deliver(func() { in.forget(a); in.reduce(&router.AttemptEnded{Ref: e.Ref, Attempt: e.Attempt, Result: result}) })
	})
}

func (in *simInstance) forget(a *simAttempt) {
	delete(in.running, attemptID{a.send.Ref, a.send.Attempt})
}

// end closes the connection of an attempt.
func (in *simInstance) end(a *simAttempt, result router.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.executor.running--
	in.forget(a)
	in.reduce(&router.AttemptEnded{Ref: a.send.Ref, Attempt: a.send.Attempt, Result: result})
}

// crash ends the instance and closes all its connections.
func (in *simInstance) crash() {
	in.dead = true
	for _, a := range in.sortedAttempts() {
		if !a.ended {
			a.ended = true
			a.executor.running--
		}
	}
}

func (s *routerSim) byID(id structs.ExecutorID) *simExecutor {
	for _, x := range s.executors {
		if x.info.ID == id {
			return x
		}
	}
	return nil
}

// maximum returns the maximum number of requests that ran on one executor at
// the same time.
func (s *routerSim) maximum() int {
	most := 0
	for _, x := range s.executors {
		most = max(most, x.maximum)
	}
	return most
}

func percentile(waits []time.Duration, p float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Clone(waits)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
