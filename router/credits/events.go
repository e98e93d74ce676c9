package credits

import "github.com/mangodrum/mangodrum/structs"

// RequestReceived is a request from an instance, which can be the owner itself.
type RequestReceived struct{ Request Request }

// ExecutorsListed replaces the list of the shard's executors.
type ExecutorsListed struct{ Executors []structs.Executor }

// InstanceGone reports that the platform ended an instance.
type InstanceGone struct{ Instance structs.InstanceID }

// OwnershipRenewed reports that the shard's row was renewed. Until Expiry no
// other instance can own the shard; no credit may end after Horizon.
type OwnershipRenewed struct {
	Expiry  structs.Timestamp
	Horizon structs.Timestamp
}

// Tick removes expired credits and rebalances.
type Tick struct{}

// Kind implements structs.Event.
func (*RequestReceived) Kind() string { return "credit-request-received" }

// Kind implements structs.Event.
func (*ExecutorsListed) Kind() string { return "credit-executors-listed" }

// Kind implements structs.Event.
func (*InstanceGone) Kind() string { return "credit-instance-gone" }

// Kind implements structs.Event.
func (*OwnershipRenewed) Kind() string { return "credit-ownership-renewed" }

// Kind implements structs.Event.
func (*Tick) Kind() string { return "credit-tick" }

// SendGrant sends a grant to its instance.
type SendGrant struct{ Grant Grant }

// Kind implements structs.Effect.
func (SendGrant) Kind() string { return "send-grant" }
