package operatorapi

import (
	"context"
	"regexp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Backend carries out the calls of the operators' API; it has one method per
// endpoint. Its errors have kinds of package errs. Implementations must be safe
// for concurrent use and respect the context's deadline.
type Backend interface {
	Version(ctx context.Context) (VersionInfo, error)

	Settings(ctx context.Context, query SettingsQuery) (SettingsResponse, error)
	ApplySettings(ctx context.Context, request ApplyRequest) (ApplyResponse, error)
	SettingsHistory(ctx context.Context, query HistoryQuery) (HistoryResponse, error)
	SettingsStatus(ctx context.Context) (SettingsStatus, error)

	// SubmitJob returns once the job is durable. A repeated submission of
	// the same job returns the job; a different job with the same identifier
	// is an error of kind errs.Conflict.
	SubmitJob(ctx context.Context, job structs.Job) (JobStatus, error)
	Jobs(ctx context.Context, query JobQuery) (JobList, error)
	Job(ctx context.Context, id structs.JobID) (JobDetail, error)
	CancelJob(ctx context.Context, id structs.JobID) (JobStatus, error)
	ExplainJob(ctx context.Context, id structs.JobID) (JobExplanation, error)

	Workers(ctx context.Context) (WorkerList, error)
	ActOnWorker(ctx context.Context, id structs.WorkerID, action WorkerAction) (WorkerStatus, error)

	Instances(ctx context.Context) (InstanceList, error)
	DrainInstance(ctx context.Context, id structs.InstanceID) (InstanceStatus, error)

	Queues(ctx context.Context) (QueueList, error)
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// CheckID returns an error if an identifier cannot be part of a URL path. Valid
// are 1 to 100 letters, digits, dots, underscores and hyphens, starting with a
// letter or digit.
func CheckID(objectType, id string) error {
	if idPattern.MatchString(id) {
		return nil
	}
	return errs.New(errs.InvalidInput, "use letters, digits, '.', '_' and '-', at most 100, and start with a letter or digit",
		"%s identifier %q is not valid", objectType, id)
}

// CheckJob checks the fields of a submitted job that every backend requires.
func CheckJob(job structs.Job) error {
	if err := CheckID("job", string(job.ID)); err != nil {
		return err
	}
	switch job.Kind {
	case structs.KindService, structs.KindBatch, structs.KindGang:
	default:
		return errs.New(errs.InvalidInput, "use service, batch or gang", "job %s: kind %q is not valid", job.ID, job.Kind)
	}
	const maxTasks = 100_000 // bounds the state that one submission creates
	if job.Count < 1 || job.Count > maxTasks {
		return errs.New(errs.InvalidInput, "use a count from 1 to 100000", "job %s: count %d is out of range", job.ID, job.Count)
	}
	if job.Resources.IsNegative() || job.Resources.MilliCPU == 0 || job.Resources.MemoryBytes == 0 {
		return errs.New(errs.InvalidInput, "request CPU and memory above zero", "job %s: CPU and memory must be positive, got %v", job.ID, job.Resources)
	}
	if job.Team == "" {
		return errs.New(errs.InvalidInput, "set the team to the path of a branch of the settings", "job %s: team is missing", job.ID)
	}
	return nil
}
