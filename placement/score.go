package placement

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

const million = 1_000_000

// referenceCapacity is the mean capacity of the workers. Amounts of processors
// and memory are compared as fractions of it.
type referenceCapacity struct{ milliCPU, memoryBytes int64 }

// newReferenceCapacity returns the mean capacity, rounded down to four
// significant bits so that it seldom changes as workers are added or removed.
func newReferenceCapacity(total structs.Resources, workers int) referenceCapacity {
	n := int64(max(workers, 1))
	return referenceCapacity{roundDown(total.MilliCPU / n), roundDown(total.MemoryBytes / n)}
}

func roundDown(v int64) int64 {
	low := max(bits.Len64(uint64(v))-4, 0)
	return v >> low << low
}

// ratios returns the processors and the memory of r in parts per million of
// the reference capacity. Negative amounts give negative ratios.
func (p referenceCapacity) ratios(r structs.Resources) (cpu, memory int64) {
	return signedRatio(r.MilliCPU, p.milliCPU), signedRatio(r.MemoryBytes, p.memoryBytes)
}

// cpuSurplus returns by how much the processors in r exceed its memory, in
// parts per million of the reference capacity.
func (p referenceCapacity) cpuSurplus(r structs.Resources) int64 {
	cpu, memory := p.ratios(r)
	return cpu - memory
}

// remainderWeightPercent is the weight of the size of the remainder, in percent
// of the weight of its imbalance. Of the values from 1 to 30, those up to 3
// packed alike and those above 10 packed worse.
const remainderWeightPercent = 3

// score rates how well the task fits the worker, from 0 to one million. It
// favours a worker whose free processors and memory the task brings closer to
// balance, so that no resource is stranded, and then a worker with a small
// remainder. If the worker has accelerators that the task does not need, the
// score is halved.
func (s *search) score(rec *workerRecord) int64 {
	free := rec.free()
	left := free.Sub(s.req.Resources)
	cost := s.imbalance(left) - s.imbalance(free)
	cpu, memory := s.reference.ratios(left)
	cost += min(max(cpu, memory), million) * remainderWeightPercent / 100
	if s.req.Resources.Accelerators > 0 {
		cost += ratio(left.Accelerators, rec.Capacity.Accelerators)
	}
	const lowest, highest = -million, 3 * million
	cost = min(max(cost, lowest), highest)
	score := (highest - cost) / 4
	if rec.class == withAccelerators && s.req.Resources.Accelerators == 0 {
		return score / 2
	}
	return score
}

func (s *search) imbalance(r structs.Resources) int64 {
	surplus := s.reference.cpuSurplus(r)
	return max(surplus, -surplus)
}

// ratio returns part/whole in parts per million, at least 0.
func ratio(part, whole int64) int64 { return max(signedRatio(part, whole), 0) }

func signedRatio(part, whole int64) int64 {
	if part == 0 {
		return 0
	}
	if whole <= 0 {
		return million
	}
	return int64(float64(part) / float64(whole) * million)
}
