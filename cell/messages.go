package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// heartbeat is the message that a leader sends to its followers periodically.
type heartbeat struct {
	Epoch             structs.Epoch `cbor:"1,keyasint"`
	Address           string        `cbor:"2,keyasint"` // the leader's address for peers
	StoreHealthy      bool          `cbor:"3,keyasint"`
	ConfigVersion     uint64        `cbor:"4,keyasint"`
	Config            []byte        `cbor:"5,keyasint,omitempty"` // for a follower with an older version
	Ended             bool          `cbor:"6,keyasint,omitempty"` // the sender no longer leads
	MaxProcessorShare float64       `cbor:"7,keyasint,omitempty"` // largest processor share of an instance, in cores
}

// heartbeatReply is a follower's reply to a heartbeat.
type heartbeatReply struct {
	ConfigVersion uint64 `cbor:"1,keyasint"`
	Config        []byte `cbor:"2,keyasint,omitempty"` // for a leader with an older version
	// Uptime is how long the follower's process has run; 0 from one that does not
	// say.
	Uptime time.Duration `cbor:"3,keyasint,omitempty"`
}

// Methods of calls between instances.
const (
	methodSubmit  = "submit"
	methodCancel  = "cancel"
	methodState   = "state"
	methodWaiting = "waiting"
	methodAdvise  = "advise"
	methodStore   = "store"
)

// knownMethod returns the label of a method in metrics.
func knownMethod(method string) string {
	switch method {
	case methodSubmit, methodCancel, methodState, methodWaiting, methodAdvise, methodStore:
		return method
	}
	return "other"
}

// jobCall is the body of submit, cancel, state and waiting.
type jobCall struct {
	ID    structs.JobID   `cbor:"1,keyasint,omitempty"`
	Job   *workflow.Job   `cbor:"2,keyasint,omitempty"`
	Queue *workflow.Queue `cbor:"3,keyasint,omitempty"`
	Name  string          `cbor:"4,keyasint,omitempty"` // the queue's name, for waiting
	// TimeLeft is how long the instance that makes the call waits for the answer;
	// 0 from an instance that does not say.
	TimeLeft time.Duration      `cbor:"5,keyasint,omitempty"`
	Request  dispatch.RequestID `cbor:"6,keyasint,omitempty"` // the same in all calls for one request of a caller
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

// storeCall asks a peer to call the store; one of its fields is set.
type storeCall struct {
	Tx      *tablestore.Tx    `cbor:"1,keyasint,omitempty"`
	Scan    *tablestore.Range `cbor:"2,keyasint,omitempty"`
	Follow  *followCall       `cbor:"3,keyasint,omitempty"`
	Timeout time.Duration     `cbor:"4,keyasint"` // timeout of the store call
}

// followCall holds the arguments of a call of tablestore.Store.Follow.
type followCall struct {
	Table string        `cbor:"1,keyasint"`
	After uint64        `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// storeReply answers a storeCall. Kind is the kind of the error, if any.
type storeReply struct {
	Page    tablestore.Page `cbor:"1,keyasint"`
	Kind    errs.Kind       `cbor:"2,keyasint,omitempty"`
	Message string          `cbor:"3,keyasint,omitempty"`
}
