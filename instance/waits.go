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
	// waitPeriod is the length of one of the two periods that quantiles of
	// waiting times cover: they look back over 5 to 10 minutes.
	waitPeriod = 5 * time.Minute
	// waitBase and waitGrowth give the bounds of the buckets, so a quantile
	// is at most a tenth too large.
	waitBase   = time.Millisecond
	waitGrowth = 1.1
)

// waitCounts counts waiting times by bucket.
type waitCounts map[int]uint64

// waitRecorder keeps the recent waiting times of tasks by shard and class.
type waitRecorder struct {
	mu       sync.Mutex
	started  structs.Timestamp // of the present period
	present  map[waitKey]waitCounts
	previous map[waitKey]waitCounts
}

type waitKey struct {
	shard structs.ShardID
	class structs.ClassName
}

// classWaits are the waiting times of a class at one shard.
type classWaits struct {
	Class  structs.ClassName `cbor:"1,keyasint"`
	Counts waitCounts        `cbor:"2,keyasint"`
}

func bucketOf(wait time.Duration) int {
	if wait <= waitBase {
		return 0
	}
	return int(math.Ceil(math.Log(float64(wait)/float64(waitBase)) / math.Log(waitGrowth)))
}

func boundOf(bucket int) time.Duration {
	return time.Duration(float64(waitBase) * math.Pow(waitGrowth, float64(bucket)))
}

// observe records the time from the acceptance of a task to its start.
func (r *waitRecorder) observe(now structs.Timestamp, shard structs.ShardID, class structs.ClassName, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	key := waitKey{shard, class}
	if r.present[key] == nil {
		r.present[key] = waitCounts{}
	}
	r.present[key][bucketOf(wait)]++
}

func (r *waitRecorder) rotate(now structs.Timestamp) {
	if r.present != nil && now.Sub(r.started) < waitPeriod {
		return
	}
	r.previous = r.present
	if now.Sub(r.started) >= 2*waitPeriod {
		r.previous = nil
	}
	r.present = map[waitKey]waitCounts{}
	r.started = now
}

// of returns the recent waiting times at a shard.
func (r *waitRecorder) of(now structs.Timestamp, shard structs.ShardID) []classWaits {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	sums := map[structs.ClassName]waitCounts{}
	for _, period := range []map[waitKey]waitCounts{r.previous, r.present} {
		for key, counts := range period {
			if key.shard == shard {
				sums[key.class] = addCounts(sums[key.class], counts)
			}
		}
	}
	var out []classWaits
	for class, counts := range sums {
		out = append(out, classWaits{Class: class, Counts: counts})
	}
	return out
}

func addCounts(sum, counts waitCounts) waitCounts {
	if sum == nil {
		sum = waitCounts{}
	}
	for bucket, n := range counts {
		sum[bucket] += n
	}
	return sum
}

// mergeWaits returns the quantiles of each class over all shards.
func mergeWaits(all []classWaits) []operatorapi.ClassWait {
	sums := map[structs.ClassName]waitCounts{}
	for _, w := range all {
		sums[w.Class] = addCounts(sums[w.Class], w.Counts)
	}
	var out []operatorapi.ClassWait
	for class, counts := range sums {
		out = append(out, operatorapi.ClassWait{
			Class: class, P50: counts.quantile(0.5), P99: counts.quantile(0.99), Count: counts.total(),
		})
	}
	slices.SortFunc(out, func(a, b operatorapi.ClassWait) int { return cmp.Compare(a.Class, b.Class) })
	return out
}

func (c waitCounts) total() uint64 {
	var n uint64
	for _, count := range c {
		n += count
	}
	return n
}

// quantile returns the bound of the bucket that holds the q-quantile.
func (c waitCounts) quantile(q float64) time.Duration {
	buckets := make([]int, 0, len(c))
	for bucket := range c {
		buckets = append(buckets, bucket)
	}
	slices.Sort(buckets)
	rank := uint64(math.Ceil(q * float64(c.total())))
	var seen uint64
	for _, bucket := range buckets {
		if seen += c[bucket]; seen >= rank {
			return boundOf(bucket)
		}
	}
	return 0
}
