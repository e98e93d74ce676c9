package scheduler

import (
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

// Defaults of a Policy.
const (
	DefaultLease              = 30 * time.Second
	DefaultStartWindow        = 5 * time.Second
	DefaultRetention          = time.Hour
	DefaultReserveAfter       = 10 * time.Second
	DefaultPreemptionMinWait  = time.Second
	DefaultCheckpointWait     = 2 * time.Second
	DefaultMaxSurge           = 1
	DefaultReplacementTimeout = 10 * time.Second
)

// ClassPolicy declares one class of work.
type ClassPolicy struct {
	Name     structs.ClassName
	Urgency  structs.Urgency
	Weight   int64 // share of the capacity above the floors
	FloorPPM int64 // guaranteed part of the shard's capacity in parts per million
	MaxDepth int   // limit of pending tasks; 0 means unbounded; ignored for deferrable work
}

// TeamPolicy is a team's quota in this shard.
type TeamPolicy struct {
	Parent             structs.TeamID // team whose limits also apply; empty for none
	Guaranteed         structs.Resources
	BorrowLimit        structs.Resources // what it may use above Guaranteed while it is idle
	UnlimitedBorrowing bool              // it may borrow any idle capacity; BorrowLimit is ignored
	Weight             int64
}

// ReservationPolicy holds the options of reservations for gangs and other work
// that finds no place.
type ReservationPolicy struct {
	// ReserveAfter is how long a task or gang waits without a place before
	// workers are kept free for it. Other tasks are backfilled on them
	// meanwhile.
	ReserveAfter time.Duration
}

// PreemptionPolicy holds the options of preemption by urgent work.
type PreemptionPolicy struct {
	Disabled       bool
	MinWait        time.Duration // how long an urgent task waits before it preempts
	CheckpointWait time.Duration // time to write a checkpoint before the stop
}

// Policy holds the settings of the scheduler.
type Policy struct {
	Classes      []ClassPolicy
	Teams        map[structs.TeamID]TeamPolicy
	Lease        time.Duration // granted to a task at a time
	StartWindow  time.Duration // from the decision to the not-after time of a start
	Ageing       time.Duration // the weight of a class grows by its configured value for each such period that its oldest task waits
	Retention    time.Duration // how long an ended job is kept
	AffinityCost int64         // percentage by which the score of a worker outside the preferred region is reduced
	MaxSurge     int           // number of replicas of a service replaced at a time
	Reservation  ReservationPolicy
	Preemption   PreemptionPolicy
}

// Config holds the initial parameters of a State.
type Config struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Policy Policy
	// Horizon is the durable lease horizon of this epoch; no lease end is
	// granted past it. It is raised by HorizonExtended.
	Horizon structs.Timestamp
	// PreviousHorizon is the lease horizon of the previous owner. Tasks that
	// it placed may run until then unless their workers report otherwise.
	PreviousHorizon structs.Timestamp
}

// withDefaults returns the policy with defaults for unset options.
func (p Policy) withDefaults() Policy {
	setDefault(&p.Lease, DefaultLease)
	setDefault(&p.StartWindow, DefaultStartWindow)
	setDefault(&p.Retention, DefaultRetention)
	setDefault(&p.Reservation.ReserveAfter, DefaultReserveAfter)
	setDefault(&p.Preemption.MinWait, DefaultPreemptionMinWait)
	setDefault(&p.Preemption.CheckpointWait, DefaultCheckpointWait)
	if p.MaxSurge <= 0 {
		p.MaxSurge = DefaultMaxSurge
	}
	return p
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func (p Policy) class(name structs.ClassName) (ClassPolicy, bool) {
	for _, c := range p.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return ClassPolicy{}, false
}

func (p Policy) queueConfig() queue.Config {
	cfg := queue.Config{TeamWeights: map[structs.TeamID]int64{}, Ageing: p.Ageing}
	for _, c := range p.Classes {
		cfg.Classes = append(cfg.Classes, queue.ClassConfig{
			Name: c.Name, Urgency: c.Urgency, Weight: c.Weight, FloorPPM: c.FloorPPM, MaxDepth: c.MaxDepth,
		})
	}
	for id, t := range p.Teams {
		cfg.TeamWeights[id] = t.Weight
	}
	return cfg
}

// request returns the placement request for one task of the job.
func (s *State) request(j *job) placement.Request {
	req := placement.Request{
		Resources:    j.need(),
		Constraint:   j.Spec.Constraint,
		PreferRegion: j.Spec.PreferRegion,
		AffinityCost: s.policy.AffinityCost,
		SpreadKey:    j.spreadKey(),
	}
	if len(j.health.failedWorkers) > 0 {
		req.Constraint.ExcludeWorkers = j.health.excluded
	}
	return req
}
