package cell

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangodrum/mangodrum/structs"
)

// clock is a monotonic clock that includes the time during which the instance
// was suspended. Reading it needs no system call; Adjust adds the suspended
// time.
type clock struct {
	origin         time.Time
	suspended      atomic.Int64 // ns
	mu             sync.Mutex
	originBootTime int64 // ns; time since boot at the origin
}

func newClock() *clock {
	c := &clock{origin: time.Now()}
	c.originBootTime = bootTime()
	return c
}

// bootTime returns the time since boot in ns, including suspended time.
func bootTime() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0 // the kernel has no such clock; after a suspension, workers reject requests as fenced
	}
	return ts.Nano()
}

// Now returns the time since the clock was created.
func (c *clock) Now() structs.Timestamp {
	return structs.Timestamp(time.Since(c.origin)) + structs.Timestamp(c.suspended.Load())
}

// Adjust adds the time of a suspension since the last call and returns it, or
// returns 0 if there was none.
func (c *clock) Adjust() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	const noise = int64(20 * time.Millisecond) // inaccuracy of reading two clocks one after the other
	gap := bootTime() - c.originBootTime - int64(time.Since(c.origin)) - c.suspended.Load()
	if gap < noise {
		return 0
	}
	c.suspended.Add(gap)
	return time.Duration(gap)
}
