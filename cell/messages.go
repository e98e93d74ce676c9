package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// heartbeat is what a leader tells its followers.
type heartbeat struct {
	Epoch         structs.Epoch `cbor:"1,keyasint"`
	Address       string        `cbor:"2,keyasint"` // of the leader, for peers
	StoreHealthy  bool          `cbor:"3,keyasint"`
	ConfigVersion uint64        `cbor:"4,keyasint"`
	Config        []byte        `cbor:"5,keyasint,omitempty"` // for a follower with an older version
	Ended         bool          `cbor:"6,keyasint,omitempty"` // the sender leads no more
}

// echo is a follower's answer to a heartbeat.
type echo struct {
	ConfigVersion uint64 `cbor:"1,keyasint"`
	Config        []byte `cbor:"2,keyasint,omitempty"` // for a leader with an older version
}

// Methods of calls between instances.
const (
	methodSubmit  = "submit"
	methodCancel  = "cancel"
	methodState   = "state"
	methodWaiting = "waiting"
	methodAdvise  = "advise"
)

// jobCall is the body of submit, cancel, state and waiting.
type jobCall struct {
	ID    structs.JobID   `cbor:"1,keyasint,omitempty"`
	Job   *workflow.Job   `cbor:"2,keyasint,omitempty"`
	Queue *workflow.Queue `cbor:"3,keyasint,omitempty"`
	Name  string          `cbor:"4,keyasint,omitempty"` // of the queue, for waiting
}

// jobReply answers a jobCall.
type jobReply struct {
	Verdict    dispatch.Verdict `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration    `cbor:"2,keyasint,omitempty"`
	State      workflow.State   `cbor:"3,keyasint,omitempty"` // empty: no such job
	Waiting    int              `cbor:"4,keyasint,omitempty"`
	NotLeader  bool             `cbor:"5,keyasint,omitempty"` // nothing was done
}

// adviseCall is the body of advise.
type adviseCall struct {
	Step    string             `cbor:"1,keyasint"`
	Workers []structs.WorkerID `cbor:"2,keyasint"`
	Timeout time.Duration      `cbor:"3,keyasint"`
}

// adviseReply answers an adviseCall.
type adviseReply struct {
	Advice workflow.Advice `cbor:"1,keyasint"`
	Failed bool            `cbor:"2,keyasint"`
}
