package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
)

// storeOperations are the calls to the table and the object store.
var storeOperations = []string{
	"table-get", "table-scan", "table-commit", "object-put", "object-get", "object-list", "object-delete",
}

// storeCalls measures the calls to the table and the object store.
type storeCalls struct {
	set   *metrics.Set
	calls map[string]*metrics.Counter
	times map[string]*metrics.Histogram
}

func newStoreCalls(set *metrics.Set) *storeCalls {
	c := &storeCalls{set: set, calls: map[string]*metrics.Counter{}, times: map[string]*metrics.Histogram{}}
	for _, op := range storeOperations {
		c.calls[op] = set.NewCounter(fmt.Sprintf("mangodrum_store_calls_total{op=%q}", op))
		c.times[op] = set.NewHistogram(fmt.Sprintf("mangodrum_store_call_seconds{op=%q}", op))
	}
	for _, kind := range []errs.Kind{errs.NotRun, errs.OutcomeUnknown, errs.Conflict} {
		c.errors("table-commit", kind)
	}
	return c
}

func (c *storeCalls) errors(op string, kind errs.Kind) *metrics.Counter {
	if kind == "" {
		kind = "other"
	}
	return c.set.GetOrCreateCounter(fmt.Sprintf("mangodrum_store_call_errors_total{op=%q,kind=%q}", op, kind))
}

// measure counts a call that began at start. A missing row is an answer.
func (c *storeCalls) measure(op string, start time.Time, err error) {
	c.calls[op].Inc()
	c.times[op].UpdateDuration(start)
	if err != nil && !errs.Is(err, errs.NotFound) {
		c.errors(op, errs.KindOf(err)).Inc()
	}
}

// watchedTable notes the health and the duration of every call.
type watchedTable struct {
	provider.Table
	health *storeHealth
	calls  *storeCalls
}

func (t *watchedTable) note(op string, start time.Time, err error) {
	t.health.note(err)
	t.calls.measure(op, start, err)
}

// Get implements provider.Table.
func (t *watchedTable) Get(ctx context.Context, key string) (provider.Row, error) {
	start := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.note("table-get", start, err)
	return row, err
}

// Scan implements provider.Table.
func (t *watchedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	start := time.Now()
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.note("table-scan", start, err)
	return rows, err
}

// Commit implements provider.Table.
func (t *watchedTable) Commit(ctx context.Context, txn provider.Txn) (provider.TxnResult, error) {
	start := time.Now()
	result, err := t.Table.Commit(ctx, txn)
	t.note("table-commit", start, err)
	return result, err
}

// watchedObjects notes the duration of every call.
type watchedObjects struct {
	provider.Objects
	calls *storeCalls
}

// Put implements provider.Objects.
func (o *watchedObjects) Put(ctx context.Context, name string, data []byte) error {
	start := time.Now()
	err := o.Objects.Put(ctx, name, data)
	o.calls.measure("object-put", start, err)
	return err
}

// Get implements provider.Objects.
func (o *watchedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	start := time.Now()
	data, err := o.Objects.Get(ctx, name)
	o.calls.measure("object-get", start, err)
	return data, err
}

// List implements provider.Objects.
func (o *watchedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	start := time.Now()
	names, err := o.Objects.List(ctx, prefix)
	o.calls.measure("object-list", start, err)
	return names, err
}

// Delete implements provider.Objects.
func (o *watchedObjects) Delete(ctx context.Context, name string) error {
	start := time.Now()
	err := o.Objects.Delete(ctx, name)
	o.calls.measure("object-delete", start, err)
	return err
}
