package queue

import (
	"maps"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

func (q *Queue) oldestByTeam() map[*team]structs.Timestamp {
	oldest := map[*team]structs.Timestamp{}
	for _, e := range q.items {
		t := e.subqueue.team
		if at, ok := oldest[t]; !ok || e.item.Enqueued.Before(at) {
			oldest[t] = e.item.Enqueued
		}
	}
	return oldest
}

func (q *Queue) classStats(c *class, oldest map[*team]structs.Timestamp, now structs.Timestamp) []Stat {
	out := []Stat{{Class: c.cfg.Name, Depth: c.depth, SharePPM: q.sharePPM(c.usage), FloorPPM: c.cfg.FloorPPM}}
	for _, id := range slices.Sorted(maps.Keys(c.teams)) {
		t := c.teams[id]
		if t.depth == 0 && t.usage == 0 {
			continue
		}
		var age time.Duration
		if at, ok := oldest[t]; ok {
			age = max(now.Sub(at), 0)
		}
		out[0].OldestAge = max(out[0].OldestAge, age)
		out = append(out, Stat{
			Class: c.cfg.Name, Team: id, Depth: t.depth, OldestAge: age,
			SharePPM: q.sharePPM(t.usage), FloorPPM: c.cfg.FloorPPM,
		})
	}
	return out
}

func (q *Queue) sharePPM(usage int64) int64 {
	return int64(float64(usage) * million / float64(q.capacity))
}
