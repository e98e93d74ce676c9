package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// pendingCommit is a commit whose outcome is not known yet. There is at most one
// at a time.
type pendingCommit struct {
	commitTracker
	commit dispatch.Commit
	tx     tablestore.Tx
	row    leadership.Row
	// clockResets is that of the store's clock when the commit was prepared.
	clockResets int
}

// storeAnswer is an answer of the store, with the times at which the call was sent and
// answered on the instance's clock.
type storeAnswer struct {
	page               tablestore.Page
	sentAt, receivedAt structs.Timestamp
}

// advanceCommit prepares the next commit if one is due, and sends or reads back
// the pending one as needed.
func (l *leader) advanceCommit() {
	now := l.now()
	if l.pending == nil {
		if !l.dispatcher.NeedsCommit() && now.Sub(l.commitSentAt) < leadership.CommitInterval {
			return
		}
		if !l.prepareCommit(now) {
			return
		}
	}
	p := l.pending
	if p.isStoreUnavailable(now) {
		l.markStoreUnavailable("a commit has no answer")
	}
	if p.shouldSend(now) {
		p.recordSend(now)
		l.commitSentAt = now
		tx := p.tx
		l.spawn("commit", func() { l.sendCommit(p, tx) })
	}
	if p.shouldRead(now) {
		p.recordReadSent(now)
		l.spawn("read back", func() { l.readBack(p) })
	}
}

// markStoreUnavailable makes the dispatcher refuse submissions until a commit
// succeeds.
func (l *leader) markStoreUnavailable(reason string) {
	if l.storeUnavailable {
		return
	}
	l.storeUnavailable = true
	l.log.Info("dependency", "name", "store", "healthy", false, "error", reason)
	l.reduce(dispatch.StoreHealth{Unavailable: true, Since: l.commitSucceededAt})
}

func (l *leader) prepareCommit(now structs.Timestamp) bool {
	l.dispatcher.SetStoreClockAhead(l.storeNow().Sub(now))
	commit, err := l.dispatcher.NextCommit(now)
	if err != nil {
		l.log.Error("failed to encode a commit", "error", err)
		l.cancel()
		return false
	}
	row := l.row
	row.Sequence, row.CommittedAt = commit.Sequence, l.storeNow()
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("failed to encode the leadership row", "error", err)
		l.cancel()
		return false
	}
	puts := append([]tablestore.Put{{Table: dispatch.CellTable, Key: leadershipKey, Value: value}}, commit.Puts...)
	l.pending = &pendingCommit{
		commitTracker: commitTracker{createdAt: now}, commit: commit, row: row, clockResets: l.storeClock.resets,
		tx: tablestore.Tx{Part: StorePart, Puts: puts, Removes: commit.Removes, Conditions: l.leadershipCondition()},
	}
	return true
}

// leadershipCondition requires that the leadership row still has the version of
// this leader's last write.
func (l *leader) leadershipCondition() []tablestore.Condition {
	return []tablestore.Condition{{Table: dispatch.CellTable, Key: leadershipKey, Version: l.version}}
}

// sendCommit sends one copy of a commit and passes the result to the loop.
func (l *leader) sendCommit(p *pendingCommit, tx tablestore.Tx) {
	answer, err := l.instance.timeStoreCall(func() (tablestore.Page, error) { return l.instance.store.Commit(tx, commitTimeout) })
	l.postFunc(func() { l.handleCommitResult(p, answer, err) })
}

// readBack reads the leadership row to find out whether the commit took effect.
func (l *leader) readBack(p *pendingCommit) {
	answer, err := l.instance.timeStoreCall(func() (tablestore.Page, error) { return l.instance.store.Scan(leadershipRowRange(), readBackTimeout) })
	page := answer.page
	l.postFunc(func() {
		p.recordReadResult(l.now(), err == nil)
		if err != nil || l.pending != p {
			return
		}
		l.recordStoreClock(answer)
		if version, ok := findRowVersion(page.Rows, p.row); ok {
			l.completeCommit(p, version)
			return
		}
		if _, ok := findRowVersion(page.Rows, l.row); !ok {
			l.depose("the leadership row has changed", 0)
		}
	})
}

// timeStoreCall makes a call to the store and records when it was sent and answered.
func (i *Instance) timeStoreCall(call func() (tablestore.Page, error)) (storeAnswer, error) {
	sentAt := i.clock.Now()
	page, err := call()
	return storeAnswer{page, sentAt, i.clock.Now()}, err
}

