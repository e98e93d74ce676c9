package gateway

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// maxTeamLabels limits the number of teams with histograms of their own. All
// other teams share the label "other".
const maxTeamLabels = 400

const otherTeamsLabel = "other"

type classOutcome struct {
	class   structs.ClassName
	outcome router.Outcome
}

type teamClass struct {
	team  structs.TeamID
	class structs.ClassName
}

type requestHistograms struct{ wait, total *metrics.Histogram }

// gatewayMetrics holds the gateway's counters and histograms.
type gatewayMetrics struct {
	set                 *metrics.Set
	rejectedRequests    *metrics.Counter
	rejectedConnections *metrics.Counter
	drains              *metrics.Counter
	drainAborted        *metrics.Counter
	truncatedResponses  *metrics.Counter
	mismatchedResponses *metrics.Counter

	mu              sync.Mutex
	outcomeCounters map[classOutcome]*metrics.Counter
	labelledTeams   map[structs.TeamID]struct{}
	histograms      map[teamClass]requestHistograms
}

func newGatewayMetrics(set *metrics.Set) *gatewayMetrics {
	return &gatewayMetrics{
		set:                 set,
		rejectedRequests:    set.GetOrCreateCounter("mangodrum_requests_rejected_total"),
		rejectedConnections: set.GetOrCreateCounter("mangodrum_connections_rejected_total"),
		drains:              set.GetOrCreateCounter("mangodrum_drains_total"),
		drainAborted:        set.GetOrCreateCounter("mangodrum_drain_cut_requests_total"),
		truncatedResponses:  set.GetOrCreateCounter("mangodrum_responses_cut_total"),
		mismatchedResponses: set.GetOrCreateCounter("mangodrum_responses_mismatched_total"),
		outcomeCounters:     map[classOutcome]*metrics.Counter{},
		labelledTeams:       map[structs.TeamID]struct{}{},
		histograms:          map[teamClass]requestHistograms{},
	}
}

// observe records a request that ended. The router reports classes that the
// policy does not contain as router.UnknownClass, so callers cannot create
// additional label values.
func (m *gatewayMetrics) observe(e router.RequestObserved) {
	outcome := e.Outcome
	if outcome == "" {
		outcome = "caller-left"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counterFor(classOutcome{e.Class, outcome}).Inc()
	h := m.histogramsFor(teamClass{m.teamLabel(e.Team), e.Class})
	h.wait.Update(e.Wait.Seconds())
	h.total.Update(e.Total.Seconds())
}

func (m *gatewayMetrics) counterFor(key classOutcome) *metrics.Counter {
	c := m.outcomeCounters[key]
	if c == nil {
		c = m.set.GetOrCreateCounter("mangodrum_requests_total" + formatLabels("class", string(key.class), "outcome", string(key.outcome)))
		m.outcomeCounters[key] = c
	}
	return c
}

func (m *gatewayMetrics) teamLabel(team structs.TeamID) structs.TeamID {
	if _, ok := m.labelledTeams[team]; ok {
		return team
	}
	if len(m.labelledTeams) >= maxTeamLabels {
		return otherTeamsLabel
	}
	m.labelledTeams[team] = struct{}{}
	return team
}

func (m *gatewayMetrics) histogramsFor(key teamClass) requestHistograms {
	h, ok := m.histograms[key]
	if !ok {
		suffix := formatLabels("team", string(key.team), "class", string(key.class))
		h = requestHistograms{
			wait:  m.set.GetOrCreateHistogram("mangodrum_request_wait_seconds" + suffix),
			total: m.set.GetOrCreateHistogram("mangodrum_request_total_seconds" + suffix),
		}
		m.histograms[key] = h
	}
	return h
}

// formatLabels formats pairs of label names and values.
func formatLabels(pairs ...string) string {
	var b strings.Builder
	for i := 0; i < len(pairs); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(pairs[i])
		b.WriteString(`="`)
		b.WriteString(labelEscaper.Replace(pairs[i+1]))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
