package quota

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

// Portions divides an amount among shards in proportion to their capacities,
// resource by resource. The portions add up to exactly the amount, or to zero
// for a resource that no shard has. Every instance computes the same portions
// from the same list, so instances need not exchange them.
func Portions(amount structs.Resources, capacities []structs.Resources) []structs.Resources {
	var total, cumulative structs.Resources
	for _, c := range capacities {
		total = total.Add(nonNegative(c))
	}
	portions := make([]structs.Resources, len(capacities))
	var assigned structs.Resources
	for i, c := range capacities {
		cumulative = cumulative.Add(nonNegative(c))
		upTo := structs.Resources{
			MilliCPU:     mulDiv(amount.MilliCPU, cumulative.MilliCPU, total.MilliCPU),
			MemoryBytes:  mulDiv(amount.MemoryBytes, cumulative.MemoryBytes, total.MemoryBytes),
			Accelerators: mulDiv(amount.Accelerators, cumulative.Accelerators, total.Accelerators),
		}
		portions[i] = upTo.Sub(assigned)
		assigned = upTo
	}
	return portions
}

// ForShard returns the part of the limits that applies in the given shard.
func (l Limits) ForShard(capacities []structs.Resources, shard int) Limits {
	l.Guaranteed = Portions(l.Guaranteed, capacities)[shard]
	l.BorrowLimit = Portions(l.BorrowLimit, capacities)[shard]
	return l
}

// mulDiv returns amount*part/whole, rounded down. The 128-bit product does not
// overflow. part must not exceed whole.
func mulDiv(amount, part, whole int64) int64 {
	if amount <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(part))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return int64(quotient)
}
