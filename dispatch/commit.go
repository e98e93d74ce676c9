package dispatch

import (
	"fmt"
	"hash/fnv"
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
	WorkersKey    = "workers" // in CellTable: the workers that may run something
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
	return len(c.dirty) > 0 || c.workersChanged || len(c.removals) > 0
}

// commitBuilder collects the rows of one commit.
type commitBuilder struct {
	cell    *Cell
	commit  Commit
	bytes   int
	specs   []jobRow
	batch   *specBatch
	ended   []endedRow
	buckets map[int]bool
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

// isFull leaves room for the buckets and for removals.
func (b *commitBuilder) isFull() bool { return b.bytes > maxCommitBytes }

// key returns the key of the n-th row of this commit in a table. Epochs rise,
// so that no key is used twice.
func (b *commitBuilder) key(n int) string {
	return fmt.Sprintf("%08x-%08x-%02x", uint64(b.cell.epoch), b.commit.Sequence, n)
}

// add takes what has to be stored of a job: its specification when it is
// accepted, then its progress, and only the outcome once it has ended.
func (b *commitBuilder) add(j *job) {
	switch {
	case !j.active() && j.outcomeStored:
		// Its callers wait for a commit that proves the leadership.
	case !j.active():
		b.ended = append(b.ended, endedRow{j.spec.ID, j.state, j.endedAt})
		j.outcomeStored = true
		b.bytes += endedRowBytes
		b.release(j)
	case j.batch == nil:
		if b.batch == nil {
			b.batch = &specBatch{}
		}
		j.batch = b.batch
		b.batch.active++
		b.specs = append(b.specs, jobRow{j.spec, j.queue, j.accepted})
		b.bytes += specRowBytes + len(j.spec.Spec) + len(j.spec.Steps)*stepBytes
	default:
		if !j.inBucket {
			j.inBucket = true
			n := bucketOf(j.spec.ID)
			b.cell.buckets[n] = append(b.cell.buckets[n], j)
		}
		if n := bucketOf(j.spec.ID); !b.buckets[n] {
			b.buckets[n] = true
			b.bytes += progressBytes * len(b.cell.buckets[n])
		}
	}
}

// Sizes of encoded rows in bytes, above those of the sites' jobs.
const (
	endedRowBytes = 40
	specRowBytes  = 300
	stepBytes     = 100
	progressBytes = 600
)

// release counts a job out of its row of specifications.
func (b *commitBuilder) release(j *job) {
	if j.batch == nil {
		return
	}
	if j.batch.active--; j.batch.active == 0 {
		b.cell.removals = append(b.cell.removals, tablestore.Name{Table: JobTable, Key: j.batch.key})
	}
	j.batch = nil
}

func bucketOf(id structs.JobID) int {
	h := fnv.New32a()
	h.Write([]byte(id)) // never fails
	return int(h.Sum32() % progressBuckets)
}

// finish encodes the collected rows.
func (b *commitBuilder) finish() error {
	c := b.cell
	if len(b.specs) > 0 {
		if err := b.putSpecs(); err != nil {
			return err
		}
	}
	if len(b.ended) > 0 {
		if err := b.putEnded(); err != nil {
			return err
		}
	}
	for n := range progressBuckets {
		if b.buckets[n] {
			if err := b.putBucket(n); err != nil {
				return err
			}
		}
	}
	if c.workersChanged {
		c.workersChanged = false
		if err := c.writeWorkers(&b.commit); err != nil {
			return err
		}
	}
	removed := min(len(c.removals), max(maxEntries-len(b.commit.Puts), 0))
	b.commit.Removes = append(b.commit.Removes, c.removals[:removed]...)
	c.removals = append(c.removals[:0], c.removals[removed:]...)
	return nil
}

// putSpecs writes the accepted jobs. Rows of one commit that split for their
// size are separate batches.
func (b *commitBuilder) putSpecs() error {
	n := 0
	return putInRows(b.specs, func(rows []jobRow, data []byte) {
		batch := &specBatch{key: b.key(n)}
		n++
		for _, row := range rows {
			if j := b.cell.jobs[row.Spec.ID]; j != nil && j.batch == b.batch {
				j.batch = batch
				batch.active++
			}
		}
		b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: JobTable, Key: batch.key, Value: data})
	})
}

func (b *commitBuilder) putEnded() error {
	n := 0
	return putInRows(b.ended, func(rows []endedRow, data []byte) {
		batch := &endedBatch{key: b.key(n)}
		n++
		for _, row := range rows {
			batch.jobs = append(batch.jobs, row.ID)
			batch.last = max(batch.last, row.EndedAt)
		}
		b.cell.endedBatches = append(b.cell.endedBatches, batch)
		b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: EndedTable, Key: batch.key, Value: data})
	})
}

// putBucket writes the progress of the active jobs of a bucket.
func (b *commitBuilder) putBucket(n int) error {
	c := b.cell
	c.buckets[n] = slices.DeleteFunc(c.buckets[n], func(j *job) bool { return !j.active() })
	rows := make([]progressRow, 0, len(c.buckets[n]))
	for _, j := range c.buckets[n] {
		rows = append(rows, j.progress())
	}
	part := 0
	err := putInRows(rows, func(_ []progressRow, data []byte) {
		b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: ProgressTable, Key: bucketKey(n, part), Value: data})
		part++
	})
	for old := part; old < c.bucketRows[n]; old++ {
		c.removals = append(c.removals, tablestore.Name{Table: ProgressTable, Key: bucketKey(n, old)})
	}
	c.bucketRows[n] = part
	return err
}

func bucketKey(n, part int) string { return fmt.Sprintf("%02x-%02x", n, part) }

// putInRows encodes rows as lists of at most maxRowBytes.
func putInRows[T any](rows []T, emit func([]T, []byte)) error {
	if len(rows) == 0 {
		return nil
	}
	data, err := cbor.Marshal(rows)
	if err != nil {
		return errs.Wrap(err, errs.InvalidInput, "report it", "encode %d rows", len(rows))
	}
	if len(data) <= maxRowBytes || len(rows) == 1 {
		emit(rows, data)
		return nil
	}
	half := len(rows) / 2
	if err := putInRows(rows[:half], emit); err != nil {
		return err
	}
	return putInRows(rows[half:], emit)
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
