package scheduler

import "github.com/mangodrum/mangodrum/structs"

// ledger is what teams use of their quota in this shard.
type ledger struct {
	limits map[structs.TeamID]TeamPolicy
	used   map[structs.TeamID]structs.Resources
}

func newLedger(p Policy) *ledger {
	return &ledger{limits: p.Teams, used: map[structs.TeamID]structs.Resources{}}
}

func (l *ledger) limit(id structs.TeamID) structs.Resources {
	t := l.limits[id]
	return t.Guaranteed.Add(t.BorrowLimit)
}

// couldAdmit reports whether r is within the team's limit when it uses nothing.
func (l *ledger) couldAdmit(id structs.TeamID, r structs.Resources) bool {
	return r.Fits(l.limit(id))
}

// admits reports whether the team may use r in addition.
func (l *ledger) admits(id structs.TeamID, r structs.Resources) bool {
	return l.used[id].Add(r).Fits(l.limit(id))
}

// isBorrowing reports whether the team uses more than its guaranteed quota.
func (l *ledger) isBorrowing(id structs.TeamID) bool {
	return !l.used[id].Fits(l.limits[id].Guaranteed)
}

// isGuaranteed reports whether r in addition is within the guaranteed quota.
func (l *ledger) isGuaranteed(id structs.TeamID, r structs.Resources) bool {
	return l.used[id].Add(r).Fits(l.limits[id].Guaranteed)
}

func (l *ledger) take(id structs.TeamID, r structs.Resources) { l.used[id] = l.used[id].Add(r) }
func (l *ledger) give(id structs.TeamID, r structs.Resources) { l.used[id] = l.used[id].Sub(r) }
