// Package cell is the shell around dispatch and leadership: it runs one
// instance of a cell on a platform. All instances are equal. Each takes
// callers' requests; one of them leads, runs the dispatcher and writes its
// state to the table store; the others pass requests on to it and call the
// advisor for it.
package cell
