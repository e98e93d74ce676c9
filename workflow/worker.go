package workflow

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Incarnation tells one life of a worker from the next under the same
// identifier; it is the time of its start in Unix milliseconds.
type Incarnation int64

// Worker is what a worker says of itself in the directory.
type Worker struct {
	ID          structs.WorkerID  `cbor:"1,keyasint"`
	Incarnation Incarnation       `cbor:"2,keyasint"`
	Service     string            `cbor:"3,keyasint"`
	Address     string            `cbor:"4,keyasint"`
	Location    structs.Location  `cbor:"5,keyasint"`
	Capacity    structs.Resources `cbor:"6,keyasint"`
	Labels      []string          `cbor:"7,keyasint,omitempty"`
	Draining    bool              `cbor:"8,keyasint,omitempty"`
	Remaining   time.Duration     `cbor:"9,keyasint,omitempty"` // a draining worker stays at least this long
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
	Task       string
	Run        uint64
	Spec       string
	Deadline   time.Duration // end of the lease, on the worker's clock
	Fence      structs.Epoch // fencing token; the worker refuses lower ones than it has seen
	Checkpoint string
	Ticket     string // of the advisor
}

// Outcome is the result of an order to a worker.
type Outcome string

// Outcomes of orders.
const (
	OK            Outcome = "ok"
	FencedOff     Outcome = "fenced"      // a higher fencing token has been seen
	RunTooOld     Outcome = "run-too-old" // the run is there already or was ended there
	LeaseOver     Outcome = "lease-over"  // the lease of the order had expired on arrival
	NoRoom        Outcome = "no-room"     // the worker's capacity is taken
	TicketInvalid Outcome = "bad-ticket"  // the advisor's ticket is missing or has expired
	Malformed     Outcome = "malformed"   // the worker does not understand the order
	Unhealthy     Outcome = "unhealthy"   // nothing was done
	OtherLife     Outcome = "other-life"  // another incarnation answered; nothing was done
	NotSent       Outcome = "not-sent"    // no connection; nothing was done
	Unanswered    Outcome = "unanswered"  // may have been done, or may still be done
)

// EndKind tells how a run of a task ended.
type EndKind string

// Ends of runs.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // through its own fault or the worker's
	EndStopped EndKind = "stopped" // by order
	EndLapsed  EndKind = "lapsed"  // its lease expired
	EndBroken  EndKind = "broken"  // another member of the gang ended
	EndAlone   EndKind = "alone"   // the other members of the gang did not come in time
	EndLost    EndKind = "lost"    // the worker's life ended or it no longer knows the run
)

// RunningTask is a run that a worker has.
type RunningTask struct {
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int // progress
}

// EndedTask is a run that has ended on a worker.
type EndedTask struct {
	Number     uint64 // rises by one for each end in one life of the worker
	Task       string
	Run        uint64
	How        EndKind
	Checkpoint string
}

// LeaseOrder renews the lease of all that runs on a worker.
type LeaseOrder struct {
	Fence        structs.Epoch
	Acknowledged uint64        // ends up to this number may be forgotten
	Deadline     time.Duration // end of the lease on the worker's clock; 0 leaves it
	Wait         time.Duration // the worker answers at the next end or after this time
}

// Report is a worker's answer to a LeaseOrder.
type Report struct {
	Incarnation Incarnation
	Clock       time.Duration // the worker's steady clock
	Running     []RunningTask
	Ended       []EndedTask
}

// Ticket admits a step's tasks to a worker for a time.
type Ticket struct {
	Worker structs.WorkerID `cbor:"1,keyasint"`
	Token  string           `cbor:"2,keyasint"`
}

// Advice is the answer of the advisor.
type Advice struct {
	Good     []Ticket      `cbor:"1,keyasint"`
	Validity time.Duration `cbor:"2,keyasint"`
}
