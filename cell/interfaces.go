package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/routing"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// WorkerOrders sends orders to workers. Forget closes the connections to an
// address.
type WorkerOrders interface {
	Start(to *workflow.Worker, order workflow.StartOrder, timeout time.Duration) workflow.Outcome
	Stop(to *workflow.Worker, order workflow.StartOrder, timeout time.Duration) workflow.Outcome
	Lease(to *workflow.Worker, order workflow.LeaseOrder, timeout time.Duration) (workflow.Report, workflow.Outcome)
	Forget(address string)
}

// AdvisorClient asks the advisor which workers may run a step.
type AdvisorClient interface {
	Advise(step string, workers []structs.WorkerID, timeout time.Duration) (workflow.Advice, error)
}

// Formats decodes and encodes the data of callers, operators and workers.
type Formats interface {
	Config(value []byte) (*routing.Table, error)
	Worker(row tablestore.Row) (workflow.Worker, error)
	Job(id string, body []byte) (workflow.Job, error)
	IsJobID(id string) bool
	State(state workflow.State) []byte
	Waiting(n int) []byte
	CallerWait(value []byte, fallback time.Duration) time.Duration
}

// Names holds names that the platform defines: tables, keys, headers and paths.
type Names struct {
	ConfigTable string
	ConfigKey   string
	WorkerTable string
	ReadyPath   string
	WaitHeader  string
}
