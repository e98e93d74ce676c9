package config

import (
	"fmt"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
)

// Check decodes a file of the kind that its header names and returns a short
// summary of its content.
func Check(file string, data []byte) (string, error) {
	documents, err := strictyaml.Parse(file, data)
	if err != nil {
		return "", err
	}
	header, err := documents[0].Header()
	if err != nil {
		return "", err
	}
	switch header.Kind {
	case settings.Kind:
		return summarizeWith(settings.Decode(file, data))(func(t *settings.Tree) string {
			return fmt.Sprintf("settings with %d classes and %d branches", len(t.Classes), len(t.Branches))
		})
	case KindInstance:
		return summarizeWith(DecodeInstance(file, data))(func(i *Instance) string {
			return fmt.Sprintf("instance %s in failure domain %s", i.ID, i.FailureDomain)
		})
	case KindRequest:
		return summarizeWith(DecodeRequest(file, data))(func(r *Request) string {
			return fmt.Sprintf("request to service %s", r.Service)
		})
	case KindCell:
		return summarizeWith(DecodeCell(file, data))(func(c *Cell) string {
			workers, executors := c.WorkersAndExecutors()
			return fmt.Sprintf("cell %s with %d workers and %d executors", c.Name, len(workers), len(executors))
		})
	case KindJob:
		jobs, err := DecodeJobs(file, data)
		return fmt.Sprintf("%d job(s)", len(jobs)), err
	}
	return "", errs.New(errs.InvalidInput, "use one of the kinds in docs/settings.md", "%s: unknown kind %q", file, header.Kind)
}

// summarizeWith takes the result of a decoder and returns a function that applies
// summarize to the value, or returns the error of the decoder.
func summarizeWith[T any](value T, err error) func(summarize func(T) string) (string, error) {
	return func(summarize func(T) string) (string, error) {
		if err != nil {
			return "", err
		}
		return summarize(value), nil
	}
}
