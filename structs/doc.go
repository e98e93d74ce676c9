// Package structs holds the types that every other package shares:
// identifiers, resources, workers, jobs, tasks, classes and time.
//
// It has no behaviour beyond arithmetic and validation and imports no other
// package of this module.
package structs
