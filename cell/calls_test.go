package cell

import (
	"testing"

	"github.com/mangodrum/mangodrum/peer"
)

// TestReplyToEarlierProcessIsDropped guards against a reply to a call of an instance's
// earlier process that answers a call of the present one: callers were told that a job
// was refused which ran.
func TestReplyToEarlierProcessIsDropped(t *testing.T) {
	earlier, present := newCallRegistry(), newCallRegistry()
	for range 100 {
		earlierID, _ := earlier.add()
		presentID, replies := present.add()
		if present.deliver(earlierID, peer.Reply{Message: "refused"}) {
			t.Fatalf("the reply to call %d of the earlier process is accepted", earlierID)
		}
		if !present.deliver(presentID, peer.Reply{Message: "accepted"}) {
			t.Fatalf("the reply to call %d is dropped", presentID)
		}
		if got := <-replies; got.Message != "accepted" {
			t.Fatalf("call %d is answered with %q", presentID, got.Message)
		}
	}
}
