// Package membership maintains one instance's view of the other instances.
//
// The view is based on direct heartbeats; the platform's directory is only a
// hint. An instance that is missing from the directory is not removed; only the
// listed state structs.Gone ends it. An instance that the directory does not
// list counts as live as soon as its heartbeats arrive.
//
// State is a reducer: it has no clock, does no I/O and starts no goroutine.
package membership
