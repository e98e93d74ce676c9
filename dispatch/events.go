package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// Ref matches a Reply to the event that asked for it.
type Ref uint64

// SubmitJob asks to accept a job.
type SubmitJob struct {
	Ref   Ref
	Job   workflow.Job
	Queue workflow.Queue
}

// CancelJob asks to cancel a job.
type CancelJob struct {
	Ref Ref
	ID  structs.JobID
}

// WorkerSeen says that a worker's directory entry was written.
type WorkerSeen struct{ Worker workflow.Worker }

// WorkerUnlisted says that a worker's directory entry is gone.
type WorkerUnlisted struct{ ID structs.WorkerID }

// DirectoryListed says that every entry of the directory has been seen.
type DirectoryListed struct{}

// LeaseAnswered is the result of RenewLease.
type LeaseAnswered struct {
	Worker  structs.WorkerID
	SentAt  structs.Timestamp
	Report  workflow.Report
	Outcome workflow.Outcome
}

// StartAnswered is the result of StartTask.
type StartAnswered struct {
	Worker  structs.WorkerID
	Task    string
	Run     uint64
	Outcome workflow.Outcome
}

// StopAnswered is the result of StopTask.
type StopAnswered struct {
	Worker  structs.WorkerID
	Task    string
	Run     uint64
	Outcome workflow.Outcome
}

// AdviceAnswered is the result of AskAdvice.
type AdviceAnswered struct {
	Step     string
	Workers  []structs.WorkerID // that were asked about
	Via      structs.InstanceID
	Expected time.Duration // of the call, as in AskAdvice
	Advice   workflow.Advice
	Failed   bool
}

// InstancesConnected names the instances that can call the advisor.
type InstancesConnected struct{ IDs []structs.InstanceID }

// CommitAnswered says that a commit returned by Cell.NextCommit is durable.
type CommitAnswered struct{ Sequence uint64 }

// LeadershipEnded says that this leader makes no further commits. Submissions
// that no commit carries are answered as NotTaken.
type LeadershipEnded struct{}

// StoreHealth says whether commits succeed.
type StoreHealth struct{ Away bool }

// Tick lets the time pass.
type Tick struct {
	WallOffset time.Duration // time of day less the cell's time
}

// Kind implements structs.Event.
func (SubmitJob) Kind() string { return "submit_job" }

// Kind implements structs.Event.
func (CancelJob) Kind() string { return "cancel_job" }

// Kind implements structs.Event.
func (WorkerSeen) Kind() string { return "worker_seen" }

// Kind implements structs.Event.
func (WorkerUnlisted) Kind() string { return "worker_unlisted" }

// Kind implements structs.Event.
func (DirectoryListed) Kind() string { return "directory_listed" }

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
func (CommitAnswered) Kind() string { return "commit_answered" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// StartTask sends a start order. It is answered by StartAnswered.
type StartTask struct {
	Worker workflow.Worker
	Order  workflow.StartOrder
}

// StopTask sends a stop order. It is answered by StopAnswered.
type StopTask struct {
	Worker workflow.Worker
	Order  workflow.StartOrder
}

// RenewLease renews a worker's lease. It is answered by LeaseAnswered.
type RenewLease struct {
	Worker workflow.Worker
	Order  workflow.LeaseOrder
}

// AskAdvice asks the advisor about workers through one instance. It is
// answered by AdviceAnswered.
type AskAdvice struct {
	Step     string
	Via      structs.InstanceID
	Workers  []structs.WorkerID
	Expected time.Duration // of the call
}

// Verdict is the answer to a submission or a cancellation.
type Verdict string

// Verdicts.
const (
	Accepted  Verdict = "accepted"  // durable
	Refused   Verdict = "refused"   // certainly not accepted
	Unsettled Verdict = "unsettled" // in a commit whose outcome is open while the store is away
	Unknown   Verdict = "unknown"   // this leader cannot tell any more; another one may
	NotTaken  Verdict = "not-taken" // certainly not accepted by this leader; another one may
	NoSuchJob Verdict = "no-such-job"
)

// Reply answers a SubmitJob or CancelJob.
type Reply struct {
	Ref        Ref
	Verdict    Verdict
	RetryAfter time.Duration // for Refused
}

// StepDown ends this leader: a worker has seen a higher fencing token.
type StepDown struct{ Worker structs.WorkerID }

// Decision describes one decision for the log.
type Decision struct {
	Event  string // what was decided
	Job    structs.JobID
	Task   string
	Worker structs.WorkerID
	Run    uint64
	Reason string
	Value  int64 // an input of the decision; its meaning depends on Event
}

// Observation is a measured latency of the life of a job, for histograms.
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
func (AskAdvice) Kind() string { return "ask_advice" }

// Kind implements structs.Effect.
func (Reply) Kind() string { return "reply" }

// Kind implements structs.Effect.
func (StepDown) Kind() string { return "step_down" }

// Kind implements structs.Effect.
func (Decision) Kind() string { return "decision" }

// Kind implements structs.Effect.
func (Observation) Kind() string { return "observation" }
