package instance

import (
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
)

// storeHealth tracks whether the platform's table is reachable, by the result
// of the latest call.
type storeHealth struct {
	mu      sync.Mutex
	down    bool
	since   time.Time
	lastErr string
}

// record updates the health by the result of one call. Errors of kind
// errs.Conflict and errs.NotFound are responses of a working table.
func (h *storeHealth) record(err error) {
	kind := errs.KindOf(err)
	down := err != nil && kind != errs.Conflict && kind != errs.NotFound
	h.mu.Lock()
	defer h.mu.Unlock()
	if down {
		h.lastErr = err.Error()
	}
	if down != h.down || h.since.IsZero() {
		h.down = down
		h.since = time.Now()
	}
}

func (h *storeHealth) isHealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down
}

func (h *storeHealth) get() (down bool, since time.Time, lastErr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down, h.since, h.lastErr
}
