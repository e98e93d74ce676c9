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
	Problems []ErrorBody `json:"problems,omitempty"` // single problems of an input file
}

var statuses = map[errs.Kind]int{
	errs.InvalidInput:   400,
	errs.Denied:         401,
	errs.NotFound:       404,
	errs.Conflict:       409,
	errs.Failed:         500,
	errs.OutcomeUnknown: 502,
	errs.NotRun:         503,
	errs.Unreachable:    504,
}

// StatusOf returns the HTTP status for an error. Errors without a kind are
// internal faults with status 500.
func StatusOf(err error) int {
	if status, ok := statuses[errs.KindOf(err)]; ok {
		return status
	}
	return statuses[errs.Failed]
}

// kindOf returns the error kind of a status, for responses that have no body
// of this API.
func kindOf(status int) errs.Kind {
	for kind, s := range statuses {
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

// BodyOf returns the body for an error.
func BodyOf(err error) ErrorBody {
	var problems strictyaml.Problems
	if errors.As(err, &problems) && len(problems) > 1 {
		body := ErrorBody{Kind: errs.InvalidInput, Message: "the input has several problems"}
		for _, problem := range problems {
			body.Problems = append(body.Problems, BodyOf(problem.Unwrap()))
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

// Err returns the typed error that the body describes.
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

// errorOf returns the typed error of a response that is not 200.
func errorOf(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err == nil && body.Kind != "" {
		return body.Err()
	}
	return errs.New(kindOf(status), "check that the address is the operators' address of an instance",
		"server answered status %d without an error of this API", status)
}
