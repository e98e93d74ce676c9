package placement

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

const million = 1_000_000

// proportion is a pair of amounts of processors and memory that count as
// equal: the mean capacity of the workers.
type proportion struct{ milliCPU, memoryBytes int64 }

// proportionOf rounds the mean capacity down to four significant bits, so
// that the proportion seldom changes as workers come and go.
func proportionOf(total structs.Resources, workers int) proportion {
	n := int64(max(workers, 1))
	return proportion{roundDown(total.MilliCPU / n), roundDown(total.MemoryBytes / n)}
}

func roundDown(v int64) int64 {
	low := max(bits.Len64(uint64(v))-4, 0)
	return v >> low << low
}

// shares returns the processors and the memory of r in parts per million of
// the proportion. They are negative if r is.
func (p proportion) shares(r structs.Resources) (cpu, memory int64) {
	return signedShare(r.MilliCPU, p.milliCPU), signedShare(r.MemoryBytes, p.memoryBytes)
}

// surplus returns by how much processors exceed memory in r, in parts per
// million of the proportion.
func (p proportion) surplus(r structs.Resources) int64 {
	cpu, memory := p.shares(r)
	return cpu - memory
}

// tightness is the weight of a small remainder against a balanced one, in
// percent. Trials from 1 to 30 packed alike up to 3 and worse above 10.
const tightness = 3

// score rates how well the task fits the worker, from 0 to one million. The
// best worker is one that the task brings closest to balance, so that no
// remainder of one resource alone is stranded; among equals, the one with the
// smallest remainder. A worker whose accelerators the task does not need gets
// half the score.
func (s *search) score(rec *worker) int64 {
	free := rec.free()
	left := free.Sub(s.req.Resources)
	cost := s.imbalance(left) - s.imbalance(free)
	cpu, memory := s.scale.shares(left)
	cost += min(max(cpu, memory), million) * tightness / 100
	if s.req.Resources.Accelerators > 0 {
		cost += share(left.Accelerators, rec.Capacity.Accelerators)
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
	surplus := s.scale.surplus(r)
	return max(surplus, -surplus)
}

// share returns part of whole in parts per million, at least 0.
func share(part, whole int64) int64 { return max(signedShare(part, whole), 0) }

func signedShare(part, whole int64) int64 {
	if part == 0 {
		return 0
	}
	if whole <= 0 {
		return million
	}
	return int64(float64(part) / float64(whole) * million)
}
