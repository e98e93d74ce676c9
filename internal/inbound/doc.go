// Package inbound bounds what the connections of one listener use together: their number,
// and the memory that their unfinished requests hold. A bound on each request alone would
// leave the sum to the clients. When a bound is reached, the connection that has waited
// longest for its client is closed, so that a client that sends nothing cannot keep others
// out; connections whose request is being processed are never closed.
package inbound
