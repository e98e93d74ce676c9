package dispatch

import (
	"fmt"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// commitBuilder collects the rows of one commit.
type commitBuilder struct {
	dispatcher    *Dispatcher
	commit        Commit
	bytes         int // upper estimate of the size of all rows
	specs         []storedJob
	specBytes     int // part of bytes
	specRow       *specRow
	outcomes      []storedOutcome
	buckets       map[int]progressSize // progress buckets in the commit
	bucketEntries int                  // upper estimate of their entries
}

// isFull reports whether the commit takes no further rows.
func (b *commitBuilder) isFull() bool { return b.bytes > maxCommitBytes }

// remainingEntries returns how many more entries the commit takes.
func (b *commitBuilder) remainingEntries() int {
	return max(maxEntries-len(b.commit.Puts)-len(b.commit.Removes), 0)
}

// addition is an upper estimate of what one more job adds to a commit.
type addition struct {
	specBytes, outcomeBytes int
	// The job changes the progress bucket to the given size.
	changesBucket              bool
	bucket                     int
	size                       progressSize
	bucketBytes, bucketEntries int
}

// additionOf returns what adding a job adds to the commit.
func (b *commitBuilder) additionOf(j *job) addition {
	switch {
	case !j.active() && j.outcomeStored:
		return addition{}
	case !j.active():
		return addition{outcomeBytes: outcomeBytes}
	case j.specRow == nil:
		return addition{specBytes: specSize(&j.spec, &j.queue)}
	}
	n := jobBucket(j.spec.ID)
	before, counted := b.buckets[n]
	if counted && j.inBucket {
		return addition{} // counted with the bucket
	}
	after := before
	if !counted {
		for _, other := range b.dispatcher.buckets[n] {
			after.add(other.progressSize())
		}
	}
	if !j.inBucket {
		after.add(j.progressSize())
	}
	add := addition{changesBucket: true, bucket: n, size: after, bucketBytes: after.total() - before.total()}
	add.bucketEntries = b.entriesOf(n, after)
	if counted {
		add.bucketEntries -= b.entriesOf(n, before)
	}
	return add
}

// entriesOf returns the largest number of entries of a progress bucket of the given size:
// it writes its rows and removes the others that are stored.
func (b *commitBuilder) entriesOf(bucket int, size progressSize) int {
	return max(maxRows(size.total()), b.dispatcher.bucketRows[bucket])
}

// fits reports whether the commit takes an addition. It takes any first one, which is
// bounded by itself.
func (b *commitBuilder) fits(add *addition) bool {
	if b.bytes == 0 {
		return true
	}
	entries := maxRows(b.specBytes+add.specBytes) + maxRows(len(b.outcomes)*outcomeBytes+add.outcomeBytes) + b.bucketEntries + add.bucketEntries
	return b.bytes+add.specBytes+add.outcomeBytes+add.bucketBytes <= maxCommitBytes && entries <= maxEntries
}

// key returns the key of the n-th row that this commit adds to a table. Keys are
// unique because they contain the epoch and the sequence number of the commit.
func (b *commitBuilder) key(n int) string {
	return fmt.Sprintf("%08x-%08x-%02x", uint64(b.dispatcher.epoch), b.commit.Sequence, n)
}

// add adds a job to the commit: its specification when it is accepted, its
// progress after that, and only its outcome once it has ended.
func (b *commitBuilder) add(j *job, add *addition) {
	b.bytes += add.specBytes + add.outcomeBytes + add.bucketBytes
	b.specBytes += add.specBytes
	b.bucketEntries += add.bucketEntries
	if add.changesBucket {
		b.buckets[add.bucket] = add.size
	}
	switch {
	case !j.active() && j.outcomeStored:
		// There is nothing to write. The callers wait for a commit to succeed,
		// which proves that this instance still leads.
	case !j.active():
		b.outcomes = append(b.outcomes, storedOutcome{j.spec.ID, j.state, j.endedAt})
		j.outcomeStored = true
		b.releaseSpec(j)
	case j.specRow == nil:
		if b.specRow == nil {
			b.specRow = &specRow{}
		}
		j.specRow = b.specRow
		b.specRow.active++
		b.specs = append(b.specs, storedJob{j.spec, j.queue, j.acceptedAt})
	default:
		b.addToBucket(j)
	}
}

// addToBucket adds a job to its progress bucket with its first progress.
func (b *commitBuilder) addToBucket(j *job) {
	if j.inBucket {
		return
	}
	j.inBucket = true
	n := jobBucket(j.spec.ID)
	b.dispatcher.buckets[n] = append(b.dispatcher.buckets[n], j)
}

// Upper estimates of encoded sizes in bytes, larger than those of the jobs at
// the known sites.
const (
	outcomeBytes    = 40
	specBytes       = 300 // of a job without its texts and steps
	stepBytes       = 100 // of a step without its texts and dependencies
	dependencyBytes = 2
)

// specSize returns an upper estimate of the encoded size of a job's specification with the
// policy of its queue.
func specSize(j *workflow.Job, q *workflow.Queue) int {
	size := specBytes + len(j.Spec) + len(q.Name) + len(q.Service)
	for n := range j.Steps {
		s := &j.Steps[n]
		size += stepBytes + len(s.RequiredLabel) + len(s.DataRack) + len(s.Image) + dependencyBytes*len(s.DependsOn)
	}
	return size
}

// releaseSpec removes an ended job from the count of its row in JobTable, and
// the row once it has no active job.
func (b *commitBuilder) releaseSpec(j *job) {
	if j.specRow == nil {
		return
	}
	if j.specRow.active--; j.specRow.active == 0 {
		j.specRow.release(b.dispatcher)
	}
}

// release removes a row whose jobs have all ended with one of the next commits.
func (r *specRow) release(c *Dispatcher) {
	c.removals = append(c.removals, tablestore.RowID{Table: JobTable, Key: r.key})
	for _, j := range r.jobs {
		j.specRow = nil
	}
	r.jobs = nil
}

// removeOutcomes removes expired outcomes. The specifications of their jobs that are
// still stored, in rows with active jobs, are removed in the same commit or before.
func (b *commitBuilder) removeOutcomes() error {
	c := b.dispatcher
	for len(c.expiredOutcomes) > 0 {
		expired := c.expiredOutcomes[0]
		for _, j := range expired.jobs {
			if j.specRow == nil {
				continue
			}
			if b.remainingEntries() == 0 || b.isFull() {
				return nil // with the next commit
			}
			if err := b.compact(j.specRow); err != nil {
				return err
			}
		}
		c.expiredOutcomes = c.expiredOutcomes[1:]
		c.removals = append(c.removals, tablestore.RowID{Table: EndedJobTable, Key: expired.key})
	}
	return nil
}

// compact writes a row of JobTable without the jobs whose outcomes are stored.
func (b *commitBuilder) compact(r *specRow) error {
	specs := make([]storedJob, 0, r.active)
	kept := r.jobs[:0]
	for _, j := range r.jobs {
		if j.outcomeStored {
			j.specRow = nil
			continue
		}
		kept = append(kept, j)
		specs = append(specs, storedJob{j.spec, j.queue, j.acceptedAt})
	}
	clear(r.jobs[len(kept):])
	r.jobs = kept
	if err := putRow(&b.commit, JobTable, r.key, specs); err != nil {
		return err
	}
	b.bytes += len(b.commit.Puts[len(b.commit.Puts)-1].Value)
	return nil
}

// bucketOf returns the bucket of an identifier.
func bucketOf(id string, buckets int) int {
	h := fnv.New32a()
	h.Write([]byte(id)) // never returns an error
	return int(h.Sum32() % uint32(buckets))
}

func jobBucket(id structs.JobID) int { return bucketOf(string(id), progressBuckets) }

// finish encodes the collected rows and adds worker buckets and removals while
// the commit has space for them.
func (b *commitBuilder) finish() error {
	c := b.dispatcher
	if len(b.specs) > 0 {
		if err := b.putSpecs(); err != nil {
			return err
		}
	}
	if len(b.outcomes) > 0 {
		if err := b.putOutcomes(); err != nil {
			return err
		}
	}
	for n := range progressBuckets {
		if _, changed := b.buckets[n]; changed {
			if err := b.putProgressBucket(n); err != nil {
				return err
			}
		}
	}
	if err := b.removeOutcomes(); err != nil {
		return err
	}
	if err := b.putWorkers(); err != nil {
		return err
	}
	removed := min(len(c.removals), b.remainingEntries())
	b.commit.Removes = append(b.commit.Removes, c.removals[:removed]...)
	c.removals = append(c.removals[:0], c.removals[removed:]...)
	return nil
}

// putSpecs adds the specifications of the accepted jobs. If they are split by
// size, each row tracks its own jobs.
func (b *commitBuilder) putSpecs() error {
	n := 0
	return putInRows(b.specs, func(rows []storedJob, data []byte) {
		newRow := &specRow{key: b.key(n)}
		n++
		for _, row := range rows {
			if j := b.dispatcher.jobs[row.Spec.ID]; j != nil && j.specRow == b.specRow {
				j.specRow = newRow
				newRow.jobs = append(newRow.jobs, j)
				newRow.active++
			}
		}
		b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: JobTable, Key: newRow.key, Value: data})
	})
}

