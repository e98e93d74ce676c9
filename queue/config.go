package queue

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const (
	million = 1_000_000

	// DefaultFloorPPM is the floor of a class that declares none: every class
	// keeps a guaranteed part of the fleet.
	DefaultFloorPPM = 10_000
	// DefaultAgeing is the ageing period when the configuration has none.
	DefaultAgeing = 10 * time.Minute
	// maxAgeFactor bounds how far ageing raises the weight of a class.
	maxAgeFactor = 16
	// burstWindow is the time over which the usage of a class may be above its
	// floor and still go first, if the average is below.
	burstWindow = time.Minute
	// burstFactor bounds such a burst; it keeps half of the other floors free
	// at any time.
	burstFactor = 1.5
	// maxSkips bounds the lines of a class set aside in one pass, and with them
	// the searches without result that one pass can cost. The bound is per
	// class, so a class with many lines does not end the pass for the others.
	maxSkips = 64
)

// ClassConfig declares one class of work.
type ClassConfig struct {
	Name     structs.ClassName
	Urgency  structs.Urgency
	Weight   int64 // share above the floors; at least 1
	FloorPPM int64 // guaranteed part of the capacity in parts per million
	MaxDepth int   // pending items; 0 means unbounded; ignored for deferrable work
}

// Config declares classes, team weights and the ageing period.
type Config struct {
	Classes     []ClassConfig
	TeamWeights map[structs.TeamID]int64 // 1 for teams that are not listed
	Ageing      time.Duration            // a class gains its weight again for each period its oldest item waits
}

// Item is one unit of pending work: a task or a whole gang.
type Item struct {
	ID        structs.TaskID
	Job       structs.JobID
	Line      string // items of a team with equal, non-empty lines fit the same places; otherwise the items of a job form a line
	Team      structs.TeamID
	Class     structs.ClassName
	Resources structs.Resources
	Enqueued  structs.Timestamp
	NotBefore structs.Timestamp
	Cost      int64 // in the unit of SetCapacity
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

func (c ClassConfig) normalised() ClassConfig {
	c.Weight = max(c.Weight, 1)
	if c.FloorPPM <= 0 {
		c.FloorPPM = DefaultFloorPPM
	}
	return c
}

func (c Config) teamWeight(id structs.TeamID) int64 {
	return max(c.TeamWeights[id], 1)
}
