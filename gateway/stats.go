package gateway

import "github.com/mangodrum/mangodrum/router"

// DetailedStats holds statistics for metrics. They take longer to collect than
// Stats.
type DetailedStats struct {
	Stats
	Router             router.Stats
	ExpiredCreditSlots uint64
	ClaimsQueued       int // claims and outcomes that are not durable yet
	UncertainClaims    int // those of ClaimsQueued that an earlier commit may have written
	OutcomesQueued     int // outcomes of executed requests that are not durable yet
}

// DetailedStats returns the current statistics.
func (g *Gateway) DetailedStats() DetailedStats {
	d := DetailedStats{Stats: g.Stats()}
	g.mu.Lock()
	d.Router = g.state.Stats(g.opts.Now())
	d.ExpiredCreditSlots = g.state.Counts().ExpiredCreditSlots
	g.mu.Unlock()
	g.claims.addCounts(&d)
	return d
}

func (w *claimWriter) addCounts(d *DetailedStats) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ops := range [][]*claimOp{w.queue, w.inFlight} {
		for _, op := range ops {
			d.ClaimsQueued++
			if op.maybeWritten {
				d.UncertainClaims++
			}
			if op.kind == opStoreOutcome {
				d.OutcomesQueued++
			}
		}
	}
}
