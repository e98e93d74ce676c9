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

// pendingCommit is the commit whose outcome is open; there is one at a time.
type pendingCommit struct {
	settlement
	commit dispatch.Commit
	tx     tablestore.Tx
	row    leadership.Row
}

// commit makes the next commit if one is due, and moves the pending one on.
func (l *leader) commit() {
	now := l.now()
	if l.pending == nil {
		if !l.cell.NeedsCommit() && now.Sub(l.idleSince) < leadership.CommitInterval {
			return
		}
		if !l.nextCommit(now) {
			return
		}
	}
	p := l.pending
	if p.isAway(now) {
		l.storeAway("a commit has no answer")
	}
	if p.shouldSend(now) {
		p.sent(now)
		l.idleSince = now
		tx := p.tx
		l.group.Go(func() { l.sendCommit(p, tx) })
	}
	if p.shouldRead(now) {
		p.read(now)
		l.group.Go(func() { l.readBack(p) })
	}
}

// storeAway makes the dispatcher refuse submissions until a commit succeeds.
func (l *leader) storeAway(reason string) {
	if l.away {
		return
	}
	l.away = true
	l.log.Info("dependency", "name", "store", "healthy", false, "error", reason)
	l.reduce(dispatch.StoreHealth{Unavailable: true})
}

func (l *leader) nextCommit(now structs.Timestamp) bool {
	commit, err := l.cell.NextCommit(now)
	if err != nil {
		l.log.Error("a commit could not be encoded", "error", err)
		l.cancel()
		return false
	}
	row := l.row
	row.Sequence, row.CommittedAt = commit.Sequence, l.storeNow()
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("the leader row could not be encoded", "error", err)
		l.cancel()
		return false
	}
	puts := append([]tablestore.Put{{Table: dispatch.CellTable, Key: leaderKey, Value: value}}, commit.Puts...)
	l.pending = &pendingCommit{
		settlement: settlement{madeAt: now}, commit: commit, row: row,
		tx: tablestore.Tx{Part: Part, Puts: puts, Removes: commit.Removes, Conditions: l.condition()},
	}
	return true
}

// condition demands that nobody has written the leadership row since.
func (l *leader) condition() []tablestore.Condition {
	return []tablestore.Condition{{Table: dispatch.CellTable, Key: leaderKey, Version: l.version}}
}

func (l *leader) sendCommit(p *pendingCommit, tx tablestore.Tx) {
	page, err := l.instance.store.Commit(tx, commitTimeout)
	l.hand(func() { l.commitAnswered(p, page, err) })
}

// readBack reads the leadership row, which tells whether the commit took
// effect.
func (l *leader) readBack(p *pendingCommit) {
	page, err := l.instance.store.Scan(leaderRow(), readBackTimeout)
	l.hand(func() {
		p.readDone(l.now(), err == nil)
		if err != nil || l.pending != p {
			return
		}
		l.noteStoreClock(page)
		if version, ok := ownRow(page.Rows, p.row); ok {
			l.commitDone(p, version)
			return
		}
		if _, ok := ownRow(page.Rows, l.row); !ok {
			l.depose("the leadership row has changed", 0)
		}
	})
}

// hand passes a function to the leader's loop.
func (l *leader) hand(do func()) {
	select {
	case l.inbox <- do:
	case <-l.ctx.Done():
	}
}

// commitAnswered settles a commit. The version chain of the leadership row
// tells whether an earlier copy took effect, and keeps a late copy from taking
// effect twice.
func (l *leader) commitAnswered(p *pendingCommit, page tablestore.Page, err error) {
	if l.pending != p {
		return // another copy or a read-back has settled it
	}
	switch {
	case err == nil:
		l.noteStoreClock(page)
		l.commitDone(p, page.Version)
	case errs.Is(err, errs.Conflict):
		l.commitConflict(p, page)
	default:
		p.copyDone(l.now(), errs.Is(err, errs.NotRun))
		l.instance.metrics.count("commit_failures", "kind", string(errs.KindOf(err)))
	}
}

func (l *leader) commitConflict(p *pendingCommit, page tablestore.Page) {
	if version, ok := ownRow(page.Rows, p.row); ok {
		l.commitDone(p, version)
		return
	}
	if version, ok := ownRow(page.Rows, l.row); ok {
		l.version = version // the answer to the commit before named a newer one
		p.tx.Conditions = l.condition()
		p.copyDone(l.now(), false)
		return
	}
	l.depose("the leadership row has changed", 0)
}

func (l *leader) commitDone(p *pendingCommit, version uint64) {
	now := l.now()
	if l.away {
		l.away = false
		l.reduce(dispatch.StoreHealth{})
		l.log.Info("dependency", "name", "store", "healthy", true, "away_ms", int64(now.Sub(l.okSince)/time.Millisecond))
	}
	took := now.Sub(p.madeAt)
	l.lastCommitTook = took
	l.instance.metrics.observe("commit", "kind", "leader", took)
	if took > slowCommit {
		l.log.Warn("slow commit", "took", took.String(), "last_copy", now.Sub(p.sentAt).String(), "copies_open", p.inFlight,
			"refused", p.refused, "read_back", p.readTook.String(), "entries", len(p.tx.Puts)+len(p.tx.Removes))
	}
	l.row, l.version, l.okSince, l.pending = p.row, version, now, nil
	// The next leader counts the leases from the time in the row, which is
	// that of the first copy.
	l.cell.ConfirmLeadership(p.madeAt)
	l.reduce(dispatch.Committed{Sequence: p.commit.Sequence})
}

// healthy reports whether the store has answered lately.
func (l *leader) healthy() bool {
	last := l.okSince
	if l.pending != nil {
		last = max(last, l.pending.heardAt)
	}
	return l.now().Sub(last) < unhealthyAfter
}
