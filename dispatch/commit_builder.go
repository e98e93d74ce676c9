package dispatch

import (
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

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
			n := jobBucket(j.spec.ID)
			b.cell.buckets[n] = append(b.cell.buckets[n], j)
		}
		if n := jobBucket(j.spec.ID); !b.buckets[n] {
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

func bucketOf(id string, buckets int) int {
	h := fnv.New32a()
	h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(buckets))
}

func jobBucket(id structs.JobID) int { return bucketOf(string(id), progressBuckets) }

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
	if err := c.writeWorkers(&b.commit); err != nil {
		return err
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
