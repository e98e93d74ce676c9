package instance

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against encoding changes that instances of another version cannot
// decode.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"worker-action": workerActionRequest{},
		"tree-reply":    treeReply{},
		"waits":         []classWaits{},
	})
}
