package cell

import (
	"context"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// feed follows the changes of a table. It lists the table at first, and again
// when the store no longer has the history of changes.
type feed struct {
	instance *Instance
	table    string
	interval time.Duration // between two calls, so that one call returns many changes
	onRow    func(tablestore.Row)
	// onListed, if set, is called with all keys after each complete listing.
	onListed func(keys map[string]bool)
}

const (
	// feedWait is how long the store delays its answer when there are no changes.
	// A dead connection is noticed only after this time, so it is well below the
	// time in which a change has to take effect.
	feedWait = 1200 * time.Millisecond
	// feedTimeout bounds one call, including its wait.
	feedTimeout    = feedWait + 600*time.Millisecond
	feedRetryDelay = 250 * time.Millisecond
)

// run lists and follows the table until ctx ends.
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
				f.instance.log.Info("feed history is gone, listing the table again", "table", f.table, "after", after)
				listed = false
				continue
			}
		}
		if (err == nil) != healthy {
			healthy = err == nil
			f.instance.log.Info("dependency", "name", "store feed", "table", f.table, "healthy", healthy, "error", errorText(err))
		}
		if err != nil {
			sleep(ctx, feedRetryDelay)
		} else if f.interval > 0 {
			sleep(ctx, f.interval)
		}
	}
}

// list reads the whole table and returns the version from which to follow it.
func (f *feed) list() (uint64, error) {
	keys := map[string]bool{}
	from, version := "", uint64(0)
	part := ""
	if f.table == peerTable {
		part = StorePart
	}
	for {
		page, err := f.instance.store.Scan(tablestore.Range{Table: f.table, Part: part, From: from}, storeTimeout)
		if err != nil {
			return 0, err
		}
		if version == 0 {
			version = page.Version // the feed repeats changes made during the listing
		}
		for _, row := range page.Rows {
			keys[row.Key] = true
			f.handle(row)
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	if f.onListed != nil {
		f.onListed(keys)
	}
	return version, nil
}

// handle passes a row to onRow. A row that causes a panic is skipped, since other
// rows of the table may be changed by other programs.
func (f *feed) handle(row tablestore.Row) {
	f.instance.contain("row of "+f.table, func() { f.onRow(row) })
}

// follow waits for changes after a version and returns the new version.
func (f *feed) follow(after uint64) (uint64, error) {
	page, err := f.instance.store.Follow(f.table, after, feedWait, feedTimeout)
	if err != nil {
		return after, err
	}
	for _, row := range page.Rows {
		f.handle(row)
	}
	return max(after, page.Version), nil
}
