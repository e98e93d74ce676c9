package operatorapi

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
)

// ErrorBody is the body of every response whose status is not 200.
type ErrorBody struct {
	Kind     errs.Kind   `json:"kind"`
	Message  string      `json:"message"`
	Remedy   string      `json:"remedy,omitempty"`
	Problems []ErrorBody `json:"problems,omitempty"` // the individual problems of an input file
}

var statusByKind = map[errs.Kind]int{
	errs.InvalidInput:   400,
	errs.Denied:         401,
	errs.NotFound:       404,
	errs.Conflict:       409,
	errs.Failed:         500,
	errs.OutcomeUnknown: 502,
	errs.NotRun:         503,
	errs.Unreachable:    504,
}

// HTTPStatus returns the HTTP status for an error. Errors without a kind are
// internal errors with status 500.
func HTTPStatus(err error) int {
	if status, ok := statusByKind[errs.KindOf(err)]; ok {
		return status
	}
	return statusByKind[errs.Failed]
}

// kindForStatus returns the error kind for an HTTP status. It is for responses
// without an ErrorBody.
func kindForStatus(status int) errs.Kind {
	for kind, s := range statusByKind {
		if s == status {
			return kind
		}
	}
	switch {
	case status == 413 || status == 431 || status == 405:
		return errs.InvalidInput
	case status == 429:
		return errs.NotRun
	}
	return errs.Failed
}

// NewErrorBody returns the response body for an error.
func NewErrorBody(err error) ErrorBody {
	var problems strictyaml.Problems
	if errors.As(err, &problems) && len(problems) > 1 {
		body := ErrorBody{Kind: errs.InvalidInput, Message: "the input has several problems"}
		for _, problem := range problems {
			body.Problems = append(body.Problems, NewErrorBody(problem.Unwrap()))
		}
		body.Remedy = "correct all listed problems"
		return body
	}
	kind, remedy := errs.KindOf(err), errs.RemedyOf(err)
	if kind == "" {
		kind = errs.Failed
	}
	message := err.Error()
	if remedy != "" {
		message = strings.TrimSuffix(message, "; remedy: "+remedy)
	}
	return ErrorBody{Kind: kind, Message: message, Remedy: remedy}
}

// Err returns the typed error that the body describes. It joins the errors of
// the individual problems if there are any.
func (b ErrorBody) Err() error {
	if len(b.Problems) == 0 {
		return errs.New(b.Kind, b.Remedy, "%s", b.Message)
	}
	list := make([]error, len(b.Problems))
	for i, problem := range b.Problems {
		list[i] = problem.Err()
	}
	return errors.Join(list...)
}

// responseError returns the typed error for a response whose status is not
// 200.
func responseError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err == nil && body.Kind != "" {
		return body.Err()
	}
	return errs.New(kindForStatus(status), "check that the address is the operators' address of an instance",
		"server returned status %d without an error body of this API", status)
}
