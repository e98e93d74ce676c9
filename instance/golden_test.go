package instance

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against calls that instances of another build cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"worker-action": workerAct{},
		"tree-reply":    treeReply{},
		"waits":         []classWaits{},
	})
}
