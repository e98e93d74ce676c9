package settings

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against settings rows and messages that instances of another build
// cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{
		"head":    Head{},
		"version": Version{},
		"copy":    copyObject{},
		"impact":  Impact{},
	})
	golden.Check(t, golden.CBOR, map[string]any{"version-message": Version{}})
}
