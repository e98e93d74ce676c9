package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

func (a *app) jobCommand() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "submit, list, explain and cancel jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit the jobs of a file; a repeat has no second effect",
				Description: "Example:\n  mangodrum job submit -f examples/bureau/jobs/recalibration.yaml",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "job `FILE`, or - for the standard input; may be repeated"},
				},
				Action: a.submitJobs,
			},
			{
				Name: "list", Usage: "list jobs",
				Description: "Example:\n  mangodrum job list --team /bureau --active --watch",
				Flags: append(watchFlags(),
					&cli.StringFlag{Name: "team", Usage: "only jobs of the branch `PATH` and below"},
					&cli.StringFlag{Name: "class", Usage: "only jobs of the class `NAME`"},
					&cli.BoolFlag{Name: "active", Usage: "only jobs that have not ended"},
					&cli.IntFlag{Name: "limit", Value: 1000, Usage: "largest `NUMBER` of jobs"}),
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.watch(ctx, c, func(ctx context.Context) error { return a.listJobs(ctx, c) })
				},
			},
			{Name: "describe", Usage: "show a job and its tasks", ArgsUsage: "JOB", Action: a.describeJob},
			{Name: "cancel", Usage: "cancel a job and stop its tasks", ArgsUsage: "JOB", Action: a.cancelJob},
			{Name: "explain", Usage: "show what a job waits for and what would let it run", ArgsUsage: "JOB", Action: a.explainJob},
		},
	}
}

func (a *app) submitJobs(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	var jobs []structs.Job
	for _, file := range c.StringSlice("file") {
		data, err := a.readInput(file)
		if err != nil {
			return err
		}
		list, err := config.DecodeJobs(file, data)
		if err != nil {
			return err
		}
		jobs = append(jobs, list...)
	}
	result := operatorapi.JobList{}
	for _, job := range jobs {
		status, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.JobStatus, error) {
			return client.SubmitJob(ctx, job)
		})
		if err != nil {
			_ = a.print(c, result, jobTable(result.Jobs)) // the jobs accepted before the error
			return err
		}
		result.Jobs = append(result.Jobs, status)
	}
	return a.print(c, result, jobTable(result.Jobs))
}

func jobTable(jobs []operatorapi.JobStatus) table {
	t := table{header: []string{"JOB", "KIND", "TEAM", "CLASS", "SHARD", "TASKS", "PENDING", "RUNNING", "UNKNOWN", "SUCCEEDED", "FAILED", "CANCELLED"}}
	for _, s := range jobs {
		n := s.Tasks
		t.add(string(s.Job.ID), string(s.Job.Kind), string(s.Job.Team), orDash(string(s.Job.Class)), orDash(string(s.Shard)),
			strconv.Itoa(s.Job.Count), strconv.Itoa(n.Pending), strconv.Itoa(n.Running), strconv.Itoa(n.Unknown),
			strconv.Itoa(n.Succeeded), strconv.Itoa(n.Failed), strconv.Itoa(n.Cancelled))
	}
	return t
}

func (a *app) listJobs(ctx context.Context, c *cli.Command) error {
	query := operatorapi.JobQuery{
		Team: structs.TeamID(c.String("team")), Class: structs.ClassName(c.String("class")),
		ActiveOnly: c.Bool("active"),
	}
	result := operatorapi.JobList{}
	for limit := c.Int("limit"); limit > 0; limit = c.Int("limit") - len(result.Jobs) {
		query.Limit = min(limit, 1000)
		page, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.JobList, error) {
			return client.Jobs(ctx, query)
		})
		if err != nil {
			return err
		}
		result.Jobs = append(result.Jobs, page.Jobs...)
		result.Next = page.Next
		if page.Next == "" || len(page.Jobs) == 0 {
			break
		}
		query.After = page.Next
	}
	return a.print(c, result, jobTable(result.Jobs))
}

func (a *app) describeJob(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "job identifier")
	if err != nil {
		return err
	}
	detail, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.JobDetail, error) {
		return client.Job(ctx, structs.JobID(id))
	})
	if err != nil {
		return err
	}
	return a.printText(c, detail, func() string {
		tasks := table{header: []string{"TASK", "STATE", "ATTEMPT", "WORKER", "ENQUEUED", "STARTED", "ENDED", "MESSAGE"}}
		for _, task := range detail.TaskList {
			tasks.add(string(task.ID), string(task.State), strconv.Itoa(task.Attempt), orDash(string(task.Worker)),
				formatTime(task.Enqueued), formatTime(task.Started), formatTime(task.Ended), orDash(task.Message))
		}
		return jobTable([]operatorapi.JobStatus{detail.JobStatus}).String() +
			fmt.Sprintf("each task needs %v; accepted %s\n\n", detail.Job.Resources, formatTime(detail.Job.Accepted)) + tasks.String()
	})
}

func (a *app) cancelJob(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "job identifier")
	if err != nil {
		return err
	}
	status, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.JobStatus, error) {
		return client.CancelJob(ctx, structs.JobID(id))
	})
	if err != nil {
		return err
	}
	return a.print(c, status, jobTable([]operatorapi.JobStatus{status}))
}

func (a *app) explainJob(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "job identifier")
	if err != nil {
		return err
	}
	explanation, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.JobExplanation, error) {
		return client.ExplainJob(ctx, structs.JobID(id))
	})
	if err != nil {
		return err
	}
	return a.printText(c, explanation, func() string { return explanationText(explanation) })
}

func explanationText(e operatorapi.JobExplanation) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s: %s\n", e.Job, e.State, e.Summary)
	if e.Remedy != "" {
		fmt.Fprintf(&out, "remedy: %s\n", e.Remedy)
	}
	if e.Queue != nil {
		fmt.Fprintf(&out, "queue of %s, class %s: %d tasks, oldest waits %s\n",
			e.Queue.Team, e.Queue.Class, e.Queue.Depth, formatDuration(e.Queue.OldestAge))
	}
	if len(e.Reasons) == 0 {
		return out.String()
	}
	fmt.Fprintf(&out, "largest free worker: %v\n", e.LargestFree)
	t := table{header: []string{"WORKERS", "REASON"}}
	for _, reason := range e.Reasons {
		t.add(strconv.Itoa(reason.Workers), reason.Reason)
	}
	return out.String() + t.String()
}
