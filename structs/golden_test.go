package structs

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// TestEncodingIsUnchanged guards against directory entries and jobs that
// instances of another build cannot decode.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{"job": Job{}})
	golden.Check(t, golden.JSON, map[string]any{
		"executor": Executor{},
		"instance": InstanceInfo{},
		"job":      Job{},
		"worker":   Worker{},
	})
}
