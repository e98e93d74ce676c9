package eventlog

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against journal rows and snapshots that the previous build wrote and
// this one cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"row":           wireRow{},
		"row-body":      wireBody{},
		"snapshot-body": wireSnapshot{},
	})
	golden.Check(t, golden.JSON, map[string]any{"snapshot-pointer": snapshotPointer{}})
}
