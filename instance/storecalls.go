package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
)

// storeOperations are the values of the label "op" of the store call metrics.
var storeOperations = []string{
	"table-get", "table-scan", "table-commit", "object-put", "object-get", "object-list", "object-delete",
}

// storeCallMetrics counts and times the calls to the table and the object
// store.
type storeCallMetrics struct {
	set       *metrics.Set
	counts    map[string]*metrics.Counter
	durations map[string]*metrics.Histogram
}

func newStoreCallMetrics(set *metrics.Set) *storeCallMetrics {
	c := &storeCallMetrics{set: set, counts: map[string]*metrics.Counter{}, durations: map[string]*metrics.Histogram{}}
	for _, op := range storeOperations {
		c.counts[op] = set.NewCounter(fmt.Sprintf("mangodrum_store_calls_total{op=%q}", op))
		c.durations[op] = set.NewHistogram(fmt.Sprintf("mangodrum_store_call_seconds{op=%q}", op))
	}
	for _, kind := range []errs.Kind{errs.NotRun, errs.OutcomeUnknown, errs.Conflict} {
		c.errorCounter("table-commit", kind)
	}
	return c
}

// errorCounter returns the counter of failed calls of an operation by error
// kind.
func (c *storeCallMetrics) errorCounter(op string, kind errs.Kind) *metrics.Counter {
	if kind == "" {
		kind = "other"
	}
	return c.set.GetOrCreateCounter(fmt.Sprintf("mangodrum_store_call_errors_total{op=%q,kind=%q}", op, kind))
}

// record counts a call that began at start. An error of kind errs.NotFound is
// a valid result and does not count as a failure.
func (c *storeCallMetrics) record(op string, start time.Time, err error) {
	c.counts[op].Inc()
	c.durations[op].UpdateDuration(start)
	if err != nil && !errs.Is(err, errs.NotFound) {
		c.errorCounter(op, errs.KindOf(err)).Inc()
	}
}

// instrumentedTable records the result and the duration of every call.
type instrumentedTable struct {
	provider.Table
	health  *storeHealth
	metrics *storeCallMetrics
}

func (t *instrumentedTable) record(op string, start time.Time, err error) {
	t.health.record(err)
	t.metrics.record(op, start, err)
}

// Get implements provider.Table.
func (t *instrumentedTable) Get(ctx context.Context, key string) (provider.Row, error) {
	start := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.record("table-get", start, err)
	return row, err
}

// Scan implements provider.Table.
func (t *instrumentedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	start := time.Now()
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.record("table-scan", start, err)
	return rows, err
}

// Commit implements provider.Table.
func (t *instrumentedTable) Commit(ctx context.Context, txn provider.Txn) (provider.TxnResult, error) {
	start := time.Now()
	result, err := t.Table.Commit(ctx, txn)
	t.record("table-commit", start, err)
	return result, err
}

// instrumentedObjects records the duration of every call.
type instrumentedObjects struct {
	provider.Objects
	metrics *storeCallMetrics
}

// Put implements provider.Objects.
func (o *instrumentedObjects) Put(ctx context.Context, name string, data []byte) error {
	start := time.Now()
	err := o.Objects.Put(ctx, name, data)
	o.metrics.record("object-put", start, err)
	return err
}

// Get implements provider.Objects.
func (o *instrumentedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	start := time.Now()
	data, err := o.Objects.Get(ctx, name)
	o.metrics.record("object-get", start, err)
	return data, err
}

// List implements provider.Objects.
func (o *instrumentedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	start := time.Now()
	names, err := o.Objects.List(ctx, prefix)
	o.metrics.record("object-list", start, err)
	return names, err
}

// Delete implements provider.Objects.
func (o *instrumentedObjects) Delete(ctx context.Context, name string) error {
	start := time.Now()
	err := o.Objects.Delete(ctx, name)
	o.metrics.record("object-delete", start, err)
	return err
}
