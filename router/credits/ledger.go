package credits

import "github.com/mangodrum/mangodrum/structs"

// ConnectionsFor returns the connections that come with the given number of
// an executor's slots. The shares of all holders never sum up to more than
// the executor's connections.
func ConnectionsFor(e structs.Executor, slots int) int {
	usable := UsableSlots(e)
	if usable == 0 {
		return 0
	}
	return min(slots, usable) * e.Connections / usable
}

// UsableSlots returns the slots that have a connection.
func UsableSlots(e structs.Executor) int { return max(0, min(e.Slots, e.Connections)) }
