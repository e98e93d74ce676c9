package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// dispatcher is the part of dispatch.Dispatcher that a leader drives.
type dispatcher interface {
	Recover(rows []tablestore.Row, lastCommit structs.Timestamp) error
	Reduce(now structs.Timestamp, event structs.Event) []structs.Effect
	PlaceTasks(now structs.Timestamp) []structs.Effect
	NeedsCommit() bool
	NextCommit(now structs.Timestamp) (dispatch.Commit, error)
	ConfirmLeadership(sentAt structs.Timestamp)
	SetStoreClockAhead(d time.Duration)
	State(id structs.JobID) (workflow.State, bool)
	IsPending(id structs.JobID) bool
	WaitingJobs(queue string) int
}

var _ dispatcher = (*dispatch.Dispatcher)(nil)

// WorkerClient sends requests to workers. CloseIdleConnections closes the idle
// connections to an address that is no longer used.
type WorkerClient interface {
	Start(to *workflow.Worker, order workflow.StartOrder, timeout time.Duration) workflow.Outcome
	Stop(to *workflow.Worker, order workflow.StartOrder, timeout time.Duration) workflow.Outcome
	Lease(to *workflow.Worker, order workflow.LeaseOrder, timeout time.Duration) (workflow.Report, workflow.Outcome)
	CloseIdleConnections(address string)
}

// AdvisorClient asks the advisor which workers may run a step.
type AdvisorClient interface {
	Advise(step string, workers []structs.WorkerID, timeout time.Duration) (workflow.Advice, error)
}

// Codec decodes and encodes the data of callers, operators and workers.
type Codec interface {
	DecodeConfig(value []byte) (*routing.Config, error)
	DecodeWorker(row tablestore.Row) (workflow.Worker, error)
	DecodeJob(id string, body []byte) (workflow.Job, error)
	IsJobID(id string) bool
	EncodeState(state workflow.State) []byte
	EncodeQueueLength(n int) []byte
	DecodeCallerTimeout(value []byte, fallback time.Duration) time.Duration
}

// PlatformNames holds names that the platform defines: tables, keys, headers and paths.
type PlatformNames struct {
	ConfigTable   string
	ConfigKey     string
	WorkerTable   string
	ReadinessPath string
	TimeoutHeader string
}
