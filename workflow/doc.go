// Package workflow defines jobs that consist of steps, which callers submit to
// queues, and the messages with which the dispatcher runs their tasks on
// workers. It does no I/O.
package workflow
