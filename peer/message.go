package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Version is the version of the protocol between peers. Instances with different
// versions refuse each other's connections.
const Version = "1"

// Kind identifies the type of a message's body.
type Kind uint8

// Message kinds.
const (
	KindHeartbeat            Kind = iota + 1 // Heartbeat
	KindSettings                             // settings.Version
	KindCall                                 // Call
	KindReply                                // Reply
	KindCredits                              // credits.Message
	KindHandOver                             // HandOver
	KindLeaderHeartbeat                      // a leader's heartbeat; its body is not interpreted by this package
	KindLeaderHeartbeatReply                 // the reply to KindLeaderHeartbeat
)

// Message is the envelope of all messages between instances.
type Message struct {
	From   structs.InstanceID `cbor:"1,keyasint"`
	Kind   Kind               `cbor:"2,keyasint"`
	CallID uint64             `cbor:"3,keyasint,omitempty"` // matches a Reply to its Call
	Body   []byte             `cbor:"4,keyasint,omitempty"` // CBOR encoding of the type that Kind identifies
}

// Heartbeat tells the other instances that the sender is alive, and reports its
// state and the shards that it owns. It is sent every second.
type Heartbeat struct {
	Incarnation      uint64                            `cbor:"1,keyasint"`
	SettingsVersion  uint64                            `cbor:"2,keyasint"`
	Shards           map[structs.ShardID]structs.Epoch `cbor:"3,keyasint,omitempty"` // owned shards and their epochs
	Status           string                            `cbor:"4,keyasint"`           // a membership.Status
	Ready            bool                              `cbor:"5,keyasint,omitempty"`
	StoreHealthy     bool                              `cbor:"6,keyasint,omitempty"`
	SentAt           structs.Timestamp                 `cbor:"7,keyasint"`
	Info             *structs.InstanceInfo             `cbor:"8,keyasint,omitempty"` // of the sender; left out of most heartbeats
	RequestsInFlight uint32                            `cbor:"9,keyasint,omitempty"` // number of requests in flight
}

// HandOver tells the receiver that the sender handed a shard over to it.
type HandOver struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
}

// Call asks the receiver to carry out an operation, for example on a shard
// that it owns.
type Call struct {
	Method string          `cbor:"1,keyasint"`
	Shard  structs.ShardID `cbor:"2,keyasint,omitempty"`
	Body   []byte          `cbor:"3,keyasint,omitempty"`
}

// Reply is the result of a Call. ErrKind is empty on success.
type Reply struct {
	ErrKind errs.Kind `cbor:"1,keyasint,omitempty"`
	Message string    `cbor:"2,keyasint,omitempty"`
	Remedy  string    `cbor:"3,keyasint,omitempty"`
	Body    []byte    `cbor:"4,keyasint,omitempty"`
}

// Err returns the error that the reply carries, or nil.
func (r Reply) Err() error {
	if r.ErrKind == "" {
		return nil
	}
	return errs.New(r.ErrKind, r.Remedy, "%s", r.Message)
}

// NewReply builds a reply from a result or an error.
func NewReply(body []byte, err error) Reply {
	if err == nil {
		return Reply{Body: body}
	}
	kind := errs.KindOf(err)
	if kind == "" {
		kind = errs.OutcomeUnknown
	}
	return Reply{ErrKind: kind, Message: errs.DetailOf(err), Remedy: errs.RemedyOf(err)}
}

// Encode encodes the body of a message.
func Encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "", "encode peer message %T", v)
	}
	return data, nil
}

// decMode limits the sizes of decoded values, so that a malformed message cannot
// use much memory.
var decMode, _ = cbor.DecOptions{
	MaxArrayElements: 1 << 17,
	MaxMapPairs:      1 << 16,
	MaxNestedLevels:  16,
}.DecMode()

// Decode decodes the body of a message into v.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "decode peer message %T", v)
	}
	return nil
}
