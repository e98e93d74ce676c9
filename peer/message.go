package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Version is the version of the protocol. Instances with different versions
// refuse each other's connections.
const Version = "1"

// Kind names the type of a message's body.
type Kind uint8

// Message kinds.
const (
	KindHeartbeat Kind = iota + 1 // Heartbeat
	KindSettings                  // settings.Version
	KindCall                      // Call
	KindReply                     // Reply
	KindCredits                   // credits.Message
	KindHandover                  // Handover
	KindLeader                    // a leader's heartbeat; the body is the receiver's business
	KindEcho                      // the answer to KindLeader
)

// Message is the envelope of everything that instances send to each other.
type Message struct {
	From structs.InstanceID `cbor:"1,keyasint"`
	Kind Kind               `cbor:"2,keyasint"`
	Ref  uint64             `cbor:"3,keyasint,omitempty"` // matches a Reply to its Call
	Body []byte             `cbor:"4,keyasint,omitempty"` // CBOR of the type that Kind names
}

// Heartbeat tells the other instances that the sender is alive and what it
// holds. It is sent every second.
type Heartbeat struct {
	Incarnation     uint64                            `cbor:"1,keyasint"`
	SettingsVersion uint64                            `cbor:"2,keyasint"`
	Shards          map[structs.ShardID]structs.Epoch `cbor:"3,keyasint,omitempty"` // owned shards and their epochs
	Phase           string                            `cbor:"4,keyasint"`           // a membership.Status
	Ready           bool                              `cbor:"5,keyasint,omitempty"`
	StoreHealthy    bool                              `cbor:"6,keyasint,omitempty"`
	SentAt          structs.Timestamp                 `cbor:"7,keyasint"`
	Info            *structs.InstanceInfo             `cbor:"8,keyasint,omitempty"` // of the sender; left out of most heartbeats
	InFlight        uint32                            `cbor:"9,keyasint,omitempty"` // requests
}

// Handover tells the receiver that a shard was handed over to it.
type Handover struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
}

// Call asks the receiver to carry out an operation, for example on a shard
// that it owns.
type Call struct {
	Method string          `cbor:"1,keyasint"`
	Shard  structs.ShardID `cbor:"2,keyasint,omitempty"`
	Body   []byte          `cbor:"3,keyasint,omitempty"`
}

// Reply answers a Call. ErrKind is empty on success.
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

// ReplyTo builds a reply from a result or an error.
func ReplyTo(body []byte, err error) Reply {
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

// decoding bounds sizes so that a malformed message cannot take much memory.
var decoding, _ = cbor.DecOptions{
	MaxArrayElements: 1 << 17,
	MaxMapPairs:      1 << 16,
	MaxNestedLevels:  16,
}.DecMode()

// Decode decodes the body of a message into v.
func Decode(data []byte, v any) error {
	if err := decoding.Unmarshal(data, v); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "decode peer message %T", v)
	}
	return nil
}
