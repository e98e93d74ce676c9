package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// QueueKey identifies the queued requests of one team and class.
type QueueKey struct {
	Team  structs.TeamID
	Class structs.ClassName
}

// QueueStat is the state of the queued requests of one team and class.
type QueueStat struct {
	Depth  int
	Oldest time.Duration // age of the oldest request
}

// Stats are values of the present state for metrics.
type Stats struct {
	Queues           map[QueueKey]QueueStat
	SlotsHeld        int // slots for which the instance holds credits
	SlotsUsed        int
	Claiming         int // requests whose claim is being written
	LeavingSlotsUsed int // slots in use at executors that take no new work
}

// Stats returns the values at now.
func (s *State) Stats(now structs.Timestamp) Stats {
	st := Stats{Queues: map[QueueKey]QueueStat{}}
	for _, r := range s.requests {
		switch r.phase {
		case phaseClaiming:
			st.Claiming++
		case phaseQueued:
			key := QueueKey{Team: r.req.Team, Class: r.req.Class}
			q := st.Queues[key]
			q.Depth++
			q.Oldest = max(q.Oldest, now.Sub(r.arrived))
			st.Queues[key] = q
		}
	}
	for _, e := range s.executorList {
		st.SlotsHeld += e.heldSlots
		st.SlotsUsed += e.inflight
		if !e.isLive() {
			st.LeavingSlotsUsed += e.inflight
		}
	}
	return st
}
