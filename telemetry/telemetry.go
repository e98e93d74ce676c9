// Package telemetry provides loggers, a non-blocking log writer and counters of
// a reducer's events and effects. Instances log only changes of state;
// everything else is measured by metrics.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// NewLogger returns a logger that writes to out at the given level ("debug",
// "info", "warn" or "error"), as JSON if json is set.
func NewLogger(out io.Writer, name, level string, json bool) (hclog.Logger, error) {
	parsed := hclog.LevelFromString(level)
	if parsed == hclog.NoLevel {
		return nil, errs.New(errs.InvalidInput, "use debug, info, warn or error", "log level %q does not exist", level)
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: out, Level: parsed, JSONFormat: json}), nil
}

// ReducerMetrics counts the events and effects of a reducer by kind. It is not
// safe for concurrent use, because a reducer runs in a single goroutine.
type ReducerMetrics struct {
	set     *metrics.Set
	events  map[string]*metrics.Counter
	effects map[string]*metrics.Counter
}

// NewReducerMetrics returns a ReducerMetrics that registers its counters in set.
func NewReducerMetrics(set *metrics.Set) *ReducerMetrics {
	return &ReducerMetrics{set: set, events: map[string]*metrics.Counter{}, effects: map[string]*metrics.Counter{}}
}

// CountEvent counts one event.
func (r *ReducerMetrics) CountEvent(event structs.Event) {
	r.count(r.events, "mangodrum_events_total", event.Kind())
}

// CountEffect counts one effect.
func (r *ReducerMetrics) CountEffect(effect structs.Effect) {
	r.count(r.effects, "mangodrum_effects_total", effect.Kind())
}

func (r *ReducerMetrics) count(counters map[string]*metrics.Counter, name, kind string) {
	counter := counters[kind]
	if counter == nil {
		counter = r.set.GetOrCreateCounter(fmt.Sprintf(`%s{kind=%q}`, name, kind))
		counters[kind] = counter
	}
	counter.Inc()
}