// postFunc passes a function to the leader's loop.
func (l *leader) postFunc(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// handleCommitResult handles the result of one copy of a commit. Every commit
// requires the row version of the one before it. That shows whether an earlier
// copy took effect, and prevents a late copy from taking effect again.
func (l *leader) handleCommitResult(p *pendingCommit, answer storeAnswer, err error) {
	if l.pending != p {
		return // another copy or a read-back has already shown the outcome
	}
	switch {
	case err == nil:
		l.recordStoreClock(answer)
		l.completeCommit(p, answer.page.Version)
	case errs.Is(err, errs.Conflict):
		l.recordStoreClock(answer)
		l.handleCommitConflict(p, answer.page)
	default:
		l.instance.metrics.count("commit_failures", "kind", string(errs.KindOf(err)))
		p.recordFailedCopy(l.now(), errs.Is(err, errs.NotRun) || errs.Is(err, errs.InvalidInput))
		if errs.Is(err, errs.InvalidInput) {
			l.handleRejectedCommit(p, err)
		}
	}
}

// maxRejections is how often the store may reject a commit as invalid before the leader
// gives up. One rejection may come from a damaged request.
const maxRejections = 2

// handleRejectedCommit handles a commit that the store rejects as invalid. It would reject
// each copy of it, so the leadership ends: the next leader begins with the stored state,
// without the change in memory that cannot be stored.
func (l *leader) handleRejectedCommit(p *pendingCommit, err error) {
	p.rejections++
	largest, bytes := tablestore.Put{}, 0
	for _, put := range p.tx.Puts {
		bytes += len(put.Value)
		if len(put.Value) > len(largest.Value) {
			largest = put
		}
	}
	l.log.Error("the store rejects a commit", "error", err, "rejections", p.rejections, "entries", len(p.tx.Puts)+len(p.tx.Removes)+len(p.tx.Conditions),
		"removed_rows", len(p.tx.Removes), "bytes", bytes, "largest_row", largest.Table+"/"+largest.Key, "largest_row_bytes", len(largest.Value))
	if p.rejections >= maxRejections {
		l.depose("the store rejects a commit for good", 0)
	}
}

// handleCommitConflict handles a commit that failed its condition: an earlier
// copy took effect, the expected version was out of date, or another instance
// has taken the leadership.
func (l *leader) handleCommitConflict(p *pendingCommit, page tablestore.Page) {
	if version, ok := findRowVersion(page.Rows, p.row); ok {
		l.completeCommit(p, version)
		return
	}
	if version, ok := findRowVersion(page.Rows, l.row); ok {
		l.version = version // the answer to the previous commit gave a newer version than the row has
		p.tx.Conditions = l.leadershipCondition()
		p.recordFailedCopy(l.now(), false)
		return
	}
	l.depose("the leadership row has changed", 0)
}

// completeCommit records that the pending commit took effect.
func (l *leader) completeCommit(p *pendingCommit, version uint64) {
	now := l.now()
	if l.storeUnavailable {
		l.storeUnavailable = false
		l.reduce(dispatch.StoreHealth{})
		l.log.Info("dependency", "name", "store", "healthy", true, "away_ms", int64(now.Sub(l.commitSucceededAt)/time.Millisecond))
	}
	took := now.Sub(p.createdAt)
	l.lastCommitTook = took
	l.instance.metrics.observe("commit", "kind", "leader", took)
	if took > slowCommitTime {
		l.log.Warn("slow commit", "took", took.String(), "last_copy", now.Sub(p.sentAt).String(), "copies_open", p.inFlight,
			"refused", p.refusals, "read_back", p.readLatency.String(), "entries", len(p.tx.Puts)+len(p.tx.Removes))
	}
	l.row, l.version, l.commitSucceededAt, l.pending = p.row, version, now, nil
	// The next leader counts leases from the time in the row. That is too early if
	// the instance's clock stood still before the commit was prepared.
	if p.clockResets == l.storeClock.resets {
		l.dispatcher.ConfirmLeadership(p.createdAt)
		l.confirmedAt = p.createdAt
	}
	l.reduce(dispatch.Committed{Sequence: p.commit.Sequence})
}

// isStoreHealthy reports whether the store has answered a commit or a read-back
// recently.
func (l *leader) isStoreHealthy() bool {
	last := l.commitSucceededAt
	if l.pending != nil {
		last = max(last, l.pending.lastReadAnswerAt)
	}
	return l.now().Sub(last) < unhealthyAfter
}
