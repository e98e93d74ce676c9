package gateway

import "github.com/mangodrum/mangodrum/router"

// Details are numbers for metrics that take longer to collect than Stats.
type Details struct {
	Stats
	Router         router.Stats
	CreditsLapsed  uint64
	ClaimsQueued   int // claims and outcomes that are not durable yet
	ClaimsInDoubt  int // of these, rows that an earlier write may have written
	OutcomesQueued int // outcomes of requests that ran and that are not durable yet
}

// Details returns the current numbers.
func (g *Gateway) Details() Details {
	d := Details{Stats: g.Stats()}
	g.mu.Lock()
	d.Router = g.state.Stats(g.opts.Now())
	d.CreditsLapsed = g.state.Totals().CreditsLapsed
	g.mu.Unlock()
	g.claims.count(&d)
	return d
}

func (w *claimWriter) count(d *Details) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ops := range [][]*claimOp{w.queue, w.inFlight} {
		for _, op := range ops {
			d.ClaimsQueued++
			if op.uncertain {
				d.ClaimsInDoubt++
			}
			if op.kind == opStore {
				d.OutcomesQueued++
			}
		}
	}
}
