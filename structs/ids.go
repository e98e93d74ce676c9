package structs

import "strconv"

// JobID identifies a job in the whole cell. The caller may choose it, which
// makes a repeated submission idempotent.
type JobID string

// TaskID identifies one task of a job. Replacement replicas of a service get
// a new TaskID; a retried task keeps its TaskID and gets a new attempt number.
type TaskID string

// WorkerID identifies a worker of the platform.
type WorkerID string

// InstanceID identifies one incarnation-independent mangodrumd instance.
type InstanceID string

// ExecutorID identifies an executor of a service.
type ExecutorID string

// ShardID identifies a shard: a set of failure domains of one region.
type ShardID string

// TeamID identifies a team by its path in the settings tree, for example
// "/bureau/dispatch".
type TeamID string

// ClassName names a class of work, for example "urgent".
type ClassName string

// Region names a region of the cell.
type Region string

// FailureDomain names a failure domain; names are unique in the cell.
type FailureDomain string

// Rack names a rack inside a failure domain.
type Rack string

// Epoch numbers the successive ownerships of a shard. It starts at 1.
type Epoch uint64

// TaskIDFor returns the identifier of the task with the given index.
func TaskIDFor(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}
