package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// This file stores the workers that may be running tasks, so that a new leader waits for
// them. They are split into buckets, so that a changed worker costs one small row. A
// bucket takes further rows if it outgrows one.

const (
	// workersPrefix is the prefix of the keys in CellTable that hold workers.
	workersPrefix = "workers-"
	// workerBuckets is the number of buckets for workers. With 3,000 workers a
	// bucket takes 12 KB.
	workerBuckets = 32
	// maxWorkerBytes is the size of the worker buckets in a commit from which no
	// further one is added. A new leader writes all buckets when it lists the
	// directory, which would fill a commit in a cell of 3,000 workers. Those of 350
	// workers fit into one commit; new workers get no tasks before it.
	maxWorkerBytes = 48 << 10
	// maxWorkerBucketBytes is the size of a bucket from which no further worker is
	// stored in it. 60,000 usual workers take less.
	maxWorkerBucketBytes = 256 << 10
)

// workerRowKey returns the key of a row of a bucket. Earlier versions stored each bucket in
// one row, with the key of the first.
func workerRowKey(bucket, row int) string {
	if row == 0 {
		return fmt.Sprintf("%s%02x", workersPrefix, bucket)
	}
	return fmt.Sprintf("%s%02x-%02x", workersPrefix, bucket, row)
}

// parseWorkerRowKey returns the bucket and the number of a row.
func parseWorkerRowKey(key string) (bucket, row int, err error) {
	text, rowText, split := strings.Cut(strings.TrimPrefix(key, workersPrefix), "-")
	parsedBucket, err := strconv.ParseUint(text, 16, 8)
	parsedRow := uint64(0)
	if err == nil && split {
		parsedRow, err = strconv.ParseUint(rowText, 16, 8)
	}
	if err == nil && parsedBucket >= workerBuckets {
		err = strconv.ErrRange
	}
	if err != nil {
		return 0, 0, errs.Wrap(err, errs.InvalidInput, "run the same version on all instances", "row %s of %s has an unknown key", key, CellTable)
	}
	return int(parsedBucket), int(parsedRow), nil
}

// workerChanged adds the bucket of a worker to one of the next commits.
func (c *Dispatcher) workerChanged(id structs.WorkerID) {
	n := bucketOf(string(id), workerBuckets)
	if at, found := slices.BinarySearch(c.dirtyWorkers, n); !found {
		c.dirtyWorkers = slices.Insert(c.dirtyWorkers, at, n)
	}
}

// putWorkers adds changed worker buckets, and none once they take maxWorkerBytes.
func (b *commitBuilder) putWorkers() error {
	c := b.dispatcher
	taken, size := 0, 0
	for _, n := range c.dirtyWorkers {
		if size >= maxWorkerBytes {
			break
		}
		workers, list, err := c.workersToStore(n)
		if err != nil {
			return err
		}
		var rows [][]byte
		rowBytes := 0
		err = putInRows(list, func(_ []workflow.Worker, data []byte) {
			rows = append(rows, data)
			rowBytes += len(data)
		})
		if err != nil {
			return err
		}
		if max(len(rows), c.workerRows[n]) > b.remainingEntries() || b.commit.bytes()+rowBytes > storeCommitLimit {
			break // with one of the next commits
		}
		size += rowBytes
		for k, data := range rows {
			b.commit.Puts = append(b.commit.Puts, tablestore.Put{Table: CellTable, Key: workerRowKey(n, k), Value: data})
		}
		for k := len(rows); k < c.workerRows[n]; k++ {
			b.commit.Removes = append(b.commit.Removes, tablestore.RowID{Table: CellTable, Key: workerRowKey(n, k)})
		}
		c.workerRows[n] = len(rows)
		c.committingWorkers = append(c.committingWorkers, workers...)
		taken++
	}
	c.dirtyWorkers = slices.Delete(c.dirtyWorkers, 0, taken)
	return nil
}

// workersToStore returns the workers of a bucket and their stored form. A worker that is
// stored stays: it may be running tasks, and the next leader has to know it. Another one
// that does not fit is left out, and gets no tasks.
func (c *Dispatcher) workersToStore(bucket int) ([]*worker, []workflow.Worker, error) {
	var candidates []*worker
	for _, w := range c.sortedWorkers {
		if bucketOf(string(w.ID), workerBuckets) == bucket {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		switch {
		case a.rowStored == b.rowStored:
			return 0
		case a.rowStored:
			return -1
		}
		return 1
	})
	var workers []*worker
	var list []workflow.Worker
	size := 0
	for _, w := range candidates {
		stored := w.Worker
		if stored.InheritedLeaseEnd != 0 {
			stored.InheritedLeaseEnd = stored.InheritedLeaseEnd.Add(c.storeClockAhead)
		}
		if stored.LeasesEndBy != 0 {
			stored.LeasesEndBy = stored.LeasesEndBy.Add(c.storeClockAhead)
		}
		data, err := cbor.Marshal(stored)
		if err != nil {
			return nil, nil, errs.Wrap(err, errs.InvalidInput, "report this bug", "encode worker %s", w.ID)
		}
		if size+len(data) > maxWorkerBucketBytes && !w.rowStored {
			c.workersLeftOut = append(c.workersLeftOut, w)
			continue
		}
		size += len(data)
		w.writtenLeasesEndBy = w.LeasesEndBy
		workers, list = append(workers, w), append(list, stored)
	}
	return workers, list, nil
}
