package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// This file reserves capacity for gangs that do not fit yet, and lets other tasks
// use it until then.
//
// Load pattern: gangs of 5 to 120 large tasks, each allowed on a third of the
// workers only, arrive beside a stream of small tasks that takes two thirds of the
// cell, at times 1.6 times as many. Without reservations, small tasks take each bit
// of capacity as it becomes free, and large gangs starve. Reservations that are
// held until the gang starts leave a quarter of the cell idle: with twenty gangs
// waiting, each holds a part of what it needs. A gang therefore reserves capacity
// from the time at which all of it is expected to be free, and a task that ends
// before that time may use it (conservative backfilling).

const (
	// reservationInterval is the time between two computations of all
	// reservations. The expected ends of tasks change with the reports of workers,
	// which arrive at most every second.
	reservationInterval = 50 * time.Millisecond
	// overdueShare is the share of its run time so far that a task which is
	// overdue is expected to go on running.
	overdueShare = 0.25
)

// reservation is capacity on a worker that a waiting gang needs from a time on.
type reservation struct {
	gang  *rankedStep
	order int // position of the gang among the waiting gangs
	from  structs.Timestamp
	size  structs.Resources
}

// blocks reports whether the reservation keeps its capacity from a task of a step
// that would end at the given time.
func (r *reservation) blocks(other *rankedStep, ends structs.Timestamp) bool {
	return r.gang.step != other.step && r.gang.precedes(other) && r.from.Before(ends)
}

// capacityRelease is capacity that is expected to become free.
type capacityRelease struct {
	at   structs.Timestamp
	size structs.Resources
}

// memberSlot is a possible place for one member of a gang.
type memberSlot struct {
	worker *worker
	freeAt structs.Timestamp // when its capacity is expected to be free
}

// slotTimes returns when a worker is expected to have capacity for one, two and
// more members of a gang, up to a limit. free is the capacity that is available
// now, releases are ordered by time.
func slotTimes(now structs.Timestamp, free structs.Resources, releases []capacityRelease, member structs.Resources, limit int) []structs.Timestamp {
	var times []structs.Timestamp
	at := now
	for next := 0; ; next++ {
		for len(times) < limit && (len(times) < tasksThatFit(member, free)) {
			times = append(times, at)
		}
		if len(times) >= limit || next >= len(releases) {
			return times
		}
		free = free.Add(releases[next].size)
		at = max(now, releases[next].at)
	}
}

// chooseSlots returns the slots that are free first, as many as the gang has
// members, and the time at which all of them are free. It returns nil if there are
// too few.
func chooseSlots(slots []memberSlot, members int) ([]memberSlot, structs.Timestamp) {
	if len(slots) < members {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(a, b memberSlot) int { return cmp.Compare(a.freeAt, b.freeAt) })
	chosen := slots[:members]
	return chosen, chosen[members-1].freeAt
}

// reserveForGangs computes the reservations of all waiting gangs in placement
// order, at most every reservationInterval.
func (c *Dispatcher) reserveForGangs(ranked []rankedStep) {
	if c.now.Before(c.nextReservationAt) {
		return
	}
	c.nextReservationAt = c.now.Add(reservationInterval)
	for _, w := range c.sortedWorkers {
		w.reservations, w.releases = nil, nil
	}
	reserving := 0
	for n := range ranked {
		if s := ranked[n].step; s.isWaitingGang() && reserving < c.maxReservingGangs() {
			c.reserveForGang(&ranked[n], reserving)
			reserving++
		}
	}
}

// isWaitingGang reports whether the step is a gang of which nothing is placed.
func (s *step) isWaitingGang() bool {
	return s.spec.Gang && s.unplacedTasks == len(s.tasks) && !s.hasAllocations()
}

// maxReservingGangs returns how many gangs may reserve capacity at a time.
func (c *Dispatcher) maxReservingGangs() int {
	return max(c.policy.MinReservingGangs, len(c.sortedWorkers)/c.policy.WorkersPerReservingGang)
}

// reserveForGang reserves capacity on the approved workers that have it first, if
// the gang is expected to start within the horizon. The first gang in the placement
// order reserves whenever it starts, so that large gangs do not starve. A gang for
// which too few workers are approved reserves nothing.
func (c *Dispatcher) reserveForGang(gang *rankedStep, order int) {
	s := gang.step
	slots := c.memberSlots(gang)
	chosen, freeAt := chooseSlots(slots, len(s.tasks))
	s.expectedStart = freeAt
	if order > 0 && freeAt.Sub(c.now) > c.policy.ReservationHorizon {
		return
	}
	for _, slot := range chosen {
		from := max(freeAt, c.ticketExpected(s, slot.worker))
		slot.worker.reservations = append(slot.worker.reservations, reservation{gang, order, from, s.spec.RequiredCapacity()})
	}
}

