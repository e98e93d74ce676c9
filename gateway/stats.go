package gateway

import "github.com/mangodrum/mangodrum/router"

// Details holds statistics for metrics. They take longer to collect than Stats.
type Details struct {
	Stats
	Router         router.Stats
	CreditsLapsed  uint64
	ClaimsQueued   int // claims and outcomes that are not durable yet
	ClaimsInDoubt  int // those of ClaimsQueued that an earlier commit may have written
	OutcomesQueued int // outcomes of executed requests that are not durable yet
}

// Details returns the current statistics.
func (g *Gateway) Details() Details {
	d := Details{Stats: g.Stats()}
	g.mu.Lock()
	d.Router = g.state.Stats(g.opts.Now())
	d.CreditsLapsed = g.state.Totals().CreditsLapsed
	g.mu.Unlock()
	g.claims.addCounts(&d)
	return d
}

func (w *claimWriter) addCounts(d *Details) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ops := range [][]*claimOp{w.queue, w.inFlight} {
		for _, op := range ops {
			d.ClaimsQueued++
			if op.maybeWritten {
				d.ClaimsInDoubt++
			}
			if op.kind == opStoreOutcome {
				d.OutcomesQueued++
			}
		}
	}
}
