package cell

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against messages and rows that instances of the previous build
// cannot read, or that they sent and this build cannot read.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.CBOR, map[string]any{
		"heartbeat":       heartbeat{},
		"heartbeat-reply": heartbeatReply{},
		"job-call":        jobCall{},
		"job-reply":       jobReply{},
		"advise-call":     adviseCall{},
		"advise-reply":    adviseReply{},
		"store-call":      storeCall{},
		"store-reply":     storeReply{},
		"instance-row":    instanceRow{},
	})
}
