package core

import (
	"hash/fnv"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// ShardForJob returns the shard that a job belongs to. The result depends only on
// the job and on the location and capacity of the workers, so that a job
// submitted again through another instance reaches the same shard.
func (s *State) ShardForJob(job *structs.Job) (structs.ShardID, error) {
	if len(s.cellShards) == 0 {
		return "", errs.New(errs.NotRun, "try again when the platform's directory is available again",
			"the workers of the cell are not known yet")
	}
	if region := s.requestedRegion(job); region != "" {
		return s.shardForRegion(region)
	}
	candidates := s.shardsThatFit(job.Resources)
	if len(candidates) == 0 {
		// The job stays pending in some shard, where "job explain" reports why
		// it cannot run.
		candidates = s.cellShardIDs()
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(job.ID))
	return candidates[hash.Sum64()%uint64(len(candidates))], nil
}

// requestedRegion returns the region that the job requires or prefers, or "".
func (s *State) requestedRegion(job *structs.Job) structs.Region {
	if len(job.Constraint.Regions) > 0 {
		return job.Constraint.Regions[0]
	}
	if job.PreferRegion != "" {
		return job.PreferRegion
	}
	if len(job.Constraint.FailureDomains) == 0 {
		return ""
	}
	for _, worker := range s.directory.Workers {
		if worker.Location.FailureDomain == job.Constraint.FailureDomains[0] {
			return worker.Location.Region
		}
	}
	return ""
}

func (s *State) shardForRegion(region structs.Region) (structs.ShardID, error) {
	for _, listed := range s.cellShards {
		if listed.Region == region {
			return listed.ID, nil
		}
	}
	return "", errs.New(errs.InvalidInput, "use a region that has workers", "region %q has no workers", region)
}

func (s *State) cellShardIDs() []structs.ShardID {
	ids := make([]structs.ShardID, len(s.cellShards))
	for i, listed := range s.cellShards {
		ids[i] = listed.ID
	}
	return ids
}

// shardsThatFit returns the shards that have a worker whose total capacity is
// large enough for one task.
func (s *State) shardsThatFit(need structs.Resources) []structs.ShardID {
	var ids []structs.ShardID
	for _, listed := range s.cellShards {
		for _, worker := range s.directory.Workers {
			if worker.Location.Region == listed.Region && need.Fits(worker.Capacity) {
				ids = append(ids, listed.ID)
				break
			}
		}
	}
	return ids
}

// applyTeamDefaults fills in the unset fields of a job from the settings of its
// team. A repeated submission keeps the start time assigned to the first one.
func (s *State) applyTeamDefaults(now structs.Timestamp, sh *shard, job structs.Job) (structs.Job, error) {
	if s.tree == nil {
		return job, errs.New(errs.NotRun, "try again in a few seconds", "no settings are in force yet")
	}
	effective, err := s.tree.Resolve(job.Team)
	if err != nil {
		return job, errs.Wrap(err, errs.InvalidInput, "use a team that the settings contain", "job %q", job.ID)
	}
	if known, ok := sh.scheduler.Job(job.ID); ok && job.NotBefore == 0 {
		job.NotBefore = known.Job.NotBefore
	}
	return withDefaults(now, job, effective), nil
}

func withDefaults(now structs.Timestamp, job structs.Job, effective settings.Effective) structs.Job {
	if job.Class == "" {
		job.Class = effective.Class
	}
	if job.MaxAttempts == 0 {
		job.MaxAttempts = effective.TaskAttempts
	}
	if job.Kind == structs.KindService {
		job.Spread = job.Spread || effective.Spread
		if job.MinAvailable == 0 {
			job.MinAvailable = int(effective.MinAvailable * float64(job.Count))
		}
	}
	if job.Kind == structs.KindBatch && job.NotBefore == 0 && !effective.BatchWindow.Contains(now) {
		job.NotBefore = effective.BatchWindow.Next(now)
	}
	return job
}
