package instance

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/structs"
)

// maxTeamLabels bounds the values of the team label; further teams are
// recorded under otherTeams.
const (
	maxTeamLabels = 400
	otherTeams    = "other"
)

// instanceMetrics holds the metrics that the instance updates as it runs. See
// scrape for the ones that are computed on each read.
type instanceMetrics struct {
	set                  *metrics.Set
	unknownWorkerBatches *metrics.Counter
	workerCallErrors     *metrics.Counter
	directoryErrors      *metrics.Counter
	malformedMessages    *metrics.Counter
	foreignReplies       *metrics.Counter
	peerBytesReceived    *metrics.Counter
	settingsReverts      *metrics.Counter
	settingsChanges      *metrics.Counter
	droppedMessages      *metrics.Counter
	effectsRunning       atomic.Int64 // asynchronous effects in progress
	directoryReadAt      atomic.Int64 // time of the last complete read of the directory; 0 before the first one
	maxSettingsVersion   uint64       // highest version that was in force; owned by the event loop

	mu         sync.Mutex
	teamLabels map[structs.TeamID]bool
}

func newInstanceMetrics(set *metrics.Set) *instanceMetrics {
	m := &instanceMetrics{
		set:                  set,
		unknownWorkerBatches: set.NewCounter("mangodrum_unknown_worker_batches_total"),
		workerCallErrors:     set.NewCounter("mangodrum_worker_call_errors_total"),
		directoryErrors:      set.NewCounter("mangodrum_directory_errors_total"),
		malformedMessages:    set.NewCounter("mangodrum_peer_malformed_messages_total"),
		foreignReplies:       set.NewCounter("mangodrum_peer_foreign_replies_total"),
		peerBytesReceived:    set.NewCounter("mangodrum_peer_received_bytes_total"),
		settingsReverts:      set.NewCounter("mangodrum_settings_reverts_total"),
		settingsChanges:      set.NewCounter("mangodrum_settings_changes_total"),
		droppedMessages:      set.NewCounter("mangodrum_inbox_dropped_total"),
		teamLabels:           map[structs.TeamID]bool{},
	}
	set.NewGauge("mangodrum_effects_running", func() float64 { return float64(m.effectsRunning.Load()) })
	return m
}

// observeWait records the time that a task waited between its acceptance and
// its start.
func (m *instanceMetrics) observeWait(team structs.TeamID, class structs.ClassName, wait time.Duration) {
	name := fmt.Sprintf(`mangodrum_task_wait_seconds{team=%q,class=%q}`, m.teamLabel(team), class)
	m.set.GetOrCreateHistogram(name).Update(wait.Seconds())
}

// teamLabel returns the label value for a team.
func (m *instanceMetrics) teamLabel(team structs.TeamID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.teamLabels[team] {
		if len(m.teamLabels) >= maxTeamLabels {
			return otherTeams
		}
		m.teamLabels[team] = true
	}
	return string(team)
}

// recordSettingsVersion counts a settings version that came into force. A
// version below an earlier one also counts as a revert.
func (m *instanceMetrics) recordSettingsVersion(number uint64) {
	m.settingsChanges.Inc()
	if number < m.maxSettingsVersion {
		m.settingsReverts.Inc()
	}
	m.maxSettingsVersion = max(m.maxSettingsVersion, number)
}

// directoryAge returns the time since the last complete read of the directory,
// or 0 before the first one.
func (m *instanceMetrics) directoryAge(now structs.Timestamp) time.Duration {
	read := structs.Timestamp(m.directoryReadAt.Load())
	if read == 0 {
		return 0
	}
	return now.Sub(read)
}
