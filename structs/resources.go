package structs

import "fmt"

// Resources is an amount of each resource that a worker holds or a task needs.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" cbor:"1,keyasint"`    // thousandths of a core
	MemoryBytes  int64 `json:"memory_bytes" cbor:"2,keyasint"` // bytes
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint"` // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most capacity in every resource.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryBytes <= capacity.MemoryBytes &&
		r.Accelerators <= capacity.Accelerators
}

// IsNegative reports whether any resource is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCPU < 0 || r.MemoryBytes < 0 || r.Accelerators < 0
}

// IsZero reports whether every resource is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryBytes * n, r.Accelerators * n}
}

// DominantShare returns the largest fraction of capacity that r takes in any
// resource, in parts per million. A resource that capacity lacks counts as fully
// used if r needs it, and is ignored otherwise.
func (r Resources) DominantShare(capacity Resources) int64 {
	share := partsPerMillion(r.MilliCPU, capacity.MilliCPU)
	share = max(share, partsPerMillion(r.MemoryBytes, capacity.MemoryBytes))
	return max(share, partsPerMillion(r.Accelerators, capacity.Accelerators))
}

const million = 1_000_000

// partsPerMillion returns part divided by whole in parts per million. It returns
// 0 if part is not positive, and a million if only whole is not.
func partsPerMillion(part, whole int64) int64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return million
	}
	return int64(float64(part) / float64(whole) * million)
}

// String formats r for messages, for example "4 cores, 8.0 GiB, 1 accelerator(s)".
func (r Resources) String() string {
	const gib = 1 << 30
	return fmt.Sprintf("%g cores, %.1f GiB, %d accelerator(s)",
		float64(r.MilliCPU)/1000, float64(r.MemoryBytes)/gib, r.Accelerators)
}
