package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// balancer is a strategy that divides the executors among the instances.
type balancer interface {
	// arrive simulates the arrival of a request at an instance.
	arrive(instance int)
	clock() *virtualClock
	// reset discards the waits recorded so far.
	reset()
	// result returns the waits recorded since reset and the maximum number of
	// requests at one executor at the same time.
	result() (waits []time.Duration, maximum int)
}

// creditBalancer is the router with slot credits.
type creditBalancer struct{ sim *routerSim }

func newCreditBalancer(seed uint64) balancer {
	return &creditBalancer{newRouterSim(seed, unlimitedPolicy("normal", structs.Normal), 1, false)}
}

// unlimitedPolicy returns a policy with one class and limits too high to refuse
// requests.
func unlimitedPolicy(class structs.ClassName, urgency structs.Urgency) router.Policy {
	return router.Policy{Classes: []router.ClassPolicy{{
		Name: class, Urgency: urgency, QueueLimit: 1 << 20, TeamQueueLimit: 1 << 20,
		DefaultDeadline: 10 * time.Second,
	}}}
}

func (b *creditBalancer) arrive(i int)         { b.sim.instances[i].arrive("normal", true, 0) }
func (b *creditBalancer) clock() *virtualClock { return b.sim.virtualClock }
func (b *creditBalancer) reset()               { clear(b.sim.waits) }
func (b *creditBalancer) result() ([]time.Duration, int) {
	return b.sim.waits["normal"], b.sim.maximum()
}

// queueBalancer sends every request to an executor without delay. The executor
// queues the requests that exceed its slots.
type queueBalancer struct {
	*virtualClock
	executors    []*simExecutor
	sent         []int // requests at each executor that have not ended
	reportedLoad []int // copy of sent at the last refresh
	maximum      int
	waits        []time.Duration
	choose       func(b *queueBalancer, instance int) int
	turns        [simInstances]int
}

// loadRefreshInterval is the interval at which reportedLoad is refreshed.
const loadRefreshInterval = 100 * time.Millisecond

func newQueueBalancer(seed uint64, choose func(*queueBalancer, int) int) balancer {
	b := &queueBalancer{virtualClock: newVirtualClock(seed), executors: simExecutorList(1), choose: choose}
	b.sent = make([]int, simExecutors)
	b.refresh()
	return b
}

func (b *queueBalancer) refresh() {
	b.reportedLoad = append(b.reportedLoad[:0], b.sent...)
	b.after(loadRefreshInterval, b.refresh)
}

func (b *queueBalancer) arrive(instance int) {
	i := b.choose(b, instance)
	x := b.executors[i]
	arrived := b.now
	b.sent[i]++
	b.maximum = max(b.maximum, b.sent[i])
	start := func() {
		b.waits = append(b.waits, b.now.Sub(arrived))
		x.begin()
		b.after(b.exponential(meanRunTime), func() { b.done(i) })
	}
	if x.running < simSlots {
		start()
		return
	}
	x.waiting = append(x.waiting, start)
}

func (b *queueBalancer) done(i int) {
	x := b.executors[i]
	x.running--
	b.sent[i]--
	if len(x.waiting) > 0 {
		next := x.waiting[0]
		x.waiting = x.waiting[1:]
		next()
	}
}

func (b *queueBalancer) clock() *virtualClock           { return b.virtualClock }
func (b *queueBalancer) reset()                         { b.waits = nil }
func (b *queueBalancer) result() ([]time.Duration, int) { return b.waits, b.maximum }
func chooseRandom(b *queueBalancer, _ int) int          { return b.rng.IntN(simExecutors) }
func chooseRoundRobin(b *queueBalancer, instance int) int {
	b.turns[instance]++
	return b.turns[instance] % simExecutors
}
func chooseTwo(b *queueBalancer, _ int) int {
	i, j := b.rng.IntN(simExecutors), b.rng.IntN(simExecutors)
	if b.reportedLoad[j] < b.reportedLoad[i] {
		return j
	}
	return i
}

// partitionBalancer gives every instance a fixed part of the slots and its own
// queue. With work stealing, an instance whose queue is empty serves the longest
// queue.
type partitionBalancer struct {
	*virtualClock
	free   [simInstances]int
	queues [simInstances][]structs.Timestamp
	waits  []time.Duration
	steal  bool
}

func newPartitionBalancer(seed uint64, steal bool) balancer {
	b := &partitionBalancer{virtualClock: newVirtualClock(seed), steal: steal}
	for i := range b.free {
		b.free[i] = simExecutors * simSlots / simInstances
	}
	return b
}

func (b *partitionBalancer) arrive(i int) {
	b.queues[i] = append(b.queues[i], b.now)
	b.next(i)
	for j := range b.free {
		if b.steal && b.free[j] > 0 && len(b.queues[i]) > 0 {
			b.next(j)
		}
	}
}

