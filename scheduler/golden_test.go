package scheduler

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against journal records and snapshots that the previous build wrote
// and this one cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"record":   Record{},
		"snapshot": snapshotImage{},
	})
}
