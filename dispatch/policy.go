package dispatch

import "time"

// Policy holds the timeouts and limits of a dispatcher.
type Policy struct {
	Lease                   time.Duration // length of the leases granted to workers
	DrainingLease           time.Duration // length of the leases granted to workers that drain
	MaxLease                time.Duration // longest lease that a worker grants, whatever a request asks for
	RenewalWait             time.Duration // a worker delays the answer to a renewal by up to this time, until a run ends
	Horizon                 time.Duration // all leases end within this time after the last confirmed commit
	MaxStopTime             time.Duration // longest time that a stop can take
	StartRetryDelay         time.Duration // an unanswered start request is sent again after this time
	CommitTimeout           time.Duration // a call without a deadline is answered after this time if no commit has succeeded
	MaxJobMemory            int64         // bytes of memory for all jobs; 0: no limit
	Retention               time.Duration // an ended job is kept for this time
	MinReservingGangs       int           // gangs that may reserve capacity at a time in a cell of any size
	WorkersPerReservingGang int           // one gang may reserve capacity for each such number of workers
	ReservationHorizon      time.Duration // a gang reserves capacity only if it is expected to start within this time
	BackfillMargin          float64       // factor of the expected run time of a task that uses reserved capacity; 0: no task may
	QuarantineDuration      time.Duration // a worker whose runs fail or stall gets no tasks for this time
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		// Longer than a change of leader (about 2 s), and short enough that the
		// tasks of a lost worker are restarted within 6 s.
		Lease: 4 * time.Second,
		// A draining worker leaves soon, and what runs on it then counts as lost
		// when its lease has ended.
		DrainingLease: 2 * time.Second,
		MaxLease:      10 * time.Second,
		// A quarter of a lease, so that a worker is renewed at least once in
		// each third of its lease.
		RenewalWait: 1 * time.Second,
		// As long as most outages of the store, which last 4 to 7 s. A new leader waits
		// for workers that do not answer until the clock rate and leaseMargin are
		// added, 8.5 s; a lasting task may be away for 9 s.
		Horizon:         6700 * time.Millisecond,
		MaxStopTime:     900 * time.Millisecond,
		StartRetryDelay: 400 * time.Millisecond,
		CommitTimeout:   700 * time.Millisecond,
		Retention:       2 * time.Minute,
		// Large gangs need many of the workers that are approved for them. The
		// limit bounds the processor time of the placement.
		MinReservingGangs:       3,
		WorkersPerReservingGang: 8,
		// Capacity that a gang holds for longer is idle in the meantime.
		ReservationHorizon: 700 * time.Millisecond,
		// Gangs seldom start as early as expected, so a task may overlap a little.
		BackfillMargin:     0.7,
		QuarantineDuration: 4 * time.Second,
	}
}

const (
	// minClockRate is the rate of the slowest worker clock, which lags by 2%.
	minClockRate = 0.98
	// runsPerEpoch is the distance between the first run numbers of successive
	// leaders.
	runsPerEpoch = 1000
	// ticketMargin is subtracted from the validity of a ticket for the latency of
	// the advice to the leader and of the start request to the worker.
	ticketMargin = 200 * time.Millisecond
	// workerLateness is how late a worker may end its runs after the end of their lease.
	// No page bounds that. A worker that is short of processor time answers late too, and
	// one that is later than this by its answers has counted as silent for a while.
	workerLateness = (missedRenewalsBeforeSilent + 1) * requestTimeout
	// networkMargin covers rounding and network latency.
	networkMargin = 150 * time.Millisecond
	// leaseMargin is how long after its end a lease is assumed to have expired.
	leaseMargin = networkMargin + workerLateness
	// lateRequestTime is how long after its timeout the platform may carry out a
	// request that has no answer.
	lateRequestTime = 12 * time.Second
	// requestTimeout is at least as long as a request waits for its answer, apart from
	// the wait that a renewal asks for.
	requestTimeout = 500 * time.Millisecond
	// maxStartSends is how often an unanswered start request is sent before the
	// run is stopped.
	maxStartSends = 4
	// maxLateFactor is the multiple of its objective after which the result of a
	// job has no value.
	maxLateFactor = 3
	// missedRenewalsBeforeSilent is the number of consecutive failed renewals
	// after which a worker gets no new tasks.
	missedRenewalsBeforeSilent = 2
)
