// Package baseline provides simple placement algorithms and workloads for the
// tests and benchmarks of package placement. Nothing else uses it.
package baseline

import "github.com/mangodrum/mangodrum/structs"

// Scan places tasks by examining workers one by one. It supports no
// constraints, which makes it faster in benchmarks than a full implementation.
type Scan struct {
	Workers []structs.Worker
	Free    []structs.Resources // free resources of the worker with the same index
	mean    structs.Resources
}

// NewScan returns a Scan over empty workers.
func NewScan(workers []structs.Worker) *Scan {
	s := &Scan{Workers: workers}
	for _, w := range workers {
		s.Free = append(s.Free, w.Capacity)
		s.mean = s.mean.Add(w.Capacity)
	}
	n := int64(max(len(workers), 1))
	s.mean = structs.Resources{MilliCPU: max(s.mean.MilliCPU/n, 1), MemoryBytes: max(s.mean.MemoryBytes/n, 1)}
	return s
}

// FirstFit returns the first worker in order that fits, or -1.
func (s *Scan) FirstFit(r structs.Resources) int {
	for i := range s.Free {
		if r.Fits(s.Free[i]) {
			return i
		}
	}
	return -1
}

// FullScan scores every worker that fits and returns the best, or -1. Like
// package placement, it favours a balanced remainder first and a small one
// second.
func (s *Scan) FullScan(r structs.Resources) int {
	best, bestCost := -1, 0.0
	for i := range s.Free {
		if !r.Fits(s.Free[i]) {
			continue
		}
		cost := s.cost(s.Free[i], r)
		if s.Workers[i].Capacity.Accelerators > 0 && r.Accelerators == 0 {
			cost += 10
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (s *Scan) cost(free, r structs.Resources) float64 {
	cpu, memory := s.shares(free)
	leftCPU, leftMemory := s.shares(free.Sub(r))
	return distance(leftCPU, leftMemory) - distance(cpu, memory) + 0.03*max(leftCPU, leftMemory)
}

func (s *Scan) shares(r structs.Resources) (cpu, memory float64) {
	return float64(r.MilliCPU) / float64(s.mean.MilliCPU), float64(r.MemoryBytes) / float64(s.mean.MemoryBytes)
}

func distance(a, b float64) float64 { return max(a-b, b-a) }
