package scheduler

import "github.com/mangodrum/mangodrum/structs"

// Record is one durable decision. Exactly one field is set.
type Record struct {
	JobAccepted       *JobAccepted       `cbor:"1,keyasint,omitempty"`
	JobCancelled      *JobCancelled      `cbor:"2,keyasint,omitempty"`
	TaskStarted       *TaskStarted       `cbor:"3,keyasint,omitempty"`
	TaskEnded         *TaskEnded         `cbor:"4,keyasint,omitempty"`
	TaskRequeued      *TaskRequeued      `cbor:"5,keyasint,omitempty"`
	WorkerDrained     *WorkerDrained     `cbor:"6,keyasint,omitempty"`
	WorkerQuarantined *WorkerQuarantined `cbor:"7,keyasint,omitempty"`
	JobRemoved        *JobRemoved        `cbor:"8,keyasint,omitempty"`
}

// JobAccepted records a new job, or a higher generation of a service.
type JobAccepted struct {
	Job structs.Job `cbor:"1,keyasint"`
}

// JobCancelled records the cancellation of a job by its owner, or by the
// scheduler if a gang cannot finish any more. Running tasks are stopped.
type JobCancelled struct {
	Job    structs.JobID     `cbor:"1,keyasint"`
	At     structs.Timestamp `cbor:"2,keyasint"`
	Reason string            `cbor:"3,keyasint,omitempty"`
}

// JobRemoved records the removal of an ended job after its retention.
type JobRemoved struct {
	Job structs.JobID `cbor:"1,keyasint"`
}

// TaskStarted is the start record of an attempt. The start is sent after it
// is durable and never after NotAfter.
type TaskStarted struct {
	Task      structs.TaskID    `cbor:"1,keyasint"`
	Attempt   int               `cbor:"2,keyasint"`
	Worker    structs.WorkerID  `cbor:"3,keyasint"`
	NotAfter  structs.Timestamp `cbor:"4,keyasint"`
	Resources structs.Resources `cbor:"5,keyasint"`
	At        structs.Timestamp `cbor:"6,keyasint"`
}

// TaskEnded records the final state of a task. A replica of a service is
// replaced by a new task, which starts no earlier than NotBefore.
type TaskEnded struct {
	Task      structs.TaskID    `cbor:"1,keyasint"`
	State     structs.TaskState `cbor:"2,keyasint"`
	At        structs.Timestamp `cbor:"3,keyasint"`
	Message   string            `cbor:"4,keyasint,omitempty"`
	NotBefore structs.Timestamp `cbor:"5,keyasint,omitempty"`
}

// TaskRequeued records that an attempt has ended and the task is pending again.
// With Replace the attempt has not ended: a new task replaces this replica,
// which is stopped when that is safe.
type TaskRequeued struct {
	Task      structs.TaskID    `cbor:"1,keyasint"`
	At        structs.Timestamp `cbor:"2,keyasint"`
	NotBefore structs.Timestamp `cbor:"3,keyasint,omitempty"`
	Failed    bool              `cbor:"4,keyasint,omitempty"`
	Replace   bool              `cbor:"5,keyasint,omitempty"`
	Resources structs.Resources `cbor:"6,keyasint"` // if not zero, the size of the job's tasks from now on
	Message   string            `cbor:"7,keyasint,omitempty"`
}

// WorkerDrained records the start or end of a drain.
type WorkerDrained struct {
	Worker structs.WorkerID `cbor:"1,keyasint"`
	Drain  bool             `cbor:"2,keyasint"`
}

// WorkerQuarantined records that a worker gets no tasks until Until, when one
// task probes it. Until 0 records the end of the quarantine. ConsecutiveCount
// numbers the quarantines that follow each other; it determines their length.
type WorkerQuarantined struct {
	Worker           structs.WorkerID  `cbor:"1,keyasint"`
	Until            structs.Timestamp `cbor:"2,keyasint"`
	ConsecutiveCount int               `cbor:"3,keyasint"`
}
