package queue

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const (
	million = 1_000_000

	// DefaultFloorPPM is the floor of a class that declares none, so that every
	// class is guaranteed a part of the capacity.
	DefaultFloorPPM = 10_000
	// DefaultAgeing is the ageing period when the configuration has none.
	DefaultAgeing = 10 * time.Minute
	// maxAgeFactor limits ageing: it raises the weight of a class by at most
	// this multiple of the weight.
	maxAgeFactor = 16
	// burstWindow is the averaging period for bursts: a class above its floor
	// still counts as below it while its average usage is below.
	burstWindow = time.Minute
	// maxBurstFactor is the largest usage in a burst, as a multiple of the
	// floor. It keeps half of the other floors free at any time.
	maxBurstFactor = 1.5
	// maxSkippedSubqueues is the number of skipped subqueues after which a class
	// is not served any more in a pass. It limits the unsuccessful placement
	// searches of one pass. The limit is per class, so a class with many
	// subqueues does not end the pass for the others.
	maxSkippedSubqueues = 64
)

// ClassConfig declares one class of work.
type ClassConfig struct {
	Name     structs.ClassName
	Urgency  structs.Urgency
	Weight   int64 // relative share of the capacity above the floors; at least 1
	FloorPPM int64 // guaranteed part of the capacity, in parts per million
	MaxDepth int   // maximum number of pending items; 0 means no limit; ignored for deferrable work
}

// Config declares classes, team weights and the ageing period.
type Config struct {
	Classes     []ClassConfig
	TeamWeights map[structs.TeamID]int64 // teams that are not listed have weight 1
	Ageing      time.Duration            // each period that its oldest item waits adds a class's weight once more
}

// Item is one pending task or gang.
type Item struct {
	ID           structs.TaskID
	Job          structs.JobID
	PlacementKey string // items of a team with the same PlacementKey fit the same workers and share a subqueue; if empty, the items of a job share one
	Team         structs.TeamID
	Class        structs.ClassName
	Resources    structs.Resources
	Enqueued     structs.Timestamp
	NotBefore    structs.Timestamp
	Cost         int64 // in the unit of Queue.SetCapacity
}

func urgencyRank(u structs.Urgency) int {
	switch u {
	case structs.Urgent:
		return 0
	case structs.Normal:
		return 1
	default:
		return 2
	}
}

func (c ClassConfig) withDefaults() ClassConfig {
	c.Weight = max(c.Weight, 1)
	if c.FloorPPM <= 0 {
		c.FloorPPM = DefaultFloorPPM
	}
	return c
}

func (c Config) teamWeight(id structs.TeamID) int64 {
	return max(c.TeamWeights[id], 1)
}
