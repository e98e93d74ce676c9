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

// Tables of the dispatcher. A transaction has at most 100 entries, so a row
// holds many jobs; one commit can then hold all pending changes even if the
// store is slow.
const (
	JobTable      = "mangodrum_jobs"     // specifications; a row holds the jobs accepted by one commit
	ProgressTable = "mangodrum_progress" // progress of the active jobs; a row holds a bucket of them
	EndedJobTable = "mangodrum_ended"    // outcomes; a row holds the jobs that ended in one commit
	CellTable     = "mangodrum_cell"     // the leadership row and the workers, in buckets
)

// storedJob is the stored specification of a job. A row of JobTable holds a list
// of them.
type storedJob struct {
	Spec     workflow.Job      `cbor:"1,keyasint"`
	Queue    workflow.Queue    `cbor:"2,keyasint"`
	Accepted structs.Timestamp `cbor:"3,keyasint"` // on the store's clock
}

// storedOutcome is the stored outcome of a job. A row of EndedJobTable holds a list
// of them.
type storedOutcome struct {
	ID      structs.JobID     `cbor:"1,keyasint"`
	State   jobState          `cbor:"2,keyasint"`
	EndedAt structs.Timestamp `cbor:"3,keyasint"`
}

// Commit is a set of rows to write in one transaction.
type Commit struct {
	Sequence uint64
	Puts     []tablestore.Put
	Removes  []tablestore.RowID
}

const (
	// maxEntries keeps a transaction within the store's limit of 100 entries,
	// with some left for the leadership row.
	maxEntries = 96
	// maxCommitBytes keeps a transaction within the store's limit of 1 MB. A
	// quarter of that is overhead of the encoding of binary values.
	maxCommitBytes = 600 << 10
	// maxRowBytes keeps a row within the store's limit of 64 KiB after that
	// encoding.
	maxRowBytes = 44 << 10
	// storeRowLimit and storeCommitLimit are the store's limits of a row, 64 KiB in base64,
	// and of the rows of a transaction, 1 MB with the rest of the request.
	storeRowLimit    = 48 << 10
	storeCommitLimit = 720 << 10
	// maxProgressDelay is how long the progress of a job may wait for a commit.
	// Most urgent jobs end within that time, so a burst of them writes no
	// progress.
	maxProgressDelay = 400 * time.Millisecond
)

// specRow is a stored row of JobTable. It is removed once all its jobs have
// ended, and written again without those whose outcomes are to be removed.
type specRow struct {
	key    string
	jobs   []*job // that the stored row holds
	active int    // jobs whose outcome is not stored
}

// outcomeRow is a stored row of EndedJobTable. It is removed a fixed time after the
// last of its jobs has ended, and after the specifications of these jobs: a stored
// specification without an outcome is that of an active job.
type outcomeRow struct {
	key  string
	jobs []*job
	// storedAt is when callers may have seen the last of these ends for the first time:
	// at the commit, or for a recovered row at the last commit of the previous leader. 0:
	// not stored yet.
	storedAt structs.Timestamp
}

// markDirty adds a changed job to the next commit.
func (c *Dispatcher) markDirty(j *job) {
	j.version++
	if j.inDirty {
		return
	}
	j.inDirty = true
	c.dirty = append(c.dirty, j)
}

// markDirtyDeferred adds a changed job to a commit within maxProgressDelay.
func (c *Dispatcher) markDirtyDeferred(j *job) {
	j.version++
	if j.inDirty || j.deferredSince != 0 {
		return
	}
	j.deferredSince = c.now
	c.deferred = append(c.deferred, j)
}

// queueDeferred adds jobs whose changes have waited for maxProgressDelay to the
// next commit.
func (c *Dispatcher) queueDeferred() {
	for len(c.deferred) > 0 && (c.deferred[0].deferredSince == 0 || c.now.Sub(c.deferred[0].deferredSince) >= maxProgressDelay) {
		j := c.deferred[0]
		c.deferred = c.deferred[1:]
		if j.deferredSince != 0 && !j.inDirty {
			j.inDirty = true
			c.dirty = append(c.dirty, j)
		}
		j.deferredSince = 0
	}
}

// NeedsCommit reports whether a commit would write anything.
func (c *Dispatcher) NeedsCommit() bool {
	return len(c.dirty) > 0 || len(c.dirtyWorkers) > 0 || len(c.removals) > 0 || len(c.expiredOutcomes) > 0
}

