package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// NoPreviousLeader is the lastCommit of a cell that starts for the first time.
const NoPreviousLeader = structs.Timestamp(math.MinInt64 / 2)

// Recover builds the state of a new leader from the stored rows. lastCommit
// is when the previous leader last proved its leadership; its leases end at
// the latest a horizon after that.
func (c *Cell) Recover(rows []tablestore.Row, lastCommit structs.Timestamp) error {
	specs := map[string]jobRow{}
	var progress []tablestore.Row
	for _, row := range rows {
		switch {
		case row.Table == JobTable:
			var spec jobRow
			if err := cbor.Unmarshal(row.Value, &spec); err != nil {
				return errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "decode job %s", row.Key)
			}
			specs[row.Key] = spec
		case row.Table == ProgressTable:
			progress = append(progress, row)
		}
	}
	for _, row := range progress {
		if err := c.recoverJob(row, specs); err != nil {
			return err
		}
		delete(specs, row.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(specs)) {
		c.recoverAccepted(specs[key]) // nothing has happened to it yet
	}
	horizon := time.Duration(float64(c.policy.Horizon)/slowClock) + leaseMargin
	c.oldLeasesEnd = lastCommit.Add(horizon)
	for _, row := range rows {
		if row.Table == CellTable && row.Key == WorkersKey {
			return c.recoverWorkers(row)
		}
	}
	return nil
}

func (c *Cell) recoverJob(row tablestore.Row, specs map[string]jobRow) error {
	var stored progressRow
	if err := cbor.Unmarshal(row.Value, &stored); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "decode the progress of job %s", row.Key)
	}
	spec, hasSpec := specs[row.Key]
	if !hasSpec {
		spec.Spec.ID = structs.JobID(row.Key)
	}
	j := c.newJob(spec.Spec, spec.Queue, spec.Accepted)
	j.durable, j.recovered, j.started = true, true, stored.Started
	j.state, j.endedAt, j.dropSpec = stored.State, stored.EndedAt, !hasSpec
	c.jobs[j.spec.ID] = j
	if !j.active() {
		j.visible = visibleState(j)
		c.ended = append(c.ended, j)
		return nil
	}
	j.nextDue = max(j.nextDue, stored.Next)
	for _, run := range stored.Runs {
		occ := j.occurrence(run.Index)
		if occ == nil {
			occ = c.addOccurrence(j, run.Index, c.now)
		}
		occ.restore(run)
	}
	for _, occ := range j.runs {
		c.queueReady(occ)
	}
	return nil
}

// recoverAccepted takes over a job without stored progress.
func (c *Cell) recoverAccepted(spec jobRow) {
	j := c.newJob(spec.Spec, spec.Queue, spec.Accepted)
	j.durable, j.recovered = true, true
	c.jobs[j.spec.ID] = j
	for _, occ := range j.runs {
		c.queueReady(occ)
	}
}

// restore applies the stored progress of an occurrence.
func (o *occurrence) restore(run runRow) {
	for n, stored := range run.Steps {
		if n >= len(o.steps) {
			return
		}
		s := o.steps[n]
		s.checkpoint = stored.Checkpoint
		for i, t := range s.tasks {
			if i/8 < len(stored.Done) && stored.Done[i/8]&(1<<(i%8)) != 0 {
				t.state = taskDone
				s.left--
				s.idle--
			}
		}
		for _, kept := range stored.Tasks {
			if kept.Index < len(s.tasks) {
				t := s.tasks[kept.Index]
				t.failedRuns, t.checkpoint = kept.FailedRuns, kept.Checkpoint
				for _, run := range kept.FailedRuns {
					t.run = max(t.run, run)
				}
			}
		}
		if s.left == 0 {
			o.left--
		}
	}
}

func (c *Cell) recoverWorkers(row tablestore.Row) error {
	var list []workflow.Worker
	if err := cbor.Unmarshal(row.Value, &list); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "decode the list of workers")
	}
	for _, w := range list {
		c.addWorker(w)
	}
	return nil
}
