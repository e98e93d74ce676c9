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

type pendingCommit struct {
	commit   dispatch.Commit
	tx       tablestore.Tx
	row      leadership.Row
	timeout  time.Duration
	retryAt  structs.Timestamp
	sending  bool
	failures int // tries without a usable answer
	madeAt   structs.Timestamp
}

// commit sends the next commit, or repeats the one whose outcome is open.
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
	if now.Sub(p.madeAt) > awayAfter {
		l.storeAway("a commit has no answer")
	}
	if p.sending || now.Before(p.retryAt) {
		return
	}
	p.sending = true
	l.idleSince = now
	l.group.Go(func() { l.sendCommit(p, now) })
}

// storeAway makes the dispatcher refuse submissions until a commit succeeds.
func (l *leader) storeAway(reason string) {
	if l.away {
		return
	}
	l.away = true
	l.log.Info("dependency", "name", "store", "healthy", false, "error", reason)
	l.reduce(dispatch.StoreHealth{Away: true})
}

func (l *leader) nextCommit(now structs.Timestamp) bool {
	commit, err := l.cell.NextCommit(now)
	if err != nil {
		l.log.Error("a commit could not be encoded", "error", err)
		l.cancel()
		return false
	}
	row := l.row
	row.Sequence, row.At = commit.Sequence, l.storeNow()
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("the leader row could not be encoded", "error", err)
		l.cancel()
		return false
	}
	puts := append([]tablestore.Put{{Table: dispatch.CellTable, Key: leaderKey, Value: value}}, commit.Puts...)
	l.pending = &pendingCommit{
		commit: commit, row: row, timeout: firstCommitTimeout, madeAt: now,
		tx: tablestore.Tx{Part: Part, Puts: puts, Removes: commit.Removes},
	}
	return true
}

func (l *leader) sendCommit(p *pendingCommit, sentAt structs.Timestamp) {
	tx := p.tx
	tx.Conditions = []tablestore.Condition{{Table: dispatch.CellTable, Key: leaderKey, Version: l.version}}
	page, err := l.instance.store.Commit(tx, p.timeout)
	select {
	case l.inbox <- func() { l.commitAnswered(p, sentAt, page, err) }:
	case <-l.ctx.Done():
	}
}

// commitAnswered settles a commit. The version chain of the leadership row
// tells after a lost answer whether the commit took effect, and keeps a late
// copy of it from taking effect twice.
func (l *leader) commitAnswered(p *pendingCommit, sentAt structs.Timestamp, page tablestore.Page, err error) {
	p.sending = false
	switch {
	case err == nil:
		l.noteStoreClock(page)
		l.commitDone(p, sentAt, page.Version)
	case errs.Is(err, errs.Conflict):
		l.commitConflict(p, sentAt, page)
	default:
		if p.failures++; p.failures >= failuresUntilAway {
			l.storeAway(err.Error())
		}
		l.instance.metrics.count("commit_failures", "kind", string(errs.KindOf(err)))
		p.timeout = min(p.timeout*8/5, maxCommitTimeout)
		p.retryAt = l.now().Add(commitRetry)
		if errs.Is(err, errs.NotRun) {
			p.retryAt = l.now().Add(maxCommitRetry)
		}
	}
}

func (l *leader) commitConflict(p *pendingCommit, sentAt structs.Timestamp, page tablestore.Page) {
	if version, ok := ownRow(page.Rows, p.row); ok {
		l.commitDone(p, sentAt, version)
		return
	}
	if version, ok := ownRow(page.Rows, l.row); ok {
		l.version = version
		return
	}
	l.depose("the leadership row has changed", 0)
}

func (l *leader) commitDone(p *pendingCommit, sentAt structs.Timestamp, version uint64) {
	now := l.now()
	if l.away {
		l.away = false
		l.reduce(dispatch.StoreHealth{})
		l.log.Info("dependency", "name", "store", "healthy", true, "away_ms", int64(now.Sub(l.okSince)/time.Millisecond))
	}
	l.instance.metrics.observe("commit", "kind", "leader", now.Sub(sentAt))
	if took := now.Sub(p.madeAt); took > slowCommit {
		l.log.Warn("slow commit", "took", took.String(), "last_try", now.Sub(sentAt).String(), "tries", p.failures+1,
			"entries", len(p.tx.Puts)+len(p.tx.Removes))
	}
	l.row, l.version, l.okSince, l.pending = p.row, version, now, nil
	l.cell.Confirm(sentAt)
	l.reduce(dispatch.CommitAnswered{Sequence: p.commit.Sequence})
}

func (l *leader) healthy() bool { return l.now().Sub(l.okSince) < unhealthyAfter }
