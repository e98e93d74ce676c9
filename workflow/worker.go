package workflow

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Incarnation distinguishes successive starts of a worker with the same
// identifier. It is the start time in Unix milliseconds.
type Incarnation int64

// Worker is a worker's entry in the directory.
type Worker struct {
	ID            structs.WorkerID  `cbor:"1,keyasint"`
	Incarnation   Incarnation       `cbor:"2,keyasint"`
	Service       string            `cbor:"3,keyasint"`
	Address       string            `cbor:"4,keyasint"`
	Location      structs.Location  `cbor:"5,keyasint"`
	Capacity      structs.Resources `cbor:"6,keyasint"`
	Labels        []string          `cbor:"7,keyasint,omitempty"`
	Draining      bool              `cbor:"8,keyasint,omitempty"`
	RemainingTime time.Duration     `cbor:"9,keyasint,omitempty"` // minimum time until a draining worker ends
	// Restarted is set by the leader: an earlier incarnation of the worker is known. It is
	// stored, and no part of the directory's entry.
	Restarted bool `cbor:"10,keyasint,omitempty"`
	// InheritedLeaseEnd is set by the leader: when a lease has ended that a request to an
	// earlier incarnation may have granted to this one, on the cell's clock; 0: none. It
	// is stored, too.
	InheritedLeaseEnd structs.Timestamp `cbor:"11,keyasint,omitempty"`
	// LeasesEndBy is set by the leader for a worker that has left: when all leases have
	// ended that any leader has granted to it, on the cell's clock; 0: not known. No lease
	// is granted to the worker while its stored row says so.
	LeasesEndBy structs.Timestamp `cbor:"12,keyasint,omitempty"`
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// StartOrder asks a worker to start one run of a task.
type StartOrder struct {
	Task         string
	Run          uint64
	Spec         string
	Deadline     time.Duration // end of the lease on the worker's clock
	FencingToken structs.Epoch // fencing token; the worker rejects one lower than the highest it has received
	Checkpoint   string
	Ticket       string // token from the advisor; empty if the queue has no advisor
}

// Outcome is the result of a request to a worker.
type Outcome string

// Outcomes of requests.
const (
	OK                   Outcome = "ok"
	Fenced               Outcome = "fenced"      // the worker has received a higher fencing token
	RunTooOld            Outcome = "run-too-old" // the worker already runs this run or has ended it
	LeaseExpired         Outcome = "lease-over"  // the lease had expired before the request arrived
	InsufficientCapacity Outcome = "no-room"     // the worker has too little free capacity
	TicketInvalid        Outcome = "bad-ticket"  // the advisor's ticket is missing or has expired
	Malformed            Outcome = "malformed"   // the worker could not decode the request, or its report is invalid
	Unhealthy            Outcome = "unhealthy"   // the worker rejected the request for now; it had no effect
	OtherIncarnation     Outcome = "other-life"  // another incarnation answered; the request had no effect
	Dropped              Outcome = "dropped"     // not sent, because it was decided on too long ago
	NotSent              Outcome = "not-sent"    // no connection; the request had no effect
	Unanswered           Outcome = "unanswered"  // no answer; the request may have had or may still have an effect
)

// EndKind is the way in which a run of a task ended.
type EndKind string

// Ends of runs.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // because of a fault of the task or of the worker
	EndStopped        EndKind = "stopped" // by a stop request
	EndLeaseExpired   EndKind = "lapsed"  // its lease expired
	EndGangBroken     EndKind = "broken"  // another task of the gang ended
	EndGangIncomplete EndKind = "alone"   // the other tasks of the gang did not start in time
	EndLost           EndKind = "lost"    // the worker has restarted or ended, or no longer knows the run
)

// RunningTask is a run in progress on a worker.
type RunningTask struct {
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int // progress
}

// EndedTask is a run that has ended on a worker.
type EndedTask struct {
	Sequence   uint64 // counts the ended runs of one incarnation of the worker
	Task       string
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// LeaseOrder renews the lease of all runs on a worker.
type LeaseOrder struct {
	FencingToken        structs.Epoch
	AcknowledgedThrough uint64        // ended tasks up to this number may be forgotten
	Deadline            time.Duration // end of the lease on the worker's clock; 0 leaves it unchanged
	Wait                time.Duration // the worker answers when a run ends, or after this time
}

// Report is a worker's answer to a LeaseOrder.
type Report struct {
	Incarnation Incarnation
	Clock       time.Duration // the worker's monotonic clock
	Running     []RunningTask
	Ended       []EndedTask // unacknowledged, in the order of their sequence numbers
	// EndsTruncated is true if the worker may have more unacknowledged ends than it
	// lists. A run that is not listed may then be one of them.
	EndsTruncated bool
}

// Ticket allows tasks of a step to start on a worker for a limited time.
type Ticket struct {
	Worker structs.WorkerID `cbor:"1,keyasint"`
	Token  string           `cbor:"2,keyasint"`
}

// Advice is the advisor's answer: the workers that a step may use, and how long
// their tickets are valid.
type Advice struct {
	Tickets  []Ticket      `cbor:"1,keyasint"`
	Validity time.Duration `cbor:"2,keyasint"`
}
