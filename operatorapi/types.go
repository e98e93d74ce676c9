package operatorapi

import (
	"time"

	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// SecretHeader carries the operators' shared secret.
const SecretHeader = "Mangodrum-Secret"

// VersionInfo is the response to GET /v1/version.
type VersionInfo struct {
	Version         string             `json:"version"`
	Revision        string             `json:"revision,omitempty"`
	Go              string             `json:"go"`
	Instance        structs.InstanceID `json:"instance"`
	SettingsVersion uint64             `json:"settings_version"`
}

// SettingsQuery selects what GET /v1/settings returns.
type SettingsQuery struct {
	Version uint64         // 0: the version in force at the instance
	Path    structs.TeamID // "": the whole tree
}

// SettingsResponse is the response to GET /v1/settings. If the query has a path,
// Fields holds the branch's effective settings and YAML is empty.
type SettingsResponse struct {
	Version settings.Version         `json:"version"`
	YAML    string                   `json:"yaml,omitempty"`
	Path    structs.TeamID           `json:"path,omitempty"`
	Fields  []settings.ResolvedField `json:"fields,omitempty"`
}

// ApplyRequest is the body of POST /v1/settings.
type ApplyRequest struct {
	BaseVersion uint64 `json:"base"` // version that the change is based on
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	ChangeID    string `json:"change_id"` // unique per change; a retry of the request repeats it
	YAML        string `json:"yaml,omitempty"`
	RollbackTo  uint64 `json:"rollback_to,omitempty"` // version to restore, instead of YAML
	DryRun      bool   `json:"dry_run,omitempty"`
}

// ApplyResponse is the response to POST /v1/settings. With DryRun, Version.Number
// is the number that the change would get.
type ApplyResponse struct {
	Version settings.Version `json:"version"`
	Impact  settings.Impact  `json:"impact"`
	DryRun  bool             `json:"dry_run,omitempty"`
}

// HistoryQuery pages through GET /v1/settings/history, newest first.
type HistoryQuery struct {
	BeforeVersion uint64 // only versions below this one; 0: from the newest
	Limit         int
}

// HistoryResponse is the response to GET /v1/settings/history.
type HistoryResponse struct {
	Versions []settings.Version `json:"versions"`
}

// InstanceSettings is the settings version in force at an instance.
type InstanceSettings struct {
	Instance   structs.InstanceID `json:"instance"`
	Version    uint64             `json:"version"`
	Health     InstanceHealth     `json:"status"`
	ReportedAt structs.Timestamp  `json:"at"` // when the version was reported
}

// SettingsStatus is the response to GET /v1/settings/status.
type SettingsStatus struct {
	LatestKnownVersion uint64             `json:"head"` // highest version known to the responding instance
	Instances          []InstanceSettings `json:"instances"`
}

// InstanceHealth is the state of an instance as its peers see it.
type InstanceHealth string

// Values of InstanceHealth.
const (
	InstanceLive    InstanceHealth = "live"
	InstanceSuspect InstanceHealth = "suspect"
	InstanceDead    InstanceHealth = "dead"
	InstanceLeaving InstanceHealth = "leaving"
)

// JobQuery filters GET /v1/jobs. Empty fields match everything.
type JobQuery struct {
	Team       structs.TeamID // also matches the teams below it
	Class      structs.ClassName
	ActiveOnly bool // only jobs with tasks that have not ended
	After      structs.JobID
	Limit      int
}

// TaskCounts counts the tasks of a job by state.
type TaskCounts struct {
	Pending   int `json:"pending"`
	Running   int `json:"running"` // starting, running or stopping
	Unknown   int `json:"unknown"`
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Add adds a task in the given state.
func (c *TaskCounts) Add(state structs.TaskState) {
	switch state {
	case structs.TaskPending:
		c.Pending++
	case structs.TaskStarting, structs.TaskRunning, structs.TaskStopping:
		c.Running++
	case structs.TaskUnknown:
		c.Unknown++
	case structs.TaskSucceeded:
		c.Succeeded++
	case structs.TaskFailed:
		c.Failed++
	case structs.TaskCancelled:
		c.Cancelled++
	}
}

// JobStatus is a job with the shard that owns it and its progress.
type JobStatus struct {
	Job       structs.Job     `json:"job"`
	Shard     structs.ShardID `json:"shard"`
	Tasks     TaskCounts      `json:"tasks"`
	Cancelled bool            `json:"cancelled,omitempty"`
}

// JobList is the response to GET /v1/jobs, sorted by identifier.
type JobList struct {
	Jobs []JobStatus   `json:"jobs"`
	Next structs.JobID `json:"next,omitempty"` // JobQuery.After for the next page; "" on the last page
}

// JobDetail is the response to GET /v1/jobs/{id}.
type JobDetail struct {
	JobStatus
	TaskList []structs.Task `json:"task_list"`
}

// ReasonCount is the number of workers that a pending task cannot use for one
// reason.
type ReasonCount struct {
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
}

// JobExplanation is the response to GET /v1/jobs/{id}/explain.
type JobExplanation struct {
	Job         structs.JobID     `json:"job"`
	State       string            `json:"state"`   // progress of the job, for example the number of pending tasks
	Summary     string            `json:"summary"` // one sentence
	Remedy      string            `json:"remedy,omitempty"`
	Task        structs.TaskID    `json:"task,omitempty"` // the task that the reasons are about
	Reasons     []ReasonCount     `json:"reasons,omitempty"`
	LargestFree structs.Resources `json:"largest_free"`
	Queue       *QueueStatus      `json:"queue,omitempty"`
}

// WorkerStatus is a worker as its shard's owner sees it.
type WorkerStatus struct {
	Worker           structs.Worker    `json:"worker"`
	Shard            structs.ShardID   `json:"shard"`
	Reserved         structs.Resources `json:"reserved"`
	Used             structs.Resources `json:"used"` // by the worker's latest report, which lags behind
	Tasks            int               `json:"tasks"`
	Unconfirmed      int               `json:"unconfirmed"` // tasks that may be running but are not confirmed
	Draining         bool              `json:"draining,omitempty"`
	Quarantined      bool              `json:"quarantined,omitempty"`
	QuarantineReason string            `json:"reason,omitempty"` // why it is quarantined
	Unreachable      bool              `json:"unreachable,omitempty"`
	UnreachableSince structs.Timestamp `json:"down_since,omitempty"` // since when the worker does not answer
	ReportedAt       structs.Timestamp `json:"reported_at"`
}

// WorkerList is the response to GET /v1/workers, sorted by identifier.
type WorkerList struct {
	Workers []WorkerStatus `json:"workers"`
}

// InstanceStatus is an instance as the responding instance sees it.
type InstanceStatus struct {
	Info             structs.InstanceInfo `json:"info"`
	Health           InstanceHealth       `json:"health"`
	Incarnation      uint64               `json:"incarnation"`
	SettingsVersion  uint64               `json:"settings_version"`
	Shards           []structs.ShardID    `json:"shards,omitempty"` // owned
	RequestsInFlight int                  `json:"in_flight"`        // requests
	Self             bool                 `json:"self,omitempty"`
	Draining         bool                 `json:"draining,omitempty"`
	Store            StoreState           `json:"store"` // as the instance reports it
}

// StoreState is the state of the platform's store as an instance reports it.
type StoreState string

// Values of StoreState.
const (
	StoreReachable   StoreState = "reachable"
	StoreUnreachable StoreState = "unreachable"
	StoreUnknown     StoreState = "unknown" // the instance has not reported
)

// InstanceList is the response to GET /v1/instances, sorted by identifier.
type InstanceList struct {
	Instances []InstanceStatus `json:"instances"`
}

// QueueStatus is the queue of one team and class at a shard.
type QueueStatus struct {
	Shard     structs.ShardID   `json:"shard"`
	Team      structs.TeamID    `json:"team"`
	Class     structs.ClassName `json:"class"`
	Depth     int               `json:"depth"`
	OldestAge time.Duration     `json:"oldest_age_ns"`
	Share     float64           `json:"share"`
	Floor     float64           `json:"floor"`
}

// ClassWaitTimes holds percentiles of the time from acceptance to start of the
// tasks of a class, over the tasks that started in the last 5 to 10 minutes.
type ClassWaitTimes struct {
	Class structs.ClassName `json:"class"`
	P50   time.Duration     `json:"p50_ns"`
	P99   time.Duration     `json:"p99_ns"`
	Count uint64            `json:"count"`
}

// StoreHealth is the state of the platform's store as an instance sees it.
type StoreHealth struct {
	Reachable      bool              `json:"reachable"`
	LastError      string            `json:"last_error,omitempty"`
	Since          structs.Timestamp `json:"since"`   // start of this state
	PendingRecords int               `json:"pending"` // journal records of the responding instance that are not written yet
}

// QueueList is the response to GET /v1/queues.
type QueueList struct {
	Queues  []QueueStatus    `json:"queues"`
	Classes []ClassWaitTimes `json:"classes"`
	Store   StoreHealth      `json:"store"`
}

// WorkerAction is an operation on a worker, and the last element of its URL
// path.
type WorkerAction string

// Values of WorkerAction.
const (
	WorkerDrain          WorkerAction = "drain"           // start no more tasks and move running tasks away gracefully
	WorkerUndrain        WorkerAction = "undrain"         // use the worker again
	WorkerConfirmStopped WorkerAction = "confirm-stopped" // the operator states that the worker runs nothing
)
