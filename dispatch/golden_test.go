package dispatch

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against rows that the previous build wrote and this one cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"jobs":     []storedJob{},
		"progress": []storedProgress{},
		"ended":    []storedOutcome{},
	})
}
