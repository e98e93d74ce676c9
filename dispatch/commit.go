package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// Tables of the dispatcher's rows. A row holds many jobs, so that a commit
// holds everything that waits however slowly the store takes commits: a
// transaction has at most 100 entries.
const (
	JobTable      = "mangodrum_jobs"     // specifications of the jobs accepted by one commit
	ProgressTable = "mangodrum_progress" // what has happened to the active jobs, in buckets
	EndedTable    = "mangodrum_ended"    // outcomes of the jobs ended in one commit
	CellTable     = "mangodrum_cell"
	// workersPrefix of the keys in CellTable that hold the workers which may
	// run something, in buckets: a row has at most 64 KiB.
	workersPrefix = "workers-"
)

// jobRow is the stored specification of a job; a row of JobTable is a list of
// them.
type jobRow struct {
	Spec     workflow.Job      `cbor:"1,keyasint"`
	Queue    workflow.Queue    `cbor:"2,keyasint"`
	Accepted structs.Timestamp `cbor:"3,keyasint"` // on the store's clock
}

// progressRow is the stored progress of an active job; a row of ProgressTable
// is a list of them.
type progressRow struct {
	ID      structs.JobID `cbor:"1,keyasint"`
	Next    int           `cbor:"3,keyasint,omitempty"` // next occurrence
	Runs    []runRow      `cbor:"4,keyasint,omitempty"`
	Started bool          `cbor:"5,keyasint,omitempty"`
}

// endedRow is the stored outcome of a job; a row of EndedTable is a list of
// them.
type endedRow struct {
	ID      structs.JobID     `cbor:"1,keyasint"`
	State   jobState          `cbor:"2,keyasint"`
	EndedAt structs.Timestamp `cbor:"3,keyasint"`
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
	// maxCommitBytes keeps a transaction within the store's 1 MB, of which the
	// encoding of binary values takes a quarter.
	maxCommitBytes = 600 << 10
	// maxRowBytes keeps a row within the store's 64 KiB after that encoding.
	maxRowBytes = 44 << 10
	// progressBuckets is how many rows hold the progress of the active jobs;
	// all of them fit into one commit.
	progressBuckets = 64
	// workerBuckets hold 3,000 workers with 12 KB each.
	workerBuckets = 32
	// workerRows of a commit at most. All of them are written when a new leader
	// lists the directory, and would fill a commit with 3,000 workers.
	workerRows = 4
	// lazyDelay is how long progress within a job may wait for a commit. Most
	// urgent jobs end within it, so that a burst of them writes no progress.
	lazyDelay = 400 * time.Millisecond
)

// specBatch is a stored row of specifications. It is removed once all its
// jobs have ended.
type specBatch struct {
	key    string
	active int // jobs that have not ended durably
}

// endedBatch is a stored row of outcomes. It is removed once callers no longer
// ask for its jobs.
type endedBatch struct {
	key  string
	jobs []structs.JobID
	last structs.Timestamp // end of the last of them
}

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
func (c *Cell) NeedsCommit() bool {
	return len(c.dirty) > 0 || len(c.dirtyWorkers) > 0 || len(c.removals) > 0
}

// NextCommit returns the rows that have to be written next. One commit is
// answered by CommitAnswered before the next one is taken.
func (c *Cell) NextCommit(now structs.Timestamp) (Commit, error) {
	c.now = max(c.now, now)
	c.sequence++
	b := &commitBuilder{cell: c, commit: Commit{Sequence: c.sequence}, buckets: map[int]bool{}}
	c.committing = c.committing[:0]
	taken := 0
	for _, j := range c.dirty {
		if b.isFull() {
			break
		}
		taken++
		b.add(j)
		j.queued, j.lazyAt = false, 0
		j.writing = j.version
		c.committing = append(c.committing, j)
	}
	c.dirty = append(c.dirty[:0], c.dirty[taken:]...)
	err := b.finish()
	return b.commit, err
}

func (j *job) progress() progressRow {
	row := progressRow{ID: j.spec.ID, Next: j.nextDue, Started: j.started}
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

// workerChanged makes the next commits carry the worker's bucket.
func (c *Cell) workerChanged(id structs.WorkerID) {
	n := bucketOf(string(id), workerBuckets)
	if at, found := slices.BinarySearch(c.dirtyWorkers, n); !found {
		c.dirtyWorkers = slices.Insert(c.dirtyWorkers, at, n)
	}
}

// writeWorkers adds some of the changed buckets of workers.
func (c *Cell) writeWorkers(commit *Commit) error {
	count := min(len(c.dirtyWorkers), workerRows, max(maxEntries-len(commit.Puts), 0))
	for _, n := range c.dirtyWorkers[:count] {
		list := []workflow.Worker{}
		for _, w := range c.order {
			if bucketOf(string(w.ID), workerBuckets) == n {
				list = append(list, w.Worker)
			}
		}
		if err := put(commit, CellTable, fmt.Sprintf("%s%02x", workersPrefix, n), list); err != nil {
			return err
		}
	}
	c.dirtyWorkers = slices.Delete(c.dirtyWorkers, 0, count)
	return nil
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
