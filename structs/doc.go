// Package structs defines the types that the other packages share:
// identifiers, resources, workers, jobs, tasks, classes and time.
//
// It contains only arithmetic, validation and conversion, and imports no other
// package of this module.
package structs
