package gateway

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against claims that instances of another build cannot decode, and
// against a changed format of error responses.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{
		"claim": claimRow{},
		"error": ErrorBody{},
	})
}
