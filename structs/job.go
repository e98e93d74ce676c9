package structs

import "time"

// JobKind selects the policy that applies to the tasks of a job.
type JobKind string

// Job kinds.
const (
	KindService JobKind = "service" // replicas that are kept running until cancelled
	KindBatch   JobKind = "batch"   // deferrable tasks that run to completion; an array if Count > 1
	KindGang    JobKind = "gang"    // tasks that start together or not at all
)

// Constraint restricts the workers on which a task may run.
type Constraint struct {
	Regions        []Region          `json:"regions,omitempty" cbor:"1,keyasint,omitempty"`
	FailureDomains []FailureDomain   `json:"failure_domains,omitempty" cbor:"2,keyasint,omitempty"`
	Labels         map[string]string `json:"labels,omitempty" cbor:"3,keyasint,omitempty"`
	ExcludeWorkers []WorkerID        `json:"exclude_workers,omitempty" cbor:"4,keyasint,omitempty"`
}

// Job is a unit of submission: Count identical tasks.
type Job struct {
	ID           JobID         `json:"id" cbor:"1,keyasint"`
	Team         TeamID        `json:"team" cbor:"2,keyasint"`
	Class        ClassName     `json:"class" cbor:"3,keyasint"`
	Kind         JobKind       `json:"kind" cbor:"4,keyasint"`
	Count        int           `json:"count" cbor:"5,keyasint"`
	Resources    Resources     `json:"resources" cbor:"6,keyasint"` // of one task
	Constraint   Constraint    `json:"constraint" cbor:"7,keyasint"`
	PreferRegion Region        `json:"prefer_region,omitempty" cbor:"8,keyasint,omitempty"`
	Spread       bool          `json:"spread,omitempty" cbor:"9,keyasint,omitempty"` // spread the tasks over failure domains
	RunTime      time.Duration `json:"run_time_ns,omitempty" cbor:"10,keyasint,omitempty"`
	MaxAttempts  int           `json:"max_attempts,omitempty" cbor:"11,keyasint,omitempty"` // 0: no limit
	MinAvailable int           `json:"min_available,omitempty" cbor:"12,keyasint,omitempty"`
	NotBefore    Timestamp     `json:"not_before,omitempty" cbor:"13,keyasint,omitempty"`
	Deadline     Timestamp     `json:"deadline,omitempty" cbor:"14,keyasint,omitempty"` // requested end; a deferrable job runs even if it is late
	Command      []string      `json:"command,omitempty" cbor:"15,keyasint,omitempty"`
	Accepted     Timestamp     `json:"accepted" cbor:"16,keyasint"`
	Generation   int           `json:"generation,omitempty" cbor:"17,keyasint,omitempty"` // incremented by each update of a service
}

// TaskState is the state of a task.
type TaskState string

// Task states. TaskStarting means that a start record is durable or being
// written and the worker has not confirmed the start. TaskUnknown means that the
// task may be running, but the worker cannot confirm it.
const (
	TaskPending   TaskState = "pending"
	TaskStarting  TaskState = "starting"
	TaskRunning   TaskState = "running"
	TaskStopping  TaskState = "stopping"
	TaskUnknown   TaskState = "unknown"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
)

// IsTerminal reports whether no further attempt of the task will start.
func (s TaskState) IsTerminal() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskCancelled
}

// Task is one task of a job.
type Task struct {
	ID       TaskID    `json:"id" cbor:"1,keyasint"`
	Job      JobID     `json:"job" cbor:"2,keyasint"`
	State    TaskState `json:"state" cbor:"3,keyasint"`
	Attempt  int       `json:"attempt" cbor:"4,keyasint"` // number of the current or last attempt, from 1
	Worker   WorkerID  `json:"worker,omitempty" cbor:"5,keyasint,omitempty"`
	NotAfter Timestamp `json:"not_after,omitempty" cbor:"6,keyasint,omitempty"`
	Enqueued Timestamp `json:"enqueued" cbor:"7,keyasint"`
	Started  Timestamp `json:"started,omitempty" cbor:"8,keyasint,omitempty"`
	Ended    Timestamp `json:"ended,omitempty" cbor:"9,keyasint,omitempty"`
	Message  string    `json:"message,omitempty" cbor:"10,keyasint,omitempty"` // why the task ended or is waiting
}

// Urgency determines how a class treats work that is late.
type Urgency string

// Urgencies of classes. Only urgent requests may be rejected because their
// deadline cannot be met. Deferrable work is stored until it runs.
const (
	Urgent     Urgency = "urgent"
	Normal     Urgency = "normal"
	Deferrable Urgency = "deferrable"
)
