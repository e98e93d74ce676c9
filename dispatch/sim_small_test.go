package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

var (
	smallSchedules = flag.Int("small-schedules", 100, "number of fault schedules of small cells")
	firstSmallSeed = flag.Int("first-small-seed", 1_000_000, "seed of the first fault schedule of a small cell, above lastSeedWithoutPairFaults")
)

// smallRegression is a schedule of a small cell in which a task ran twice.
type smallRegression struct {
	seed          uint64
	leaseEndsBy   time.Duration // how late workers end runs after their leases
	guardsAgainst string
}

var smallRegressions = []smallRegression{
	{1_000_152, 1500 * time.Millisecond, "a worker that ends runs late after leases of the present leader"},
	{1_000_174, 1500 * time.Millisecond, "a worker that ends runs late after leases of the leader before"},
	{1_000_164, 0, "a restarted worker whose lease outlives those of its leader"},
}

// TestSmallCellSchedules guards against tasks that run twice in a cell of few workers and
// jobs, with several changes of leader, restarts and cuts within a few seconds. Many more
// of these schedules can be played in the same time.
func TestSmallCellSchedules(t *testing.T) {
	for _, r := range smallRegressions {
		t.Run(fmt.Sprintf("seed=%d/ends=%v", r.seed, r.leaseEndsBy), func(t *testing.T) {
			t.Parallel()
			runSmallSchedule(t, r.seed, r.leaseEndsBy)
			if t.Failed() {
				t.Logf("this schedule guards against %s", r.guardsAgainst)
			}
		})
	}
	for seed := uint64(*firstSmallSeed); seed < uint64(*firstSmallSeed+*smallSchedules); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSmallSchedule(t, seed, *latestLeaseEnd)
		})
	}
}

// runSmallSchedule simulates a small cell with the jobs and faults drawn from a seed. Its
// workers end runs up to the given time after their leases.
func runSmallSchedule(t *testing.T, seed uint64, leaseEndsBy time.Duration) {
	const length = 6 * time.Second
	s := newSimulation(t, seed, 5)
	rng := rand.New(rand.NewPCG(seed, 11))
	s.clockRNG, s.maxClockError = rand.New(rand.NewPCG(seed, 7)), 3*time.Second
	s.scheduleLateRequests(seed, length)
	if !*lateRequests {
		s.leaveOutLateRequests()
	}
	f := s.newPairFaults(seed)
	f.leaseEndsBy = leaseEndsBy
	s.elect()
	for n := range 4 + rng.IntN(6) {
		job := s.randomJob(n)
		if rng.IntN(2) == 0 {
			job = f.randomKind(n)
			job.job.Occurrences = 0
		}
		for n := range job.job.Steps {
			job.job.Steps[n].Estimate *= time.Duration(1 + rng.IntN(3))
		}
		at := time.Duration(rng.Int64N(int64(length / 2)))
		s.at(at, func() { s.submit(job) })
		for range rng.IntN(3) { // also after the cancel and after the end
			s.at(at+f.between(0, 15_000), func() {
				s.leader.reduce(SubmitJob{Call: callIDOf(job.job.ID), Job: job.job, Queue: job.queue})
			})
		}
		if job.job.Steps[0].LongRunning || rng.IntN(8) == 0 {
			s.at(at+f.between(2000, 20_000), func() { s.cancel(job) })
		}
	}
	s.lossProbability = 0.1 * rng.Float64() * rng.Float64()
	if *lateRequests {
		s.lateProbability = 0.1 * rng.Float64() * rng.Float64()
	}
	at := func() time.Duration { return time.Duration(rng.Int64N(int64(length))) }
	for range rng.IntN(*pairReplacements + 1) {
		s.at(at(), f.replaceLeader)
	}
	for range rng.IntN(min(*pairPauses, 1) + 1) {
		s.at(at(), f.pauseLeader)
	}
	for range rng.IntN(*pairAddresses + 1) {
		w := s.workers[rng.IntN(len(s.workers))]
		s.at(at(), func() { f.takeAddress(w) })
	}
	for range rng.IntN(*pairRestarts + 1) {
		w := s.workers[rng.IntN(len(s.workers))]
		s.at(at(), func() { f.restart(w) })
	}
	if *randomFaults {
		for range rng.IntN(4) {
			w := s.workers[rng.IntN(len(s.workers))]
			s.cutWorker(w, time.Second+at(), f.between(1000, 9000), f.between(3000, 4500), rng.IntN(2) == 0)
		}
		s.scheduleHiddenEnds(seed, length)
	}
	s.run(structs.Timestamp(180 * time.Second))
	if t.Failed() {
		s.late.logTrace()
		return // the schedule was not played to its end
	}
	s.checkEnd(seed)
}
