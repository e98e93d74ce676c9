package cell

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// feed follows the changes of a table and lists it again when the history is
// gone.
type feed struct {
	instance *Instance
	table    string
	pause    time.Duration // between two calls, so that many changes share one
	apply    func(tablestore.Row)
	// listed, if set, is called after a complete listing with its keys.
	listed func(keys map[string]bool)
}

const (
	// feedWait is how long the store holds an idle call. A connection that has
	// gone silent is noticed after it, so it is well below the time in which
	// a change has to be in force.
	feedWait = 1200 * time.Millisecond
	// feedTimeout bounds one call beyond its wait.
	feedTimeout = feedWait + 600*time.Millisecond
	feedRetry   = 250 * time.Millisecond
)

func (f *feed) run(ctx context.Context) {
	after, listed, healthy := uint64(0), false, true
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = f.list()
			listed = err == nil
		} else {
			after, err = f.follow(after)
			if errs.Is(err, errs.NotFound) {
				f.instance.log.Info("feed restarts", "table", f.table, "after", after)
				listed = false
				continue
			}
		}
		if (err == nil) != healthy {
			healthy = err == nil
			f.instance.log.Info("dependency", "name", "store feed", "table", f.table, "healthy", healthy, "error", errText(err))
		}
		if err != nil {
			sleep(ctx, feedRetry)
		} else if f.pause > 0 {
			sleep(ctx, f.pause)
		}
	}
}

// list reads the whole table.
func (f *feed) list() (uint64, error) {
	keys := map[string]bool{}
	from, version := "", uint64(0)
	part := ""
	if f.table == peerTable {
		part = Part
	}
	for {
		page, err := f.instance.store.Scan(tablestore.Range{Table: f.table, Part: part, From: from}, storeTimeout)
		if err != nil {
			return 0, err
		}
		if version == 0 {
			version = page.Version // changes during the listing come again in the feed
		}
		for _, row := range page.Rows {
			keys[row.Key] = true
			f.apply(row)
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	if f.listed != nil {
		f.listed(keys)
	}
	return version, nil
}

func (f *feed) follow(after uint64) (uint64, error) {
	page, err := f.instance.store.Follow(f.table, after, feedWait, feedTimeout)
	if err != nil {
		return after, err
	}
	for _, row := range page.Rows {
		f.apply(row)
	}
	return max(after, page.Version), nil
}
