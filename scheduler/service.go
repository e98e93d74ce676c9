package scheduler

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// replaceReplica adds a new task, with its own identifier, in place of a placed
// replica of a service. The old replica is stopped when that is safe.
func (s *State) replaceReplica(t *task, message string) {
	j := t.job
	if j.Spec.Kind != structs.KindService || t.Phase != phasePlaced || t.Superseded || j.Cancelled {
		return
	}
	s.record(Record{TaskRequeued: &TaskRequeued{Task: t.ID, At: s.now, Replace: true, Message: message}})
	s.trackRolling(j)
}

// trackServicesOn registers the services with replicas on a drained or leaving
// worker, so that rollServices replaces these replicas.
func (s *State) trackServicesOn(w *worker) {
	for _, t := range w.tasks {
		if t.job.Spec.Kind == structs.KindService {
			s.rolling[t.job.Spec.ID] = t.job
		}
	}
}

// trackRolling registers a service for rollServices.
func (s *State) trackRolling(j *job) {
	if j.Spec.Kind == structs.KindService && !j.Cancelled {
		s.rolling[j.Spec.ID] = j
	}
}

// rollServices continues the rolling replacements of services.
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
		if s.rollService(s.rolling[id]) {
			delete(s.rolling, id)
		}
	}
}

// rollService performs one step of the rolling replacement of a service. It
// reports whether the replacement is complete.
func (s *State) rollService(j *job) bool {
	var outdated, superseded []*task
	ready, starting := 0, 0
	oldestStarting := s.now
	for _, t := range j.Tasks {
		switch {
		case t.Phase == phaseEnded:
		case t.Superseded:
			superseded = append(superseded, t)
			if isReady(t) {
				ready++
			}
		case isReady(t):
			ready++
			if s.isOutdated(t) {
				outdated = append(outdated, t)
			}
		default:
			starting++
			oldestStarting = min(oldestStarting, t.Enqueued)
		}
	}
	s.stopReplaced(j, superseded, ready, starting, oldestStarting)
	for _, t := range outdated {
		if starting >= s.policy.MaxSurge {
			break
		}
		starting++
		s.replaceReplica(t, "replaced by a newer generation or because its worker leaves")
	}
	return len(outdated) == 0 && len(superseded) == 0 && starting == 0
}

// isReady reports whether the replica is confirmed to run and is not to be
// stopped.
func isReady(t *task) bool {
	return t.Phase == phasePlaced && t.live != nil && t.live.running && !t.live.unconfirmed && t.live.stopReason == stopNone
}

// isOutdated reports whether a running replica is to be replaced: its
// generation is old, or its worker is drained or leaving.
func (s *State) isOutdated(t *task) bool {
	w := s.workers[t.Worker]
	return t.Generation < t.job.Spec.Generation || s.drained[t.Worker] || w.info.State == structs.Leaving
}

// stopReplaced stops superseded replicas while enough others are ready. It
// keeps Count replicas ready, or only MinAvailable once a new replica has been
// starting for longer than DefaultReplacementTimeout, since it may need the
// capacity of an old one.
func (s *State) stopReplaced(j *job, superseded []*task, ready, starting int, oldestStarting structs.Timestamp) {
	keep := j.Spec.Count
	if starting > 0 && s.now.Sub(oldestStarting) > DefaultReplacementTimeout {
		keep = j.Spec.MinAvailable
		if keep == 0 {
			keep = j.Spec.Count - 1
		}
	}
	for _, t := range superseded {
		switch {
		case t.live.stopReason != stopNone:
		case !isReady(t):
			s.requestStop(t, stopFinal)
		case ready > keep:
			ready--
			s.requestStop(t, stopFinal)
		}
	}
}
