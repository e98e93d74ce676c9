package scheduler

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// replace gives a running replica of a service a successor with its own
// identifier. The old replica is stopped when that is safe.
func (s *State) replace(t *task, message string) {
	j := t.job
	if j.Spec.Kind != structs.KindService || t.Phase != phasePlaced || t.Superseded || j.Cancelled {
		return
	}
	s.record(Record{TaskRequeued: &TaskRequeued{Task: t.ID, At: s.now, Replace: true, Message: message}})
	s.trackRolling(j)
}

// moveReplicas marks services on a worker that is drained or leaving for
// replacement; rollServices does it step by step.
func (s *State) moveReplicas(w *worker) {
	for _, t := range w.tasks {
		if t.job.Spec.Kind == structs.KindService {
			s.rolling[t.job.Spec.ID] = t.job
		}
	}
}

// trackRolling puts a service on the list of those that rollServices looks at.
func (s *State) trackRolling(j *job) {
	if j.Spec.Kind == structs.KindService && !j.Cancelled {
		s.rolling[j.Spec.ID] = j
	}
}

// rollServices continues rolling replacements and drains.
func (s *State) rollServices() {
	if len(s.rolling) == 0 || s.stalled() {
		return
	}
	ids := make([]structs.JobID, 0, len(s.rolling))
	for id := range s.rolling {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if s.roll(s.rolling[id]) {
			delete(s.rolling, id)
		}
	}
}

// roll makes one step for a service and reports whether nothing is left.
func (s *State) roll(j *job) bool {
	var old, leaving []*task
	ready, coming := 0, 0
	waitingSince := s.now
	for _, t := range j.Tasks {
		switch {
		case t.Phase == phaseEnded:
		case t.Superseded:
			leaving = append(leaving, t)
			if isReady(t) {
				ready++
			}
		case isReady(t):
			ready++
			if s.isOutdated(t) {
				old = append(old, t)
			}
		default:
			coming++
			waitingSince = min(waitingSince, t.Enqueued)
		}
	}
	s.stopReplaced(j, leaving, ready, coming, waitingSince)
	for _, t := range old {
		if coming >= s.policy.ReplaceSurge {
			break
		}
		coming++
		s.replace(t, "replaced by a newer generation or because its worker leaves")
	}
	return len(old) == 0 && len(leaving) == 0 && coming == 0
}

// isReady reports whether the replica serves.
func isReady(t *task) bool {
	return t.Phase == phasePlaced && t.live != nil && t.live.running && !t.live.unknown && t.live.stop == stopNone
}

// isOutdated reports whether a replica that runs is to be replaced.
func (s *State) isOutdated(t *task) bool {
	w := s.workers[t.Worker]
	return t.Generation < t.job.Spec.Generation || s.drained[t.Worker] || w.info.State == structs.Leaving
}

// stopReplaced stops superseded replicas. At least MinAvailable replicas keep
// serving, and as many as the service wants as long as successors find a place
// soon: only if one waits for long is an old replica stopped before it.
func (s *State) stopReplaced(j *job, leaving []*task, ready, coming int, waitingSince structs.Timestamp) {
	keep := j.Spec.Count
	if coming > 0 && s.now.Sub(waitingSince) > DefaultServiceReplan {
		keep = j.Spec.MinAvailable
		if keep == 0 {
			keep = j.Spec.Count - 1
		}
	}
	for _, t := range leaving {
		switch {
		case t.live.stop != stopNone:
		case !isReady(t):
			s.stop(t, stopEnd)
		case ready > keep:
			ready--
			s.stop(t, stopEnd)
		}
	}
}
