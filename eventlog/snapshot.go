package eventlog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Snapshot is the state of a shard and the journal position that it covers.
type Snapshot struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	// Sequence is the number of the last append of Epoch that State includes.
	// That append is durable.
	Sequence uint64
	// Row is the journal row that contains Sequence, or the last row before
	// Epoch if Sequence is 0. It may also contain later appends.
	Row   uint64
	State []byte
}

const (
	snapshotMagic  = "MDSN"
	snapshotFormat = 1
	snapshotHeader = len(snapshotMagic) + 1 + 4
)

// wireSnapshot is the stored form of a Snapshot.
type wireSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Shard    string
	Epoch    uint64
	Sequence uint64
	Row      uint64
	State    []byte
}

// EncodeSnapshot encodes a snapshot as an object: magic number, format number,
// checksum and body.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	body, err := cbor.Marshal(wireSnapshot{
		Shard: string(s.Shard), Epoch: uint64(s.Epoch), Sequence: s.Sequence, Row: s.Row, State: s.State,
	})
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "report this bug", "encode snapshot of shard %q", s.Shard)
	}
	return encodeSnapshotEnvelope(body), nil
}

func encodeSnapshotEnvelope(body []byte) []byte {
	data := make([]byte, 0, snapshotHeader+len(body))
	data = append(data, snapshotMagic...)
	data = append(data, snapshotFormat)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(body, checksumTable))
	return append(data, body...)
}

// DecodeSnapshot decodes an object that EncodeSnapshot has encoded.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	const remedy = "the previous snapshot is used instead; see docs/recovery.md"
	if len(data) < snapshotHeader || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return Snapshot{}, errs.New(errs.InvalidInput, remedy, "object is not a snapshot")
	}
	if format := data[len(snapshotMagic)]; format != snapshotFormat {
		return Snapshot{}, errs.New(errs.InvalidInput, "run the version of mangodrumd that wrote it, or a later one",
			"snapshot has format %d; this version reads %d", format, snapshotFormat)
	}
	body := data[snapshotHeader:]
	want := binary.BigEndian.Uint32(data[len(snapshotMagic)+1:])
	if sum := crc32.Checksum(body, checksumTable); sum != want {
		return Snapshot{}, errs.New(errs.InvalidInput, remedy, "snapshot has checksum %08x instead of %08x", sum, want)
	}
	var wire wireSnapshot
	if err := decMode.Unmarshal(body, &wire); err != nil {
		return Snapshot{}, errs.Wrap(err, errs.InvalidInput, remedy, "decode snapshot")
	}
	return Snapshot{
		Shard: structs.ShardID(wire.Shard), Epoch: structs.Epoch(wire.Epoch),
		Sequence: wire.Sequence, Row: wire.Row, State: wire.State,
	}, nil
}

// snapshotRef refers to one snapshot in the pointer row.
type snapshotRef struct {
	Object string `json:"object"`
	Row    uint64 `json:"row"` // Snapshot.Row
}

// snapshotPointer is the value of the row "snapshots/<shard>": the kept
// snapshots, newest first.
type snapshotPointer struct {
	Kept []snapshotRef `json:"kept"`
}

// keptSnapshots is the number of snapshots to keep: the newest and one to fall
// back to.
const keptSnapshots = 2

// SnapshotPointerKey returns the key of the row that lists the kept snapshots.
func SnapshotPointerKey(shard structs.ShardID) string { return "snapshots/" + string(shard) }

func snapshotName(s Snapshot) string {
	return fmt.Sprintf("snapshots/%s/%020d-%020d-%020d", s.Shard, s.Epoch, s.Row, s.Sequence)
}

func decodePointer(value []byte) (snapshotPointer, error) {
	var p snapshotPointer
	if err := json.Unmarshal(value, &p); err != nil {
		return p, errs.Wrap(err, errs.InvalidInput, "see \"corrupt snapshot pointer\" in docs/recovery.md", "decode snapshot pointer")
	}
	return p, nil
}
