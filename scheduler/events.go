package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// CallID identifies a call in its Reply. The sender of the event chooses it.
type CallID uint64

// SubmitJob requests the acceptance of a job, or the update of a service to a
// higher generation.
type SubmitJob struct {
	Call CallID
	Job  structs.Job
}

// CancelJob requests the end of a job and all its tasks.
type CancelJob struct {
	Call CallID
	Job  structs.JobID
}

// DrainWorker begins or ends the drain of a worker. A drained worker gets no
// new work, and replicas of services on it are replaced elsewhere.
type DrainWorker struct {
	Call   CallID
	Worker structs.WorkerID
	Drain  bool
}

// ConfirmStopped is an operator's confirmation that nothing runs on a worker.
type ConfirmStopped struct {
	Call   CallID
	Worker structs.WorkerID
}

// WorkersListed is the directory's list of the shard's workers. The directory
// lags, so a worker that is missing from the list is kept.
type WorkersListed struct{ Workers []structs.Worker }

// WorkerReported is one report of a worker. Reports may be late, repeated or
// out of order.
type WorkerReported struct{ Report provider.WorkerReport }

// WorkerUnreachable reports that a call to the worker failed.
type WorkerUnreachable struct{ Worker structs.WorkerID }

// Committed reports that the records of all Append effects up to Sequence are
// durable.
type Committed struct{ Sequence uint64 }

// HorizonExtended reports that the lease horizon is durable up to Until.
type HorizonExtended struct{ Until structs.Timestamp }

// PolicyChanged replaces the policy.
type PolicyChanged struct{ Policy Policy }

// Tick triggers what is due at the current time. The instance sends it about
// every 50 ms.
type Tick struct{}

// Kind implements structs.Event.
func (SubmitJob) Kind() string { return "submit_job" }

// Kind implements structs.Event.
func (CancelJob) Kind() string { return "cancel_job" }

// Kind implements structs.Event.
func (DrainWorker) Kind() string { return "drain_worker" }

// Kind implements structs.Event.
func (ConfirmStopped) Kind() string { return "confirm_stopped" }

// Kind implements structs.Event.
func (WorkersListed) Kind() string { return "workers_listed" }

// Kind implements structs.Event.
func (WorkerReported) Kind() string { return "worker_reported" }

// Kind implements structs.Event.
func (WorkerUnreachable) Kind() string { return "worker_unreachable" }

// Kind implements structs.Event.
func (Committed) Kind() string { return "committed" }

// Kind implements structs.Event.
func (HorizonExtended) Kind() string { return "horizon_extended" }

// Kind implements structs.Event.
func (PolicyChanged) Kind() string { return "policy_changed" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// Append requests that the journal make records durable. Sequence counts the
// Append effects of this epoch from 1.
type Append struct {
	Sequence uint64
	Records  []Record
}

// SendBatch requests a call to the worker. Its outcome comes back as
// WorkerReported or WorkerUnreachable. An empty batch only polls for a report.
type SendBatch struct {
	Worker structs.WorkerID
	Batch  provider.WorkerBatch
}

// Reply answers a call. Job is set after a successful SubmitJob or CancelJob.
type Reply struct {
	Call CallID
	Job  structs.Job
	Err  error
}

// WaitObserved reports the time between the enqueueing of a task, or the
// opening of its window if that is later, and the sending of its first start.
type WaitObserved struct {
	Team  structs.TeamID
	Class structs.ClassName
	Wait  time.Duration
}

// Kind implements structs.Effect.
func (Append) Kind() string { return "append" }

// Kind implements structs.Effect.
func (SendBatch) Kind() string { return "send_batch" }

// Kind implements structs.Effect.
func (Reply) Kind() string { return "reply" }

// Kind implements structs.Effect.
func (WaitObserved) Kind() string { return "wait_observed" }
