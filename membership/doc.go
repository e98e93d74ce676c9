// Package membership keeps one instance's view of the other instances.
//
// The view is built from direct heartbeats; the platform's directory is a
// hint. Absence from the directory never ends an instance, only the listed
// state structs.Gone does, and an instance that the directory does not know
// counts as live as soon as its heartbeats arrive.
//
// State is a reducer: it has no clock, does no I/O and starts no goroutine.
package membership