// ticketExpected returns when a step can have a valid ticket for a worker at the
// earliest.
func (c *Dispatcher) ticketExpected(s *step, w *worker) structs.Timestamp {
	switch {
	case c.isTicketValid(s, w):
		return c.now
	case s.pendingAdviceCalls > 0:
		return s.adviceExpectedAt
	}
	return c.now.Add(s.job.queue.Advisor.CallTime(1))
}

// memberSlots returns the places for members of a gang on its approved workers,
// beside the reservations of the gangs before it.
func (c *Dispatcher) memberSlots(gang *rankedStep) []memberSlot {
	s := gang.step
	var slots []memberSlot
	for _, w := range c.candidateWorkers(s) {
		free := w.Capacity.Sub(w.used)
		for n := range w.reservations {
			if r := &w.reservations[n]; r.gang.step != s && r.gang.precedes(gang) {
				free = free.Sub(r.size)
			}
		}
		limit := min(s.remainingPerWorker(w), len(s.tasks))
		for _, at := range slotTimes(c.now, free, c.releasesOf(w), s.spec.RequiredCapacity(), limit) {
			slots = append(slots, memberSlot{w, at})
		}
	}
	return slots
}

// releasesOf returns when the runs on a worker are expected to end, ordered by
// time.
func (c *Dispatcher) releasesOf(w *worker) []capacityRelease {
	if w.releases != nil {
		return w.releases
	}
	w.releases = make([]capacityRelease, 0, len(w.allocations))
	for _, a := range w.allocations {
		w.releases = append(w.releases, capacityRelease{c.expectedEnd(a), a.resources})
	}
	slices.SortFunc(w.releases, func(a, b capacityRelease) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.size.MilliCPU, b.size.MilliCPU), cmp.Compare(a.size.MemoryBytes, b.size.MemoryBytes))
	})
	return w.releases
}

// expectedEnd returns when a run is expected to end: by its progress if it has
// reported some, otherwise by the usual run time.
func (c *Dispatcher) expectedEnd(a *allocation) structs.Timestamp {
	if a.state == taskStopping || a.task == nil {
		return c.now.Add(c.policy.MaxStopTime)
	}
	expected := a.startedAt.Add(a.task.step.expectedRun)
	if done, took := a.percent-a.firstPercent, a.progressedAt.Sub(a.firstProgressAt); done > 0 && took > 0 {
		expected = a.progressedAt.Add(took * time.Duration(fullProgress-a.percent) / time.Duration(done))
	}
	if a.startedAt == 0 {
		return c.now.Add(a.task.step.expectedRun) // not started yet
	}
	overdue := c.now.Add(time.Duration(overdueShare * float64(c.now.Sub(a.startedAt))))
	if expected.Before(c.now) {
		return overdue
	}
	return expected
}

// freeFor returns the capacity of a worker that a task of the step may use. Urgent
// tasks are short and may use any capacity; others may use reserved capacity only
// if they are expected to end before the gang starts, or precede it.
func (c *Dispatcher) freeFor(w *worker, of *rankedStep) structs.Resources {
	free := w.Capacity.Sub(w.used)
	if of.rank == rankUrgent {
		return free
	}
	ends := c.backfillEnd(of.step)
	for n := range w.reservations {
		if r := &w.reservations[n]; r.blocks(of, ends) {
			free = free.Sub(r.size)
		}
	}
	return free
}

// backfillEnd returns the time at which a task of the step, placed now, is assumed
// to have ended.
func (c *Dispatcher) backfillEnd(s *step) structs.Timestamp {
	if c.policy.BackfillMargin == 0 {
		return math.MaxInt64
	}
	return c.now.Add(time.Duration(c.policy.BackfillMargin * float64(s.expectedRun)))
}

// intrusion returns how much a task of an urgent step would disturb waiting gangs
// on a worker: 0 if it fits beside their reservations or ends before they start,
// otherwise a number from 1 to 2 that is largest for the first gang.
func (c *Dispatcher) intrusion(w *worker, of *rankedStep) float64 {
	free := w.Capacity.Sub(w.used)
	ends := c.backfillEnd(of.step)
	first := -1
	for n := range w.reservations {
		if r := &w.reservations[n]; r.from.Before(ends) && r.gang.step != of.step {
			free = free.Sub(r.size)
			if first < 0 || r.order < first {
				first = r.order
			}
		}
	}
	if first < 0 || of.step.spec.RequiredCapacity().Fits(free) {
		return 0
	}
	return 1 + 1/float64(1+first)
}
