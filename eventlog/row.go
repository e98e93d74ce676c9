package eventlog

import (
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	rowFormat = 1

	// maxRowPayloads limits the number of payloads in one row. The decoder
	// enforces it too.
	maxRowPayloads = 1 << 16
)

// Row is the content of one journal row.
type Row struct {
	Shard         structs.ShardID
	Epoch         structs.Epoch
	Row           uint64 // sequence number of the row in the shard, from 1
	FirstSequence uint64 // append sequence number in Epoch of the first payload
	Payloads      [][]byte
}

// wireRow is the stored envelope of a row: the format number, the checksum and
// the encoded body. The body is encoded separately so that the checksum covers
// its bytes.
type wireRow struct {
	_        struct{} `cbor:",toarray"`
	Format   uint8
	Checksum uint32
	Body     []byte
}

// wireBody is the stored form of a Row.
type wireBody struct {
	_        struct{} `cbor:",toarray"`
	Shard    string
	Epoch    uint64
	Row      uint64
	First    uint64
	Payloads [][]byte
}

var (
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
	decMode       = mustDecMode(cbor.DecOptions{
		MaxArrayElements:  maxRowPayloads,
		MaxNestedLevels:   4,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	})
)

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic("journal: decoder options: " + err.Error())
	}
	return mode
}

// RowKey returns the key of a journal row. The row number is zero-padded so that
// keys sort by it.
func RowKey(shard structs.ShardID, row uint64) string {
	return fmt.Sprintf("%s%020d", rowPrefix(shard), row)
}

func rowPrefix(shard structs.ShardID) string { return "journal/" + string(shard) + "/" }

// EncodeRow encodes the value of a journal row.
func EncodeRow(row Row) ([]byte, error) {
	body, err := cbor.Marshal(wireBody{
		Shard: string(row.Shard), Epoch: uint64(row.Epoch), Row: row.Row, First: row.FirstSequence, Payloads: row.Payloads,
	})
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "report this bug", "encode journal row %d of shard %q", row.Row, row.Shard)
	}
	return encodeRowEnvelope(body)
}

func encodeRowEnvelope(body []byte) ([]byte, error) {
	return cbor.Marshal(wireRow{Format: rowFormat, Checksum: crc32.Checksum(body, checksumTable), Body: body})
}

// DecodeRow decodes the value of a journal row. It rejects unknown formats,
// corrupt bytes and rows that lack a required field.
func DecodeRow(value []byte) (Row, error) {
	var wire wireRow
	if err := decMode.Unmarshal(value, &wire); err != nil {
		return Row{}, corruptError(err, "decode journal row")
	}
	if wire.Format != rowFormat {
		return Row{}, errs.New(errs.InvalidInput, "run the version of mangodrumd that wrote it, or a later one",
			"journal row has format %d; this version reads %d", wire.Format, rowFormat)
	}
	if sum := crc32.Checksum(wire.Body, checksumTable); sum != wire.Checksum {
		return Row{}, corruptError(nil, "journal row has checksum %08x instead of %08x", sum, wire.Checksum)
	}
	var body wireBody
	if err := decMode.Unmarshal(wire.Body, &body); err != nil {
		return Row{}, corruptError(err, "decode body of journal row")
	}
	if body.Epoch == 0 || body.Row == 0 || body.First == 0 || len(body.Payloads) == 0 {
		return Row{}, corruptError(nil, "journal row lacks an epoch, a row number, a first append or a payload")
	}
	return Row{
		Shard: structs.ShardID(body.Shard), Epoch: structs.Epoch(body.Epoch),
		Row: body.Row, FirstSequence: body.First, Payloads: body.Payloads,
	}, nil
}

// corruptError returns the error of a corrupt journal row.
func corruptError(cause error, format string, args ...any) error {
	const remedy = "see \"corrupt journal row\" in docs/recovery.md; do not delete the row"
	if cause == nil {
		return errs.New(errs.InvalidInput, remedy, format, args...)
	}
	return errs.Wrap(cause, errs.InvalidInput, remedy, format, args...)
}

// checkShardID rejects identifiers that would make the keys of two shards overlap.
func checkShardID(shard structs.ShardID) error {
	if shard == "" || strings.Contains(string(shard), "/") {
		return errs.New(errs.InvalidInput, "use a name without \"/\"", "shard identifier %q is invalid", shard)
	}
	return nil
}
