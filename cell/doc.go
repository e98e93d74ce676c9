// Package cell runs one instance of a cell on a platform. It performs the I/O
// for the packages dispatch and leadership, which have none. All instances are
// equal, and each accepts callers' requests. One of them leads: it runs the
// dispatcher and writes its state to the table store. The others forward
// requests to the leader and call the advisor for it.
package cell
