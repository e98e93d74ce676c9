package quota

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

// Portions divides an amount among shards in proportion to their capacities,
// resource by resource. The portions add up to the amount exactly, or to zero
// of a resource that no shard has. Every instance computes the same portions
// from the same list, so no message is needed.
func Portions(amount structs.Resources, capacities []structs.Resources) []structs.Resources {
	var total, seen structs.Resources
	for _, c := range capacities {
		total = total.Add(positive(c))
	}
	portions := make([]structs.Resources, len(capacities))
	var given structs.Resources
	for i, c := range capacities {
		seen = seen.Add(positive(c))
		upTo := structs.Resources{
			MilliCPU:     scaled(amount.MilliCPU, seen.MilliCPU, total.MilliCPU),
			MemoryBytes:  scaled(amount.MemoryBytes, seen.MemoryBytes, total.MemoryBytes),
			Accelerators: scaled(amount.Accelerators, seen.Accelerators, total.Accelerators),
		}
		portions[i] = upTo.Sub(given)
		given = upTo
	}
	return portions
}

// Portion returns the limits of the team in one of the shards.
func (l Limits) Portion(capacities []structs.Resources, shard int) Limits {
	l.Guaranteed = Portions(l.Guaranteed, capacities)[shard]
	l.Borrow = Portions(l.Borrow, capacities)[shard]
	return l
}

// scaled returns amount*part/whole rounded down, without overflow.
func scaled(amount, part, whole int64) int64 {
	if amount <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(part))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return int64(quotient)
}
