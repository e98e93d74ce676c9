// Package provider declares the interfaces to the platform that the cell
// runs on: its transactional table, its object store, its directory of
// machines and the control of its workers.
//
// A failed call returns an error of one of three kinds, which callers must
// distinguish: errs.NotRun (certainly not applied), errs.OutcomeUnknown (may
// have been applied; read the state back) and errs.Conflict (a condition did
// not hold; certainly not applied).
package provider

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Row is one row of the table. Each row has its own version, which starts at 1
// and grows by one with every write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition requires a row to have a version at the time of the commit.
// Version 0 requires the row to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: it is applied completely or not at all. It counts as one
// write of the store.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxnResult holds the versions of the written rows after the commit.
type TxnResult struct {
	Versions map[string]uint64 `json:"versions"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row, or an error of kind errs.NotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are
	// greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn if all its conditions hold.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// Directory is the platform's list of machines. It can be out of date or wrong;
// only the state structs.Gone is reliable.
type Directory interface {
	// Register announces this instance, or updates its state.
	Register(ctx context.Context, self structs.InstanceInfo) error
	Instances(ctx context.Context) ([]structs.InstanceInfo, error)
	Workers(ctx context.Context) ([]structs.Worker, error)
	Executors(ctx context.Context) ([]structs.Executor, error)
}

// StartTask asks a worker to start one attempt of a task. The worker rejects
// it after NotAfter, starts a (task, attempt) at most once and stops the task
// at LeaseEnd unless the lease is renewed.
type StartTask struct {
	Task      structs.TaskID    `json:"task"`
	Attempt   int               `json:"attempt"`
	Resources structs.Resources `json:"resources"`
	Command   []string          `json:"command,omitempty"`
	NotAfter  structs.Timestamp `json:"not_after"`
	LeaseEnd  structs.Timestamp `json:"lease_end"`
}

// LeaseRenewal extends the lease of one attempt to an absolute end. Of all
// ends that the worker has received, the largest applies.
type LeaseRenewal struct {
	Task     structs.TaskID    `json:"task"`
	Attempt  int               `json:"attempt"`
	LeaseEnd structs.Timestamp `json:"lease_end"`
}

// RunStatus is the state of an attempt as its worker reports it.
type RunStatus string

// Run statuses. The worker reports a completion (every status except RunRunning)
// until it is acknowledged.
const (
	RunRunning      RunStatus = "running"
	RunSucceeded    RunStatus = "succeeded"
	RunFailed       RunStatus = "failed"
	RunStopped      RunStatus = "stopped" // on request
	RunLeaseExpired RunStatus = "lapsed"  // stopped at the lease end
	RunRefused      RunStatus = "refused" // never ran: the start arrived after NotAfter or exceeded the capacity
)

// TaskReport is a worker's report on one attempt.
type TaskReport struct {
	Task         structs.TaskID    `json:"task"`
	Attempt      int               `json:"attempt"`
	Status       RunStatus         `json:"status"`
	Used         structs.Resources `json:"used"` // measured usage, which may be out of date
	LeaseEnd     structs.Timestamp `json:"lease_end"`
	Checkpointed bool              `json:"checkpointed,omitempty"`
	Message      string            `json:"message,omitempty"`
}

// WorkerReport lists all attempts that a worker runs or whose completion is not
// yet acknowledged.
type WorkerReport struct {
	Worker     structs.WorkerID  `json:"worker"`
	ReportedAt structs.Timestamp `json:"at"`
	Tasks      []TaskReport      `json:"tasks"`
}

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	Task    structs.TaskID `json:"task"`
	Attempt int            `json:"attempt"`
}

// WorkerBatch is the set of commands that one call sends to a worker.
type WorkerBatch struct {
	Starts      []StartTask    `json:"starts,omitempty"`
	Renewals    []LeaseRenewal `json:"renewals,omitempty"`
	Stops       []AttemptRef   `json:"stops,omitempty"`
	Throttles   []AttemptRef   `json:"throttles,omitempty"`
	Checkpoints []AttemptRef   `json:"checkpoints,omitempty"`
	Acks        []AttemptRef   `json:"acks,omitempty"` // completions that the owner has stored durably
}

// Workers controls the platform's workers. It is the only interface on which the
// safety of tasks depends; see docs/design.md, assumptions W1 to W4.
type Workers interface {
	// Do carries out the batch and returns the worker's report after it.
	Do(ctx context.Context, worker structs.Worker, batch WorkerBatch) (WorkerReport, error)
}

// ClockBound is the largest difference between the clocks of any two
// machines of the cell.
const ClockBound = 500 * time.Millisecond
