package settings

import (
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/structs"
)

// Types of values in settings files.
type (
	// Duration is a length of time with a unit, for example "6s".
	Duration = strictyaml.Duration
	// Bytes is a size with a unit, for example "4GiB".
	Bytes = strictyaml.Bytes
	// Fraction is a number from 0 to 1.
	Fraction = strictyaml.Fraction
	// Cores is an amount of CPU in thousandths of a core, written in cores.
	Cores = strictyaml.Cores
	// TimeOfDay is a time of day in UTC, for example "22:30".
	TimeOfDay = strictyaml.TimeOfDay
)

// Kind is the value of the field "kind" in the header of settings files.
const Kind = "Settings"

// File is the content of a settings file.
type File struct {
	strictyaml.Header
	Tree
}

// Tree is the whole settings tree. Trees are immutable after decoding; Apply
// returns a new one.
type Tree struct {
	Cell     Cell     `yaml:"cell"`
	Classes  []Class  `yaml:"classes" required:"true" doc:"Classes of work."`
	Branches []Branch `yaml:"branches" required:"true" doc:"Branches by path; \"/\" is the root."`
}

// Cell holds the settings of the whole cell.
type Cell struct {
	ShardsPerRegion *int      `yaml:"shards_per_region" min:"1" max:"1" doc:"Number of shards that the failure domains of a region are divided into. Only 1 is built so far."`
	AgeingPeriod    *Duration `yaml:"ageing_period" min:"1s" max:"24h" doc:"Waiting time after which pending work ranks one step higher in its queue."`
}

// Class is a class of work.
type Class struct {
	Name            structs.ClassName `yaml:"name" required:"true" pattern:"^[a-z][a-z0-9-]{0,39}$" doc:"Name of the class."`
	Urgency         structs.Urgency   `yaml:"urgency" required:"true" oneof:"urgent normal deferrable" doc:"What may happen to late work. Only urgent requests are dropped when their deadline cannot be met; deferrable work is kept until it runs."`
	Weight          int               `yaml:"weight" required:"true" min:"1" max:"10000" doc:"Share of the class relative to the other classes."`
	Floor           *Fraction         `yaml:"floor" doc:"Fraction of the capacity guaranteed to the class. The floors of all classes sum to at most 1."`
	QueueLimit      *int              `yaml:"queue_limit" min:"1" max:"10000000" doc:"Largest number of requests of the class that wait at one instance."`
	DefaultDeadline *Duration         `yaml:"default_deadline" min:"1ms" max:"168h" doc:"Deadline of requests that name none."`
}

// Branch is one branch of the tree.
type Branch struct {
	Path      structs.TeamID `yaml:"path" required:"true" pattern:"^/$|^(/[a-z0-9][a-z0-9-]{0,39}){1,8}$" doc:"Path of the branch, for example /bureau/dispatch."`
	Overrides Overrides      `yaml:"set"`

	digest string // hash of the encoded branch; set in trees returned by Decode and Apply
}

// Overrides holds the fields that a branch overrides. A nil field is inherited.
type Overrides struct {
	Class             *structs.ClassName `yaml:"class" pattern:"^[a-z][a-z0-9-]{0,39}$" doc:"Class of jobs that name none. Requests that name none get the first class of normal urgency."`
	Weight            *int               `yaml:"weight" min:"1" max:"10000" doc:"Share of the team relative to the other teams of its class."`
	Deadline          *Duration          `yaml:"deadline" min:"1ms" max:"168h" doc:"Deadline of requests that name none; takes precedence over the class's. Kept and not in effect yet. The default deadline of the class applies."`
	CrossRegionCostMS *int               `yaml:"cross_region_cost_ms" min:"0" max:"600000" doc:"Expected wait in milliseconds above which a request goes to another region; stands for the bill of cross-region traffic. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
	Quota             Quota              `yaml:"quota"`
	Requests          Requests           `yaml:"requests"`
	Retry             Retry              `yaml:"retry"`
	Placement         Placement          `yaml:"placement"`
	Service           Service            `yaml:"service"`
	Batch             Batch              `yaml:"batch"`
	Gang              Gang               `yaml:"gang"`
	Lease             Lease              `yaml:"lease"`
}

// Quota limits the resources of the tasks of a team and of the teams below it.
type Quota struct {
	Guaranteed Amounts `yaml:"guaranteed"`
	Borrow     Amounts `yaml:"borrow"`
}

// Amounts holds an amount of each resource. Guaranteed amounts that a branch does
// not set are zero rather than inherited, so that teams do not share a guarantee
// by accident; borrow limits are inherited.
type Amounts struct {
	CPU          *Cores `yaml:"cpu" doc:"Cores."`
	Memory       *Bytes `yaml:"memory" max:"1024TiB" doc:"Memory."`
	Accelerators *int   `yaml:"accelerators" min:"0" max:"1000000" doc:"Accelerators."`
}

// Requests limits the requests of a team at one instance.
type Requests struct {
	Concurrency *int      `yaml:"concurrency" min:"1" max:"1000000" doc:"Largest number of requests in flight at one instance. Kept and not in effect yet."`
	QueueLimit  *int      `yaml:"queue_limit" min:"0" max:"1000000" doc:"Largest number of requests of a team that wait at one instance. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
	MaxBody     *Bytes    `yaml:"max_body" min:"1KiB" max:"1GiB" doc:"Largest request body. Kept and not in effect yet. The instance file bounds bodies."`
	Timeout     *Duration `yaml:"timeout" min:"1ms" max:"24h" doc:"Longest time that one attempt of a request runs. Kept and not in effect yet."`
}

// Retry limits retries.
type Retry struct {
	Budget       *Fraction `yaml:"budget" doc:"Retries as a fraction of the requests. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
	Attempts     *int      `yaml:"attempts" min:"1" max:"10" doc:"Largest number of attempts of one request. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
	Backoff      *Duration `yaml:"backoff" min:"1ms" max:"1m" doc:"Mean delay before the first retry; doubles with every further one. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
	TaskAttempts *int      `yaml:"task_attempts" min:"0" max:"1000000" doc:"Largest number of attempts of a task whose job names none; 0 is no limit."`
}

// Placement configures the choice of workers for tasks.
type Placement struct {
	AffinityCost *Fraction `yaml:"affinity_cost" doc:"Fraction of a worker's score given up before a region other than the preferred one is chosen. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
	Spread       *bool     `yaml:"spread" doc:"Spread the tasks of a job over failure domains."`
}

// Service is the policy for jobs of kind service.
type Service struct {
	MinAvailable *Fraction `yaml:"min_available" doc:"Fraction of the replicas that planned stops leave running."`
}

// Batch is the policy for jobs of kind batch.
type Batch struct {
	WindowStart *TimeOfDay `yaml:"window_start" doc:"Time of day at which batch tasks may start. Equal to window_end: at any time."`
	WindowEnd   *TimeOfDay `yaml:"window_end" doc:"Time of day after which no batch task starts."`
}

// Gang is the policy for jobs of kind gang.
type Gang struct {
	Reservation *Duration `yaml:"reservation" min:"0s" max:"24h" doc:"Longest time that free resources are kept for a gang that does not fit yet. Kept and not in effect yet."`
}

// Lease is the policy for task leases.
type Lease struct {
	Task *Duration `yaml:"task" min:"10s" max:"75m" doc:"Length of a task lease between renewals. In effect for the whole cell when set at the root; values of other branches are kept and not in effect yet."`
}
