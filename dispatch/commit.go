package dispatch

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// Tables of the dispatcher's rows.
const (
	JobTable      = "mangodrum_jobs"     // specification of an active job
	ProgressTable = "mangodrum_progress" // what has happened to a job
	CellTable     = "mangodrum_cell"
	WorkersKey    = "workers" // in CellTable: the workers that may run something
)

// jobRow is the stored specification of a job.
type jobRow struct {
	Spec     workflow.Job      `cbor:"1,keyasint"`
	Queue    workflow.Queue    `cbor:"2,keyasint"`
	Accepted structs.Timestamp `cbor:"3,keyasint"` // on the store's clock
}

// progressRow is the stored progress of a job.
type progressRow struct {
	State   jobState          `cbor:"1,keyasint"`
	EndedAt structs.Timestamp `cbor:"2,keyasint,omitempty"`
	Next    int               `cbor:"3,keyasint,omitempty"` // next occurrence
	Runs    []runRow          `cbor:"4,keyasint,omitempty"`
	Started bool              `cbor:"5,keyasint,omitempty"`
}

type runRow struct {
	Index int       `cbor:"1,keyasint"`
	Steps []stepRow `cbor:"2,keyasint"`
}

type stepRow struct {
	Done       []byte    `cbor:"1,keyasint,omitempty"` // a bit for each task that succeeded
	Checkpoint string    `cbor:"2,keyasint,omitempty"` // of a gang
	Tasks      []taskRow `cbor:"3,keyasint,omitempty"` // tasks with failed runs or a checkpoint
}

type taskRow struct {
	Index      int      `cbor:"1,keyasint"`
	FailedRuns []uint64 `cbor:"2,keyasint,omitempty"`
	Checkpoint string   `cbor:"3,keyasint,omitempty"`
}

// Commit is a set of rows to write in one transaction.
type Commit struct {
	Sequence uint64
	Puts     []tablestore.Put
	Removes  []tablestore.Name
}

const (
	// maxEntries keeps a transaction within the store's 100 entries; the
	// leadership row and the list of workers come on top.
	maxEntries = 96
	// entriesPerJob is the most that one job takes.
	entriesPerJob = 2
	// lazyDelay is how long progress within a job may wait for a commit. Most
	// urgent jobs end within it, so that a burst of them costs two rows a job
	// instead of one for each task.
	lazyDelay = 400 * time.Millisecond
)

// markDirty makes the next commit carry the state of a job.
func (c *Cell) markDirty(j *job) {
	j.version++
	if j.queued {
		return
	}
	j.queued = true
	c.dirty = append(c.dirty, j)
}

// markProgress makes a commit carry the state of a job within lazyDelay.
func (c *Cell) markProgress(j *job) {
	j.version++
	if j.queued || j.lazyAt != 0 {
		return
	}
	j.lazyAt = c.now
	c.lazy = append(c.lazy, j)
}

// queueProgress moves progress that has waited long enough to the next
// commit.
func (c *Cell) queueProgress() {
	for len(c.lazy) > 0 && (c.lazy[0].lazyAt == 0 || c.now.Sub(c.lazy[0].lazyAt) >= lazyDelay) {
		j := c.lazy[0]
		c.lazy = c.lazy[1:]
		if j.lazyAt != 0 && !j.queued {
			j.queued = true
			c.dirty = append(c.dirty, j)
		}
		j.lazyAt = 0
	}
}

// NeedsCommit reports whether a commit would write anything.
func (c *Cell) NeedsCommit() bool { return len(c.dirty) > 0 || c.workersChanged }

// NextCommit returns the rows that have to be written next. One commit is
// answered by CommitAnswered before the next one is taken.
func (c *Cell) NextCommit(now structs.Timestamp) (Commit, error) {
	c.now = max(c.now, now)
	c.sequence++
	commit := Commit{Sequence: c.sequence}
	c.committing = c.committing[:0]
	taken := 0
	for _, j := range c.dirty {
		if len(commit.Puts)+len(commit.Removes)+entriesPerJob > maxEntries {
			break
		}
		taken++
		if err := c.write(&commit, j); err != nil {
			return commit, err
		}
		j.queued, j.lazyAt = false, 0
		j.writing = j.version
		c.committing = append(c.committing, j)
	}
	c.dirty = append(c.dirty[:0], c.dirty[taken:]...)
	if c.workersChanged {
		c.workersChanged = false
		if err := c.writeWorkers(&commit); err != nil {
			return commit, err
		}
	}
	return commit, nil
}

