package instance

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/structs"
)

// maxTeamLabels bounds the team labels of a histogram; further teams count
// under otherTeams.
const (
	maxTeamLabels = 400
	otherTeams    = "other"
)

// instruments are the metrics of the shell.
type instruments struct {
	set             *metrics.Set
	unknownWorkers  *metrics.Counter
	workerErrors    *metrics.Counter
	directoryErrors *metrics.Counter
	malformed       *metrics.Counter
	peerBytes       *metrics.Counter
	reverts         *metrics.Counter
	settingsChanges *metrics.Counter
	dropped         *metrics.Counter
	calls           atomic.Int64 // asynchronous effects that run
	directoryRead   atomic.Int64 // time of the newest complete lists
	settings        uint64       // highest version that was in force; owned by the loop

	mu    sync.Mutex
	teams map[structs.TeamID]bool
}

func newInstruments(set *metrics.Set) *instruments {
	m := &instruments{
		set:             set,
		unknownWorkers:  set.NewCounter("mangodrum_unknown_worker_batches_total"),
		workerErrors:    set.NewCounter("mangodrum_worker_call_errors_total"),
		directoryErrors: set.NewCounter("mangodrum_directory_errors_total"),
		malformed:       set.NewCounter("mangodrum_peer_malformed_messages_total"),
		peerBytes:       set.NewCounter("mangodrum_peer_received_bytes_total"),
		reverts:         set.NewCounter("mangodrum_settings_reverts_total"),
		settingsChanges: set.NewCounter("mangodrum_settings_changes_total"),
		dropped:         set.NewCounter("mangodrum_inbox_dropped_total"),
		teams:           map[structs.TeamID]bool{},
	}
	set.NewGauge("mangodrum_effects_running", func() float64 { return float64(m.calls.Load()) })
	return m
}

// observeWait records the time from the acceptance of a task to its start.
func (m *instruments) observeWait(team structs.TeamID, class structs.ClassName, wait time.Duration) {
	name := fmt.Sprintf(`mangodrum_task_wait_seconds{team=%q,class=%q}`, m.teamLabel(team), class)
	m.set.GetOrCreateHistogram(name).Update(wait.Seconds())
}

func (m *instruments) teamLabel(team structs.TeamID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.teams[team] {
		if len(m.teams) >= maxTeamLabels {
			return otherTeams
		}
		m.teams[team] = true
	}
	return string(team)
}

// noteSettings counts a version that came into force, and a step back.
func (m *instruments) noteSettings(number uint64) {
	m.settingsChanges.Inc()
	if number < m.settings {
		m.reverts.Inc()
	}
	m.settings = max(m.settings, number)
}

// directoryAge returns the age of the platform's lists in use, or 0 before the
// first ones.
func (m *instruments) directoryAge(now structs.Timestamp) time.Duration {
	read := structs.Timestamp(m.directoryRead.Load())
	if read == 0 {
		return 0
	}
	return now.Sub(read)
}
