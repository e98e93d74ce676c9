package config

import (
	"fmt"
	"time"

	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// JobDocument is one document of a job file.
type JobDocument struct {
	strictyaml.Header
	ID           structs.JobID     `yaml:"id" required:"true" pattern:"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$" doc:"Identifier of the job; a repeated submission with the same identifier has no effect."`
	Type         structs.JobKind   `yaml:"type" required:"true" oneof:"service batch gang" doc:"Policy of the job: replicas kept running, tasks that end by themselves, or tasks that start all together."`
	Team         structs.TeamID    `yaml:"team" required:"true" pattern:"^/$|^(/[a-z0-9][a-z0-9-]{0,39}){1,8}$" doc:"Path of the team's branch in the settings."`
	Class        structs.ClassName `yaml:"class" pattern:"^[a-z][a-z0-9-]{0,39}$" doc:"Class of the job. Default: the class that the team's settings name."`
	Count        int               `yaml:"count" min:"1" max:"100000" doc:"Number of tasks. Default: 1."`
	Resources    JobResources      `yaml:"resources" required:"true"`
	Constraints  JobConstraints    `yaml:"constraints"`
	PreferRegion structs.Region    `yaml:"prefer_region" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Region of the data or callers."`
	Spread       bool              `yaml:"spread" doc:"Spread the tasks over failure domains."`
	RunTime      settings.Duration `yaml:"run_time" min:"1ms" max:"8760h" doc:"Expected run time of one task."`
	MaxAttempts  int               `yaml:"max_attempts" min:"0" max:"1000000" doc:"Largest number of attempts of a task; 0 is no limit."`
	MinAvailable int               `yaml:"min_available" min:"0" max:"100000" doc:"Number of replicas that planned stops leave running; for services."`
	Window       JobWindow         `yaml:"window"`
	Command      []string          `yaml:"command" doc:"Command and arguments of a task."`
}

// JobResources holds the resources of one task.
type JobResources struct {
	CPU          settings.Cores `yaml:"cpu" required:"true" min:"0.001" max:"10000" doc:"Cores of one task."`
	Memory       settings.Bytes `yaml:"memory" required:"true" min:"1KiB" max:"1024TiB" doc:"Memory of one task."`
	Accelerators int            `yaml:"accelerators" min:"0" max:"10000" doc:"Accelerators of one task."`
}

// JobConstraints limits the workers that a task may run on.
type JobConstraints struct {
	Regions        []structs.Region        `yaml:"regions" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Regions that tasks may run in."`
	FailureDomains []structs.FailureDomain `yaml:"failure_domains" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Failure domains that tasks may run in."`
	Labels         map[string]string       `yaml:"labels" doc:"Labels that a worker must have."`
	ExcludeWorkers []structs.WorkerID      `yaml:"exclude_workers" doc:"Workers that must not run the tasks."`
}

// JobWindow holds the earliest start and the wanted end of a job.
type JobWindow struct {
	NotBefore strictyaml.Instant `yaml:"not_before" doc:"Earliest start."`
	Deadline  strictyaml.Instant `yaml:"deadline" doc:"Wanted end. A late deferrable job still runs."`
}

// DecodeJobs reads a job file, which holds one or more documents of kind Job.
func DecodeJobs(file string, data []byte) ([]structs.Job, error) {
	documents, err := strictyaml.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var jobs []structs.Job
	var problems strictyaml.Problems
	seen := map[structs.JobID]bool{}
	for _, document := range documents {
		var content JobDocument
		report := document.Decode(&content)
		checkKind(report, content.Kind, KindJob)
		content.check(report)
		if seen[content.ID] && content.ID != "" {
			report.Add("id", "give every job its own identifier", "%q appears twice in the file", content.ID)
		}
		seen[content.ID] = true
		problems = append(problems, report.Problems...)
		jobs = append(jobs, content.Job())
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return jobs, nil
}

func (f *JobDocument) check(report *strictyaml.Report) {
	count := max(1, f.Count)
	if f.MinAvailable > 0 && f.Type != "" && f.Type != structs.KindService {
		report.Add("min_available", "remove the field or set type: service", "does not apply to type %s", f.Type)
	}
	if f.MinAvailable > count {
		report.Add("min_available", fmt.Sprintf("use at most %d", count), "%d is more than the count %d", f.MinAvailable, count)
	}
	if f.Window.Deadline != 0 && f.Window.Deadline <= f.Window.NotBefore {
		report.Add("window.deadline", "use a deadline after not_before", "is not after not_before")
	}
	if f.Type == structs.KindService && f.RunTime != 0 {
		report.Add("run_time", "remove the field or use type: batch", "does not apply to type service")
	}
}

// Job returns the job that the document describes. A count of 0 becomes 1.
func (f *JobDocument) Job() structs.Job {
	return structs.Job{
		ID: f.ID, Team: f.Team, Class: f.Class, Kind: f.Type, Count: max(1, f.Count),
		Resources: structs.Resources{
			MilliCPU:     int64(f.Resources.CPU),
			MemoryBytes:  int64(f.Resources.Memory),
			Accelerators: int64(f.Resources.Accelerators),
		},
		Constraint: structs.Constraint{
			Regions:        f.Constraints.Regions,
			FailureDomains: f.Constraints.FailureDomains,
			Labels:         f.Constraints.Labels,
			ExcludeWorkers: f.Constraints.ExcludeWorkers,
		},
		PreferRegion: f.PreferRegion, Spread: f.Spread, RunTime: time.Duration(f.RunTime),
		MaxAttempts: f.MaxAttempts, MinAvailable: f.MinAvailable,
		NotBefore: structs.Timestamp(f.Window.NotBefore), Deadline: structs.Timestamp(f.Window.Deadline),
		Command: f.Command,
	}
}
