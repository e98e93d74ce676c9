package instance

import (
	"github.com/mangodrum/mangodrum/gateway"
	"github.com/mangodrum/mangodrum/internal/inbound"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/peer"
)

// Bounds limits the connections of the listeners for operators and peers.
type Bounds struct {
	Operators inbound.Limits
	Peers     inbound.Limits
}

const (
	// callerConnBytes is what a connection of a caller takes at most without what it holds:
	// buffers, goroutines and the heads of a request.
	callerConnBytes = 48 << 10
	// Parts of the memory that connections of callers, what their requests hold, the bodies
	// of operators and the messages of peers may take.
	callerConnShare, callerHeldShare, operatorShare, peerShare = 5, 8, 8, 8
	// Parts of the descriptors for the connections of callers, operators and peers. The
	// rest is for executors, the platform and files.
	callerDescriptorShare, operatorDescriptorShare, peerDescriptorShare = 2, 16, 8
	maxOperatorConnections, maxPeerConnections                          = 256, 256
	minConnections                                                      = 8
)

// WithinProcess lowers the limits of callers to shares of the memory and the descriptors of
// the process, and returns the bounds of the other listeners.
func WithinProcess(limits *gateway.Limits, memory int64, descriptors int) Bounds {
	limits.MaxConnections = max(min(limits.MaxConnections, int(memory/callerConnShare/callerConnBytes), descriptors/callerDescriptorShare), 1)
	limits.MaxHeldBytes = memory / callerHeldShare
	return Bounds{
		Operators: inbound.Limits{
			Connections: min(max(descriptors/operatorDescriptorShare, minConnections), maxOperatorConnections),
			HeldBytes:   max(memory/operatorShare, operatorapi.MaxHeldBytes()),
		},
		Peers: inbound.Limits{
			Connections: min(max(descriptors/peerDescriptorShare, minConnections), maxPeerConnections),
			HeldBytes:   max(memory/peerShare, peer.MaxHeldBytes(peer.MaxMessageBytes)),
		},
	}
}

// withDefaults returns the bounds of a process with the default limits in place of those that
// are not set.
func (b Bounds) withDefaults() Bounds {
	const memory, descriptors = 256 << 20, 4096
	defaults := WithinProcess(&gateway.Limits{}, memory, descriptors)
	if b.Operators.Connections == 0 {
		b.Operators = defaults.Operators
	}
	if b.Peers.Connections == 0 {
		b.Peers = defaults.Peers
	}
	return b
}
