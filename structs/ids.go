package structs

import "strconv"

// JobID identifies a job within the cell. The caller may choose it, which makes
// repeated submissions idempotent.
type JobID string

// TaskID identifies one task of a job. Replacement replicas of a service get
// a new TaskID; a retried task keeps its TaskID and gets a new attempt number.
type TaskID string

// WorkerID identifies a worker of the platform.
type WorkerID string

// InstanceID identifies a mangodrumd instance. It stays the same when the
// instance restarts.
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

// FailureDomain names a failure domain. Names are unique within the cell.
type FailureDomain string

// Rack names a rack inside a failure domain.
type Rack string

// Epoch numbers the successive ownerships of a shard, or leaderships of a cell,
// from 1. It serves as the fencing token.
type Epoch uint64

// TokensPerEpoch is the distance between the epochs of successive leaderships of a cell.
// The numbers between two epochs are fencing tokens of the first of them: the leader uses
// a higher one for a worker whenever a new incarnation of that begins, so that the worker
// rejects requests that were sent to an earlier incarnation and arrive late.
const TokensPerEpoch = 1000

// Next returns the epoch of the next leadership of a cell. It is also above the epochs of
// versions that counted them one by one.
func (e Epoch) Next() Epoch { return (e/TokensPerEpoch + 1) * TokensPerEpoch }

// TaskIDFor returns the identifier of the task with the given index.
func TaskIDFor(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}
