// Package errs defines typed errors. Every error that reaches a person or
// another process has a kind and a remedy.
package errs

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error by what the receiver can conclude from it.
type Kind string

// Error kinds.
const (
	InvalidInput   Kind = "invalid-input"   // the input is invalid; nothing was applied
	Conflict       Kind = "conflict"        // another change came first; nothing was applied
	NotFound       Kind = "not-found"       // the named object does not exist
	NotRun         Kind = "not-run"         // certainly not run or applied; may be retried
	OutcomeUnknown Kind = "outcome-unknown" // may have run or been applied
	Busy           Kind = "busy"            // this copy was not taken, because there are too many others
	Failed         Kind = "ran-and-failed"  // ran and failed
	Unreachable    Kind = "unreachable"     // no connection to the server
	Denied         Kind = "denied"          // the shared secret is missing or wrong
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind   Kind
	Detail string // what was attempted and what went wrong
	Remedy string // what the receiver can do
	cause  error
}

// Error returns the detail, the cause and the remedy in one line.
func (e *Error) Error() string {
	text := e.Detail
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += "; remedy: " + e.Remedy
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind with a remedy.
func New(kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an error of the given kind that wraps cause.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy, cause: cause}
}

// KindOf returns the kind of the outermost Error in the chain of err, or ""
// if there is none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

// RemedyOf returns the remedy of the outermost Error in the chain of err.
func RemedyOf(err error) string {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Remedy
	}
	return ""
}

// Is reports whether the outermost Error in the chain of err has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// DetailOf returns the detail and cause of the outermost Error in the chain
// of err without its remedy, or the whole text of another error.
func DetailOf(err error) string {
	var typed *Error
	if !errors.As(err, &typed) {
		return err.Error()
	}
	if typed.cause == nil {
		return typed.Detail
	}
	return typed.Detail + ": " + typed.cause.Error()
}