// next starts a request at instance i if it has a free slot.
func (b *partitionBalancer) next(i int) {
	from := i
	for j := range b.queues {
		if b.steal && len(b.queues[i]) == 0 && len(b.queues[j]) > len(b.queues[from]) {
			from = j
		}
	}
	if b.free[i] == 0 || len(b.queues[from]) == 0 {
		return
	}
	arrived := b.queues[from][0]
	b.queues[from] = b.queues[from][1:]
	b.free[i]--
	forward := time.Duration(0)
	if from != i {
		forward = 500 * time.Microsecond // time to forward the request to the instance that owns the slot
	}
	b.waits = append(b.waits, b.now.Sub(arrived)+forward)
	b.after(forward+b.exponential(meanRunTime), func() { b.free[i]++; b.next(i) })
}

func (b *partitionBalancer) clock() *virtualClock           { return b.virtualClock }
func (b *partitionBalancer) reset()                         { b.waits = nil }
func (b *partitionBalancer) result() ([]time.Duration, int) { return b.waits, simSlots }

var balancers = []struct {
	name string
	make func(seed uint64) balancer
}{
	{"credits", newCreditBalancer},
	{"partitions", func(seed uint64) balancer { return newPartitionBalancer(seed, false) }},
	{"partitions+stealing", func(seed uint64) balancer { return newPartitionBalancer(seed, true) }},
	{"two choices, stale", func(seed uint64) balancer { return newQueueBalancer(seed, chooseTwo) }},
	{"round robin", func(seed uint64) balancer { return newQueueBalancer(seed, chooseRoundRobin) }},
	{"random", func(seed uint64) balancer { return newQueueBalancer(seed, chooseRandom) }},
}

var (
	evenArrival   = []float64{1, 1, 1, 1, 1, 1, 1, 1}
	unevenArrival = []float64{4, 2, 1, 1, 1, 1, 1, 1}
)

// measure runs a balancer at the given load for one second of warm-up and two
// seconds of measurement. The arrival rates of the instances are proportional to
// weights.
func measure(b balancer, load float64, weights []float64) (waits []time.Duration, maximum int) {
	const warmUp, length = time.Second, 2 * time.Second
	c := b.clock()
	total := 0.0
	for _, w := range weights {
		total += w
	}
	rate := load * simExecutors * simSlots / meanRunTime.Seconds()
	start := c.now
	for i, w := range weights {
		gap := time.Duration(float64(time.Second) / (rate * w / total))
		var next func()
		next = func() {
			b.arrive(i)
			if c.now.Sub(start) < warmUp+length {
				c.after(c.exponential(gap), next)
			}
		}
		c.after(50*time.Millisecond+c.exponential(gap), next)
	}
	c.runUntil(start.Add(warmUp))
	b.reset()
	c.runUntil(start.Add(warmUp + length))
	return b.result()
}

// benchSeeds is the number of seeds, starting with 1, whose waits are combined.
const benchSeeds = 8

// BenchmarkBalancers reports waits in virtual time; ns/op has no meaning.
func BenchmarkBalancers(b *testing.B) {
	for _, arrival := range []struct {
		name    string
		weights []float64
	}{{"even", evenArrival}, {"uneven", unevenArrival}} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, kind := range balancers {
				b.Run(fmt.Sprintf("%s/%.2f/%s", arrival.name, load, kind.name), func(b *testing.B) {
					for range b.N {
						var waits []time.Duration
						maximum := 0
						for seed := range uint64(benchSeeds) {
							more, most := measure(kind.make(seed+1), load, arrival.weights)
							waits, maximum = append(waits, more...), max(maximum, most)
						}
						b.ReportMetric(percentile(waits, 0.5).Seconds()*1000, "p50-ms")
						b.ReportMetric(percentile(waits, 0.99).Seconds()*1000, "p99-ms")
						b.ReportMetric(float64(maximum), "max-at-executor")
						b.ReportMetric(float64(len(waits)), "started")
					}
				})
			}
		}
	}
}

// BenchmarkCreditMessages reports the credit messages of one instance, with
// their size in CBOR, over three seconds of virtual time.
func BenchmarkCreditMessages(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		b.Run(fmt.Sprintf("%.2f", load), func(b *testing.B) {
			for range b.N {
				messages, bytes := 0, 0
				credits := newCreditBalancer(1).(*creditBalancer)
				credits.sim.onMessage = func(message any) {
					encoded, err := cbor.Marshal(message)
					if err != nil {
						b.Fatal(err)
					}
					messages++
					bytes += len(encoded)
				}
				measure(credits, load, evenArrival)
				b.ReportMetric(float64(messages)/3/simInstances, "messages/s")
				b.ReportMetric(float64(bytes)/3/simInstances, "bytes/s")
			}
		})
	}
}

// Guards against credits that exceed the slots of an executor, and against slots
// that stay unused when arrivals are uneven. Requests must not wait longer than
// with fixed partitions, the best alternative that respects the slots and does
// not forward requests.
func TestCreditsRespectSlotsAndOutperformPartitions(t *testing.T) {
	credits, maximum := measure(newCreditBalancer(1), 0.8, unevenArrival)
	partitions, _ := measure(newPartitionBalancer(1, false), 0.8, unevenArrival)
	if maximum > simSlots {
		t.Errorf("an executor ran %d requests at once, it has %d slots", maximum, simSlots)
	}
	if got, limit := percentile(credits, 0.99), percentile(partitions, 0.99); got > limit {
		t.Errorf("p99 wait is %v with credits, want at most %v as with partitions", got, limit)
	}
}
