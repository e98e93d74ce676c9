package dispatch

import "time"

// Policy holds the limits and weights of a cell.
type Policy struct {
	Lease               time.Duration // granted to workers at each renewal
	LeaseWait           time.Duration // a renewal waits this long for an end
	Horizon             time.Duration // no lease lasts longer than this after the last confirmed commit
	StopTime            time.Duration // longest time of a stop
	StartRetry          time.Duration // an unanswered start is sent again after this time
	CommitWait          time.Duration // a submission not yet in a commit is refused after this time
	KeepEnded           time.Duration // an ended job stays known for this long
	MinReserving        int           // gangs that may reserve room at a time in any cell
	WorkersPerReserving int           // one more gang may reserve room for this many workers
	QuarantineFor       time.Duration // a worker that fails what it starts rests for this long
}

// DefaultPolicy returns the policy used where the settings say nothing.
func DefaultPolicy() Policy {
	return Policy{
		// Long enough to outlive a change of leader (about 2 s) and short
		// enough that work lost with a worker restarts within 4 s.
		Lease: 4 * time.Second,
		// At least one renewal falls into each third of a lease.
		LeaseWait: 1 * time.Second,
		// Longer than the outages of the store, 4 to 7 s; a new leader waits as long for workers that do not answer.
		Horizon:    7500 * time.Millisecond,
		StopTime:   900 * time.Millisecond,
		StartRetry: 400 * time.Millisecond,
		CommitWait: 700 * time.Millisecond,
		KeepEnded:  2 * time.Minute,
		// Wide gangs need a large part of the workers they may use; more
		// reservations at a time leave too little room for other work.
		MinReserving:        3,
		WorkersPerReserving: 8,
		QuarantineFor:       4 * time.Second,
	}
}

const (
	// slowClock is the largest lag of a worker's clock: 2%.
	slowClock = 0.98
	// runsPerEpoch separates the run numbers of successive leaders.
	runsPerEpoch = 1000
	// ticketMargin is left of a ticket's validity at a start: the way of the
	// advice to the leader and of the order to the worker.
	ticketMargin = 200 * time.Millisecond
	// leaseMargin covers rounding and delivery when a lease is taken as over.
	leaseMargin = 150 * time.Millisecond
	// startsBeforeStop is how often an unanswered start is sent before the
	// run is stopped.
	startsBeforeStop = 4
	// lateFactor is how many times the objective a job may take before its
	// result is worth nothing.
	lateFactor = 3
	// missesBeforeSilent is the number of failed renewals after which a worker
	// gets no new tasks.
	missesBeforeSilent = 2
)
