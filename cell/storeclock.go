package cell

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// storeClock bounds the store's clock from above, on the clock of this instance. The
// time in the leadership row must not be earlier than the moment from which the leader
// counts its leases: the next leader counts them from that time. An answer of the store
// may be old when it is processed, for example after the process was paused, but it is
// never older than its request, so the bound counts from the time of the request.
type storeClock struct {
	offset structs.Timestamp // the bound minus the instance's clock
	setAt  structs.Timestamp // the instance's clock when offset was set; 0 if it is not set
	resets int               // how often an answer was later than the bound
}

// maxDrift is the largest difference between the rates of the two clocks. Clocks that
// are kept in step by NTP differ by less than half of it.
const maxDrift = 1e-3

// storeTimeUnit is the unit in which the store gives its time, rounded down.
const storeTimeUnit = structs.Timestamp(time.Millisecond)

// record takes over the store's time from the answer to a request, whose sending and
// receipt are on the instance's clock. It keeps the closest bound: a slow answer gives
// a late one. An answer later than the bound shows that the instance's clock has stood
// still, as in a machine that was suspended; its own bound then holds.
func (c *storeClock) record(storeTime time.Duration, sentAt, receivedAt structs.Timestamp) {
	if storeTime == 0 {
		return // the answer does not give it
	}
	upper, lower := structs.Timestamp(storeTime)+storeTimeUnit-sentAt, structs.Timestamp(storeTime)-receivedAt
	bound := c.latest(receivedAt) - receivedAt
	wrong := c.setAt != 0 && lower > bound
	if wrong {
		c.resets++
	}
	if c.setAt == 0 || wrong || upper <= bound {
		c.offset, c.setAt = upper, receivedAt
	}
}

// latest returns the latest time that the store's clock may show at a time on the
// instance's clock.
func (c *storeClock) latest(at structs.Timestamp) structs.Timestamp {
	return at + c.offset + structs.Timestamp(maxDrift*float64(at.Sub(c.setAt)))
}
