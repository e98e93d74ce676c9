package instance

import (
	"fmt"
	"slices"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// partsPerMillion converts the scheduler's shares and floors to fractions.
const partsPerMillion = 1_000_000

func errNoJob(id structs.JobID) error {
	return errs.New(errs.NotFound, "see mangodrum job list", "job %q does not exist", id)
}

func (i *Instance) jobStatus(shard structs.ShardID, id structs.JobID) (operatorapi.JobStatus, error) {
	detail, err := i.describeJob(shard, id)
	return detail.JobStatus, err
}

func (i *Instance) describeJob(shard structs.ShardID, id structs.JobID) (operatorapi.JobDetail, error) {
	return readScheduler(i, shard, func(_ structs.Timestamp, s *scheduler.State) (operatorapi.JobDetail, error) {
		status, ok := s.Job(id)
		if !ok {
			return operatorapi.JobDetail{}, errNoJob(id)
		}
		return operatorapi.JobDetail{JobStatus: jobStatusOf(shard, status), TaskList: status.Tasks}, nil
	})
}

func (i *Instance) listJobs(shard structs.ShardID) ([]operatorapi.JobStatus, error) {
	return readScheduler(i, shard, func(_ structs.Timestamp, s *scheduler.State) ([]operatorapi.JobStatus, error) {
		var list []operatorapi.JobStatus
		for _, status := range s.Jobs() {
			list = append(list, jobStatusOf(shard, status))
		}
		return list, nil
	})
}

func jobStatusOf(shard structs.ShardID, status scheduler.JobStatus) operatorapi.JobStatus {
	return operatorapi.JobStatus{
		Job: status.Job, Shard: shard, Cancelled: status.Cancelled,
		Tasks: operatorapi.TaskCounts{
			Pending: status.Pending, Running: status.Placed,
			Succeeded: status.Succeeded, Failed: status.Failed, Cancelled: status.Stopped,
		},
	}
}

func (i *Instance) explainJob(shard structs.ShardID, id structs.JobID) (operatorapi.JobExplanation, error) {
	return readScheduler(i, shard, func(now structs.Timestamp, s *scheduler.State) (operatorapi.JobExplanation, error) {
		explanation, ok := s.Explain(now, id)
		if !ok {
			return operatorapi.JobExplanation{}, errNoJob(id)
		}
		return explanationOf(shard, explanation), nil
	})
}

func explanationOf(shard structs.ShardID, e scheduler.Explanation) operatorapi.JobExplanation {
	out := operatorapi.JobExplanation{
		Job: e.Job, State: fmt.Sprintf("%d task(s) pending in shard %s", e.Pending, shard),
		Summary: e.Summary, Remedy: e.Remedy, LargestFree: e.Workers.LargestFree,
	}
	for reason, count := range e.Workers.Rejected {
		out.Reasons = append(out.Reasons, operatorapi.ReasonCount{Reason: string(reason), Workers: count})
	}
	if e.Workers.Fitting > 0 {
		out.Reasons = append(out.Reasons, operatorapi.ReasonCount{Reason: "can take a task now", Workers: e.Workers.Fitting})
	}
	slices.SortFunc(out.Reasons, func(a, b operatorapi.ReasonCount) int {
		if a.Workers != b.Workers {
			return b.Workers - a.Workers
		}
		return compareReasons(a.Reason, b.Reason)
	})
	return out
}

func compareReasons(a, b string) int {
	if placement.Reason(a) < placement.Reason(b) {
		return -1
	}
	return 1
}

func (i *Instance) listWorkers(shard structs.ShardID) ([]operatorapi.WorkerStatus, error) {
	return readScheduler(i, shard, func(_ structs.Timestamp, s *scheduler.State) ([]operatorapi.WorkerStatus, error) {
		var list []operatorapi.WorkerStatus
		for _, w := range s.Workers() {
			used, at := i.reports.usage(w.Worker.ID)
			list = append(list, operatorapi.WorkerStatus{
				Worker: w.Worker, Shard: shard, Reserved: w.Reserved, Used: used, ReportedAt: at,
				Tasks: w.Tasks, Unconfirmed: w.Unconfirmed,
				Draining: w.Drained, Quarantined: w.QuarantinedUntil != 0, QuarantineReason: w.Reason,
				Unreachable: w.DownSince != 0, UnreachableSince: w.DownSince,
			})
		}
		return list, nil
	})
}

func (i *Instance) listQueues(shard structs.ShardID) ([]operatorapi.QueueStatus, error) {
	return readScheduler(i, shard, func(now structs.Timestamp, s *scheduler.State) ([]operatorapi.QueueStatus, error) {
		var list []operatorapi.QueueStatus
		for _, stat := range s.Queues(now) {
			list = append(list, operatorapi.QueueStatus{
				Shard: shard, Team: stat.Team, Class: stat.Class, Depth: stat.Depth, OldestAge: stat.OldestAge,
				Share: float64(stat.SharePPM) / partsPerMillion, Floor: float64(stat.FloorPPM) / partsPerMillion,
			})
		}
		return list, nil
	})
}

func (i *Instance) listWaits(shard structs.ShardID) ([]classWaits, error) {
	return i.waitTimes.ofShard(i.now(), shard), nil
}