// putOutcomes adds the outcomes of the ended jobs.
func (b *commitBuilder) putOutcomes() error {
	n := 0
	return putInRows(b.outcomes, func(rows []storedOutcome, data []byte) {
		newRow := &outcomeRow{key: b.key(n)}
		n++
		for _, row := range rows {
			newRow.jobs = append(newRow.jobs, b.dispatcher.jobs[row.ID])
		}
		b.dispatcher.outcomeRows = append(b.dispatcher.outcomeRows, newRow)
		b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: EndedJobTable, Key: newRow.key, Value: data})
	})
}

// arrayHeaderBytes is an upper estimate of the encoded head of a list.
const arrayHeaderBytes = 9

// maxRows returns the largest number of rows in which putInRows stores values of the
// given total size: two rows in succession take more than maxRowBytes together.
func maxRows(bytes int) int {
	if bytes == 0 {
		return 0
	}
	return 1 + 2*bytes/maxRowBytes
}

// putInRows encodes values as lists of at most maxRowBytes each and passes each list to
// emit.
func putInRows[T any](values []T, emit func([]T, []byte)) error {
	if len(values) == 0 {
		return nil
	}
	data, err := cbor.Marshal(values)
	if err != nil {
		return errs.Wrap(err, errs.InvalidInput, "report this bug", "encode %d values", len(values))
	}
	if len(data) <= maxRowBytes {
		emit(values, data)
		return nil
	}
	var row []cbor.RawMessage
	size := arrayHeaderBytes
	put := func(end int) error {
		list, err := cbor.Marshal(row)
		if err != nil {
			return errs.Wrap(err, errs.InvalidInput, "report this bug", "encode a row")
		}
		emit(values[end-len(row):end], list)
		row, size = nil, arrayHeaderBytes
		return nil
	}
	for n := range values {
		value, err := cbor.Marshal(values[n])
		if err != nil {
			return errs.Wrap(err, errs.InvalidInput, "report this bug", "encode a value of a row")
		}
		if len(row) > 0 && size+len(value) > maxRowBytes {
			if err := put(n); err != nil {
				return err
			}
		}
		row = append(row, value)
		size += len(value)
	}
	return put(len(values))
}