// write adds the rows of a job: the specification when it is accepted, then
// its progress, and only the outcome once it has ended.
func (c *Cell) write(commit *Commit, j *job) error {
	id := string(j.spec.ID)
	switch {
	case !j.active() && j.durable && c.now.Sub(j.endedAt) > c.policy.KeepEnded:
		commit.Removes = append(commit.Removes, tablestore.Name{Table: ProgressTable, Key: id})
		delete(c.jobs, j.spec.ID)
		return nil
	case j.active() && j.writing == 0 && !j.recovered:
		return put(commit, JobTable, id, jobRow{j.spec, j.queue, j.accepted})
	case !j.active() && !j.dropSpec && (j.writing > 0 || j.recovered):
		commit.Removes = append(commit.Removes, tablestore.Name{Table: JobTable, Key: id})
		j.dropSpec = true
	}
	return put(commit, ProgressTable, id, j.progress())
}

func (j *job) progress() progressRow {
	row := progressRow{State: j.state, EndedAt: j.endedAt, Next: j.nextDue, Started: j.started}
	if !j.active() {
		return row
	}
	for _, occ := range j.runs {
		run := runRow{Index: occ.index}
		for _, s := range occ.steps {
			run.Steps = append(run.Steps, s.progress())
		}
		row.Runs = append(row.Runs, run)
	}
	return row
}

func (s *step) progress() stepRow {
	row := stepRow{Checkpoint: s.checkpoint}
	if s.left < len(s.tasks) {
		row.Done = make([]byte, (len(s.tasks)+7)/8)
	}
	for n, t := range s.tasks {
		if t.state == taskDone {
			row.Done[n/8] |= 1 << (n % 8)
		} else if len(t.failedRuns) > 0 || t.checkpoint != "" {
			row.Tasks = append(row.Tasks, taskRow{n, slices.Clone(t.failedRuns), t.checkpoint})
		}
	}
	return row
}

func put(commit *Commit, table, key string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errs.Wrap(err, errs.InvalidInput, "report it", "encode row %s of %s", key, table)
	}
	commit.Puts = append(commit.Puts, tablestore.Put{Table: table, Key: key, Value: data})
	return nil
}

func (c *Cell) writeWorkers(commit *Commit) error {
	list := make([]workflow.Worker, 0, len(c.order))
	for _, w := range c.order {
		list = append(list, w.Worker)
	}
	return put(commit, CellTable, WorkersKey, list)
}

// committed processes a commit that is durable.
func (c *Cell) committed(sequence uint64) {
	if sequence != c.sequence {
		return
	}
	for _, j := range c.committing {
		c.jobCommitted(j)
	}
	for _, w := range c.order {
		w.acknowledge()
	}
	c.placeAgain = true
}

func (c *Cell) jobCommitted(j *job) {
	j.committed = j.writing
	if !j.durable {
		j.durable = true
		c.emit(Observation{Name: "accept", Queue: j.queue.Name, Value: c.now.Sub(j.accepted)})
		c.decide(Decision{Event: "accept", Job: j.spec.ID, Reason: j.queue.Name, Value: int64(c.now.Sub(j.accepted) / time.Millisecond)})
		if j.active() {
			for _, occ := range j.runs {
				c.queueReady(occ)
			}
		}
	}
	c.answer(&j.waiting, Accepted, 0)
	if j.active() || j.committed < j.endedIn {
		return
	}
	c.answer(&j.cancels, Accepted, 0)
	if !j.visible.IsTerminal() {
		j.visible = visibleState(j)
		c.ended = append(c.ended, j)
		c.fading = append(c.fading, j)
		c.emit(Observation{Name: "turnaround", Queue: j.queue.Name, Value: c.now.Sub(j.accepted)})
	}
}

// acknowledge moves the acknowledged end up to the first one whose effect is
// not durable.
func (w *worker) acknowledge() {
	for len(w.unacked) > 0 && w.unacked[0].isDurable() {
		w.acknowledged = max(w.acknowledged, w.unacked[0].number)
		w.unacked = w.unacked[1:]
	}
}

func (a *ackPoint) isDurable() bool { return a.job == nil || a.job.committed >= a.version }
