// Package peer carries messages between instances: CBOR over WebSocket.
//
// Each instance dials every other one and sends on the connection it dialled;
// connections that it accepted are only read. Delivery is at most once and in
// order per connection; a message may be lost, and every protocol above
// tolerates that.
package peer
