package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// The sweep deletes claims whose retention has ended. It handles one page per
// interval, with one read and at most one write.
const (
	sweepInterval = 5 * time.Second
	sweepPage     = 256
)

func (w *claimWriter) sweepLoop(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.sweep(w.opts.Now())
		}
	}
}

// sweep deletes the expired claims of the next page and returns their number. A
// failed deletion is retried in a later round.
func (w *claimWriter) sweep(now structs.Timestamp) int {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	rows, err := w.table.Scan(ctx, claimsPrefix, w.sweepCursor, sweepPage)
	if err != nil {
		return 0
	}
	w.sweepCursor = ""
	if len(rows) == sweepPage {
		w.sweepCursor = rows[len(rows)-1].Key
	}
	txn := expiredClaims(rows, now)
	if len(txn.Deletes) == 0 {
		return 0
	}
	if _, err := w.table.Commit(ctx, txn); err != nil {
		return 0
	}
	return len(txn.Deletes)
}

// expiredClaims returns a transaction that deletes all rows whose retention
// ended more than provider.ClockBound ago.
func expiredClaims(rows []provider.Row, now structs.Timestamp) provider.Txn {
	var txn provider.Txn
	for _, row := range rows {
		var claim claimRow
		if err := json.Unmarshal(row.Value, &claim); err != nil {
			continue
		}
		if now.Sub(claim.Expires) <= provider.ClockBound {
			continue
		}
		txn.Conditions = append(txn.Conditions, provider.Condition{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	return txn
}
