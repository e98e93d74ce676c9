package ownership

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against ownership rows that instances of another build cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{"row": Row{}})
}
