package operatorapi

import (
	"context"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Numbers of entries on one page of a list.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

func (s *server) registerRoutes(app *fiber.App) {
	app.Get("/v1/version", func(c fiber.Ctx) error { return callBackend(s, c, s.backend.Version) })
	app.Get("/v1/settings", s.getSettings)
	app.Post("/v1/settings", s.applySettings)
	app.Get("/v1/settings/history", s.settingsHistory)
	app.Get("/v1/settings/status", func(c fiber.Ctx) error { return callBackend(s, c, s.backend.SettingsStatus) })
	app.Post("/v1/jobs", s.submitJob)
	app.Get("/v1/jobs", s.listJobs)
	app.Get("/v1/jobs/:id", objectHandler(s, "job", s.backend.Job))
	app.Post("/v1/jobs/:id/cancel", objectHandler(s, "job", s.backend.CancelJob))
	app.Get("/v1/jobs/:id/explain", objectHandler(s, "job", s.backend.ExplainJob))
	app.Get("/v1/workers", func(c fiber.Ctx) error { return callBackend(s, c, s.backend.Workers) })
	for _, action := range []WorkerAction{WorkerDrain, WorkerUndrain, WorkerConfirmStopped} {
		app.Post("/v1/workers/:id/"+string(action), objectHandler(s, "worker",
			func(ctx context.Context, id structs.WorkerID) (WorkerStatus, error) {
				return s.backend.ActOnWorker(ctx, id, action)
			}))
	}
	app.Get("/v1/instances", func(c fiber.Ctx) error { return callBackend(s, c, s.backend.Instances) })
	app.Post("/v1/instances/:id/drain", objectHandler(s, "instance", s.backend.DrainInstance))
	app.Get("/v1/queues", func(c fiber.Ctx) error { return callBackend(s, c, s.backend.Queues) })
}

// objectHandler serves an endpoint with an identifier in its path. POST
// requests must have an empty JSON object as body.
func objectHandler[ID ~string, T any](s *server, objectType string, run func(context.Context, ID) (T, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		id := c.Params("id")
		if err := CheckID(objectType, id); err != nil {
			return err
		}
		if c.Method() == fiber.MethodPost {
			if err := decodeBody(c, &struct{}{}); err != nil {
				return err
			}
		}
		return callBackend(s, c, func(ctx context.Context) (T, error) { return run(ctx, ID(id)) })
	}
}

// queryUint returns a numeric query parameter, or fallback if it is absent.
func queryUint(c fiber.Ctx, name string, fallback uint64) (uint64, error) {
	text := c.Query(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errs.New(errs.InvalidInput, "use a whole number", "query parameter %s: %q is not a number", name, text)
	}
	return value, nil
}

// queryLimit returns the query parameter "limit", bounded by
// maxPageSize.
func queryLimit(c fiber.Ctx) (int, error) {
	value, err := queryUint(c, "limit", defaultPageSize)
	return int(min(max(1, value), maxPageSize)), err
}

func (s *server) getSettings(c fiber.Ctx) error {
	version, err := queryUint(c, "version", 0)
	if err != nil {
		return err
	}
	query := SettingsQuery{Version: version, Path: structs.TeamID(c.Query("path"))}
	return callBackend(s, c, func(ctx context.Context) (SettingsResponse, error) { return s.backend.Settings(ctx, query) })
}

func (s *server) applySettings(c fiber.Ctx) error {
	var request ApplyRequest
	if err := decodeBody(c, &request); err != nil {
		return err
	}
	if err := request.validate(); err != nil {
		return err
	}
	return callBackend(s, c, func(ctx context.Context) (ApplyResponse, error) { return s.backend.ApplySettings(ctx, request) })
}

// validate checks that the request has exactly one content and, unless it is a
// dry run, the fields that are stored with every version.
func (r ApplyRequest) validate() error {
	const maxText = 1000 // bytes of author and reason each; both are stored with every version
	switch {
	case (r.YAML == "") == (r.RollbackTo == 0):
		return errs.New(errs.InvalidInput, "send either yaml or rollback_to", "the change must have exactly one of yaml and rollback_to")
	case r.DryRun:
		return nil
	case r.Author == "" || r.Reason == "":
		return errs.New(errs.InvalidInput, "name the author and the reason of the change", "author or reason is empty")
	case len(r.Author) > maxText || len(r.Reason) > maxText:
		return errs.New(errs.InvalidInput, "shorten both to at most 1000 bytes", "author or reason is too long")
	}
	return CheckID("change", r.ChangeID)
}

func (s *server) settingsHistory(c fiber.Ctx) error {
	before, err := queryUint(c, "before", 0)
	if err != nil {
		return err
	}
	count, err := queryLimit(c)
	if err != nil {
		return err
	}
	query := HistoryQuery{BeforeVersion: before, Limit: count}
	return callBackend(s, c, func(ctx context.Context) (HistoryResponse, error) { return s.backend.SettingsHistory(ctx, query) })
}

func (s *server) submitJob(c fiber.Ctx) error {
	var job structs.Job
	if err := decodeBody(c, &job); err != nil {
		return err
	}
	if err := CheckJob(job); err != nil {
		return err
	}
	return callBackend(s, c, func(ctx context.Context) (JobStatus, error) { return s.backend.SubmitJob(ctx, job) })
}

func (s *server) listJobs(c fiber.Ctx) error {
	count, err := queryLimit(c)
	if err != nil {
		return err
	}
	query := JobQuery{
		Team: structs.TeamID(c.Query("team")), Class: structs.ClassName(c.Query("class")),
		ActiveOnly: c.Query("active") == "true", After: structs.JobID(c.Query("after")), Limit: count,
	}
	return callBackend(s, c, func(ctx context.Context) (JobList, error) { return s.backend.Jobs(ctx, query) })
}
