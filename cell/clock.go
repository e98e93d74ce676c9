package cell

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangodrum/mangodrum/structs"
)

// clock is a steady clock that also counts the time for which the instance
// was suspended. Reading it costs no system call; the suspended time is added
// by Adjust.
type clock struct {
	origin    time.Time
	suspended atomic.Int64 // ns
	mu        sync.Mutex
	base      int64 // boot time less steady time at the origin
}

func newClock() *clock {
	c := &clock{origin: time.Now()}
	c.base = bootTime()
	return c
}

// bootTime returns the time since boot, suspended time included, in ns.
func bootTime() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0 // the kernel has no such clock; a suspension then shows as fenced orders
	}
	return ts.Nano()
}

// Now returns the time since the clock was made.
func (c *clock) Now() structs.Timestamp {
	return structs.Timestamp(time.Since(c.origin)) + structs.Timestamp(c.suspended.Load())
}

// Adjust adds the time of a suspension and returns it.
func (c *clock) Adjust() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	const noise = int64(20 * time.Millisecond) // of reading two clocks one after the other
	gap := bootTime() - c.base - int64(time.Since(c.origin)) - c.suspended.Load()
	if gap < noise {
		return 0
	}
	c.suspended.Add(gap)
	return time.Duration(gap)
}
