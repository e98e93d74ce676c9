package scheduler

import (
	"fmt"

	"github.com/mangodrum/mangodrum/structs"
)

// job is a job and its tasks. Exported fields are durable: they are changed by
// records and stored in snapshots.
type job struct {
	Spec          structs.Job       `cbor:"1,keyasint"`
	NextTaskIndex int               `cbor:"2,keyasint"` // index of the next task
	Size          structs.Resources `cbor:"3,keyasint"` // reserved for a task; at least the declared size
	Cancelled     bool              `cbor:"4,keyasint"`
	Reason        string            `cbor:"5,keyasint,omitempty"`
	Ended         structs.Timestamp `cbor:"6,keyasint,omitempty"`
	Done          doneCounts        `cbor:"7,keyasint"`
	Tasks         []*task           `cbor:"8,keyasint,omitempty"` // in the order of their indexes; empty after the end
	Open          int               `cbor:"9,keyasint"`           // tasks without a final state

	seq                uint64 // sequence of the last JobAccepted or JobCancelled record
	infeasibleReason   infeasibleReason
	estimate           estimate
	health             jobHealth
	feasibility        feasibility
	probation          probation
	cachedKeySize      structs.Resources // size from which cachedPlacementKey was made
	cachedPlacementKey string
	placedTasks        int // tasks with a live attempt
}

// doneCounts counts ended tasks by their final state.
type doneCounts struct {
	Succeeded int `cbor:"1,keyasint,omitempty"`
	Failed    int `cbor:"2,keyasint,omitempty"`
	Cancelled int `cbor:"3,keyasint,omitempty"`
}

// phase is the durable part of a task's state.
type phase uint8

const (
	phasePending phase = iota
	phasePlaced        // a start record exists and the attempt is not known to have ended
	phaseEnded
)

// task is one task of a job. Exported fields are durable.
type task struct {
	ID         structs.TaskID    `cbor:"1,keyasint"`
	Phase      phase             `cbor:"2,keyasint"`
	Attempt    int               `cbor:"3,keyasint"`
	Failures   int               `cbor:"4,keyasint,omitempty"`
	Worker     structs.WorkerID  `cbor:"5,keyasint,omitempty"`
	NotAfter   structs.Timestamp `cbor:"6,keyasint,omitempty"`
	Reserved   structs.Resources `cbor:"7,keyasint"` // on the worker, while the task is placed
	Enqueued   structs.Timestamp `cbor:"8,keyasint"`
	NotBefore  structs.Timestamp `cbor:"9,keyasint,omitempty"`
	Started    structs.Timestamp `cbor:"10,keyasint,omitempty"`
	Ended      structs.Timestamp `cbor:"11,keyasint,omitempty"`
	Generation int               `cbor:"12,keyasint,omitempty"`
	Superseded bool              `cbor:"13,keyasint,omitempty"` // replaced by another replica, or no longer wanted
	State      structs.TaskState `cbor:"14,keyasint,omitempty"` // final state
	Message    string            `cbor:"15,keyasint,omitempty"`

	job  *job
	live *attempt // the current attempt of a placed task
}

// attempt is the volatile state of a placed task.
type attempt struct {
	seq          uint64            // sequence of its start record
	durable      bool              // the start record is committed
	sent         bool              // the start may have reached the worker
	sentAt       structs.Timestamp // last time the start was sent
	lastListed   structs.Timestamp // time of the newest report that lists it, by the worker's clock
	running      bool              // a report confirmed that it runs
	unconfirmed  bool              // the worker does not answer
	stopReason   stopReason
	stopAt       structs.Timestamp // last time the stop was sent
	runningSince structs.Timestamp // arrival of the first report that it runs
	leaseEnd     structs.Timestamp // largest lease end that may have been granted
	workerIndex  int               // index in the tasks of its worker
	cost         int64             // charged to its class and team in the queue
	reserved     structs.Resources // on the worker; at least Reserved of the task
	throttledAt  structs.Timestamp // last time a throttle was sent
	preemptedAt  structs.Timestamp // time of the checkpoint request for a preemption; 0 if it is not preempted
	checkpointed bool              // a checkpoint exists
}

// stopReason tells whether an attempt is to be stopped, and why.
type stopReason uint8

const (
	stopNone    stopReason = iota
	stopFinal              // the job is cancelled or the replica has been replaced
	stopRequeue            // the task returns to the queue
)

func (j *job) spreadKey() string {
	if !j.Spec.Spread {
		return ""
	}
	return string(j.Spec.ID)
}

// placementKey returns the PlacementKey of the job's queue items. Tasks of equal
// size that may run on any worker share a subqueue, so that one failed search is
// enough for all of them. The key is empty for other jobs, which have a subqueue
// of their own.
func (j *job) placementKey() string {
	special := j.Spec.Kind == structs.KindGang || j.Spec.Spread || j.Spec.PreferRegion != "" ||
		!isUnconstrained(&j.Spec.Constraint) || j.health.failures > 0 || j.isOnProbation()
	if special {
		return ""
	}
	need := j.need()
	if j.cachedKeySize != need {
		j.cachedKeySize = need
		j.cachedPlacementKey = fmt.Sprint(need.MilliCPU, need.MemoryBytes, need.Accelerators)
	}
	return j.cachedPlacementKey
}

// isOver reports whether all tasks of the job have ended and none will be
// added.
func (j *job) isOver() bool {
	return j.Open == 0 && (j.Cancelled || j.Spec.Kind != structs.KindService)
}

// addTasks appends n pending tasks.
func (j *job) addTasks(n int, at, notBefore structs.Timestamp) []*task {
	first := len(j.Tasks)
	for range n {
		t := &task{
			ID: structs.TaskIDFor(j.Spec.ID, j.NextTaskIndex), job: j,
			Enqueued: at, NotBefore: notBefore, Generation: j.Spec.Generation,
		}
		j.NextTaskIndex++
		j.Open++
		j.Tasks = append(j.Tasks, t)
	}
	return j.Tasks[first:]
}

// view returns the task in the form that other packages use.
func (t *task) view() structs.Task {
	return structs.Task{
		ID: t.ID, Job: t.job.Spec.ID, State: t.state(), Attempt: t.Attempt, Worker: t.Worker,
		NotAfter: t.NotAfter, Enqueued: t.Enqueued, Started: t.Started, Ended: t.Ended, Message: t.Message,
	}
}

func (t *task) state() structs.TaskState {
	switch {
	case t.Phase == phaseEnded:
		return t.State
	case t.Phase == phasePending:
		return structs.TaskPending
	case t.live == nil || t.live.unconfirmed:
		return structs.TaskUnknown
	case t.live.stopReason != stopNone:
		return structs.TaskStopping
	case t.live.running:
		return structs.TaskRunning
	}
	return structs.TaskStarting
}
