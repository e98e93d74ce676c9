package instance

import (
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
)

// storeHealth remembers whether the platform's table answers.
type storeHealth struct {
	mu      sync.Mutex
	down    bool
	since   time.Time
	lastErr string
}

// note records the result of one call. A refusal by a condition or a missing
// row is an answer.
func (h *storeHealth) note(err error) {
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

func (h *storeHealth) read() (down bool, since time.Time, lastErr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down, h.since, h.lastErr
}
