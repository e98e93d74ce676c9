package ownership

import (
	"bytes"
	"encoding/json"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	rowPrefix   = "shards/"
	epochPrefix = "epochs/"

	// maxRowBytes limits the input of the decoder. A valid row is smaller than
	// 500 bytes.
	maxRowBytes = 8 << 10
)

// Row is the value of a shard's row. It is stored as JSON so that operators can
// read it.
type Row struct {
	Owner       structs.InstanceID `json:"owner"`
	Incarnation uint64             `json:"incarnation"` // identifies the process of Owner
	Epoch       structs.Epoch      `json:"epoch"`
	Expiry      structs.Timestamp  `json:"expiry"`
	// LeaseHorizon is the latest task lease end that this or any earlier
	// owner may have granted.
	LeaseHorizon structs.Timestamp `json:"lease_horizon"`
	// PreviousHorizon is the lease horizon of the previous owner. It is stored so
	// that a takeover whose reply was lost can be completed from the row alone.
	PreviousHorizon structs.Timestamp `json:"previous_horizon"`
	// Successor is set by a planned hand-over: the owner has stopped, and the
	// successor takes over without waiting for the expiry.
	Successor structs.InstanceID `json:"successor,omitempty"`
}

// RowKey returns the key of the shard's row.
func RowKey(shard structs.ShardID) string { return rowPrefix + string(shard) }

// EpochKey returns the key of the shard's epoch row.
func EpochKey(shard structs.ShardID) string { return epochPrefix + string(shard) }

// EpochCondition returns the condition that epoch is the shard's epoch at the
// time of a commit. Each takeover writes the epoch row once, so the version of
// that row is the epoch.
func EpochCondition(shard structs.ShardID, epoch structs.Epoch) provider.Condition {
	return provider.Condition{Key: EpochKey(shard), Version: uint64(epoch)}
}

// EncodeRow returns the value of the shard row.
func EncodeRow(row Row) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic("ownership: row cannot be encoded: " + err.Error()) // plain strings and integers only
	}
	return value
}

// DecodeRow decodes the value of a shard row. It rejects values that no owner
// can have written.
func DecodeRow(value []byte) (Row, error) {
	const remedy = "compare the row with docs/recovery.md and restore it before any instance takes the shard over"
	var row Row
	if len(value) > maxRowBytes {
		return row, errs.New(errs.InvalidInput, remedy, "shard row has %d bytes, more than %d", len(value), maxRowBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	if err := decoder.Decode(&row); err != nil {
		return Row{}, errs.Wrap(err, errs.InvalidInput, remedy, "decode shard row")
	}
	if decoder.More() {
		return Row{}, errs.New(errs.InvalidInput, remedy, "shard row has data after its end")
	}
	if row.Owner == "" || row.Epoch == 0 || row.Expiry < 0 || row.LeaseHorizon < 0 || row.PreviousHorizon < 0 {
		return Row{}, errs.New(errs.InvalidInput, remedy, "shard row lacks its owner or epoch or has a negative time")
	}
	return row, nil
}
