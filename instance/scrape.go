package instance

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

// Metric types of the Prometheus text format.
const (
	typeGauge   = "gauge"
	typeCounter = "counter"
)

// metricFamily holds the samples of one metric.
type metricFamily struct {
	metricType string
	lines      []string
}

// scrape collects the metrics that are computed on each read, by name.
type scrape struct{ families map[string]*metricFamily }

// gauge adds a sample; labels are pairs of names and values.
func (s *scrape) gauge(name string, value float64, labels ...string) {
	s.add(typeGauge, name, value, labels)
}

// counter adds a sample; labels are pairs of names and values.
func (s *scrape) counter(name string, value float64, labels ...string) {
	s.add(typeCounter, name, value, labels)
}

func (s *scrape) add(metricType, name string, value float64, labels []string) {
	if s.families == nil {
		s.families = map[string]*metricFamily{}
	}
	if s.families[name] == nil {
		s.families[name] = &metricFamily{metricType: metricType}
	}
	s.families[name].lines = append(s.families[name].lines, fmt.Sprintf("%s%s %g\n", name, formatLabels(labels), value))
}

// formatLabels formats pairs of names and values as a label set.
func formatLabels(pairs []string) string {
	if len(pairs) == 0 {
		return ""
	}
	var parts []string
	for n := 0; n < len(pairs); n += 2 {
		parts = append(parts, fmt.Sprintf("%s=%q", pairs[n], pairs[n+1]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// write writes all samples in the Prometheus text format.
func (s *scrape) write(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(s.families)) {
		f := s.families[name]
		_, _ = fmt.Fprintf(w, "# HELP %s\n# TYPE %s %s\n", name, name, f.metricType)
		slices.Sort(f.lines)
		for _, line := range f.lines {
			_, _ = io.WriteString(w, line)
		}
	}
}

// writeMetrics writes all metrics of the instance.
func (i *Instance) writeMetrics(w io.Writer) {
	i.metricSet.WritePrometheus(w)
	var s scrape
	i.readState(func(now structs.Timestamp, state *core.State) {
		i.scrapeShards(&s, now, state)
		i.scrapeCell(&s, now, state)
	})
	i.scrapeGateway(&s)
	i.scrapeStore(&s)
	s.write(w)
}

// standingValues are the values of the metric mangodrum_shard_standing.
var standingValues = map[ownership.Status]float64{ownership.NotOwner: 0, ownership.LeaseExpired: 1, ownership.Owner: 2}

func (i *Instance) scrapeShards(s *scrape, now structs.Timestamp, state *core.State) {
	queues := queueTotals{}
	domains := domainTotals{}
	var counts scheduler.Counters
	for _, view := range state.ShardViews(now) {
		shard := string(view.ID)
		s.gauge("mangodrum_shard_standing", standingValues[view.OwnershipStatus], "shard", shard)
		s.gauge("mangodrum_shard_epoch", float64(view.Epoch), "shard", shard)
		s.gauge("mangodrum_shard_renewal_age_seconds", now.Sub(view.RenewedAt).Seconds(), "shard", shard)
		s.gauge("mangodrum_shard_horizon_seconds", view.Horizon.Sub(now).Seconds(), "shard", shard)
		if view.Scheduler == nil {
			continue
		}
		s.gauge("mangodrum_journal_backlog_records", float64(view.BacklogRecords), "shard", shard)
		s.gauge("mangodrum_journal_backlog_bytes", float64(view.BacklogBytes), "shard", shard)
		s.gauge("mangodrum_executor_slots", float64(view.Credits.Slots), "shard", shard)
		s.gauge("mangodrum_executor_slots_granted", float64(view.Credits.GrantedSlots), "shard", shard)
		s.gauge("mangodrum_executors_oversold", float64(view.Credits.OvercommittedExecutors), "shard", shard)
		s.gauge("mangodrum_credit_holders_unconfirmed", float64(view.Credits.Unconfirmed), "shard", shard)
		domains.add(i, view.Scheduler.Workers())
		for _, stat := range view.Scheduler.Queues(now) {
			if stat.Team != "" {
				queues.add(i.metrics.teamLabel(stat.Team), stat.Class, stat.Depth, stat.OldestAge)
			}
		}
		addCounters(&counts, view.Scheduler.Counters())
	}
	domains.write(s)
	queues.write(s, "mangodrum_task_queue_depth", "mangodrum_task_queue_oldest_seconds")
	writeScheduler(s, counts)
}

func addCounters(sum *scheduler.Counters, c scheduler.Counters) {
	sum.Placed += c.Placed
	sum.Requeued += c.Requeued
	sum.Ended += c.Ended
	sum.Preempted += c.Preempted
	sum.Throttled += c.Throttled
	sum.Oversized += c.Oversized
	sum.Quarantined += c.Quarantined
}

// writeScheduler writes the counters of the shards that the instance owns. A
// shard's counters restart at zero when an instance takes over the shard;
// readers of counters treat a decrease as a restart of the process.
func writeScheduler(s *scrape, c scheduler.Counters) {
	s.counter("mangodrum_tasks_placed_total", float64(c.Placed))
	s.counter("mangodrum_tasks_requeued_total", float64(c.Requeued))
	s.counter("mangodrum_tasks_ended_total", float64(c.Ended))
	s.counter("mangodrum_tasks_preempted_total", float64(c.Preempted))
	s.counter("mangodrum_tasks_throttled_total", float64(c.Throttled))
	s.counter("mangodrum_tasks_oversized_total", float64(c.Oversized))
	s.counter("mangodrum_worker_quarantines_total", float64(c.Quarantined))
}

func (i *Instance) scrapeCell(s *scrape, now structs.Timestamp, state *core.State) {
	version, _ := state.Settings().Current()
	known := max(state.Settings().LatestKnownVersion(), version)
	s.gauge("mangodrum_settings_version", float64(version))
	s.gauge("mangodrum_settings_version_known", float64(known))
	s.gauge("mangodrum_settings_lag_versions", float64(known-version))
	s.gauge("mangodrum_settings_lag_seconds", i.settingsLag.update(now, version, known).Seconds())
	health := map[string]int{"live": 1, "suspect": 0, "dead": 0, "leaving": 0} // live starts at 1 for this instance
	for _, info := range state.Membership().Peers() {
		health[string(healthOf(state.Membership().Status(info.ID)))]++
	}
	for _, name := range slices.Sorted(maps.Keys(health)) {
		s.gauge("mangodrum_instances", float64(health[name]), "health", name)
	}
	s.gauge("mangodrum_shards_without_owner", float64(shardsWithoutOwner(state)))
	s.gauge("mangodrum_directory_age_seconds", i.metrics.directoryAge(now).Seconds())
	s.gauge("mangodrum_ready", boolToFloat(i.Ready()))
	s.gauge("mangodrum_draining", boolToFloat(i.draining.Load()))
}

func shardsWithoutOwner(state *core.State) int {
	missing := 0
	for _, shard := range state.Shards() {
		if state.Owner(shard.ID) == "" {
			missing++
		}
	}
	return missing
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (i *Instance) scrapeGateway(s *scrape) {
	d := i.gateway.DetailedStats()
	s.gauge("mangodrum_requests_in_flight", float64(d.Requests))
	s.gauge("mangodrum_caller_connections", float64(d.Connections))
	s.counter("mangodrum_request_attempts_total", float64(d.FirstAttempts), "attempt", "first")
	s.counter("mangodrum_request_attempts_total", float64(d.Retries), "attempt", "retry")
	s.gauge("mangodrum_claims_pending", float64(d.ClaimsQueued))
	s.gauge("mangodrum_claims_in_doubt", float64(d.UncertainClaims))
	s.gauge("mangodrum_outcomes_pending", float64(d.OutcomesQueued))
	s.gauge("mangodrum_credit_slots_held", float64(d.Router.SlotsHeld))
	s.gauge("mangodrum_credit_slots_used", float64(d.Router.SlotsUsed))
	s.gauge("mangodrum_leaving_executor_requests", float64(d.Router.LeavingSlotsUsed))
	s.counter("mangodrum_credit_slots_lapsed_total", float64(d.ExpiredCreditSlots))
	queues := queueTotals{}
	for key, stat := range d.Router.Queues {
		queues.add(i.metrics.teamLabel(key.Team), key.Class, stat.Depth, stat.Oldest)
	}
	queues.write(s, "mangodrum_request_queue_depth", "mangodrum_request_queue_oldest_seconds")
}

func (i *Instance) scrapeStore(s *scrape) {
	down, since, _ := i.storeHealth.get()
	if since.IsZero() {
		since = time.Now()
	}
	s.gauge("mangodrum_store_up", boolToFloat(!down))
	s.gauge("mangodrum_store_state_age_seconds", time.Since(since).Seconds())
}
