package placement

const million = 1_000_000

// score rates how well the task fits the worker, from 0 to one million.
// Little free resource left is good, and so is a remainder whose resources
// are in proportion, since a remainder of one resource alone is of no use.
// A worker whose accelerators the task does not need gets half the score.
func (s *search) score(rec *worker) int64 {
	left := rec.free().Sub(s.req.Resources)
	cpu := min(share(left.MilliCPU, s.scale.MilliCPU), million)
	memory := min(share(left.MemoryBytes, s.scale.MemoryBytes), million)
	unbalanced := max(cpu-memory, memory-cpu)
	score := million - (max(cpu, memory)*7+unbalanced*3)/10
	if rec.class == withAccelerators && s.req.Resources.Accelerators == 0 {
		return score / 2
	}
	return score
}

// share returns part of whole in parts per million.
func share(part, whole int64) int64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return million
	}
	return int64(float64(part) / float64(whole) * million)
}
