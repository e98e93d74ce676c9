package gateway

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
)

// TestQueuedBodiesAreBounded guards against the bodies of outcomes that wait for the table and
// together take more memory than the instance has. The status must be kept.
func TestQueuedBodiesAreBounded(t *testing.T) {
	w := newClaimWriter(Options{Retention: time.Hour}.withDefaults(), nil)
	body := make([]byte, router.MaxStoredBody)
	ids := maxQueuedBodyBytes/len(body) + 100
	for n := range ids {
		id := string(rune('a'+n%26)) + time.Duration(n).String()
		w.held[claimKey("/team", id)] = heldClaim{}
		w.queueOutcome(router.StoreOutcome{Team: "/team", ID: id, Stored: router.StoredResponse{Status: 200, Body: body}})
	}
	bytes := 0
	for _, op := range w.queue {
		bytes += op.bodyBytes()
		if op.row.Stored.Status != 200 || (len(op.row.Stored.Body) == 0) != op.row.Stored.Truncated {
			t.Errorf("outcome %s: status %d, %d bytes, truncated %v", op.key, op.row.Stored.Status, len(op.row.Stored.Body), op.row.Stored.Truncated)
		}
	}
	if len(w.queue) != ids || bytes > maxQueuedBodyBytes {
		t.Errorf("%d of %d outcomes with %d bytes are queued, at most %d are allowed", len(w.queue), ids, bytes, maxQueuedBodyBytes)
	}
}
