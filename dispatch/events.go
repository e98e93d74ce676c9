package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// CallID matches a Reply to the SubmitJob or CancelJob event that it answers.
type CallID uint64

// SubmitJob requests that a job be accepted.
type SubmitJob struct {
	Call     CallID
	Job      workflow.Job
	Queue    workflow.Queue
	Request  RequestID         // of the caller; empty if unknown
	Deadline structs.Timestamp // when the caller needs an answer; 0: after Policy.CommitTimeout
}

// CancelJob requests that a job be cancelled.
type CancelJob struct {
	Call     CallID
	ID       structs.JobID
	Deadline structs.Timestamp // when the caller needs an answer; 0: after Policy.CommitTimeout
}

// WorkerListed reports that the directory entry of a worker was written or listed.
type WorkerListed struct{ Worker workflow.Worker }

// WorkerUnlisted reports that the directory entry of a worker was removed.
type WorkerUnlisted struct{ ID structs.WorkerID }

// LeaseAnswered is the result of RenewLease.
type LeaseAnswered struct {
	Worker       structs.WorkerID
	FencingToken structs.Epoch // of the request
	SentAt       structs.Timestamp
	Wait         time.Duration // for which the request let the worker wait for an end
	Report       workflow.Report
	Outcome      workflow.Outcome
}

// StartAnswered is the result of StartTask.
type StartAnswered struct {
	Worker       structs.WorkerID
	FencingToken structs.Epoch // of the request
	Task         string
	Run          uint64
	Outcome      workflow.Outcome
}

// StopAnswered is the result of StopTask.
type StopAnswered struct {
	Worker       structs.WorkerID
	FencingToken structs.Epoch // of the request
	Task         string
	Run          uint64
	Outcome      workflow.Outcome
}

// AdviceAnswered is the result of RequestAdvice.
type AdviceAnswered struct {
	Step     string
	Workers  []structs.WorkerID // workers named in the call
	Via      structs.InstanceID
	Expected time.Duration // expected time of the call, as in RequestAdvice
	Advice   workflow.Advice
	Failed   bool
}

// InstancesConnected lists the instances that can call the advisor.
type InstancesConnected struct {
	IDs []structs.InstanceID
	// MaxJobMemory replaces Policy.MaxJobMemory unless it is 0. Each instance of the cell
	// may lead next, and has to hold the stored jobs.
	MaxJobMemory int64
}

// Committed reports that a commit returned by Dispatcher.NextCommit is durable.
type Committed struct{ Sequence uint64 }

// LeadershipEnded reports that this leader makes no further commits. Submissions
// that are not part of a commit are answered with NotAccepted.
type LeadershipEnded struct{}

// StoreHealth reports whether commits succeed.
type StoreHealth struct {
	Unavailable bool
	Since       structs.Timestamp // when the store last answered, if it is unavailable
}

// Tick triggers the work that depends on time, such as lease renewals and
// timeouts.
type Tick struct {
	WallOffset time.Duration // time of day minus the time that Reduce is given
}

// Kind implements structs.Event.
func (SubmitJob) Kind() string { return "submit_job" }

// Kind implements structs.Event.
func (CancelJob) Kind() string { return "cancel_job" }

// Kind implements structs.Event.
func (WorkerListed) Kind() string { return "worker_seen" }

// Kind implements structs.Event.
func (WorkerUnlisted) Kind() string { return "worker_unlisted" }

// Kind implements structs.Event.
func (LeaseAnswered) Kind() string { return "lease_answered" }

// Kind implements structs.Event.
func (StartAnswered) Kind() string { return "start_answered" }

// Kind implements structs.Event.
func (StopAnswered) Kind() string { return "stop_answered" }

// Kind implements structs.Event.
func (AdviceAnswered) Kind() string { return "advice_answered" }

// Kind implements structs.Event.
func (InstancesConnected) Kind() string { return "instances_connected" }

// Kind implements structs.Event.
func (LeadershipEnded) Kind() string { return "leadership_ended" }

// Kind implements structs.Event.
func (StoreHealth) Kind() string { return "store_health" }

// Kind implements structs.Event.
func (Committed) Kind() string { return "commit_answered" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// StartTask sends a start request to a worker. It is answered by StartAnswered.
type StartTask struct {
	Worker workflow.Worker
	Order  workflow.StartOrder
}

// StopTask sends a stop request to a worker. It is answered by StopAnswered.
type StopTask struct {
	Worker workflow.Worker
	Order  workflow.StartOrder
}

// RenewLease renews a worker's lease. It is answered by LeaseAnswered.
type RenewLease struct {
	Worker workflow.Worker
	Order  workflow.LeaseOrder
}

// RequestAdvice calls the advisor through an instance to ask which workers may run a
// step. It is answered by AdviceAnswered.
type RequestAdvice struct {
	Step     string
	Via      structs.InstanceID
	Workers  []structs.WorkerID
	Expected time.Duration // expected time of the call
}

// Verdict is the answer to a submission or a cancellation.
type Verdict string

// Verdicts.
const (
	Accepted      Verdict = "accepted"  // durable
	Refused       Verdict = "refused"   // not accepted
	CommitPending Verdict = "unsettled" // part of a commit whose outcome is not known before the caller's deadline
	Unknown       Verdict = "unknown"   // this leader does not know the outcome; another one may
	NotAccepted   Verdict = "not-taken" // not accepted by this leader; another one may accept it
	NoSuchJob     Verdict = "no-such-job"
	InternalError Verdict = "internal-error" // the call caused a panic; its outcome is open
)

// Reply answers a SubmitJob or CancelJob.
type Reply struct {
	Call       CallID
	Verdict    Verdict
	RetryAfter time.Duration // for Refused
}

// StepDown ends this leader: a worker has seen the fencing token of a later one, or the
// tokens of this leader are used up.
type StepDown struct {
	Worker structs.WorkerID
	Reason string
}

// Decision is a log entry about one decision.
type Decision struct {
	Event  string // what was decided
	Job    structs.JobID
	Task   string
	Worker structs.WorkerID
	Run    uint64
	Reason string
	Value  int64 // number that explains the decision; its meaning depends on Event
	// Incarnation is that of the worker as the leader knows it, for decisions that
	// depend on it; 0: not given.
	Incarnation workflow.Incarnation
	// State is how the worker lists the run, for the event lost_run_listed: running, or
	// the kind of its end.
	State string
	// Earlier is the run that a start replaces, for the event run_replaced.
	Earlier *EarlierRun
	// Evidence is what a run was counted as lost by, for the events run_lost and
	// lost_run_listed.
	Evidence *LossEvidence
}

// Observation is a measured latency of a job, for histograms.
type Observation struct {
	Name  string // what was measured
	Queue string
	Value time.Duration
}

// Kind implements structs.Effect.
func (StartTask) Kind() string { return "start_task" }

// Kind implements structs.Effect.
func (StopTask) Kind() string { return "stop_task" }

// Kind implements structs.Effect.
func (RenewLease) Kind() string { return "renew_lease" }

// Kind implements structs.Effect.
func (RequestAdvice) Kind() string { return "ask_advice" }

// Kind implements structs.Effect.
func (Reply) Kind() string { return "reply" }

// Kind implements structs.Effect.
func (StepDown) Kind() string { return "step_down" }

// Kind implements structs.Effect.
func (Decision) Kind() string { return "decision" }

// Kind implements structs.Effect.
func (Observation) Kind() string { return "observation" }
