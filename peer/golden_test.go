package peer

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against messages that instances of another build cannot decode.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"message":   Message{},
		"call":      Call{},
		"reply":     Reply{},
		"heartbeat": Heartbeat{},
		"handover":  HandOver{},
	})
}
