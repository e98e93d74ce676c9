package gateway

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against claims that instances of another build cannot read, and
// against a changed body of refusals.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{
		"claim": claimRow{},
		"error": ErrorBody{},
	})
}