// NextCommit returns the rows to write next. The caller must pass Committed
// to Reduce before it takes the next commit.
func (c *Dispatcher) NextCommit(now structs.Timestamp) (Commit, error) {
	c.now = max(c.now, now)
	c.sequence++
	b := &commitBuilder{dispatcher: c, commit: Commit{Sequence: c.sequence}, buckets: map[int]progressSize{}}
	c.committing, c.committingWorkers, c.workersLeftOut = c.committing[:0], c.committingWorkers[:0], c.workersLeftOut[:0]
	taken := 0
	for _, j := range c.dirty {
		add := b.additionOf(j)
		if !b.fits(&add) {
			break
		}
		taken++
		b.add(j, &add)
		j.inDirty, j.deferredSince = false, 0
		j.writingVersion = j.version
		c.committing = append(c.committing, j)
	}
	c.dirty = append(c.dirty[:0], c.dirty[taken:]...)
	if err := b.finish(); err != nil {
		return b.commit, err
	}
	return b.commit, b.commit.check()
}

// bytes returns the size of all rows of the commit.
func (m *Commit) bytes() int {
	size := 0
	for n := range m.Puts {
		size += len(m.Puts[n].Value)
	}
	return size
}

// check returns an error if the store would reject the commit for its size. The limits of
// what a commit takes keep that from happening.
func (m *Commit) check() error {
	entries, bytes := len(m.Puts)+len(m.Removes), m.bytes()
	for n := range m.Puts {
		put := &m.Puts[n]
		if len(put.Value) > storeRowLimit {
			return errs.New(errs.InvalidInput, "report this bug", "row %s of %s has %d bytes, the store takes %d", put.Key, put.Table, len(put.Value), storeRowLimit)
		}
	}
	if entries > maxEntries || bytes > storeCommitLimit {
		return errs.New(errs.InvalidInput, "report this bug", "a commit has %d entries and %d bytes, the store takes %d and %d", entries, bytes, maxEntries, storeCommitLimit)
	}
	return nil
}

// putRow adds a row with the encoded value to a commit.
func putRow(commit *Commit, table, key string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errs.Wrap(err, errs.InvalidInput, "report this bug", "encode row %s of %s", key, table)
	}
	commit.Puts = append(commit.Puts, tablestore.Put{Table: table, Key: key, Value: data})
	return nil
}

// SetStoreClockAhead sets by how much the store's clock may be ahead of the times that
// are passed to the dispatcher. The next leader counts stored times on the store's clock.
func (c *Dispatcher) SetStoreClockAhead(d time.Duration) { c.storeClockAhead = max(d, 0) }

// committed handles the completion of a commit.
func (c *Dispatcher) committed(sequence uint64) {
	if sequence != c.sequence {
		return
	}
	for _, j := range c.committing {
		c.jobCommitted(j)
	}
	for n := len(c.outcomeRows) - 1; n >= 0 && c.outcomeRows[n].storedAt == 0; n-- {
		c.outcomeRows[n].storedAt = c.now
	}
	for _, w := range c.committingWorkers {
		w.rowStored = true
		w.grantsClosed = w.LeasesEndBy != 0 || w.writtenLeasesEndBy != 0
		if _, changed := slices.BinarySearch(c.dirtyWorkers, bucketOf(string(w.ID), workerBuckets)); !changed {
			w.stored = true
		}
	}
	for _, w := range c.workersLeftOut {
		c.logDecision(Decision{Event: "worker_not_stored", Worker: w.ID, Reason: "the rows of its bucket are full"})
	}
	for _, w := range c.sortedWorkers {
		w.acknowledge()
	}
	c.placementNeeded = true
}

// jobCommitted answers the callers that wait for the stored version of a job and
// queues the first steps of a newly accepted job.
func (c *Dispatcher) jobCommitted(j *job) {
	j.committedVersion = j.writingVersion
	if !j.durable {
		j.durable = true
		c.emit(Observation{Name: "accept", Queue: j.queue.Name, Value: c.now.Sub(j.acceptedAt)})
		c.logDecision(Decision{Event: "accept", Job: j.spec.ID, Reason: j.queue.Name, Value: int64(c.now.Sub(j.acceptedAt) / time.Millisecond)})
		if j.active() {
			for _, occ := range j.occurrences {
				c.queueReady(occ)
			}
		}
	}
	c.replyAll(&j.pendingSubmits, Accepted, 0)
	if j.active() || j.committedVersion < j.endVersion {
		return
	}
	c.replyAll(&j.pendingCancels, Accepted, 0)
	if !j.visibleState.IsTerminal() {
		j.visibleState = workflowState(j)
		c.endedWithSteps = append(c.endedWithSteps, j)
		c.emit(Observation{Name: "turnaround", Queue: j.queue.Name, Value: c.now.Sub(j.acceptedAt)})
	}
}

// acknowledge advances the acknowledged end to the last one before the first
// whose effect is not stored.
func (w *worker) acknowledge() {
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].isDurable() {
		w.acknowledgedEnd = max(w.acknowledgedEnd, w.pendingAcks[0].number)
		w.pendingAcks = w.pendingAcks[1:]
	}
}

// isDurable reports whether the effect of the end is stored.
func (a *pendingAck) isDurable() bool { return a.job == nil || a.job.committedVersion >= a.jobVersion }
