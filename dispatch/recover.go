package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// NoPreviousLeader is the lastCommit argument of Recover for a cell that never had
// a leader.
const NoPreviousLeader = structs.Timestamp(math.MinInt64 / 2)

// Recover restores the state of a new leader from the stored rows. lastCommit is
// the time of the last commit of the previous leader; all its leases end within
// Policy.Horizon after that.
func (c *Dispatcher) Recover(rows []tablestore.Row, lastCommit structs.Timestamp) error {
	byTable := map[string][]tablestore.Row{}
	for _, row := range rows {
		byTable[row.Table] = append(byTable[row.Table], row)
	}
	// Outcomes are read first because specifications and progress of ended
	// jobs may still be stored.
	for _, row := range byTable[EndedJobTable] {
		if err := c.recoverOutcomes(row, lastCommit); err != nil {
			return err
		}
	}
	for _, row := range byTable[JobTable] {
		if err := c.recoverSpecs(row); err != nil {
			return err
		}
	}
	for _, row := range byTable[ProgressTable] {
		if err := c.recoverProgress(row); err != nil {
			return err
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		for _, occ := range c.jobs[id].occurrences {
			c.queueReady(occ)
		}
	}
	horizon := time.Duration(float64(c.policy.Horizon)/minClockRate) + leaseMargin
	c.previousLeasesEnd = lastCommit.Add(horizon)
	for _, row := range byTable[CellTable] {
		if !strings.HasPrefix(row.Key, workersPrefix) {
			continue
		}
		if err := c.recoverWorkers(row); err != nil {
			return err
		}
	}
	return nil
}

// decodeRow decodes the value of a row.
func decodeRow(row tablestore.Row, into any) error {
	if err := cbor.Unmarshal(row.Value, into); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "decode row %s of %s", row.Key, row.Table)
	}
	return nil
}

// recoverOutcomes restores the ended jobs of a row of EndedJobTable, which was stored by
// the given time.
func (c *Dispatcher) recoverOutcomes(row tablestore.Row, lastCommit structs.Timestamp) error {
	var ended []storedOutcome
	if err := decodeRow(row, &ended); err != nil {
		return err
	}
	outcomes := &outcomeRow{key: row.Key}
	var lastEnd structs.Timestamp
	for _, e := range ended {
		j := &job{
			spec: workflow.Job{ID: e.ID}, state: e.State, endedAt: e.EndedAt, durable: true, recovered: true, outcomeStored: true,
		}
		j.visibleState = workflowState(j)
		c.jobs[e.ID] = j
		c.count(j)
		outcomes.jobs = append(outcomes.jobs, j)
		lastEnd = max(lastEnd, e.EndedAt)
	}
	// Without the second bound, rows would never expire while leaders change often.
	outcomes.storedAt = max(lastEnd, min(lastCommit, lastEnd.Add(c.policy.Retention)))
	c.outcomeRows = append(c.outcomeRows, outcomes)
	return nil
}

// recoverSpecs restores the active jobs of a row of JobTable.
func (c *Dispatcher) recoverSpecs(row tablestore.Row) error {
	var specs []storedJob
	if err := decodeRow(row, &specs); err != nil {
		return err
	}
	storedRow := &specRow{key: row.Key}
	for _, spec := range specs {
		if ended := c.jobs[spec.Spec.ID]; ended != nil {
			ended.specRow = storedRow
			storedRow.jobs = append(storedRow.jobs, ended)
			continue
		}
		j := c.newJob(spec.Spec, spec.Queue, spec.Accepted)
		j.durable, j.recovered, j.specRow = true, true, storedRow
		storedRow.jobs = append(storedRow.jobs, j)
		storedRow.active++
		c.jobs[j.spec.ID] = j
	}
	if storedRow.active == 0 {
		storedRow.release(c)
	}
	return nil
}

// recoverProgress restores the progress of the active jobs of a row of
// ProgressTable.
func (c *Dispatcher) recoverProgress(row tablestore.Row) error {
	var list []storedProgress
	if err := decodeRow(row, &list); err != nil {
		return err
	}
	var bucket, part int
	if _, err := fmt.Sscanf(row.Key, "%02x-%02x", &bucket, &part); err != nil || bucket < 0 || bucket >= progressBuckets {
		return errs.New(errs.InvalidInput, "run the same version on all instances", "row %s of %s has an unknown key", row.Key, row.Table)
	}
	c.bucketRows[bucket] = max(c.bucketRows[bucket], part+1)
	for _, stored := range list {
		j := c.jobs[stored.ID]
		if j == nil || !j.active() {
			continue
		}
		if !j.inBucket { // else it is a further part of the job's progress
			j.inBucket = true
			home := jobBucket(j.spec.ID)
			c.buckets[home] = append(c.buckets[home], j)
		}
		j.started = stored.Started
		j.nextDue = max(j.nextDue, stored.Next)
		for _, run := range stored.Runs {
			occ := j.occurrence(run.Index)
			if occ == nil {
				occ = c.addOccurrence(j, run.Index, c.now)
			}
			occ.restore(run, c.now)
			if occ.remainingSteps == 0 {
				c.dropOccurrence(j, occ) // an earlier version has stored it, in one part
			}
		}
	}
	return nil
}

// restore applies the stored progress of an occurrence, or a part of it, at the given
// time.
func (o *occurrence) restore(saved storedOccurrence, now structs.Timestamp) {
	for n, stored := range saved.Steps {
		if n >= len(o.steps) {
			return
		}
		s := o.steps[n]
		s.checkpoint = cmp.Or(stored.Checkpoint, s.checkpoint)
		for i, t := range s.tasks {
			if s.spec.LongRunning {
				break // none is ever done; earlier versions have stored that
			}
			if t.state != taskDone && i/8 < len(stored.Done) && stored.Done[i/8]&(1<<(i%8)) != 0 {
				t.state = taskDone
				s.remainingTasks--
				s.unplacedTasks--
			}
		}
		for _, kept := range stored.Tasks {
			if kept.Index < len(s.tasks) {
				t := s.tasks[kept.Index]
				t.checkpoint = kept.Checkpoint
				t.failedRuns, t.failedBefore, t.failedThrough = kept.FailedRuns, kept.FailedBefore, kept.FailedThrough
				if s.spec.LongRunning {
					t.pauseRestart(now)
					continue
				}
				t.run = max(t.run, kept.FailedThrough)
				for _, run := range kept.FailedRuns {
					t.run = max(t.run, run)
				}
			}
		}
	}
	o.remainingSteps = 0
	for _, s := range o.steps {
		if s.remainingTasks > 0 {
			o.remainingSteps++
		}
	}
}

// recoverWorkers restores the workers that may be running tasks.
func (c *Dispatcher) recoverWorkers(row tablestore.Row) error {
	var list []workflow.Worker
	if err := decodeRow(row, &list); err != nil {
		return err
	}
	bucket, n, err := parseWorkerRowKey(row.Key)
	if err != nil {
		return err
	}
	c.workerRows[bucket] = max(c.workerRows[bucket], n+1)
	for _, w := range list {
		// A worker that answers is waited for even if all leases should have
		// expired: one that has restarted unnoticed may hold a longer one.
		recovered := c.addWorker(w)
		recovered.stored, recovered.rowStored, recovered.grantsClosed = true, true, w.LeasesEndBy != 0
		// Requests of the previous leader may still be carried out.
		recovered.requestsUntil = max(c.now, c.previousLeasesEnd).Add(c.policy.RenewalWait + requestTimeout + lateRequestTime)
		c.markUnreported(recovered)
	}
	return nil
}
