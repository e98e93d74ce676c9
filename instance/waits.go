package instance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// waitPeriod is the length of a period. Quantiles of wait times cover the
	// current and the previous period, which is 5 to 10 minutes.
	waitPeriod = 5 * time.Minute
	// firstBucketBound is the upper bound of the first bucket, and
	// bucketGrowth the ratio of the bounds of neighbouring buckets. The ratio
	// of 1.1 makes a quantile at most a tenth too large.
	firstBucketBound = time.Millisecond
	bucketGrowth     = 1.1
)

// waitHistogram counts wait times by bucket.
type waitHistogram map[int]uint64

// waitRecorder keeps histograms of the recent wait times of tasks by shard and
// class.
type waitRecorder struct {
	mu          sync.Mutex
	periodStart structs.Timestamp // of the current period
	current     map[waitKey]waitHistogram
	previous    map[waitKey]waitHistogram
}

type waitKey struct {
	shard structs.ShardID
	class structs.ClassName
}

// classWaits holds the recent wait times of a class at one shard.
type classWaits struct {
	Class  structs.ClassName `cbor:"1,keyasint"`
	Counts waitHistogram     `cbor:"2,keyasint"`
}

// bucketOf returns the bucket of a wait time.
func bucketOf(wait time.Duration) int {
	if wait <= firstBucketBound {
		return 0
	}
	return int(math.Ceil(math.Log(float64(wait)/float64(firstBucketBound)) / math.Log(bucketGrowth)))
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(bucket int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Pow(bucketGrowth, float64(bucket)))
}

// observe records the time that a task waited between its acceptance and its
// start.
func (r *waitRecorder) observe(now structs.Timestamp, shard structs.ShardID, class structs.ClassName, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	key := waitKey{shard, class}
	if r.current[key] == nil {
		r.current[key] = waitHistogram{}
	}
	r.current[key][bucketOf(wait)]++
}

// rotate starts a new period if the current one is over.
func (r *waitRecorder) rotate(now structs.Timestamp) {
	if r.current != nil && now.Sub(r.periodStart) < waitPeriod {
		return
	}
	r.previous = r.current
	if now.Sub(r.periodStart) >= 2*waitPeriod {
		r.previous = nil
	}
	r.current = map[waitKey]waitHistogram{}
	r.periodStart = now
}

// ofShard returns the wait times of both periods at a shard, by class.
func (r *waitRecorder) ofShard(now structs.Timestamp, shard structs.ShardID) []classWaits {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	sums := map[structs.ClassName]waitHistogram{}
	for _, period := range []map[waitKey]waitHistogram{r.previous, r.current} {
		for key, counts := range period {
			if key.shard == shard {
				sums[key.class] = addHistogram(sums[key.class], counts)
			}
		}
	}
	var out []classWaits
	for class, counts := range sums {
		out = append(out, classWaits{Class: class, Counts: counts})
	}
	return out
}

// addHistogram adds counts to sum and returns sum.
func addHistogram(sum, counts waitHistogram) waitHistogram {
	if sum == nil {
		sum = waitHistogram{}
	}
	for bucket, n := range counts {
		sum[bucket] += n
	}
	return sum
}

// mergeWaits merges the wait times of all shards and returns the quantiles of
// each class.
func mergeWaits(all []classWaits) []operatorapi.ClassWaitTimes {
	sums := map[structs.ClassName]waitHistogram{}
	for _, w := range all {
		sums[w.Class] = addHistogram(sums[w.Class], w.Counts)
	}
	var out []operatorapi.ClassWaitTimes
	for class, counts := range sums {
		out = append(out, operatorapi.ClassWaitTimes{
			Class: class, P50: counts.quantile(0.5), P99: counts.quantile(0.99), Count: counts.total(),
		})
	}
	slices.SortFunc(out, func(a, b operatorapi.ClassWaitTimes) int { return cmp.Compare(a.Class, b.Class) })
	return out
}

func (c waitHistogram) total() uint64 {
	var n uint64
	for _, count := range c {
		n += count
	}
	return n
}

// quantile returns the upper bound of the bucket that contains the q-quantile.
func (c waitHistogram) quantile(q float64) time.Duration {
	buckets := make([]int, 0, len(c))
	for bucket := range c {
		buckets = append(buckets, bucket)
	}
	slices.Sort(buckets)
	rank := uint64(math.Ceil(q * float64(c.total())))
	var seen uint64
	for _, bucket := range buckets {
		if seen += c[bucket]; seen >= rank {
			return bucketBound(bucket)
		}
	}
	return 0
}
