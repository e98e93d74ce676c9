package core

import (
	"hash/fnv"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// HomeShard returns the shard that a job belongs to. It depends on the job
// and on the workers' capacities only, so that a job that is submitted again
// through another instance reaches the same shard.
func (s *State) HomeShard(job *structs.Job) (structs.ShardID, error) {
	if len(s.shardSet) == 0 {
		return "", errs.New(errs.NotRun, "try again when the platform's directory is back",
			"the workers of the cell are not known yet")
	}
	if region := s.namedRegion(job); region != "" {
		return s.shardOf(region)
	}
	candidates := s.shardsThatFit(job.Resources)
	if len(candidates) == 0 {
		// Kept as pending in a shard, where job explain tells why it cannot run.
		candidates = s.shardSetIDs()
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(job.ID))
	return candidates[hash.Sum64()%uint64(len(candidates))], nil
}

func (s *State) namedRegion(job *structs.Job) structs.Region {
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

func (s *State) shardOf(region structs.Region) (structs.ShardID, error) {
	for _, x := range s.shardSet {
		if x.Region == region {
			return x.ID, nil
		}
	}
	return "", errs.New(errs.InvalidInput, "name a region that has workers", "region %q has no workers", region)
}

func (s *State) shardSetIDs() []structs.ShardID {
	ids := make([]structs.ShardID, len(s.shardSet))
	for i, x := range s.shardSet {
		ids[i] = x.ID
	}
	return ids
}

// shardsThatFit returns the shards with a worker that is large enough for one
// task when it is empty.
func (s *State) shardsThatFit(need structs.Resources) []structs.ShardID {
	var ids []structs.ShardID
	for _, x := range s.shardSet {
		for _, worker := range s.directory.Workers {
			if worker.Location.Region == x.Region && need.Fits(worker.Capacity) {
				ids = append(ids, x.ID)
				break
			}
		}
	}
	return ids
}

// prepare fills the fields that a job leaves to the settings of its team. A
// repeated submission keeps the start time that the first one was given.
func (s *State) prepare(now structs.Timestamp, x *shard, job structs.Job) (structs.Job, error) {
	if s.tree == nil {
		return job, errs.New(errs.NotRun, "try again in a few seconds", "no settings are in force yet")
	}
	effective, err := s.tree.Resolve(job.Team)
	if err != nil {
		return job, errs.Wrap(err, errs.InvalidInput, "name a team of the settings", "job %q", job.ID)
	}
	if known, ok := x.scheduler.Job(job.ID); ok && job.NotBefore == 0 {
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
