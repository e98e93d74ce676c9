package instance

import (
	"context"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/platform"
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

// watchedTable notes the health of every call.
type watchedTable struct {
	platform.Table
	health *storeHealth
}

// Get implements platform.Table.
func (t *watchedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	t.health.note(err)
	return row, err
}

// Scan implements platform.Table.
func (t *watchedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.health.note(err)
	return rows, err
}

// Commit implements platform.Table.
func (t *watchedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	result, err := t.Table.Commit(ctx, txn)
	t.health.note(err)
	return result, err
}
