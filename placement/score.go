package placement

import "github.com/mangodrum/mangodrum/structs"

const million = 1_000_000

// proportion is a pair of amounts of processors and memory that count as
// equal: the mean capacity of the workers.
type proportion struct{ milliCPU, memoryBytes int64 }

func proportionOf(total structs.Resources, workers int) proportion {
	n := int64(max(workers, 1))
	return proportion{total.MilliCPU / n, total.MemoryBytes / n}
}

// shares returns the processors and the memory of r in parts per million of
// the proportion. They are negative if r is.
func (p proportion) shares(r structs.Resources) (cpu, memory int64) {
	return signedShare(r.MilliCPU, p.milliCPU), signedShare(r.MemoryBytes, p.memoryBytes)
}

// surplus returns by how much the resource of dim exceeds the other one in r,
// in parts per million of the proportion.
func (p proportion) surplus(dim dimension, r structs.Resources) int64 {
	cpu, memory := p.shares(r)
	switch dim {
	case byCPU:
		return cpu - memory
	case byMemory:
		return memory - cpu
	}
	return 0
}

// differs reports whether the two proportions differ by more than a
// sixteenth, which changes the order of few workers. A proportion without
// workers differs from every other.
func (p proportion) differs(o proportion) bool {
	if o == (proportion{}) {
		return p != o
	}
	a := float64(p.milliCPU) * float64(o.memoryBytes)
	b := float64(o.milliCPU) * float64(p.memoryBytes)
	return a*16 > b*17 || b*16 > a*17
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
	surplus := s.scale.surplus(byCPU, r)
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
