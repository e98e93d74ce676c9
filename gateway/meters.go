package gateway

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// maxTeamLabels bounds the teams with histograms of their own; the others
// share the label "other".
const maxTeamLabels = 400

const otherTeams = "other"

type classOutcome struct {
	class   structs.ClassName
	outcome router.Outcome
}

type teamClass struct {
	team  structs.TeamID
	class structs.ClassName
}

type histograms struct{ wait, total *metrics.Histogram }

// meters holds the gateway's metrics.
type meters struct {
	set                 *metrics.Set
	rejected            *metrics.Counter
	rejectedConnections *metrics.Counter
	drains              *metrics.Counter
	drainCut            *metrics.Counter
	responsesCut        *metrics.Counter
	mismatched          *metrics.Counter

	mu       sync.Mutex
	outcomes map[classOutcome]*metrics.Counter
	teams    map[structs.TeamID]struct{}
	times    map[teamClass]histograms
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:                 set,
		rejected:            set.GetOrCreateCounter("mangodrum_requests_rejected_total"),
		rejectedConnections: set.GetOrCreateCounter("mangodrum_connections_rejected_total"),
		drains:              set.GetOrCreateCounter("mangodrum_drains_total"),
		drainCut:            set.GetOrCreateCounter("mangodrum_drain_cut_requests_total"),
		responsesCut:        set.GetOrCreateCounter("mangodrum_responses_cut_total"),
		mismatched:          set.GetOrCreateCounter("mangodrum_responses_mismatched_total"),
		outcomes:            map[classOutcome]*metrics.Counter{},
		teams:               map[structs.TeamID]struct{}{},
		times:               map[teamClass]histograms{},
	}
}

// observe counts a request that ended. The router reports classes outside the
// policy as router.UnknownClass, so callers cannot add labels.
func (m *meters) observe(e router.RequestObserved) {
	outcome := e.Outcome
	if outcome == "" {
		outcome = "caller-left"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(classOutcome{e.Class, outcome}).Inc()
	h := m.histograms(teamClass{m.teamLabel(e.Team), e.Class})
	h.wait.Update(e.Wait.Seconds())
	h.total.Update(e.Total.Seconds())
}

func (m *meters) counter(key classOutcome) *metrics.Counter {
	c := m.outcomes[key]
	if c == nil {
		c = m.set.GetOrCreateCounter("mangodrum_requests_total" + labels("class", string(key.class), "outcome", string(key.outcome)))
		m.outcomes[key] = c
	}
	return c
}

func (m *meters) teamLabel(team structs.TeamID) structs.TeamID {
	if _, ok := m.teams[team]; ok {
		return team
	}
	if len(m.teams) >= maxTeamLabels {
		return otherTeams
	}
	m.teams[team] = struct{}{}
	return team
}

func (m *meters) histograms(key teamClass) histograms {
	h, ok := m.times[key]
	if !ok {
		suffix := labels("team", string(key.team), "class", string(key.class))
		h = histograms{
			wait:  m.set.GetOrCreateHistogram("mangodrum_request_wait_seconds" + suffix),
			total: m.set.GetOrCreateHistogram("mangodrum_request_total_seconds" + suffix),
		}
		m.times[key] = h
	}
	return h
}

// labels formats pairs of names and values.
func labels(pairs ...string) string {
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
