package faulttest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/provider/standin"
)

// faultKind is a kind of fault.
type faultKind int

const (
	messagesLost faultKind = iota // the kinds up to repliesLost have the values of standin.NetworkFault
	messagesDelayed
	messagesDoubled
	messagesReordered
	storeDown
	storeSlow
	repliesLost
	instanceDies
	instancePauses
	leaseLapses // the owner of a shard pauses until after the end of its lease
	allInstancesDie
	plannedStop // not a fault itself, but faults may occur during it
	workerDies
	workerUnreachable
	workerFailsAll
	cancelWave
	wrongSizes
	wrongRunTimes
	jobsTooLarge
	directoryWrong // each list lacks about half of the instances and workers
	numFaultKinds
)

var faultKindNames = [numFaultKinds]string{
	"messages-lost", "messages-delayed", "messages-doubled", "messages-reordered", "store-down", "store-slow",
	"replies-lost", "instance-dies", "instance-pauses", "lease-lapses", "all-instances-die", "planned-stop",
	"worker-dies", "worker-unreachable", "worker-fails-all", "cancel-wave", "wrong-sizes", "wrong-run-times",
	"jobs-too-large", "directory-wrong",
}

// fault is a fault of a schedule.
type fault struct {
	kind   faultKind
	at     time.Duration // since the start of the simulation
	length time.Duration
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s for %v on %d", f.at, faultKindNames[f.kind], f.length, f.target)
}

const (
	warmUp         = 8 * time.Second
	lastFaultStart = 45 * time.Second // latest start of a fault
	maxFaultLength = 12 * time.Second
	horizon        = 20 * time.Second                            // shorter than in production, so that it is reached during a schedule
	runLength      = lastFaultStart + maxFaultLength + 3*horizon // long enough for a task that has grown to the size of a whole worker, which waits and then runs for up to 18 s
)

// schedule returns the faults of a seed. The remainder of the seed selects one
// fault, two at about the same time, the same fault twice in a row, or a
// mixture.
func schedule(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	one := func(k faultKind, at time.Duration) fault {
		length := time.Second + time.Duration(rng.Int64N(int64(maxFaultLength-time.Second)))
		return fault{k, at.Round(time.Millisecond), length.Round(time.Millisecond), rng.IntN(8)}
	}
	at := func() time.Duration { return warmUp + time.Duration(rng.Int64N(int64(lastFaultStart-warmUp))) }
	first := faultKind(seed / 4 % uint64(numFaultKinds))
	switch seed % 4 {
	case 0:
		return []fault{one(first, at())}
	case 1:
		t := at()
		return []fault{one(first, t), one(faultKind(rng.IntN(int(numFaultKinds))), t.Round(time.Second))}
	case 2:
		f := one(first, min(at(), lastFaultStart-maxFaultLength))
		again := f
		again.at += f.length + time.Duration(rng.Int64N(int64(time.Second))).Round(time.Millisecond)
		return []fault{f, again}
	}
	out := []fault{one(first, at())}
	for range 2 + rng.IntN(6) {
		out = append(out, one(faultKind(rng.IntN(int(numFaultKinds))), at()))
	}
	slices.SortStableFunc(out, func(a, b fault) int { return int(a.at - b.at) })
	return out
}

// inject schedules a fault.
func (s *sim) inject(f fault) {
	s.After(f.at, func() {
		n := s.nodes[f.target%len(s.nodes)]
		w := s.workerList[f.target%len(s.workerList)]
		switch f.kind {
		case instanceDies:
			s.kill(n, f.length)
		case allInstancesDie:
			for _, n := range s.nodes {
				s.kill(n, f.length)
			}
		case instancePauses:
			n.pausedUntil = max(n.pausedUntil, s.Now.Add(f.length))
		case leaseLapses:
			if owner := s.owner(s.shards[f.target%len(s.shards)]); owner != nil {
				owner.pausedUntil = max(owner.pausedUntil, s.Now.Add(7*time.Second+f.length/2))
			}
		case plannedStop:
			s.stop(n, f.length)
		case workerDies:
			w.kill(f.length)
		case workerUnreachable:
			w.unreachableUntil = max(w.unreachableUntil, s.Now.Add(f.length))
		case workerFailsAll:
			w.FailAll = true
			s.After(f.length, func() { w.FailAll = false })
		case cancelWave:
			s.cancelMostJobs()
		default:
			s.activate(f)
		}
	})
}

// activate keeps a fault active for its length, for kinds that other code
// checks in s.Active or s.activeFaults.
func (s *sim) activate(f fault) {
	count := &s.activeFaults[f.kind]
	if f.kind < faultKind(standin.NumNetworkFaults) {
		count = &s.Active[f.kind]
	}
	*count++
	s.After(f.length, func() { *count-- })
}

// kill ends the process of an instance and starts the next one after length.
func (s *sim) kill(n *node, length time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	s.After(length, n.startProcess)
}

// stop drains an instance and, after length, replaces its process.
func (s *sim) stop(n *node, length time.Duration) {
	incarnation := n.incarnation
	s.deliver(n, incarnation, func() {
		n.draining = true
		n.reduce(core.Drain{})
	})
	s.After(length, func() {
		if n.incarnation == incarnation {
			s.kill(n, time.Second)
		}
	})
}
