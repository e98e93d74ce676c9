// Package workflow holds the types of jobs that consist of steps: what callers
// submit to a queue and what the dispatcher runs on workers. It has no I/O.
package workflow
