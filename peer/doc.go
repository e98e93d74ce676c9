// Package peer carries messages between instances: CBOR over WebSocket.
//
// Each instance dials every other instance and sends on the connections that it
// dialled; it only reads from connections that it accepted. Messages are
// delivered at most once, and in order on each connection. A message may be
// lost; every protocol that uses this package must tolerate that.
package peer
